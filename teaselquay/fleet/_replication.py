"""Replicate the store to all VMs through one store reader per zone.

A reader pushes changes to its zone as soon as it sees them, and a freshness
message every half second. A VM that receives no pushes, or detects that it
missed one, pulls from a reader.
"""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any, Coroutine, Iterable, TypeVar

from returns.result import Failure, Success

from teaselquay.configuration import VmRecord
from teaselquay.decisions import (
    Delta,
    Entry,
    Era,
    Instant,
    Replica,
    Revision,
    VmName,
    era_of,
    number_of,
    revision_at,
)
from teaselquay.events import Event, Journal
from teaselquay.fleet._directory import Directory
from teaselquay.fleet._evidence import StoreEvidence
from teaselquay.fleet._spreading import ChangeBroadcaster
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

#: Longest long-poll timeout of a watch on the store, in seconds. Its answer
#: bounds the age of the state, so it is well below the tolerated staleness.
_MAX_WATCH_TIMEOUT_S = 2.0
#: Time in seconds after which some reader's watch ends. A watch that hangs
#: looks like a quiet one until then, and a change must be in force before two
#: of these and the delays below have passed.
_WATCH_END_PERIOD_S = 0.8
#: Time in seconds after which a VM that is not listed registers again. Its
#: registration may be on the way to it, or the store may have lost it.
_MAX_UNLISTED_S = 1.0
#: Shorter watches are prolonged to the next end.
_MIN_WATCH_TIMEOUT_S = 0.02
#: Time in seconds after which an answer of the store is overdue, in addition to
#: the timeout of a watch: many times its response time on a slow day. Other VMs
#: then read instead, while this one keeps waiting.
_OVERDUE_S = 0.4
#: Minimum time in seconds between takeovers that follow the loss of a reader at
#: once. If the store refuses all VMs, they do not try it all together.
_TAKEOVER_PACE_S = 0.3
_PULL_PERIOD_S = 0.5
_PULL_TIMEOUT_S = 0.3
#: Time in seconds after which the next source is asked too: many round trips
#: between zones.
_PULL_HEDGE_S = 0.05
#: Maximum random delay in seconds before pulling a missed change, so that the
#: answers to VMs that detect it simultaneously do not congest one link.
_MAX_PULL_DELAY_S = 0.15
#: Delay in seconds before the next call after a failed call to the store.
_STORE_RETRY_DELAY_S = 0.5
#: Consecutive failed pulls after which a VM reads the store itself: its peers
#: may be unreachable while the store is not.
_MAX_FAILED_PULLS = 2
#: Maximum bytes of entries in one datagram, below the limit of UDP.
_MAX_DELTA_BYTES = 40_000
#: Time in seconds after a push in which a VM need not pull. It allows for one
#: lost or late message.
_PUSH_TTL_S = 0.8
_MAX_DATAGRAM_BYTES = 60_000
#: One pull in this many goes to the reader of another zone.
_PULLS_PER_REMOTE_PULL = 4
_MS_PER_S = 1000
_AGE_UNKNOWN_MS = (1 << 32) - 1
_NEVER = Instant(float('-inf'))
_Result = TypeVar('_Result')


class PullResult(Enum):
    """What came of pulling from one or several peers."""

    #: A peer that can read the store answered.
    CURRENT = 'current'
    #: Only peers that cannot read the store answered.
    STALE = 'stale'
    UNANSWERED = 'unanswered'


@dataclass(slots=True)
class Replication:
    """Read the store, pull from peers and answer their pulls."""

    record: VmRecord
    store: SharedStore
    link: PeerLink
    directory: Directory
    state: FleetState
    clock: Clock
    random: Random
    journal: Journal
    replica: Replica = field(default_factory=Replica)
    #: Latest time at which the replica is known to have been current.
    fresh_at: Instant = _NEVER
    _evidence: StoreEvidence = field(default_factory=StoreEvidence)
    _is_store_lost: bool = False
    _was_reader: bool = False
    _is_watching: bool = False
    #: Whether this VM looks if the store answers it, as the reader lost it.
    _is_probing: bool = False
    _took_over_at: Instant = _NEVER
    _is_registered: bool = False
    #: Era of the last registration.
    _registered_era: Era | None = None
    _unlisted_since: Instant | None = None
    _pull_round: int = 0
    _is_catching_up: bool = False
    _failed_pulls: int = 0
    #: Time of the last push from a VM that can read the store, and of the last
    #: one that left nothing outstanding.
    _heard_at: Instant = _NEVER
    _pushed_at: Instant = _NEVER
    #: A patch was received for a base value that the replica lacks.
    _needs_whole_values: bool = False
    _tasks: set['asyncio.Task[Any]'] = field(default_factory=set)
    _broadcaster: ChangeBroadcaster = field(init=False)

    def __post_init__(self) -> None:
        """Create the broadcaster of changes."""
        self._broadcaster = ChangeBroadcaster(
            self.record,
            self.link,
            self.directory,
            self.clock,
            self.random,
            self.journal,
            lambda since: self._update_fields(since, with_patches=True),
        )

    def start(self, timers: TimerService) -> None:
        """Register the message handlers and periodic tasks."""
        self.link.on('pull', self._on_pull)
        self.link.on('changed', self._on_changed)
        timers.subscribe('pull', _PULL_PERIOD_S, self.pull_once)
        timers.subscribe('watch', _STORE_RETRY_DELAY_S, self.watch_while_reader)

    def age_s(self) -> float:
        """Return the seconds since the replica was known to be current."""
        return self.clock.now() - self.fresh_at

    async def watch_while_reader(self) -> None:
        """Watch the store while this VM is a reader and the store answers.

        The first read does not wait for changes, so that a store that is
        silent is noticed sooner.
        """
        if self._is_watching:
            return
        self._is_watching = True
        try:
            if not self._is_registered:
                await self._bootstrap()
            wait_s = 0.0
            while self._is_reader() and await self._read_changes(wait_s):
                wait_s = self._watch_timeout_s()
        finally:
            self._is_watching = False

    def _watch_timeout_s(self) -> float:
        """Return the time in seconds until the next end of this zone's watch.

        Load pattern: the store stops answering all readers at the same time.
        The watches of the zones end by turns, so that one of them is soon
        found to hang, whenever the last change was.
        """
        zones = self.directory.zones()
        period_s = min(_MAX_WATCH_TIMEOUT_S, _WATCH_END_PERIOD_S * len(zones))
        turn = zones.index(self.record.zone) / len(zones)
        left_s = (turn * period_s - self.clock.wall()) % period_s
        if left_s < _MIN_WATCH_TIMEOUT_S:
            return left_s + period_s
        return left_s

    async def pull_once(self) -> None:
        """Pull from a reader, or read the store if no peer answers.

        A VM that received a push recently skips most pulls and sends the
        others, as readers do, to the reader of another zone: the watch of its
        own reader may hang.
        """
        self._pull_round += 1
        now = self.clock.now()
        self.state.remove_expired(now, self._stable_s())
        self._check_registration(now)
        if self._was_reader and self._is_zone_reader():
            self._broadcaster.broadcast_freshness(self.replica.revision)
        pushed = now - self._pushed_at < _PUSH_TTL_S and not self._was_reader
        if pushed and self._is_local_pull_round():
            return
        sources = self._pull_sources()
        result = await self._pull_from_any(sources)
        if result is not PullResult.UNANSWERED:
            self._failed_pulls = 0
            return
        self._failed_pulls += len(sources)
        if self._is_alone() and self._is_registered and not self._was_reader:
            # The VM then watches the store itself until peers answer.
            await self._read_changes(0)

    async def _bootstrap(self) -> None:
        """Read the whole store once, and register this VM."""
        if not await self._read_all():
            return
        if self.state.vms_by_name.get(self.record.name) == self.record:
            self._is_registered = True
            return
        self._is_registered = await self._register()

    async def _register(self) -> bool:
        """Write the record of this VM; return whether it was accepted."""
        registered = await self.store.register(self.record)
        if isinstance(registered, Success):
            self._registered_era = self._era()
            return True
        return False

    def _is_listed(self) -> bool:
        """Return whether the store lists this VM.

        Another address than its own is that of an earlier process only if the
        store was restored since; otherwise peers reach this VM there.
        """
        listed = self.state.listed_vm(self.record.name)
        if listed is None or listed == self.record:
            return listed is not None
        return self._registered_era == self._era()

    def _check_registration(self, now: Instant) -> None:
        """Register this VM again if the store has lost its entry."""
        if not self._is_registered or self._is_listed():
            self._unlisted_since = None
        elif self._unlisted_since is None:
            self._unlisted_since = now
        elif now - self._unlisted_since >= _MAX_UNLISTED_S:
            self._unlisted_since = now
            self.journal.emit(Event.VM_UNLISTED, **self._position())
            self._spawn(self._register())

    async def _read_changes(self, wait_s: float) -> bool:
        """Read changes within `wait_s`; return whether the store answered."""
        if not self.replica.revision:
            return await self._read_all()
        started_at = self.clock.now()
        call = self._spawn(self.store.changes(self.replica.revision, wait_s))
        await asyncio.wait({call}, timeout=wait_s + _OVERDUE_S)
        if not call.done():
            self._store_failed('overdue')
        read = await call
        if isinstance(read, Success):
            waited_s = self.clock.now() - started_at
            # The answer proves that the state was current shortly before it
            # arrived; taking half of the wait allows for a slow response.
            current_at = Instant(started_at + min(wait_s, waited_s) / 2)
            self._store_answered(current_at)
            self._merge(read.unwrap(), FROM_STORE)
            return True
        error = read.failure()
        if isinstance(error, HistoryLost):
            if self._era() > era_of(error.since):
                # A peer has sent what this VM would read.
                return True
            self.journal.emit(
                Event.HISTORY_LOST,
                since=number_of(error.since),
                era=era_of(error.since),
            )
            return await self._read_all()
        self._log_failed_call(error.reason, started_at)
        self._store_failed(error.reason)
        return False

    async def _read_all(self) -> bool:
        started_at = self.clock.now()
        read = await self.store.read_all()
        if isinstance(read, Failure):
            self._log_failed_call(read.failure().reason, started_at)
            self._store_failed(read.failure().reason)
            return False
        whole = read.unwrap()
        if whole.upto < self.replica.revision:
            self._store_failed('behind')
            return False
        self._store_answered(started_at)
        self._merge(self._with_removals(whole), FROM_STORE)
        return True

    def _with_removals(self, whole: Delta) -> Delta:
        """Return `whole` plus a removal for each replica entry it lacks."""
        present = {entry.key for entry in whole.entries}
        removed = tuple(
            Entry(key, b'', whole.upto)
            for key, entry in self.replica.by_key.items()
            if key not in present and entry.value
        )
        entries = (*whole.entries, *removed)
        return Delta(Revision(0), whole.upto, entries)

    def _merge(self, delta: Delta, origin: Origin) -> None:
        """Merge `delta` into the replica, and apply what changed."""
        before = self.replica.revision
        changed = self.replica.merge(delta)
        if not changed and before:
            return
        if before and self._era() > era_of(before):
            self.journal.emit(
                Event.STORE_RESTORED,
                **self._position(),
                replaced_era=era_of(before),
                replaced_revision=number_of(before),
                source=origin.source.value,
                sender=origin.sender,
            )
        now = self.clock.now()
        self.state.apply(changed, now, self._stable_s(), origin)
        self.directory.replace_records(self.state.vms_by_name.values(), now)
        if before and self._is_zone_reader():
            self._broadcaster.broadcast_changes(before)

    def _era(self) -> Era:
        return era_of(self.replica.revision)

    def _position(self) -> dict[str, int]:
        """Return the revision of the replica as fields of a log line."""
        return {
            'era': self._era(),
            'revision': number_of(self.replica.revision),
        }

    def _store_answered(self, current_at: Instant) -> None:
        self._evidence.add_answer(self.clock.now())
        self.directory.record_store_success(self.record.name)
        if self._is_store_lost:
            self._is_store_lost = False
            self.journal.emit(
                Event.STORE_REGAINED,
                **self._position(),
            )
        self.fresh_at = max(self.fresh_at, current_at)
        self.directory.last_contact = self.clock.now()

    def _stable_s(self) -> float:
        """Return the seconds since the end of the store's last outage."""
        return self._evidence.stable_s(self.clock.now())

    def _log_failed_call(self, reason: str, started_at: Instant) -> None:
        """Log a call that failed, also while the store is lost already."""
        self.journal.emit(
            Event.STORE_CALL_FAILED,
            reason=reason,
            after_s=round(self.clock.now() - started_at, 3),
        )

    def _store_failed(self, reason: str) -> None:
        """Record that the store did not answer, and tell the other VMs.

        They would otherwise learn of it from the silence of this VM.
        """
        is_responsible = self._is_probing or self._is_zone_reader()
        # An overdue call fails once more when it ends.
        self._is_probing = False
        self.directory.record_store_failure(self.record.name, self.clock.now())
        if not self._is_store_lost:
            self._is_store_lost = True
            self.journal.emit(
                Event.STORE_LOST,
                reason=reason,
                **self._position(),
            )
        if is_responsible:
            self._broadcaster.broadcast_freshness(self.replica.revision)

    def _take_over(self) -> None:
        """Read the store now if the loss of a reader makes this VM a successor.

        Load pattern: the store refuses all VMs. Only the first successors act
        at once, further ones with their timers.
        """
        now = self.clock.now()
        is_paced = now - self._took_over_at >= _TAKEOVER_PACE_S
        self._took_over_at = now
        if not is_paced or self._was_reader:
            return
        if self._is_zone_reader():
            self._spawn(self.watch_while_reader())
        elif self.directory.is_reader_successor(now):
            self._spawn(self._probe_store())

    async def _probe_store(self) -> None:
        """Read the store once, and give what is new to the zone's reader.

        The store may not answer that one either.
        """
        if self._is_watching or not self._is_registered:
            return
        self._is_watching = True
        self._is_probing = True
        before = self.replica.revision
        try:
            is_answered = await self._read_changes(0)
        finally:
            self._is_watching = False
            self._is_probing = False
        reader = self.directory.store_reader(self.record.zone, self.clock.now())
        has_news = is_answered and self.replica.revision > before
        if reader == self.record.name:
            if has_news:
                self._broadcaster.broadcast_changes(before)
            await self.watch_while_reader()
        elif reader is not None and has_news:
            self._broadcaster.tell_changes(reader, before)

    def _is_reader(self) -> bool:
        is_alone = self._is_alone()
        is_reader = self._is_zone_reader() or is_alone
        is_reader = is_reader and self._is_registered
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            self.journal.emit(
                Event.READER_CHANGED,
                is_reader=is_reader,
                is_alone=is_alone,
                **self._position(),
            )
        return is_reader

    def _is_alone(self) -> bool:
        """Return whether no peer answers.

        Load pattern: all links are congested after a large change. VMs that
        still hear pushes do not turn to the store together.
        """
        heard = self.clock.now() - self._heard_at < _PUSH_TTL_S
        return self._failed_pulls >= _MAX_FAILED_PULLS and not heard

    def _is_zone_reader(self) -> bool:
        """Return whether this VM is responsible for pushing to its zone.

        A VM that reads only because no peer answers must not push: if many
        VMs are overloaded, pushes from each to all others would keep them
        overloaded.
        """
        reader = self.directory.store_reader(self.record.zone, self.clock.now())
        return reader == self.record.name

    def _pull_sources(self) -> list[Address]:
        """Return the addresses of a reader to pull from and of a fallback."""
        now = self.clock.now()
        zones = self.directory.zones()
        self.random.shuffle(zones)
        if self._is_local_pull_round() and self.record.zone in zones:
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
            for name in names[:_MAX_FAILED_PULLS]
            if (address := self.directory.address(name)) is not None
        ]
        if addresses or not self.directory.seeds:
            return addresses
        return [self.random.choice(self.directory.seeds)]

    def _is_local_pull_round(self) -> bool:
        return bool(self._pull_round % _PULLS_PER_REMOTE_PULL)

    async def _pull_from_any(self, sources: list[Address]) -> PullResult:
        """Pull from `sources` until one is current; return the best result.

        Load pattern: readers are gone, or the store refuses them. A source
        that does not answer at once delays the next one by a hedging delay,
        not by its timeout.
        """
        best = PullResult.UNANSWERED
        pending: set[asyncio.Task[PullResult]] = set()
        for source in sources:
            pending.add(self._spawn(self._pull(source)))
            done, pending = await asyncio.wait(
                pending,
                timeout=_PULL_HEDGE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            best = _best_result(best, done)
            if best is PullResult.CURRENT:
                return best
        while pending and best is not PullResult.CURRENT:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            best = _best_result(best, done)
        return best

    async def _pull(self, address: Address) -> PullResult:
        """Pull until up to date with the peer at `address`."""
        try:
            is_behind = True
            while is_behind:
                is_behind, is_store_lost = await self._pull_batch(address)
        except PeerTimeoutError:
            self._suspect(address)
            return PullResult.UNANSWERED
        return PullResult.STALE if is_store_lost else PullResult.CURRENT

    async def _catch_up(self, pause_s: float, address: Address) -> None:
        """Pull what was missed from the peer at `address`, after a pause."""
        try:
            await asyncio.sleep(pause_s)
            await self._pull(address)
        finally:
            self._is_catching_up = False

    def _spawn(
        self, work: Coroutine[Any, Any, _Result]
    ) -> 'asyncio.Task[_Result]':
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _suspect(self, address: Address) -> None:
        name = self.directory.name_of(address)
        if name is not None:
            self.directory.record_timeout(name, 'pull', self.clock.now())

    async def _pull_batch(self, address: Address) -> tuple[bool, bool]:
        """Pull once.

        Return whether more is outstanding, and whether the peer cannot read
        the store.
        """
        sent_at = self.clock.now()
        fields = {
            **self._position(),
            'wantsWhole': self._needs_whole_values,
        }
        self._needs_whole_values = False
        pulled = await self.link.call(address, 'pull', fields, _PULL_TIMEOUT_S)
        name = self.directory.name_of(address)
        if name is not None:
            self.directory.record_contact(name, self.clock.now())
            self._record_store_access(name, pulled)
        origin = Origin(ChangeSource.PULLED, name)
        is_behind = self._apply_update(pulled, sent_at, origin)
        if is_behind and not pulled.entries:
            # The next entry does not fit into a datagram.
            await self._read_changes(0)
            is_behind = False
        return is_behind, pulled.isStoreLost or self._is_outdated(pulled)

    def _apply_update(
        self,
        update: Any,
        as_of: Instant,
        origin: Origin,
    ) -> bool:
        """Apply an update from a peer; return whether more is outstanding."""
        if self._is_outdated(update):
            return False
        self._add_peer_evidence(update, as_of)
        try:
            delta = parse_delta(update, self.replica)
        except MissingBaseError:
            # The next pull requests whole values.
            self._needs_whole_values = True
            return True
        self._merge(delta, origin)
        upto = revision_at(update.era, update.revision)
        is_behind = self.replica.revision < upto
        if not is_behind and update.storeAgeMs != _AGE_UNKNOWN_MS:
            age_s = update.storeAgeMs / _MS_PER_S
            self.fresh_at = max(self.fresh_at, Instant(as_of - age_s))
        return is_behind

    def _is_outdated(self, update: Any) -> bool:
        """Return whether the sender of `update` missed a restore of the store.

        What it sends is no evidence of anything that is current. Older builds
        send no era, and are outdated as soon as the store names one.
        """
        return bool(update.era < self._era())

    def _add_peer_evidence(self, update: Any, as_of: Instant) -> None:
        """Add the span of time in which the store answered the peer."""
        if update.storeAgeMs == _AGE_UNKNOWN_MS:
            return
        end = Instant(as_of - update.storeAgeMs / _MS_PER_S)
        begin = Instant(as_of - update.storeSettledMs / _MS_PER_S)
        self._evidence.add_span(min(begin, end), end)
        self.state.remove_expired(self.clock.now(), self._stable_s())

    def _record_store_access(self, sender: VmName, update: Any) -> None:
        """Record whether `sender` of `update` can read the store."""
        if update.isStoreLost or self._is_outdated(update):
            self.directory.record_store_failure(sender, self.clock.now())
        else:
            self.directory.record_store_success(sender)

    def _on_pull(self, question: Question) -> Answer:
        self.directory.record_contact(question.sender, self.clock.now())
        since = revision_at(question.body.era, question.body.revision)
        wants_whole = question.body.wantsWhole
        fields = self._update_fields(since, with_patches=not wants_whole)
        return Answer('pulled', fields)

    def _update_fields(
        self,
        since: Revision,
        with_patches: bool,
    ) -> dict[str, Any]:
        """Return message fields with changes after `since` and their age.

        The changes are limited to what fits into one datagram.
        """
        now = self.clock.now()
        delta = self.replica.changes_since(since, _MAX_DELTA_BYTES)
        fields = delta_fields(self.replica, delta, with_patches)
        if fields_bytes(fields) > _MAX_DATAGRAM_BYTES:
            # Does not fit into a datagram: the peer reads it from the store.
            empty = Delta(delta.since, delta.since)
            fields = delta_fields(self.replica, empty, with_patches)
        return {
            **fields,
            **self._position(),
            'storeAgeMs': _to_ms(now - self.fresh_at),
            'storeSettledMs': _to_ms(self._stable_s()),
            'isStoreLost': self._is_store_lost,
        }

    def _on_changed(self, question: Question) -> None:
        """Apply a pushed update, and pull what was missed."""
        now = self.clock.now()
        self.directory.record_contact(question.sender, now)
        if question.body.relays:
            self._broadcaster.relay(question.body)
        if not question.body.isRelayed:
            self._record_store_access(question.sender, question.body)
            if question.body.isStoreLost:
                self._take_over()
        origin = Origin(ChangeSource.PUSHED, question.sender)
        is_stale = question.body.isStoreLost or self._is_outdated(question.body)
        is_behind = self._apply_update(question.body, now, origin)
        if not is_stale:
            self._heard_at = now
            self._failed_pulls = 0
        if not is_behind:
            if not is_stale:
                self._pushed_at = now
            return
        address = self.directory.address(question.sender)
        if address is not None and not self._is_catching_up:
            self._is_catching_up = True
            pause_s = 0.0
            if not question.body.entries:
                pause_s = self.random.uniform(0, _MAX_PULL_DELAY_S)
            self._spawn(self._catch_up(pause_s, address))


def _best_result(
    best: PullResult,
    done: 'Iterable[asyncio.Task[PullResult]]',
) -> PullResult:
    """Return the best of `best` and the results of the `done` tasks."""
    candidates = {best, *(task.result() for task in done)}
    # The members are defined in descending order.
    return next(member for member in PullResult if member in candidates)


def _to_ms(age_s: float) -> int:
    if age_s * _MS_PER_S >= _AGE_UNKNOWN_MS:
        return _AGE_UNKNOWN_MS
    return int(age_s * _MS_PER_S)
