"""Upstreams that asked this VM for rest."""

from dataclasses import dataclass, field
from random import Random
from typing import Iterable

from teaselquay.decisions import Instant, UpstreamName

#: Longest rest in seconds that an upstream can ask for at once. It may ask
#: again with its next answer, so that a wrong value does not bind for long.
MAX_REST_S = 120.0
#: Part by which a rest is prolonged at most, at random, and the limit of that
#: in seconds. VMs that were turned away together do not return together.
_SPREAD = 0.1
_MAX_SPREAD_S = 0.5


@dataclass(slots=True)
class RestingUpstreams:
    """The upstreams that want no requests of this VM for a time.

    Load pattern: upstreams are full and turn requests away, each VM's with a
    time of its own. What an upstream asked for holds until that time, also if
    its process starts again meanwhile.

    >>> resting = RestingUpstreams(Random(1))
    >>> resting.record(UpstreamName('up'), 5.0, Instant(0.0))
    True
    >>> resting.includes(UpstreamName('up'), Instant(4.9))
    True
    >>> resting.includes(UpstreamName('up'), Instant(5.6))
    False
    """

    random: Random
    _until_by_name: dict[UpstreamName, Instant] = field(default_factory=dict)

    def record(
        self, upstream: UpstreamName, rest_s: float, now: Instant
    ) -> bool:
        """Record that `upstream` wants nothing for `rest_s` seconds.

        An earlier request for a longer rest stays in force. Return whether
        the upstream did not rest before.
        """
        is_news = not self.includes(upstream, now)
        rest_s = min(rest_s, MAX_REST_S)
        spread_s = min(rest_s * _SPREAD, _MAX_SPREAD_S) * self.random.random()
        until = Instant(now + rest_s + spread_s)
        known = self._until_by_name.get(upstream, until)
        self._until_by_name[upstream] = max(known, until)
        return is_news

    def includes(self, upstream: UpstreamName, now: Instant) -> bool:
        """Return whether `upstream` rests at `now`."""
        until = self._until_by_name.get(upstream)
        return until is not None and now < until

    def names(self, now: Instant) -> frozenset[UpstreamName]:
        """Return the upstreams that rest at `now`, and forget the others."""
        if self._until_by_name:
            self._until_by_name = {
                name: until
                for name, until in self._until_by_name.items()
                if now < until
            }
        return frozenset(self._until_by_name)

    def left_s(
        self, upstreams: Iterable[UpstreamName], now: Instant
    ) -> float | None:
        """Return the seconds until the first of `upstreams` ends its rest.

        Return None if none of them rests.
        """
        ends = [
            self._until_by_name[name]
            for name in upstreams
            if self.includes(name, now)
        ]
        return min(ends) - now if ends else None
