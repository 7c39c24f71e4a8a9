"""Which priorities of a service are served far less often than all."""

from dataclasses import dataclass, field
from math import exp

from teaselquay.decisions import Instant

#: Time constant of the counts, in seconds: shorter than a usual time of
#: shedding, long enough for some tens of requests of a small kind.
_TIME_S = 4.0
#: Share of the served share of all below which a priority is starved. Callers
#: require a quarter; small teams vary around their priority's share.
_MIN_RELATIVE_SHARE = 0.5
#: Ended requests below which a share says little.
_MIN_ENDED = 8.0


@dataclass(slots=True)
class _Counts:
    served: float = 0.0
    ended: float = 0.0
    as_of: Instant = Instant(0.0)

    def record(self, is_served: bool, now: Instant) -> None:
        decay = exp(-max(0, now - self.as_of) / _TIME_S)
        self.served = self.served * decay + is_served
        self.ended = self.ended * decay + 1
        self.as_of = max(now, self.as_of)


@dataclass(slots=True)
class ServedShares:
    """Shares of the recent requests of each priority that were served.

    Load pattern: more urgent requests alone need more than a service can
    process. Without a guard, the least urgent would not be served at all.
    """

    _all: _Counts = field(default_factory=_Counts)
    _by_priority: dict[int, _Counts] = field(default_factory=dict)

    def record(self, priority: int, is_served: bool, now: Instant) -> None:
        """Record a request that was served, or given up."""
        self._all.record(is_served, now)
        counts = self._by_priority.setdefault(priority, _Counts())
        counts.record(is_served, now)

    def is_starved(self, priority: int) -> bool:
        """Return whether `priority` is served far less often than all."""
        counts = self._by_priority.get(priority)
        if counts is None or counts.ended < _MIN_ENDED:
            return False
        needed = self._all.served * _MIN_RELATIVE_SHARE
        return counts.served * self._all.ended < needed * counts.ended
