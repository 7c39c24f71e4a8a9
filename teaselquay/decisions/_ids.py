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
#: Revision of the whole store; each write increments it by one.
Revision = NewType('Revision', int)
#: Number of a process on one VM; a later process has a greater number.
Incarnation = NewType('Incarnation', int)
#: Seconds on a monotonic clock that includes suspended time.
Instant = NewType('Instant', float)

NO_REVISION = Revision(0)
