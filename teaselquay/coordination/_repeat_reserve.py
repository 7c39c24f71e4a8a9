"""The part of the repeat budget that is kept for more urgent requests."""

from dataclasses import dataclass, field

from teaselquay.coordination._shedding import RateEstimate
from teaselquay.decisions import Instant

#: Time in seconds for whose needs repeats are kept. The needs are measured
#: over the same time, so that the reserve ends soon after they do.
_RESERVE_S = 0.5


@dataclass(slots=True)
class RepeatReserve:
    """Repeats that less urgent requests leave to more urgent ones.

    Load pattern: all upstreams shed half of what they are sent, and the
    budget of repeats covers a fraction of that. As many repeats are kept as
    more urgent requests have recently asked for.
    """

    _needs: dict[int, RateEstimate] = field(default_factory=dict)

    def record(self, priority: int, now: Instant) -> None:
        """Record a request of `priority` that asked for a repeat."""
        if priority not in self._needs:
            self._needs[priority] = RateEstimate(_RESERVE_S)
        self._needs[priority].record(now)

    def kept(self, priority: int, capacity: float, now: Instant) -> float:
        """Return the repeats that a request of `priority` must leave.

        They fit into a budget of `capacity`, of which a request may always
        spend what would otherwise be lost.
        """
        needed = sum(
            need.per_s(now)
            for urgent, need in self._needs.items()
            if urgent < priority
        )
        return min(needed * _RESERVE_S, capacity - 1)
