"""A fleet of real parts in one process, on virtual time and fake I/O."""

import asyncio
import selectors
from dataclasses import dataclass, field
from random import Random
from typing import Any, Awaitable, Callable, Sequence

from returns.result import Failure, Result, Success

from teaselquay.decisions import (
    Delta,
    Entry,
    Incarnation,
    Instant,
    Replica,
    Revision,
    Vm,
    VmName,
    WallTime,
    ZoneName,
    dump_entry,
)
from teaselquay.shells import (
    Address,
    Borrower,
    Conflict,
    IdempotencyClient,
    IdempotencyOwner,
    Lender,
    Membership,
    Node,
    Ownership,
    PolicySettings,
    StoreUnavailable,
    Synchroniser,
    TimerService,
    Write,
)
from tests.support.fake_network import FakeLink, Network

_EPOCH_S = 1_800_000_000.0


class _JumpSelector(selectors.SelectSelector):
    """Lets time jump to the next timer instead of waiting for it."""

    loop: 'VirtualLoop'

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by `timeout`."""
        if timeout is None:
            raise RuntimeError('all tasks wait for each other')
        self.loop.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        """Start at a time above zero."""
        selector = _JumpSelector()
        self.now_s = 1000.0
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return the virtual time."""
        return self.now_s


def run_virtual(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run `main` to its end on a virtual loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


@dataclass
class VirtualClock:
    """A clock that runs at `speed` and is `offset_s` ahead."""

    speed: float = 1.0
    offset_s: float = 0.0
    wall_offset_s: float = 0.0

    def now(self) -> Instant:
        """Return the time of this clock."""
        time_s = asyncio.get_running_loop().time()
        return Instant(time_s * self.speed + self.offset_s)

    def wall(self) -> WallTime:
        """Return the wall time of this clock."""
        time_s = asyncio.get_running_loop().time()
        return WallTime(_EPOCH_S + time_s + self.wall_offset_s)


class FakeStore:
    """The store, shared by the clients of all nodes."""

    def __init__(self) -> None:
        """Start empty."""
        self.replica = Replica()
        self.away = False
        self.away_for: set[VmName] = set()
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self.history: list[tuple[Revision, str, bytes]] = []

    def client(self, vm: VmName) -> 'FakeStoreClient':
        """Return the client of one node."""
        return FakeStoreClient(self, vm)

    def put(self, key: str, value: bytes) -> Revision:
        """Write without a comparison."""
        entry = self.replica.get(key)
        expected = entry.revision if entry else Revision(0)
        revision = self.write((Write(key, value, expected),))
        assert revision is not None
        return revision

    def write(self, writes: Sequence[Write]) -> Revision | None:
        """Return the revision of the writes, or None for a conflict."""
        for write in writes:
            entry = self.replica.get(write.key)
            if (entry.revision if entry else 0) != write.expected:
                return None
        before = self.replica.revision
        revision = Revision(before + 1)
        entries = tuple(Entry(w.key, w.value, revision) for w in writes)
        self.replica.merge(Delta(before, revision, entries))
        self.history.extend((revision, w.key, w.value) for w in writes)
        return revision


@dataclass
class FakeStoreClient:
    """One node's way to the store."""

    store: FakeStore
    vm: VmName

    async def read_since(
        self, since: Revision
    ) -> Result[Delta, StoreUnavailable]:
        """Return the entries written after `since`."""
        self.store.reads += 1
        if not await self._reach():
            return Failure(StoreUnavailable('away'))
        delta = self.store.replica.changes_since(since, 200_000)
        return Success(delta)

    async def claim(self, write: Write) -> Result[Revision, Any]:
        """Write once."""
        return await self.write((write,))

    async def write(self, writes: Sequence[Write]) -> Result[Revision, Any]:
        """Write all of `writes`, or nothing."""
        self.store.writes += 1
        if not await self._reach():
            return Failure(StoreUnavailable('away'))
        revision = self.store.write(writes)
        if self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            return Failure(StoreUnavailable('the answer was lost'))
        if revision is None:
            return Failure(Conflict(writes[0].key))
        return Success(revision)

    async def _reach(self) -> bool:
        await asyncio.sleep(0.002)
        return not self.store.away and self.vm not in self.store.away_for


@dataclass
class VirtualNode:
    """The parts of one node, on fakes."""

    node: Node
    link: FakeLink
    sync: Synchroniser
    ownership: Ownership
    lender: Lender
    borrower: Borrower
    once_owner: IdempotencyOwner
    once: IdempotencyClient
    membership: Membership
    timers: TimerService
    address: Address


class _Listed:
    """The platform's list, on which every VM stays."""

    def is_listed(self, vm: VmName) -> bool:
        return True


@dataclass
class VirtualFleet:
    """Nodes that share a fake network and a fake store."""

    seed: int = 1
    policy: PolicySettings = field(
        default_factory=lambda: PolicySettings(partitions=16),
    )
    encodes: bool = False

    def __post_init__(self) -> None:
        """Start without nodes."""
        self.random = Random(self.seed)
        self.network = Network(self.random, self.encodes)
        self.store = FakeStore()
        self.by_vm: dict[VmName, VirtualNode] = {}
        self._incarnations = 0

    def put(self, key: str, item: object) -> Revision:
        """Write a typed value into the store."""
        return self.store.put(key, dump_entry(item))

    def add(self, name: str, clock: VirtualClock | None = None) -> VirtualNode:
        """Start a node that knows nothing."""
        vm = VmName(name)
        self._incarnations += 1
        incarnation = Incarnation(self._incarnations)
        seed = self.random.getrandbits(32)
        node = Node.from_config(
            vm,
            ZoneName('a'),
            incarnation,
            self.policy,
            clock or VirtualClock(),
            Random(seed),
        )
        address = Address(name, 1)
        node.listed_peers = {
            other: found.address for other, found in self.by_vm.items()
        }
        link = FakeLink(vm, incarnation, self.network)
        self.network.join(address, link)
        store: Any = self.store.client(vm)
        sync = Synchroniser(node, link, store)
        ownership = Ownership(node, store, sync, link)
        lender = Lender(node, ownership, link)
        once_owner = IdempotencyOwner(node, ownership, link)
        own = Vm(f'{name}:1', f'{name}:2', 'a', incarnation)
        found = VirtualNode(
            node=node,
            link=link,
            sync=sync,
            ownership=ownership,
            lender=lender,
            borrower=Borrower(node, ownership, link, lender),
            once_owner=once_owner,
            once=IdempotencyClient(node, ownership, link, once_owner),
            membership=Membership(
                node,
                store,
                sync,
                _Listed(),  # type: ignore[arg-type]
                own,
            ),
            timers=TimerService(Random(seed)),
            address=address,
        )
        self.by_vm[vm] = found
        self._start(found)
        return found

    def kill(self, name: str) -> None:
        """End a node at once."""
        found = self.by_vm.pop(VmName(name))
        found.timers.stop()
        self.network.leave(found.address)
        # It must not act again, not even on a call that is under way.
        found.node.freshness.members = ()
        found.node.policy = found.node.policy.model_copy(
            update={'freshness_s': -1.0},
        )

    async def settle(self, timeout_s: float = 30.0) -> None:
        """Wait until every partition is served and all know all."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not self._is_settled():
            assert loop.time() < deadline, f'{self.served()} are served'
            await asyncio.sleep(0.1)

    def _is_settled(self) -> bool:
        return self.served() >= self.policy.partitions and all(
            set(self.by_vm) <= set(found.node.catalog.vms)
            for found in self.by_vm.values()
        )

    def served(self) -> int:
        """Return how many partitions have an owner that may act."""
        return sum(
            1
            for found in self.by_vm.values()
            for tenure in found.ownership.owned()
            if found.ownership.tenure(tenure.partition) is not None
        )

    def part(self, left: set[str], right: set[str]) -> None:
        """Cut all messages between two sets of nodes."""
        for one in left:
            for other in right:
                self.network.cut(VmName(one), VmName(other))
                self.network.cut(VmName(other), VmName(one))

    def _start(self, found: VirtualNode) -> None:
        found.sync.start(found.timers)
        found.membership.start(found.timers)
        found.ownership.start(found.timers)
        found.borrower.start(found.timers)
