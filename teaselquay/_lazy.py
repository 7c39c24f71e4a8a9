"""Lazy imports: private modules of a package load on first use.

A VM of the gateway uses few of the modules; those that are not imported
cost neither startup time nor memory.
"""

from importlib import import_module
from types import ModuleType
from typing import Any, Callable, Mapping


def lazy_exports(
    package: ModuleType,
    modules_by_name: Mapping[str, str],
) -> Callable[[str], Any]:
    """Return a module-level `__getattr__` for `package`.

    `modules_by_name` maps each public name to its private module. The
    returned function raises AttributeError for any other name.
    """

    def load(name: str) -> Any:
        module = modules_by_name.get(name)
        if module is None:
            raise AttributeError(
                f'module {package.__name__!r} has no attribute {name!r}',
            )
        exported = getattr(import_module(f'{package.__name__}.{module}'), name)
        setattr(package, name, exported)
        return exported

    return load
