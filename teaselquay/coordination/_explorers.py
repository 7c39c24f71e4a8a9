"""Which requests of a service try upstreams in doubtful condition."""

from dataclasses import dataclass, field

from teaselquay.coordination._shedding import RateEstimate
from teaselquay.decisions import Instant

#: Share of the likely healthy upstreams that the explorers must suffice for,
#: and the time in seconds in which each needs a request to count as used.
_USED_SHARE = 0.8
_USED_WITHIN_S = 1.6
#: Time in seconds for which a choice of explorers is used.
_CHOICE_S = 0.1

#: Cost of a failure: first whether it is final, then the urgency. The smallest
#: costs least.
_Cost = tuple[bool, int]


@dataclass(slots=True)
class ExplorerChoice:
    """The requests of a service whose failure costs least.

    Load pattern: some upstreams fail most requests for seconds while their
    health checks pass, and the first request that fails cannot be foreseen.
    Requests that may be repeated lose little, the least urgent lose less than
    others. If there are not enough of these, all requests explore.
    """

    _rates: dict[_Cost, RateEstimate] = field(default_factory=dict)
    _highest: _Cost | None = None
    _chosen_until: Instant = Instant(0.0)

    def record(self, may_repeat: bool, priority: int, now: Instant) -> None:
        """Record a request."""
        cost = (not may_repeat, -priority)
        if cost not in self._rates:
            self._rates[cost] = RateEstimate()
        self._rates[cost].record(now)

    def includes(
        self,
        may_repeat: bool,
        priority: int,
        healthy_count: int,
        now: Instant,
    ) -> bool:
        """Return whether such a request explores, of so many upstreams."""
        if now >= self._chosen_until:
            self._highest = self._choose(healthy_count, now)
            self._chosen_until = Instant(now + _CHOICE_S)
        if self._highest is None:
            return True
        return (not may_repeat, -priority) <= self._highest

    def _choose(self, healthy_count: int, now: Instant) -> _Cost | None:
        """Return the highest cost of the explorers, None for all requests."""
        needed_per_s = healthy_count * _USED_SHARE / _USED_WITHIN_S
        for cost in sorted(self._rates):
            needed_per_s -= self._rates[cost].per_s(now)
            if needed_per_s <= 0:
                return cost
        return None
