"""Choice of the upstreams that one placement compares."""

from dataclasses import dataclass, field
from random import Random
from typing import Sequence

from teaselquay.configuration import UpstreamRecord
from teaselquay.decisions import UpstreamName, ZoneName

#: Services with at most this many upstreams are compared completely.
MAX_COMPARED = 32
#: Upstreams of a larger service that are drawn for each request: from its own
#: zone, and from all zones.
_ZONE_SAMPLE = 8
_SAMPLE = 8
#: Upstreams with an idle connection of the requesting VM that are added.
_MAX_CONNECTED = 4


@dataclass(slots=True)
class _ShuffledDeck:
    """Draws from a shuffled list, which is shuffled again when it is used up.

    Drawing takes constant time on average for each upstream drawn.
    """

    records: list[UpstreamRecord]
    position: int = 0

    def draw(self, count: int, random: Random) -> list[UpstreamRecord]:
        """Return the next `count` upstreams, or all if there are fewer."""
        if len(self.records) <= count:
            return self.records
        if self.position + count > len(self.records):
            random.shuffle(self.records)
            self.position = 0
        begin = self.position
        self.position += count
        return self.records[begin : self.position]


@dataclass(slots=True)
class CandidateSampler:
    """Draws the upstreams that a placement compares.

    Load pattern: a service with many upstreams and requests. Comparing a
    bounded random sample ("power of d choices") balances the load nearly as
    well as comparing all, at a cost that does not depend on their number.
    Half of the sample is from the zone of the request.
    """

    random: Random
    _all: _ShuffledDeck = field(default_factory=lambda: _ShuffledDeck([]))
    _by_zone: dict[ZoneName, _ShuffledDeck] = field(default_factory=dict)
    _by_name: dict[UpstreamName, UpstreamRecord] = field(default_factory=dict)

    def replace_records(self, records: Sequence[UpstreamRecord]) -> None:
        """Draw from `records` from now on."""
        self._by_name = {record.name: record for record in records}
        self._all = self._shuffled(records)
        by_zone: dict[ZoneName, list[UpstreamRecord]] = {}
        for record in records:
            by_zone.setdefault(record.zone, []).append(record)
        self._by_zone = {
            zone: self._shuffled(members) for zone, members in by_zone.items()
        }

    def draw(
        self,
        zone: ZoneName,
        connected: frozenset[UpstreamName],
        due: Sequence[UpstreamName],
    ) -> list[UpstreamRecord]:
        """Return the upstreams to compare for a request from `zone`.

        Besides the sample, these are the upstreams in `due` and some of
        those in `connected`.
        """
        if len(self._by_name) <= MAX_COMPARED:
            return self._all.records
        drawn = self._all.draw(_SAMPLE, self.random)
        chosen = {record.name: record for record in drawn}
        deck = self._by_zone.get(zone)
        if deck is not None:
            for record in deck.draw(_ZONE_SAMPLE, self.random):
                chosen[record.name] = record
        for name in (*tuple(connected)[:_MAX_CONNECTED], *due):
            known = self._by_name.get(name)
            if known is not None:
                chosen[name] = known
        return list(chosen.values())

    def _shuffled(self, records: Sequence[UpstreamRecord]) -> _ShuffledDeck:
        deck = _ShuffledDeck(list(records))
        self.random.shuffle(deck.records)
        return deck
