"""Recognise what a store restored from a copy has forgotten."""

from dataclasses import dataclass, field
from typing import Iterable, NamedTuple

from teaselquay.configuration import FleetConfiguration, UpstreamRecord
from teaselquay.decisions import Entry, Era, Instant, UpstreamName, era_of

#: Time in seconds after a restore in which older content does not replace newer
#: content. Operators and upstreams write theirs again meanwhile; afterwards the
#: store is right.
_GUARD_S = 60.0
#: Time in seconds for which upstreams that left are remembered: longer than a
#: copy is old.
_DEPARTURE_TTL_S = 300.0
_MAX_DEPARTURES = 10_000
_NEVER = Instant(float('-inf'))


class _Departure(NamedTuple):
    """The last record of an upstream that left, and when it did."""

    record: UpstreamRecord
    at: Instant


@dataclass(slots=True)
class RestoreGuard:
    """Tells entries of a copy from newer ones by what they contain.

    Load pattern: the store comes back from a copy that is some seconds old.
    Versions that were replaced and upstreams that left are back in it, until
    they are written again.

    >>> from teaselquay.decisions import revision_at
    >>> guard = RestoreGuard()
    >>> guard.observe([Entry('a', b'1', revision_at(1, 9))], Instant(0.0))
    >>> guard.observe([Entry('a', b'1', revision_at(2, 4))], Instant(5.0))
    >>> guard.is_active(Instant(6.0)), guard.is_active(Instant(66.0))
    (True, False)
    """

    _era: Era | None = None
    _restored_at: Instant = _NEVER
    _departures_by_name: dict[UpstreamName, _Departure] = field(
        default_factory=dict
    )

    def observe(self, entries: Iterable[Entry], now: Instant) -> None:
        """Record whether `entries` are the first ones of a later era."""
        era = max((era_of(entry.revision) for entry in entries), default=None)
        if era is None:
            return
        if self._era is not None and era > self._era:
            self._restored_at = now
        self._era = max(era, self._era or era)

    def is_active(self, now: Instant) -> bool:
        """Return whether the store was restored a short time ago."""
        return now - self._restored_at < _GUARD_S

    def stable_s(self, store_stable_s: float, now: Instant) -> float:
        """Return the seconds since the last outage or restore of the store."""
        return min(store_stable_s, now - self._restored_at)

    def record_departure(self, record: UpstreamRecord, now: Instant) -> None:
        """Remember the last `record` of an upstream that left."""
        departures = self._departures_by_name
        departures.pop(record.name, None)
        departures[record.name] = _Departure(record, now)
        if len(departures) > _MAX_DEPARTURES:
            departures.pop(next(iter(departures)))

    def forget_departures(self, now: Instant) -> None:
        """Forget upstreams that left long ago."""
        departures = self._departures_by_name
        while departures:
            oldest = next(iter(departures.values()))
            if now - oldest.at < _DEPARTURE_TTL_S:
                return
            departures.pop(oldest.record.name)

    def is_older_configuration(
        self,
        stored: FleetConfiguration,
        in_force: FleetConfiguration,
        now: Instant,
    ) -> bool:
        """Return whether `stored` is a copy from before `in_force`."""
        return self.is_active(now) and stored.version < in_force.version

    def is_older_upstream(
        self,
        stored: UpstreamRecord,
        known: UpstreamRecord | None,
        now: Instant,
    ) -> bool:
        """Return whether `stored` is a copy from before what is known.

        `known` is the current record, or None if the upstream is not listed.
        One that left has written nothing since if its sequence is the same.
        """
        if not self.is_active(now):
            return False
        if known is not None:
            return _age_key(stored) < _age_key(known)
        departure = self._departures_by_name.get(stored.name)
        if departure is None:
            return False
        return _age_key(stored) <= _age_key(departure.record)


def _age_key(record: UpstreamRecord) -> tuple[int, int]:
    """Return a key that grows with each write of an upstream."""
    return record.started_ms, record.sequence
