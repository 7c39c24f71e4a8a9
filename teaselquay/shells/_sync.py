"""Keeps the replica and the evidence of its freshness up to date.

A few VMs read the store; all others pull changes and evidence from peers.
"""

import asyncio
from typing import Any

from absl import logging
from returns.result import Success

from teaselquay.decisions import (
    NEVER,
    Delta,
    Instant,
    Revision,
    VmName,
    majority,
    rank_vms,
    stable_hash,
)
from teaselquay.shells._deltas import delta_fields, parse_delta
from teaselquay.shells._node import Node
from teaselquay.shells._peers import (
    Answer,
    PeerLink,
    PeerTimeoutError,
    Question,
)
from teaselquay.shells._store import Store
from teaselquay.shells._timers import TimerService

_READERS = 3
#: Expected number of VMs that read the store in one period besides.
_SPARE_READERS = 4
_STALE_READ_S = 1.2
_MOST_DELTA_BYTES = 8192
_PULL_TIMEOUT_S = 0.3
_POLL_PAUSE_S = 0.02
#: In a large fleet ages go with every so many pulls.
_AGES_EVERY = 2
_ALIVE_TRIES = 3
_CHILDREN = 8
_MS_PER_S = 1000
_AGE_UNKNOWN_MS = (1 << 32) - 1


class Synchroniser:
    """Reads the store, pulls from peers and answers their pulls."""

    def __init__(
        self,
        node: Node,
        link: PeerLink,
        store: Store,
    ) -> None:
        """Make a synchroniser that is not started."""
        self._node = node
        self._link = link
        self._store = store
        self._round = 0
        self._ranked_of: tuple[VmName, ...] = ()
        self._ranked: list[VmName] = []
        self._reading = asyncio.Lock()
        self._pulling: set[VmName] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        link.on('pull', self._on_pull)

    def start(self, timers: TimerService) -> None:
        """Subscribe to `timers`."""
        policy = self._node.policy
        timers.subscribe('pull', policy.pull_period_s, self.pull_once)
        timers.subscribe('read', policy.read_period_s, self.read_if_due)

    async def read_if_due(self) -> None:
        """Read the store if this VM is a reader or evidence is old."""
        if self._is_reader() or self._is_spare_reader():
            await self.read_store()

    async def read_store(self) -> bool:
        """Return whether the store was read to its end."""
        async with self._reading:
            delta = None
            while delta is None or not delta.is_last:
                delta = await self._read_part()
                if delta is None:
                    return False
            return True

    async def _read_part(self) -> Delta | None:
        began = self._node.clock.now()
        since = self._node.replica.revision
        read = await self._store.read_since(since)
        if not isinstance(read, Success):
            return None
        delta = read.unwrap()
        self._node.merge(delta)
        if delta.upto < since:
            logging.error(
                'sync: the store went back from revision %d to %d',
                since,
                delta.upto,
            )
        elif delta.is_last:
            self._node.freshness.record_store_read(began)
        return delta

    async def pull_once(self) -> None:
        """Pull from one peer."""
        self._round += 1
        peer = self._choose_peer()
        if peer is not None:
            await self.pull_from(peer)

    async def pull_from(self, vm: VmName) -> None:
        """Pull from `vm` until nothing newer is left there."""
        if vm in self._pulling:
            return
        self._pulling.add(vm)
        try:
            while await self._pull_part(vm):
                logging.debug('sync: pulled a part from %s', vm)
        except PeerTimeoutError:
            logging.debug('sync: %s did not answer', vm)
        finally:
            self._pulling.discard(vm)

    async def is_alive(self, vm: VmName) -> bool:
        """Return whether `vm` answers one of a few direct questions."""
        for _ in range(_ALIVE_TRIES):
            _, held = await self._ask_revision(vm)
            if held is not None:
                return True
        return False

    async def confirm(
        self,
        revision: Revision,
        timeout_s: float,
        need_all: bool = False,
    ) -> set[VmName]:
        """Return the members that hold `revision`.

        Ask all members until a majority holds it, or all do with
        `need_all`, or the time is over.
        """
        deadline = self._node.clock.now() + timeout_s
        holders: set[VmName] = set()
        while True:
            members = set(self._node.catalog.members())
            if self._node.replica.revision >= revision:
                holders.add(self._node.vm)
            await self._ask_all(members - holders, revision, holders)
            held = len(holders & members)
            need = len(members) if need_all else majority(len(members))
            if held >= need or self._node.clock.now() >= deadline:
                return holders & members
            await asyncio.sleep(_POLL_PAUSE_S)

    async def _ask_all(
        self,
        members: set[VmName],
        revision: Revision,
        holders: set[VmName],
    ) -> None:
        asks = [self._ask_revision(vm) for vm in sorted(members)]
        for vm, held in await asyncio.gather(*asks):
            if held is not None and held >= revision:
                holders.add(vm)

    async def _ask_revision(
        self,
        vm: VmName,
    ) -> tuple[VmName, Revision | None]:
        """Return the revision that `vm` holds, or None without answer."""
        address = self._node.peer_address(vm)
        if address is None:
            return vm, None
        fields = {'revision': self._node.replica.revision}
        try:
            pulled = await self._link.call(
                address,
                'pull',
                fields,
                _PULL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return vm, None
        return vm, Revision(pulled.revision)

    async def _pull_part(self, vm: VmName) -> bool:
        node = self._node
        address = node.peer_address(vm)
        if address is None:
            return False
        asked = node.clock.now()
        fields = {
            'revision': node.replica.revision,
            'wantsAges': self._wants_ages(asked),
        }
        pulled = await self._link.call(
            address,
            'pull',
            fields,
            _PULL_TIMEOUT_S,
        )
        node.merge(parse_delta(pulled, node.replica))
        behind = node.replica.revision < pulled.revision
        if not behind:
            self._take_evidence(vm, pulled, asked)
        return behind

    def _take_evidence(self, vm: VmName, pulled: Any, asked: Instant) -> None:
        freshness = self._node.freshness
        if pulled.storeAgeMs != _AGE_UNKNOWN_MS:
            age_s = pulled.storeAgeMs / _MS_PER_S
            instant = Instant(asked - age_s)
            freshness.store_instant = max(freshness.store_instant, instant)
        if pulled.attests:
            freshness.record_attestation(vm, asked)
        if pulled.ages and pulled.members == self._members_hash():
            freshness.merge_ages(bytes(pulled.ages), asked)
        if not freshness.attests and self._node.is_fresh():
            freshness.attests = True

    def _on_pull(self, question: Question) -> Answer:
        node = self._node
        now = node.clock.now()
        asker = question.body
        delta = node.replica.changes_since(
            Revision(asker.revision),
            _MOST_DELTA_BYTES,
        )
        fields: dict[str, Any] = {
            **delta_fields(node.replica, delta, with_patches=False),
            'revision': node.replica.revision,
            'storeAgeMs': _age_ms(now - node.freshness.store_instant),
            'attests': node.freshness.attests,
        }
        if asker.wantsAges:
            fields['members'] = self._members_hash()
            fields['ages'] = node.freshness.encode_ages(now)
        if asker.revision > node.replica.revision:
            self._spawn_pull(question.sender)
        return Answer('pulled', fields)

    def _spawn_pull(self, vm: VmName) -> None:
        task = asyncio.create_task(self.pull_from(vm))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_reader(self) -> bool:
        return self._node.vm in self._ranked_readers()[:_READERS]

    def _ranked_readers(self) -> list[VmName]:
        live = self._node.live_vms()
        if live is not self._ranked_of:
            self._ranked_of = live
            self._ranked = rank_vms('store-reader', live)
        return self._ranked

    def _is_spare_reader(self) -> bool:
        node = self._node
        age_s = node.clock.now() - node.freshness.store_instant
        if age_s < _STALE_READ_S:
            return False
        others = len(node.other_vms()) + 1
        return node.random.random() < _SPARE_READERS / others

    def _choose_peer(self) -> VmName | None:
        node = self._node
        others = node.other_vms()
        if not others:
            return None
        parent = self._parent()
        if parent is not None and self._round % 2:
            return parent
        return node.random.choice(others)

    def _parent(self) -> VmName | None:
        # A tree below the readers bounds how many hops evidence takes.
        node = self._node
        ranked = self._ranked_readers()
        if node.vm not in ranked:
            return None
        index = ranked.index(node.vm)
        if index < _READERS:
            return None
        return ranked[(index - _READERS) // _CHILDREN]

    def _wants_ages(self, now: Instant) -> bool:
        if not self._node.is_large_fleet():
            return True
        store_age_s = now - self._node.freshness.store_instant
        return self._round % _AGES_EVERY == 0 or store_age_s > _STALE_READ_S

    def _members_hash(self) -> int:
        return stable_hash('members', *self._node.freshness.members)


def _age_ms(age_s: float) -> int:
    if age_s == -NEVER or age_s * _MS_PER_S >= _AGE_UNKNOWN_MS:
        return _AGE_UNKNOWN_MS
    return int(age_s * _MS_PER_S) + 1
