"""What a scheduler knows of one upstream."""

from dataclasses import dataclass, field

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._belief import Belief
from teaselquay.decisions import Instant, VmName

#: How long VMs that could not reach an upstream speak against it.
_UNREACHABLE_S = 3.0
#: VMs that must agree that an upstream cannot be reached: one alone may
#: have a broken path of its own.
_UNREACHABLE_VMS = 2
#: An upstream that got nothing for so long is without work, in seconds: the
#: users look at spans of two seconds.
_UNUSED_S = 1.6
#: One that failed is left alone for so long, in seconds: most spells are over,
#: and the users count it as sound from two seconds on, of which they look at
#: spans of two seconds.
_RESTED_S = 3.6
#: How many times longer a cold upstream works, as the users' servers do.
_COLD_FACTOR = 2.0
#: An upstream is not taken as faster than this part of its service's usual
#: time, since a few quick answers are chance.
_LEAST_SLOWNESS = 0.3


@dataclass(slots=True)
class Knowledge:
    """Load, latency and beliefs of one upstream."""

    belief: Belief
    #: The start of the upstream that this is about.
    started_ms: int = 0
    in_flight: int = 0
    last_used: Instant = Instant(0.0)
    #: Running mean of its latency, divided by the service's.
    slowness: float = 1.0
    shed_until: Instant = Instant(0.0)
    unreachable: dict[VmName, Instant] = field(default_factory=dict)

    def is_unreachable(self, now: Instant) -> bool:
        """Return whether several VMs could not reach it just now."""
        recent = [
            told
            for told in self.unreachable.values()
            if now - told < _UNREACHABLE_S
        ]
        return len(recent) >= _UNREACHABLE_VMS

    def is_used(self, now: Instant) -> bool:
        """Return whether it got work a short time ago."""
        return now - self.last_used < _UNUSED_S

    def is_worth_a_try(self, now: Instant) -> bool:
        """Return whether it has been without work for too long.

        Load pattern: many requests fail or are refused. Were upstreams
        tried again as soon as their failures, each try would add to the
        failures that call for more of them.
        """
        is_rested = now - self.belief.last_failure >= _RESTED_S
        return is_rested and not self.is_used(now)

    def expected_s(
        self, upstream: UpstreamRecord, mean_latency_s: float
    ) -> float:
        """Return the expected wait and work at `upstream`, in seconds.

        `mean_latency_s` is the usual time of its service.
        """
        work_s = mean_latency_s * max(_LEAST_SLOWNESS, self.slowness)
        if upstream.warmup_left_s > 0:
            work_s *= _COLD_FACTOR
        ahead = max(0, self.in_flight + 1 - upstream.slots)
        return work_s * (1 + ahead / upstream.slots)
