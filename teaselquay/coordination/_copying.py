"""Fast copies of the state of a scheduler."""

from collections import OrderedDict, deque
from copy import deepcopy
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any

_MAPPINGS = frozenset((dict, OrderedDict))
_SEQUENCES = frozenset((list, deque))
#: Types of which nothing is copied. Tuples in the state hold nothing that
#: changes.
_SHARED = frozenset((str, int, float, bool, bytes, tuple, frozenset))

#: Copies by the identity of what they were made from.
Copies = dict[int, Any]


def copy_state(source: Any, copies: Copies) -> Any:
    """Return a copy of `source` that shares what cannot change.

    `copies` keeps what is referred to twice a single object. A VM does not
    serve while a copy is made. `deepcopy` alone takes about four times as
    long, since it also copies all records of upstreams and attempts.
    """
    kind = type(source)
    if kind in _SHARED or source is None:
        return source
    known = copies.get(id(source))
    if known is not None:
        return known
    if kind in _MAPPINGS:
        copied = kind(
            (key, copy_state(member, copies)) for key, member in source.items()
        )
    elif kind in _SEQUENCES:
        copied = kind(copy_state(member, copies) for member in source)
    elif is_dataclass(kind):
        if kind.__dataclass_params__.frozen:  # type: ignore[attr-defined]
            return source
        copied = copy_fields(source, kind, copies)
    else:
        return deepcopy(source, copies)
    copies[id(source)] = copied
    return copied


def copy_fields(source: Any, kind: type[Any], copies: Copies) -> Any:
    """Return a `kind` whose fields are copies of those of `source`."""
    copied = object.__new__(kind)
    # A type is hashable, which mypy does not accept for a `type[Any]`.
    source_kind: Any = type(source)
    for name in _field_names(source_kind):
        setattr(copied, name, copy_state(getattr(source, name), copies))
    return copied


@cache
def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(known.name for known in fields(kind))
