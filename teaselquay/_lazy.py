"""Public packages whose private modules are loaded when first used.

A VM of the gateway needs few of the parts, and what is not loaded costs
neither time at its start nor memory.
"""

from importlib import import_module
from types import ModuleType
from typing import Any, Callable, Mapping


def lazy_exports(
    package: ModuleType,
    modules_by_name: Mapping[str, str],
) -> Callable[[str], Any]:
    """Return the `__getattr__` of `package`.

    `modules_by_name` gives the private module of each public name.
    """

    def load(name: str) -> Any:
        module = modules_by_name.get(name)
        if module is None:
            raise AttributeError(
                f'module {package.__name__!r} has no attribute {name!r}',
            )
        found = getattr(import_module(f'{package.__name__}.{module}'), name)
        setattr(package, name, found)
        return found

    return load
