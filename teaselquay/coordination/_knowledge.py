"""Statistics that a scheduler keeps about one upstream."""

from dataclasses import dataclass, field

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._belief import Belief
from teaselquay.decisions import Instant, UpstreamName, VmName

#: How long a VM's report of an unreachable upstream counts, in seconds.
_UNREACHABLE_REPORT_TTL_S = 3.0
#: VMs that must report an upstream as unreachable before it is avoided: a
#: single VM may have a network fault of its own.
_MIN_UNREACHABLE_REPORTERS = 2
#: An upstream without a new request for this long is idle, in seconds: the
#: users check windows of two seconds.
_IDLE_AFTER_S = 1.6
#: Time after a failure before an upstream is explored again, in seconds. Most
#: spells have ended by then. The users count an upstream as healthy two seconds
#: after a spell, and check windows of two seconds from then on.
REPROBE_DELAY_S = 3.6
#: Latency of an upstream that is warming up, as a multiple of its usual one, as
#: on the users' servers.
_WARMUP_LATENCY_FACTOR = 2.0
#: Lower bound of an upstream's latency relative to its service's mean, since a
#: few fast responses may be chance.
_MIN_RELATIVE_LATENCY = 0.3


@dataclass(slots=True)
class UpstreamStats:
    """Load, latency and failure belief of one upstream."""

    belief: Belief
    #: Unix time of the upstream start that these statistics are about.
    started_ms: int = 0
    in_flight: int = 0
    last_used_at: Instant = Instant(0.0)
    #: Running mean of its latency divided by the service's mean.
    relative_latency: float = 1.0
    shed_until: Instant = Instant(0.0)
    unreachable_reports: dict[VmName, Instant] = field(default_factory=dict)

    def is_unreachable(self, now: Instant) -> bool:
        """Return whether enough VMs recently failed to connect to it."""
        if len(self.unreachable_reports) < _MIN_UNREACHABLE_REPORTERS:
            return False
        recent = [
            reported_at
            for reported_at in self.unreachable_reports.values()
            if now - reported_at < _UNREACHABLE_REPORT_TTL_S
        ]
        return len(recent) >= _MIN_UNREACHABLE_REPORTERS

    def is_in_use(self, now: Instant) -> bool:
        """Return whether it recently received a request."""
        return now < self.idle_at()

    def idle_at(self) -> Instant:
        """Return when it becomes idle without a further request."""
        return Instant(self.last_used_at + _IDLE_AFTER_S)

    def reprobe_at(self) -> Instant:
        """Return when it may be explored after its last failure."""
        return Instant(self.belief.last_spell_failure_at + REPROBE_DELAY_S)

    def is_due_for_exploration(self, now: Instant) -> bool:
        """Return whether it is idle and has not failed recently.

        Load pattern: many requests fail or are refused. If upstreams were
        explored right after a failure, further failures would raise the
        exploration bonus and cause even more exploration.
        """
        return now >= self.reprobe_at() and not self.is_in_use(now)

    def expected_latency_s(
        self,
        upstream: UpstreamRecord,
        mean_latency_s: float,
    ) -> float:
        """Return the expected queueing and processing time, in seconds.

        `mean_latency_s` is the mean latency of the service.
        """
        relative = self.relative_latency
        if relative < _MIN_RELATIVE_LATENCY:
            relative = _MIN_RELATIVE_LATENCY
        work_s = mean_latency_s * relative
        if upstream.warmup_left_s > 0:
            work_s *= _WARMUP_LATENCY_FACTOR
        queued = self.in_flight + 1 - upstream.slots
        if queued <= 0:
            return work_s
        return work_s * (1 + queued / upstream.slots)


@dataclass(frozen=True, slots=True)
class UnusedUpstream:
    """An upstream that recently received no request, and what is known of it.

    Times are in seconds, and infinite for what never happened.
    """

    name: UpstreamName
    in_spell: float
    unused_s: float
    failed_s_ago: float
    is_unreachable: bool
