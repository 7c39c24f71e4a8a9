"""Synchronises the replica and the evidence that it is fresh.

A few VMs read the store. All others pull changes and evidence from peers.
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

_READER_COUNT = 3
#: Expected number of other VMs that read the store in one period while
#: their last evidence of a read is old.
_EXPECTED_EXTRA_READERS = 4
_STALE_STORE_READ_S = 1.2
_MAX_DELTA_BYTES = 8192
_PULL_TIMEOUT_S = 0.3
_CONFIRM_POLL_DELAY_S = 0.02
#: In a large fleet, one in this many pulls requests attestation ages.
_AGES_INTERVAL_PULLS = 2
_ALIVE_ATTEMPTS = 3
#: Children of each node in the tree of pulls below the readers.
_TREE_FANOUT = 8
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
        """Create a synchroniser that answers pulls but sends none yet."""
        self._node = node
        self._link = link
        self._store = store
        self._pull_count = 0
        self._ranked_live_vms: tuple[VmName, ...] = ()
        self._ranking: list[VmName] = []
        self._read_lock = asyncio.Lock()
        self._pulls_in_progress: set[VmName] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        link.on('pull', self._on_pull)

    def start(self, timers: TimerService) -> None:
        """Pull from peers and read the store periodically."""
        policy = self._node.policy
        timers.subscribe('pull', policy.pull_period_s, self.pull_once)
        timers.subscribe('read', policy.read_period_s, self.read_if_due)

    async def read_if_due(self) -> None:
        """Read the store if this VM is a reader or drawn as an extra one."""
        if self._is_reader() or self._is_extra_reader():
            await self.read_store()

    async def read_store(self) -> bool:
        """Read the store and return whether it was read to its end."""
        async with self._read_lock:
            delta = None
            while delta is None or not delta.is_last:
                delta = await self._read_delta()
                if delta is None:
                    return False
            return True

    async def _read_delta(self) -> Delta | None:
        started_at = self._node.clock.now()
        since = self._node.replica.revision
        read = await self._store.read_since(since)
        if not isinstance(read, Success):
            return None
        delta = read.unwrap()
        self._node.merge(delta)
        if delta.upto < since:
            logging.error(
                'sync: store revision went backwards from %d to %d',
                since,
                delta.upto,
            )
        elif delta.is_last:
            self._node.freshness.record_store_read(started_at)
        return delta

    async def pull_once(self) -> None:
        """Pull changes and evidence from one peer."""
        self._pull_count += 1
        peer = self._choose_peer()
        if peer is not None:
            await self.pull_from(peer)

    async def pull_from(self, vm: VmName) -> None:
        """Pull from `vm` until it has no newer changes."""
        if vm in self._pulls_in_progress:
            return
        self._pulls_in_progress.add(vm)
        try:
            while await self._pull_delta(vm):
                logging.debug('sync: pulled a partial delta from %s', vm)
        except PeerTimeoutError:
            logging.debug('sync: %s did not answer', vm)
        finally:
            self._pulls_in_progress.discard(vm)

    async def is_alive(self, vm: VmName) -> bool:
        """Return whether `vm` answers one of a few direct requests."""
        for _ in range(_ALIVE_ATTEMPTS):
            _, held_revision = await self._request_revision(vm)
            if held_revision is not None:
                return True
        return False

    async def confirm(
        self,
        revision: Revision,
        timeout_s: float,
        need_all: bool = False,
    ) -> set[VmName]:
        """Return the members whose replica has reached `revision`.

        Poll the members until a majority has reached it, or all have with
        `need_all`, or `timeout_s` has passed.
        """
        deadline = self._node.clock.now() + timeout_s
        holders: set[VmName] = set()
        while True:
            members = set(self._node.catalog.members())
            if self._node.replica.revision >= revision:
                holders.add(self._node.vm)
            await self._request_revisions(members - holders, revision, holders)
            holder_count = len(holders & members)
            required_count = (
                len(members) if need_all else majority(len(members))
            )
            if (
                holder_count >= required_count
                or self._node.clock.now() >= deadline
            ):
                return holders & members
            await asyncio.sleep(_CONFIRM_POLL_DELAY_S)

    async def _request_revisions(
        self,
        members: set[VmName],
        revision: Revision,
        holders: set[VmName],
    ) -> None:
        requests = [self._request_revision(vm) for vm in sorted(members)]
        for vm, held_revision in await asyncio.gather(*requests):
            if held_revision is not None and held_revision >= revision:
                holders.add(vm)

    async def _request_revision(
        self,
        vm: VmName,
    ) -> tuple[VmName, Revision | None]:
        """Return `vm` and its revision, or None if it does not answer."""
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

    async def _pull_delta(self, vm: VmName) -> bool:
        node = self._node
        address = node.peer_address(vm)
        if address is None:
            return False
        requested_at = node.clock.now()
        fields = {
            'revision': node.replica.revision,
            'wantsAges': self._wants_ages(requested_at),
        }
        pulled = await self._link.call(
            address,
            'pull',
            fields,
            _PULL_TIMEOUT_S,
        )
        node.merge(parse_delta(pulled, node.replica))
        is_behind = node.replica.revision < pulled.revision
        if not is_behind:
            self._merge_evidence(vm, pulled, requested_at)
        return is_behind

    def _merge_evidence(
        self, vm: VmName, pulled: Any, requested_at: Instant
    ) -> None:
        freshness = self._node.freshness
        if pulled.storeAgeMs != _AGE_UNKNOWN_MS:
            age_s = pulled.storeAgeMs / _MS_PER_S
            instant = Instant(requested_at - age_s)
            freshness.store_instant = max(freshness.store_instant, instant)
        if pulled.attests:
            freshness.record_attestation(vm, requested_at)
        if pulled.ages and pulled.members == self._members_hash():
            freshness.merge_ages(bytes(pulled.ages), requested_at)
        if not freshness.attests and self._node.is_fresh():
            freshness.attests = True

    def _on_pull(self, question: Question) -> Answer:
        node = self._node
        now = node.clock.now()
        request = question.body
        delta = node.replica.changes_since(
            Revision(request.revision),
            _MAX_DELTA_BYTES,
        )
        fields: dict[str, Any] = {
            **delta_fields(node.replica, delta, with_patches=False),
            'revision': node.replica.revision,
            'storeAgeMs': _age_ms(now - node.freshness.store_instant),
            'attests': node.freshness.attests,
        }
        if request.wantsAges:
            fields['members'] = self._members_hash()
            fields['ages'] = node.freshness.encode_ages(now)
        if request.revision > node.replica.revision:
            self._spawn_pull(question.sender)
        return Answer('pulled', fields)

    def _spawn_pull(self, vm: VmName) -> None:
        task = asyncio.create_task(self.pull_from(vm))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_reader(self) -> bool:
        return self._node.vm in self._ranked_readers()[:_READER_COUNT]

    def _ranked_readers(self) -> list[VmName]:
        live = self._node.live_vms()
        if live is not self._ranked_live_vms:
            self._ranked_live_vms = live
            self._ranking = rank_vms('store-reader', live)
        return self._ranking

    def _is_extra_reader(self) -> bool:
        node = self._node
        age_s = node.clock.now() - node.freshness.store_instant
        if age_s < _STALE_STORE_READ_S:
            return False
        others = len(node.other_vms()) + 1
        return node.random.random() < _EXPECTED_EXTRA_READERS / others

    def _choose_peer(self) -> VmName | None:
        node = self._node
        others = node.other_vms()
        if not others:
            return None
        parent = self._parent_peer()
        if parent is not None and self._pull_count % 2:
            return parent
        return node.random.choice(others)

    def _parent_peer(self) -> VmName | None:
        # A tree below the readers bounds the hops of evidence.
        node = self._node
        ranked = self._ranked_readers()
        if node.vm not in ranked:
            return None
        index = ranked.index(node.vm)
        if index < _READER_COUNT:
            return None
        return ranked[(index - _READER_COUNT) // _TREE_FANOUT]

    def _wants_ages(self, now: Instant) -> bool:
        if not self._node.is_large_fleet():
            return True
        store_age_s = now - self._node.freshness.store_instant
        return (
            self._pull_count % _AGES_INTERVAL_PULLS == 0
            or store_age_s > _STALE_STORE_READ_S
        )

    def _members_hash(self) -> int:
        return stable_hash('members', *self._node.freshness.members)


def _age_ms(age_s: float) -> int:
    if age_s == -NEVER or age_s * _MS_PER_S >= _AGE_UNKNOWN_MS:
        return _AGE_UNKNOWN_MS
    return int(age_s * _MS_PER_S) + 1
