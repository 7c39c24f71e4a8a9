"""Policies that say which requests precede others while capacity is short."""

from dataclasses import dataclass
from typing import Callable

from replays._patterns import Kind

#: Times to the deadline between two ranks of "earliest deadline first".
_DEADLINE_STEP_S = 0.5
#: Worth per second of work of the lowest rank of "value per work", and the
#: factor between two ranks.
_LEAST_DENSITY = 1.0
_DENSITY_FACTOR = 2.0
_MAX_RANK = 9


@dataclass(frozen=True, slots=True)
class Policy:
    """A rank for each request; 0 precedes all others."""

    name: str
    rank: Callable[[Kind, float], int]
    knows_work: bool = True
    #: Whether a starved rank precedes others for a while.
    has_guard: bool = True


def _deadline_rank(kind: Kind, left_s: float) -> int:
    """Return the earliest deadline first, if it can still be met."""
    if left_s < kind.work_s:
        return _MAX_RANK
    return min(_MAX_RANK - 1, int(left_s / _DEADLINE_STEP_S))


def _density_rank(kind: Kind, left_s: float) -> int:
    density = kind.worth / kind.work_s
    rank = _MAX_RANK
    while rank and density > _LEAST_DENSITY:
        density /= _DENSITY_FACTOR
        rank -= 1
    return rank


#: The code before priorities were used.
AS_EQUALS = Policy('as equals', lambda kind, left_s: 1, knows_work=False)
BY_PRIORITY = Policy('priority', lambda kind, left_s: kind.priority)
STRICT = Policy('strict', lambda kind, left_s: kind.priority, has_guard=False)
BY_DEADLINE = Policy('deadline', _deadline_rank)
BY_VALUE = Policy('value per work', _density_rank)
#: Priority first; among equals, the earlier deadline.
BY_BOTH = Policy(
    'priority, deadline',
    lambda kind, left_s: (
        kind.priority * (_MAX_RANK + 1) + _deadline_rank(kind, left_s)
    ),
)
POLICIES = (AS_EQUALS, STRICT, BY_PRIORITY, BY_DEADLINE, BY_VALUE, BY_BOTH)
