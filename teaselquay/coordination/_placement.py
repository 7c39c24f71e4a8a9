"""Placement requests, their results, and the outcomes of attempts."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from teaselquay.decisions import UpstreamName, VmName, ZoneName

#: Number of one attempt, unique in the fleet.
Ticket = NewType('Ticket', int)
#: Value of a VM name that is not set.
NO_VM = VmName('')
#: Least urgent priority that is admitted, if all are.
ALL_PRIORITIES = 255


class Outcome(Enum):
    """How an attempt at an upstream ended."""

    SERVED = 'served'
    #: The upstream returned an error response.
    FAILED = 'failed'
    #: The connection broke, or the response was incomplete.
    BROKEN = 'broken'
    #: No response arrived in time.
    TIMED_OUT = 'timed-out'
    #: The upstream rejected the request without running it.
    SHED = 'shed'
    #: The address now belongs to another upstream.
    MISDIRECTED = 'misdirected'
    #: No connection could be established.
    UNREACHABLE = 'unreachable'
    #: The caller disconnected, another attempt was answered first, or the
    #: upstream left before the request was sent.
    CANCELLED = 'cancelled'
    #: The request was refused before an upstream was chosen.
    REFUSED = 'refused'


FAILURE_OUTCOMES = frozenset(
    (Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT)
)


class RefusalReason(Enum):
    """Why a request was not placed."""

    NO_UPSTREAM = 'no-upstream'
    #: The upstreams are full.
    OVERLOADED = 'overloaded'
    #: The upstreams shed much of what they are sent.
    SHEDDING = 'shedding'
    REPEAT_BUDGET = 'repeat-budget'
    #: The upstreams that are left name limits, and have got what they take.
    RATE_LIMITED = 'rate-limited'
    #: The upstreams that are left asked for rest.
    RESTING = 'resting'
    QUARANTINED = 'quarantined'
    #: The VM that asks stops before the request would be done.
    STOPPING = 'stopping'


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """An attempt for which an upstream is to be chosen.

    `may_repeat` says that another attempt may follow if this one fails.
    `left_s` is the time to the deadline and `target_left_s` the time to the
    target latency, until which a response has its full value; both are in
    seconds. `octets` is the number of bytes to transfer. `priority` 0 is the
    most urgent. `work_s` is the expected processing time of the route, 0 if
    it is unknown: the mean of the service is then used.
    """

    ticket: Ticket
    zone: ZoneName
    may_repeat: bool
    left_s: float
    target_left_s: float
    octets: int = 0
    is_repeat: bool = False
    #: Whether the route allows no further attempt.
    is_last: bool = False
    excluded: frozenset[UpstreamName] = frozenset()
    #: Upstreams to which the requesting VM has an idle connection.
    connected: frozenset[UpstreamName] = frozenset()
    fingerprint: bytes = b''
    priority: int = 1
    work_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream to use, and the scheduler's estimates of it."""

    upstream: UpstreamName
    in_spell: float
    in_flight: int
    #: Time since the last outcome that `in_spell` is based on.
    evidence_age_s: float = 0.0
    #: The VM that decided.
    placed_by: VmName = NO_VM
    #: Whether that VM knows of a limit of the upstream.
    is_rate_limited: bool = False
    #: Least urgent priority that it admits.
    least_urgent: int = ALL_PRIORITIES


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """Why a request must not be sent now, and when to retry it."""

    reason: RefusalReason
    retry_after_s: float
    #: The VM that decided.
    placed_by: VmName = NO_VM
    #: Least urgent priority that it admits.
    least_urgent: int = ALL_PRIORITIES
