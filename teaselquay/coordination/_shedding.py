"""Whether the upstreams of a service shed much of what they are sent."""

from collections import deque
from dataclasses import dataclass, field
from math import exp

from teaselquay.decisions import Instant

#: Length of the window of recent sends, in seconds, and the number of sends
#: that fewer are taken for.
_WINDOW_S = 0.6
_MIN_SENDS = 12
#: Share of shed sends above which a service counts as shedding. Fewer are
#: made up for by second attempts.
_SHEDDING_SHARE = 0.25
#: Time constant of the estimated rate of requests, in seconds.
_RATE_TIME_S = 2.0


@dataclass(slots=True)
class ShedMonitor:
    """Share of recent sends that the upstreams of a service shed.

    Load pattern: all upstreams of a service turn away half of what arrives,
    for some seconds. A send counts once it was shed, or once it has been
    pending for longer than upstreams take to shed a request.
    """

    _sends: deque[tuple[Instant, bool]] = field(default_factory=deque)
    _shed_count: int = 0

    def record(self, was_shed: bool, now: Instant) -> None:
        """Record one send that was shed or accepted."""
        self._sends.append((now, was_shed))
        self._shed_count += was_shed
        self._forget_before(Instant(now - _WINDOW_S))

    def is_shedding(self, now: Instant) -> bool:
        """Return whether the upstreams shed a large share of recent sends."""
        self._forget_before(Instant(now - _WINDOW_S))
        count = len(self._sends)
        return self._shed_count > max(_MIN_SENDS, count) * _SHEDDING_SHARE

    def _forget_before(self, begin: Instant) -> None:
        while self._sends and self._sends[0][0] < begin:
            self._shed_count -= self._sends.popleft()[1]


@dataclass(slots=True)
class RateEstimate:
    """Exponentially weighted rate of events."""

    time_s: float = _RATE_TIME_S
    _weight: float = 0.0
    _as_of: Instant = Instant(0.0)

    def record(self, now: Instant) -> None:
        """Record one event."""
        self._weight = self._decayed(now) + 1
        self._as_of = now

    def per_s(self, now: Instant) -> float:
        """Return the rate in events per second."""
        return self._decayed(now) / self.time_s

    def _decayed(self, now: Instant) -> float:
        elapsed_s = max(0, now - self._as_of)
        return self._weight * exp(-elapsed_s / self.time_s)
