"""Upstreams that say in their answers that they leave."""

from dataclasses import dataclass, field
from typing import Container, NamedTuple

from teaselquay.configuration import UpstreamRecord
from teaselquay.decisions import Instant, UpstreamName

#: How long an upstream that is not listed is remembered, in seconds: longer
#: than an outage of the store.
_KEEP_S = 300.0
_MAX_REMEMBERED = 10_000


class _Departure(NamedTuple):
    """The start of the process that leaves, and when it was heard of first."""

    started_ms: int
    heard_at: Instant


@dataclass(slots=True)
class LeavingUpstreams:
    """The processes of upstreams that said that they leave.

    Load pattern: upstreams leave while the store, which lists that as well, is
    away or behind. What a process said holds until another one is listed under
    its name: no silence and no entry of the same process ends it.

    >>> leaving = LeavingUpstreams()
    >>> leaving.record(UpstreamName('up'), 5, Instant(0.0))
    True
    >>> leaving.record(UpstreamName('up'), 4, Instant(1.0))
    False
    """

    _by_name: dict[UpstreamName, _Departure] = field(default_factory=dict)

    def record(
        self, upstream: UpstreamName, started_ms: int, now: Instant
    ) -> bool:
        """Record that a process leaves; return whether that is news."""
        known = self._by_name.get(upstream)
        if known is not None and started_ms <= known.started_ms:
            return False
        self._by_name.pop(upstream, None)
        self._by_name[upstream] = _Departure(started_ms, now)
        if len(self._by_name) > _MAX_REMEMBERED:
            self._by_name.pop(next(iter(self._by_name)))
        return True

    def includes(self, record: UpstreamRecord) -> bool:
        """Return whether the process in `record` leaves."""
        known = self._by_name.get(record.name)
        return known is not None and record.started_ms <= known.started_ms

    def start_of(self, upstream: UpstreamName) -> int | None:
        """Return the start of the process that leaves, None if none does."""
        known = self._by_name.get(upstream)
        return None if known is None else known.started_ms

    def discard(self, upstream: UpstreamName) -> None:
        """Forget `upstream`, as another process has its name."""
        self._by_name.pop(upstream, None)

    def forget_missing(
        self, listed: Container[UpstreamName], now: Instant
    ) -> None:
        """Forget upstreams that are not in `listed`, in time.

        An entry that expired during an outage of the store may come back.
        """
        expired = [
            name
            for name, departure in self._by_name.items()
            if name not in listed and now - departure.heard_at >= _KEEP_S
        ]
        for name in expired:
            self._by_name.pop(name)
