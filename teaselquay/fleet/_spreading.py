"""Spreads what has changed over a zone, by way of VMs that pass it on."""

import asyncio
from dataclasses import dataclass, field
from math import isqrt
from random import Random
from typing import Any, Callable, Coroutine, Sequence

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Revision, VmName
from teaselquay.events import Event, Journal
from teaselquay.fleet._directory import Directory
from teaselquay.shells import Clock, PeerLink, fields_bytes

#: Values that one VM sends in a second to spread a change: 4 Mbit/s, four
#: fifths of the smallest link of the users' VMs.
_PACE_BYTES_PER_S = 500_000
#: Messages with fewer bytes of values are sent without a pause between them.
#: Twenty of them fill half of a queue of 32 KiB.
_UNPACED_BYTES = 800
#: VMs that are told by a reader itself at least: one that is away costs the
#: others of its group half a second.
_LEAST_GROUPS = 4


@dataclass(slots=True)
class Spreader:
    """Tells the VMs of a zone what has changed, each by one other at most.

    Load pattern: each change concerns all VMs at the same moment, and one
    link carries only so much in a burst. A reader tells about as many VMs
    as the root of their number, and each of these tells as many. What
    changes while a change is being told goes with the next round, so that
    nothing waits behind a version that nobody needs any more.
    """

    record: VmRecord
    link: PeerLink
    directory: Directory
    clock: Clock
    random: Random
    journal: Journal
    #: Returns what this VM knows beyond a revision, as fields of a message.
    fields_since: Callable[[Revision], dict[str, Any]]
    _untold_since: Revision | None = None
    _is_telling: bool = False
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    def tell_changes(self, since: Revision) -> None:
        """Tell the zone and the other zones' readers what came after."""
        if self._untold_since is not None:
            since = min(since, self._untold_since)
        self._untold_since = since
        if not self._is_telling:
            self._is_telling = True
            self._spawn(self._tell_rounds())

    def tell_age(self, revision: Revision) -> None:
        """Tell the same VMs that `revision` is the newest."""
        targets = (*self._zone(), *self._other_readers())
        self._send(targets, self.fields_since(revision))

    def pass_on(self, body: Any) -> None:
        """Tell the VMs that `body` names what it says."""
        fields = _copied_fields(body)
        groups = [[VmName(name)] for name in body.relays]
        self._spawn(self._send_paced(groups, fields))

    async def _tell_rounds(self) -> None:
        try:
            while self._untold_since is not None:
                since = self._untold_since
                self._untold_since = None
                await self._tell_round(since)
        finally:
            self._is_telling = False

    async def _tell_round(self, since: Revision) -> None:
        fields = self.fields_since(since)
        groups = [[name] for name in self._other_readers()]
        groups.extend(relay_groups(self._zone()))
        octets = await self._send_paced(groups, fields)
        self.journal.emit(
            Event.CHANGES_TOLD,
            since=since,
            upto=fields['upto'],
            vms=sum(map(len, groups)),
            datagrams=len(groups),
            sent_bytes=octets,
        )

    async def _send_paced(
        self,
        groups: Sequence[Sequence[VmName]],
        fields: dict[str, Any],
    ) -> int:
        """Send `fields` to the first VM of each group, to be passed on.

        Returns how many bytes were sent.
        """
        octets = 0
        length = fields_bytes(fields)
        pause_s = length / _PACE_BYTES_PER_S if length > _UNPACED_BYTES else 0
        for head, *rest in groups:
            octets += self._send((head,), {**fields, 'relays': rest})
            if pause_s:
                await asyncio.sleep(pause_s)
        return octets

    def _send(self, names: Sequence[VmName], fields: dict[str, Any]) -> int:
        found = map(self.directory.address, names)
        addresses = [address for address in found if address is not None]
        return len(addresses) * self.link.send_to_all(
            addresses, 'changed', fields
        )

    def _zone(self) -> list[VmName]:
        """Return the other VMs of the zone, those that seem away last."""
        now = self.clock.now()
        names = [
            name
            for name in self.directory.others()
            if self.directory.records_by_name[name].zone == self.record.zone
        ]
        self.random.shuffle(names)
        names.sort(key=lambda name: not self.directory.is_askable(name, now))
        return names

    def _other_readers(self) -> list[VmName]:
        now = self.clock.now()
        zones = self.directory.zones()
        readers = {
            self.directory.reader_of(zone, now)
            for zone in zones
            if zone != self.record.zone
        }
        return [name for name in readers if name is not None]

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def relay_groups(names: Sequence[VmName]) -> list[list[VmName]]:
    """Return `names` in as many groups as each has members, nearly.

    The first names become the first ones of the groups.

    >>> relay_groups(['a', 'b', 'c', 'd', 'e', 'f'])
    [['a', 'e'], ['b', 'f'], ['c'], ['d']]
    """
    count = max(isqrt(len(names)), min(len(names), _LEAST_GROUPS))
    return [list(names[first::count]) for first in range(count)]


def _copied_fields(body: Any) -> dict[str, Any]:
    entries = [
        {
            'key': entry.key,
            'value': bytes(entry.value),
            'revision': entry.revision,
            'base': entry.base,
            'isPacked': entry.isPacked,
        }
        for entry in body.entries
    ]
    return {
        'since': body.since,
        'upto': body.upto,
        'entries': entries,
        'revision': body.revision,
        'storeAgeMs': body.storeAgeMs,
        'storeSettledMs': body.storeSettledMs,
    }
