"""Broadcast changes within a zone through relays."""

import asyncio
from dataclasses import dataclass, field
from math import isqrt
from random import Random
from typing import Any, Callable, Coroutine, Sequence

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Revision, VmName, number_of
from teaselquay.events import Event, Journal
from teaselquay.fleet._directory import Directory
from teaselquay.shells import Clock, PeerLink, fields_bytes

#: Rate in bytes per second at which a VM sends a change: 4 Mbit/s, four fifths
#: of the slowest link of the users' VMs.
_RATE_BYTES_PER_S = 500_000
#: Messages with at most this many bytes of values are sent without pacing.
#: Twenty of them fill half of a queue of 32 KiB.
_MAX_BURST_BYTES = 800
#: Minimum number of relay groups. A relay that is down delays the other VMs of
#: its group by half a second.
_MIN_GROUPS = 4


@dataclass(slots=True)
class ChangeBroadcaster:
    """Broadcast changes to the VMs of a zone through at most one relay each.

    Load pattern: every change concerns all VMs at once, while one link
    carries a limited burst. A reader therefore sends to about the square
    root of the number of VMs, and each of these relays the message to as
    many others. Changes that arrive during a broadcast are combined into the
    next one, so that no update queues behind a superseded version.
    """

    record: VmRecord
    link: PeerLink
    directory: Directory
    clock: Clock
    random: Random
    journal: Journal
    #: Returns the message fields with the changes after a revision.
    fields_since: Callable[[Revision], dict[str, Any]]
    _pending_since: Revision | None = None
    _is_broadcasting: bool = False
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    def broadcast_changes(self, since: Revision) -> None:
        """Send the changes after `since` to the zone and the other readers."""
        if self._pending_since is not None:
            since = min(since, self._pending_since)
        self._pending_since = since
        if not self._is_broadcasting:
            self._is_broadcasting = True
            self._spawn(self._broadcast_pending())

    def broadcast_freshness(self, revision: Revision) -> None:
        """Tell the zone and the other readers that `revision` is current."""
        targets = (*self._zone_peers(), *self._remote_readers())
        self._send(targets, self.fields_since(revision))

    def tell_changes(self, vm: VmName, since: Revision) -> None:
        """Send the changes after `since` to `vm` alone."""
        self._send((vm,), self.fields_since(since))

    def relay(self, body: Any) -> None:
        """Forward `body` to the VMs that it names as relay targets."""
        fields = _relayed_fields(body)
        groups = [[VmName(name)] for name in body.relays]
        self._spawn(self._send_paced(groups, fields))

    async def _broadcast_pending(self) -> None:
        try:
            while self._pending_since is not None:
                since = self._pending_since
                self._pending_since = None
                await self._broadcast(since)
        finally:
            self._is_broadcasting = False

    async def _broadcast(self, since: Revision) -> None:
        fields = self.fields_since(since)
        groups = [[name] for name in self._remote_readers()]
        groups.extend(relay_groups(self._zone_peers()))
        sent_bytes = await self._send_paced(groups, fields)
        self.journal.emit(
            Event.CHANGES_TOLD,
            since=number_of(since),
            upto=fields['upto'],
            era=fields['uptoEra'],
            vms=sum(map(len, groups)),
            datagrams=len(groups),
            sent_bytes=sent_bytes,
        )

    async def _send_paced(
        self,
        groups: Sequence[Sequence[VmName]],
        fields: dict[str, Any],
    ) -> int:
        """Send `fields` to the first VM of each group, the relay.

        The relay forwards them to the rest of its group. Return the number of
        bytes sent.
        """
        sent_bytes = 0
        length = fields_bytes(fields)
        pause_s = length / _RATE_BYTES_PER_S if length > _MAX_BURST_BYTES else 0
        for relay, *targets in groups:
            sent_bytes += self._send((relay,), {**fields, 'relays': targets})
            if pause_s:
                await asyncio.sleep(pause_s)
        return sent_bytes

    def _send(self, names: Sequence[VmName], fields: dict[str, Any]) -> int:
        resolved = map(self.directory.address, names)
        addresses = [address for address in resolved if address is not None]
        return len(addresses) * self.link.send_to_all(
            addresses, 'changed', fields
        )

    def _zone_peers(self) -> list[VmName]:
        """Return the other VMs of the zone in random order, suspected last."""
        now = self.clock.now()
        names = [
            name
            for name in self.directory.others()
            if self.directory.records_by_name[name].zone == self.record.zone
        ]
        self.random.shuffle(names)
        names.sort(key=lambda name: not self.directory.is_available(name, now))
        return names

    def _remote_readers(self) -> list[VmName]:
        now = self.clock.now()
        zones = self.directory.zones()
        readers = {
            self.directory.store_reader(zone, now)
            for zone in zones
            if zone != self.record.zone
        }
        return [name for name in readers if name is not None]

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def relay_groups(names: Sequence[VmName]) -> list[list[VmName]]:
    """Split `names` into about as many groups as each group has members.

    The first names become the relays, which come first in their groups.

    >>> relay_groups(['a', 'b', 'c', 'd', 'e', 'f'])
    [['a', 'e'], ['b', 'f'], ['c'], ['d']]
    """
    count = max(isqrt(len(names)), min(len(names), _MIN_GROUPS))
    return [list(names[first::count]) for first in range(count)]


def _relayed_fields(body: Any) -> dict[str, Any]:
    entries = [
        {
            'key': entry.key,
            'value': bytes(entry.value),
            'revision': entry.revision,
            'era': entry.era,
            'base': entry.base,
            'baseEra': entry.baseEra,
            'isPacked': entry.isPacked,
        }
        for entry in body.entries
    ]
    return {
        'since': body.since,
        'sinceEra': body.sinceEra,
        'upto': body.upto,
        'uptoEra': body.uptoEra,
        'entries': entries,
        'revision': body.revision,
        'era': body.era,
        'storeAgeMs': body.storeAgeMs,
        'storeSettledMs': body.storeSettledMs,
        'isStoreLost': body.isStoreLost,
        'isRelayed': True,
    }
