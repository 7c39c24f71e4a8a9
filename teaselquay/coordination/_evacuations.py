"""Availability zones whose upstreams get no new requests."""

from dataclasses import dataclass, field
from typing import Iterator, NamedTuple

from teaselquay.decisions import Instant, Revision, ZoneName

#: Zones that are remembered at most. Operators may name zones that do not
#: exist, and a fleet has fewer than ten.
_MAX_ZONES = 100


class Evacuation(NamedTuple):
    """The write that asked for it, and when this VM learned of it."""

    revision: Revision
    since: Instant


@dataclass(slots=True)
class EvacuatedZones:
    """The zones that operators emptied.

    Load pattern: operators empty a zone under full load, so that its upstreams
    finish what they have and get nothing more.
    """

    _by_zone: dict[ZoneName, Evacuation] = field(default_factory=dict)

    def __contains__(self, zone: ZoneName) -> bool:
        """Return whether `zone` is evacuated."""
        return zone in self._by_zone

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._by_zone)

    def __iter__(self) -> Iterator[ZoneName]:
        """Yield the evacuated zones."""
        return iter(self._by_zone)

    def begin(self, zone: ZoneName, revision: Revision, now: Instant) -> bool:
        """Evacuate `zone`; return whether it was not evacuated before."""
        if zone in self._by_zone or len(self._by_zone) >= _MAX_ZONES:
            return False
        self._by_zone[zone] = Evacuation(revision, now)
        return True

    def end(self, zone: ZoneName) -> Evacuation | None:
        """Use `zone` again; return its evacuation, or None without one."""
        return self._by_zone.pop(zone, None)
