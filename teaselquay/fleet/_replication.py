"""Keeps the state up to date: few VMs watch the store and tell the others.

A reader tells its zone what has changed at once, and every half second that
nothing has. Who hears nothing, or has missed something, pulls.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

from returns.result import Failure, Success

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Delta, Entry, Instant, Replica, Revision
from teaselquay.events import Event, Journal
from teaselquay.fleet._directory import Directory
from teaselquay.fleet._spreading import Spreader
from teaselquay.fleet._state import (
    FROM_STORE,
    ChangeSource,
    FleetState,
    Origin,
)
from teaselquay.fleet._store import HistoryLost, SharedStore
from teaselquay.shells import (
    Address,
    Answer,
    Clock,
    MissingBaseError,
    PeerLink,
    PeerTimeoutError,
    Question,
    TimerService,
    delta_fields,
    fields_bytes,
    parse_delta,
)

#: Time that one watch waits at the store. Its answer is the evidence of
#: how fresh the state is, so it is well below the staleness that counts.
_WATCH_S = 2.0
_PULL_PERIOD_S = 0.5
_PULL_TIMEOUT_S = 0.3
#: VMs that learn at one moment that they missed a change ask for it within
#: this time, in seconds, so that the answers do not meet on one link.
_PULL_SPREAD_S = 0.15
#: Pause after a call to the store that failed.
_STORE_PAUSE_S = 0.5
#: Pulls that fail in a row until a VM reads the store itself: peers and
#: the store may be cut off apart from each other.
_MOST_FAILED_PULLS = 2
#: Entries of upstreams lapse after three heartbeats, 4.5 s: a store that was
#: lost for less than a third of that lapsed none.
_OUTAGE_S = 1.5
#: Bytes of entries in one datagram, below the largest that UDP carries.
_MOST_DELTA_BYTES = 40_000
#: A VM that its reader told something in this time need not pull, in
#: seconds: one message may be lost or late.
_TOLD_S = 0.8
_MOST_DATAGRAM_BYTES = 60_000
#: Every so many pulls go to another zone's reader.
_OTHER_ZONE_EVERY = 4
_MS_PER_S = 1000
_AGE_UNKNOWN_MS = (1 << 32) - 1
_NEVER = Instant(float('-inf'))


@dataclass(slots=True)
class Replication:
    """Reads the store, pulls from peers and answers their pulls."""

    record: VmRecord
    store: SharedStore
    link: PeerLink
    directory: Directory
    state: FleetState
    clock: Clock
    random: Random
    journal: Journal
    replica: Replica = field(default_factory=Replica)
    #: When the store was last known to hold nothing newer.
    fresh_at: Instant = _NEVER
    _settled_at: Instant = _NEVER
    _is_store_lost: bool = False
    _lost_at: Instant = _NEVER
    _was_reader: bool = False
    _registered: bool = False
    _round: int = 0
    _pulling: bool = False
    _failed_pulls: int = 0
    _told_at: Instant = _NEVER
    #: A patch came to a value that this VM does not have.
    _lacks_base: bool = False
    _tasks: set['asyncio.Task[Any]'] = field(default_factory=set)
    _spreader: Spreader = field(init=False)

    def __post_init__(self) -> None:
        """Make what tells the zone of changes."""
        self._spreader = Spreader(
            self.record,
            self.link,
            self.directory,
            self.clock,
            self.random,
            self.journal,
            lambda since: self._pulled_fields(since, with_patches=True),
        )

    def start(self, timers: TimerService) -> None:
        """Answer peers, and subscribe to `timers`."""
        self.link.on('pull', self._on_pull)
        self.link.on('changed', self._on_changed)
        timers.subscribe('pull', _PULL_PERIOD_S, self.pull_once)
        timers.subscribe('watch', _STORE_PAUSE_S, self.watch_while_reader)

    def age_s(self) -> float:
        """Return how old the evidence is that nothing newer exists."""
        return self.clock.now() - self.fresh_at

    async def watch_while_reader(self) -> None:
        """Read the store for as long as this VM is its zone's reader."""
        if not self._registered:
            await self._begin()
        goes_on = True
        while goes_on and self._is_reader():
            goes_on = await self._read(_WATCH_S)

    async def pull_once(self) -> None:
        """Pull from a reader, or read the store if no peer answers.

        A VM that was told just now pulls seldom, and from another zone's
        reader, as all readers do: its own may have a watch that hangs.
        """
        self._round += 1
        now = self.clock.now()
        self.state.remove_lapsed(now)
        if self._was_reader and self._reads_for_zone():
            self._spreader.tell_age(self.replica.revision)
        is_told = now - self._told_at < _TOLD_S and not self._was_reader
        if self._pulling or (is_told and self._is_own_zones_turn()):
            return
        for source in self._sources():
            if await self._pull(source):
                self._failed_pulls = 0
                return
            self._failed_pulls += 1
        is_alone = self._failed_pulls >= _MOST_FAILED_PULLS
        if is_alone and self._registered and not self._was_reader:
            # The watch that follows is this VM's own until peers answer.
            await self._read(0)

    async def _begin(self) -> None:
        """Read everything once, and register this VM."""
        if not await self._read_all():
            return
        if self.state.vms_by_name.get(self.record.name) == self.record:
            self._registered = True
            return
        registered = await self.store.register(self.record)
        self._registered = isinstance(registered, Success)

    async def _read(self, wait_s: float) -> bool:
        """Return whether the store answered."""
        if not self.replica.revision:
            return await self._read_all()
        began = self.clock.now()
        read = await self.store.changes(self.replica.revision, wait_s)
        if isinstance(read, Success):
            waited_s = self.clock.now() - began
            # The answer shows that nothing newer came until shortly before
            # it; half of the wait leaves room for a slow way back.
            instant = Instant(began + min(wait_s, waited_s) / 2)
            self._store_answered(instant)
            self._merge(read.unwrap(), self._settled_s(), FROM_STORE)
            return True
        fault = read.failure()
        if isinstance(fault, HistoryLost):
            self.journal.emit(Event.HISTORY_LOST, since=fault.since)
            return await self._read_all()
        self._store_failed(fault.reason)
        return False

    async def _read_all(self) -> bool:
        began = self.clock.now()
        read = await self.store.read_all()
        if isinstance(read, Failure):
            self._store_failed(read.failure().reason)
            return False
        self._store_answered(began)
        whole = self._with_removed(read.unwrap())
        self._merge(whole, self._settled_s(), FROM_STORE)
        return True

    def _with_removed(self, whole: Delta) -> Delta:
        """Return `whole` with a removal for each entry it lacks."""
        kept = {entry.key for entry in whole.entries}
        removed = tuple(
            Entry(key, b'', whole.upto)
            for key, entry in self.replica.by_key.items()
            if key not in kept and entry.value
        )
        entries = (*whole.entries, *removed)
        return Delta(Revision(0), whole.upto, entries)

    def _merge(self, delta: Delta, settled_s: float, origin: Origin) -> None:
        """Take in `delta`, from a store that has answered for so long."""
        before = self.replica.revision
        changed = self.replica.merge(delta)
        if not changed and before:
            return
        now = self.clock.now()
        self.state.apply(changed, now, settled_s, origin)
        self.directory.replace_records(self.state.vms_by_name.values(), now)
        if before and self._reads_for_zone():
            self._spreader.tell_changes(before)

    def _store_answered(self, instant: Instant) -> None:
        if self._settled_at == _NEVER or self._is_outage():
            self._settled_at = self.clock.now()
        if self._is_store_lost:
            self._is_store_lost = False
            self.journal.emit(
                Event.STORE_REGAINED,
                revision=self.replica.revision,
            )
        self.fresh_at = max(self.fresh_at, instant)
        self.directory.last_contact = self.clock.now()

    def _is_outage(self) -> bool:
        """Return whether upstreams may have lapsed for want of the store."""
        lost_s = self.clock.now() - self._lost_at
        return self._is_store_lost and lost_s >= _OUTAGE_S

    def _settled_s(self) -> float:
        """Return for how long the store has answered without an outage."""
        if self._is_outage():
            return 0
        return self.clock.now() - self._settled_at

    def _store_failed(self, reason: str) -> None:
        self.directory.record_store_failure(self.record.name, self.clock.now())
        if not self._is_store_lost:
            self._is_store_lost = True
            self._lost_at = self.clock.now()
            self.journal.emit(
                Event.STORE_LOST,
                reason=reason,
                revision=self.replica.revision,
            )

    def _is_reader(self) -> bool:
        is_alone = self._failed_pulls >= _MOST_FAILED_PULLS
        is_reader = self._reads_for_zone() or is_alone
        is_reader = is_reader and self._registered
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            self.journal.emit(
                Event.READER_CHANGED,
                is_reader=is_reader,
                is_alone=is_alone,
                revision=self.replica.revision,
            )
        return is_reader

    def _reads_for_zone(self) -> bool:
        """Return whether others expect to be told by this VM.

        One that reads because no peer answers tells nobody: where many are
        overtaxed, each telling all the others would keep them so.
        """
        reader = self.directory.store_reader(self.record.zone, self.clock.now())
        return reader == self.record.name

    def _sources(self) -> list[Address]:
        """Return whom to pull from: a reader, and another if it fails."""
        now = self.clock.now()
        zones = self.directory.zones()
        self.random.shuffle(zones)
        if self._is_own_zones_turn() and self.record.zone in zones:
            zones.remove(self.record.zone)
            zones.insert(0, self.record.zone)
        readers = [self.directory.store_reader(zone, now) for zone in zones]
        names = [
            name for name in readers if name not in {None, self.record.name}
        ]
        if not names:
            names = list(self.directory.others())
            self.random.shuffle(names)
        addresses = [
            address
            for name in names[:_MOST_FAILED_PULLS]
            if (address := self.directory.address(name)) is not None
        ]
        if addresses or not self.directory.seeds:
            return addresses
        return [self.random.choice(self.directory.seeds)]

    def _is_own_zones_turn(self) -> bool:
        return bool(self._round % _OTHER_ZONE_EVERY)

    async def _pull(self, address: Address) -> bool:
        """Return whether the peer at `address` answered."""
        self._pulling = True
        try:
            is_behind = True
            while is_behind:
                is_behind = await self._pull_part(address)
        except PeerTimeoutError:
            self._suspect(address)
            return False
        finally:
            self._pulling = False
        return True

    async def _pull_after(self, pause_s: float, address: Address) -> None:
        await asyncio.sleep(pause_s)
        if not self._pulling:
            await self._pull(address)

    def _suspect(self, address: Address) -> None:
        name = self.directory.name_of(address)
        if name is not None:
            self.directory.record_timeout(name, 'pull', self.clock.now())

    async def _pull_part(self, address: Address) -> bool:
        asked = self.clock.now()
        fields = {
            'revision': self.replica.revision,
            'wantsWhole': self._lacks_base,
        }
        self._lacks_base = False
        pulled = await self.link.call(address, 'pull', fields, _PULL_TIMEOUT_S)
        name = self.directory.name_of(address)
        if name is not None:
            self.directory.record_contact(name, self.clock.now())
            if pulled.isStoreLost:
                self.directory.record_store_failure(name, self.clock.now())
        origin = Origin(ChangeSource.PULLED, name)
        behind = self._take(pulled, asked, origin)
        if behind and not pulled.entries:
            # An entry is too large for a datagram.
            await self._read(0)
            return False
        return behind

    def _take(self, pulled: Any, as_of: Instant, origin: Origin) -> bool:
        """Take in what a reader knows; return whether there is more."""
        settled_s = pulled.storeSettledMs / _MS_PER_S
        if self._was_reader:
            # The other's store may have been away, or this one's.
            settled_s = min(settled_s, self._settled_s())
        else:
            self._settled_at = Instant(self.clock.now() - settled_s)
        try:
            delta = parse_delta(pulled, self.replica)
        except MissingBaseError:
            # Pulled whole next.
            self._lacks_base = True
            return True
        self._merge(delta, settled_s, origin)
        behind = self.replica.revision < pulled.revision
        if not behind and pulled.storeAgeMs != _AGE_UNKNOWN_MS:
            age_s = pulled.storeAgeMs / _MS_PER_S
            self.fresh_at = max(self.fresh_at, Instant(as_of - age_s))
        return behind

    def _on_pull(self, question: Question) -> Answer:
        self.directory.record_contact(question.sender, self.clock.now())
        since = Revision(question.body.revision)
        wants_whole = question.body.wantsWhole
        fields = self._pulled_fields(since, with_patches=not wants_whole)
        return Answer('pulled', fields)

    def _pulled_fields(
        self,
        since: Revision,
        with_patches: bool,
    ) -> dict[str, Any]:
        """Return what this VM knows beyond `since`, as far as one
        datagram holds, and how fresh that is.
        """
        now = self.clock.now()
        delta = self.replica.changes_since(since, _MOST_DELTA_BYTES)
        fields = delta_fields(self.replica, delta, with_patches)
        if fields_bytes(fields) > _MOST_DATAGRAM_BYTES:
            # Too large for a datagram: the asker reads it at the store.
            nothing = Delta(delta.since, delta.since)
            fields = delta_fields(self.replica, nothing, with_patches)
        return {
            **fields,
            'revision': self.replica.revision,
            'storeAgeMs': _to_ms(now - self.fresh_at),
            'storeSettledMs': _to_ms(self._settled_s()),
            'isStoreLost': self._is_store_lost,
        }

    def _on_changed(self, question: Question) -> None:
        """Take in what a reader tells, and pull what was missed."""
        now = self.clock.now()
        self.directory.record_contact(question.sender, now)
        if question.body.relays:
            self._spreader.pass_on(question.body)
        if question.body.isStoreLost:
            self.directory.record_store_failure(question.sender, now)
        else:
            self._told_at = now
            self._failed_pulls = 0
        origin = Origin(ChangeSource.TOLD, question.sender)
        is_behind = self._take(question.body, now, origin)
        address = self.directory.address(question.sender)
        if address is not None and is_behind and not self._pulling:
            pause_s = 0.0
            if not question.body.entries:
                pause_s = self.random.uniform(0, _PULL_SPREAD_S)
            task = asyncio.create_task(self._pull_after(pause_s, address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


def _to_ms(age_s: float) -> int:
    if age_s * _MS_PER_S >= _AGE_UNKNOWN_MS:
        return _AGE_UNKNOWN_MS
    return int(age_s * _MS_PER_S)
