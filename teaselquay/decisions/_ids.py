"""Identifier types shared by every package."""

from typing import NewType

VmName = NewType('VmName', str)
ZoneName = NewType('ZoneName', str)
TeamName = NewType('TeamName', str)
RouteName = NewType('RouteName', str)
ServiceName = NewType('ServiceName', str)
UpstreamName = NewType('UpstreamName', str)
#: Hexadecimal SHA-256 digest of an API key.
KeyHash = NewType('KeyHash', str)
PartitionId = NewType('PartitionId', int)
#: Number of times that a store was restored from a copy, 0 if it never says.
Era = NewType('Era', int)
#: Position in the history of the whole store. Within an era each write
#: increments it by one; those of a later era compare greater.
Revision = NewType('Revision', int)
#: Number of a process on one VM; a later process has a greater number.
Incarnation = NewType('Incarnation', int)
#: Seconds on a monotonic clock that includes suspended time.
Instant = NewType('Instant', float)

NO_REVISION = Revision(0)

#: The lower bits of a revision hold its number within its era.
_NUMBER_BITS = 44
_MAX_NUMBER = (1 << _NUMBER_BITS) - 1
#: Eras beyond this one do not fit into the 64 bits of a message.
MAX_ERA = Era((1 << 19) - 1)


def revision_at(era: int, number: int) -> Revision:
    """Return the revision with `number` within `era`.

    >>> revision_at(1, 90) < revision_at(2, 3)
    True

    Raises:
        ValueError: `era` or `number` is negative or too large.
    """
    if not (0 <= era <= MAX_ERA and 0 <= number <= _MAX_NUMBER):
        raise ValueError(f'no revision: {number} of era {era}')
    return Revision((era << _NUMBER_BITS) + number)


def era_of(revision: Revision) -> Era:
    """Return the era of `revision`."""
    return Era(revision >> _NUMBER_BITS)


def number_of(revision: Revision) -> int:
    """Return the number of `revision` within its era."""
    return revision & _MAX_NUMBER
