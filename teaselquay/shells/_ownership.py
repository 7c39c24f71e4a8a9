"""Claims partitions through the store and tells whether to act as owner."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Callable, Coroutine, Protocol

from absl import logging
from returns.result import Success

from teaselquay.decisions import (
    MAX_CLOCK_DRIFT,
    NO_REVISION,
    Claim,
    Entry,
    Incarnation,
    Instant,
    OwnerState,
    PartitionId,
    Prefix,
    Revision,
    StoredClaim,
    Tenure,
    VmName,
    VmState,
    dump_entry,
    first_vm,
    majority,
    partition_of,
)
from teaselquay.shells._node import Node
from teaselquay.shells._peers import (
    Address,
    Answer,
    PeerLink,
    PeerTimeoutError,
    Question,
)
from teaselquay.shells._store import Store, Write
from teaselquay.shells._sync import Synchroniser
from teaselquay.shells._timers import TimerService

_PERIOD_S = 0.25
_CONFIRM_TIMEOUT_S = 2.0
_RELEASE_TIMEOUT_S = 0.25
_RELEASE_TRIES = 3
#: Claims that one VM writes in one period.
_CLAIMS_AT_ONCE = 16
#: Partitions that one VM hands over at a time, every so many periods.
_MOVES_AT_ONCE = 8
_REBALANCE_EVERY = 8
_STORE_RECENT_S = 1.0
#: How long a VM must be live before it is given partitions of others.
_STEADY_S = 10.0

_Holder = tuple[VmName, Incarnation]
TenureListener = Callable[[Tenure], None]


class StateKeeper(Protocol):
    """A part that keeps state for the partitions of this process."""

    def export_state(self, tenure: Tenure) -> list[dict[str, Any]]:
        """Return the fields of messages that hold the state."""

    def import_state(self, tenure: Tenure, parts: list[Any]) -> None:
        """Take over the state in messages, before the tenure serves."""


@dataclass(slots=True)
class _HandedOver:
    """State that an owner before has sent for a claim with `epoch`."""

    epoch: int
    parts: list[Any] = field(default_factory=list)
    is_whole: bool = False


class Ownership:
    """The partitions that this process owns."""

    def __init__(
        self,
        node: Node,
        store: Store,
        sync: Synchroniser,
        link: PeerLink,
    ) -> None:
        """Own nothing yet."""
        self._node = node
        self._link = link
        self._keepers: list[StateKeeper] = []
        self._handed: dict[PartitionId, _HandedOver] = {}
        self._store = store
        self._sync = sync
        self._by_partition: dict[PartitionId, Tenure] = {}
        self._listeners: list[TenureListener] = []
        self._working = asyncio.Lock()
        self._rounds = 0
        self._to_tell: Revision | None = None
        self._by_claim: dict[_Holder | None, list[PartitionId]] | None = None
        self._live_since: dict[VmName, Instant] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        node.watch(self._on_changes)
        link.on('release', self._on_release)

    def start(self, timers: TimerService) -> None:
        """Subscribe to `timers`."""
        timers.subscribe('ownership', _PERIOD_S, self.step)

    def listen(self, listener: TenureListener) -> None:
        """Call `listener` with each tenure that starts to serve or ends."""
        self._listeners.append(listener)

    def keep(self, keeper: 'StateKeeper') -> None:
        """Hand over the state of `keeper` with each partition."""
        self._keepers.append(keeper)

    def partition(self, subject: str) -> PartitionId:
        """Return the partition that holds `subject`."""
        return partition_of(subject, self._node.policy.partitions)

    def owner_of(self, partition: PartitionId) -> VmName | None:
        """Return the VM that holds the claim of `partition`."""
        claim = self._node.catalog.claims.get(partition)
        return claim.vm if claim and claim.vm else None

    def tenure(self, partition: PartitionId) -> Tenure | None:
        """Return the tenure under which this process may act right now."""
        tenure = self._by_partition.get(partition)
        if tenure is None or not self._node.is_fresh():
            return None
        self._advance(tenure)
        return tenure if tenure.state is OwnerState.SERVING else None

    def owned(self) -> tuple[Tenure, ...]:
        """Return the tenures of this process."""
        return tuple(self._by_partition.values())

    async def step(self) -> None:
        """Claim what is free and advance the tenures."""
        if not self._working.locked():
            async with self._working:
                await self._work()

    async def _work(self) -> None:
        for held in self.owned():
            self._advance(held)
        if not self._node.stopping and self._node.is_fresh():
            await self._claim_free()
            await self._rebalance()
        if any(tenure.serving_from is None for tenure in self.owned()):
            await self._confirm()

    async def release_all(self) -> None:
        """Hand each claim to another VM."""
        heirs = self._node.live_vms()
        await asyncio.gather(
            *(self._hand_over(tenure, heirs) for tenure in self.owned()),
        )

    async def _hand_over(
        self,
        tenure: Tenure,
        heirs: tuple[VmName, ...],
    ) -> None:
        """Give one partition to the first of `heirs`.

        This process acts as owner until it knows that the claim was
        written, so a store that is away costs nothing.
        """
        heir = first_vm(f'partition-{tenure.partition}', heirs)
        vm = self._node.catalog.vms.get(heir) if heir else None
        if heir is None or vm is None:
            return
        claim = StoredClaim(
            vm=heir,
            incarnation=vm.incarnation,
            epoch=tenure.claim.epoch + 1,
        )
        served = tenure.state is OwnerState.SERVING
        if not await self._write(tenure.partition, claim):
            return
        self._end(tenure)
        if served:
            await self._send_state(tenure, heir)

    async def _send_state(self, tenure: Tenure, heir: VmName) -> None:
        """Tell the heir what this process knows, and that it stopped."""
        address = self._node.peer_address(heir)
        if address is None:
            return
        try:
            for part in self._state_parts(tenure):
                await self._call_again(address, part)
        except PeerTimeoutError:
            # The heir then waits until this process must have stopped.
            logging.warning('ownership: %s took no state', heir)

    async def _call_again(
        self,
        address: Address,
        part: dict[str, Any],
    ) -> None:
        for _ in range(_RELEASE_TRIES - 1):
            try:
                await self._link.call(
                    address,
                    'release',
                    part,
                    _RELEASE_TIMEOUT_S,
                )
            except PeerTimeoutError:
                continue
            return
        await self._link.call(address, 'release', part, _RELEASE_TIMEOUT_S)

    def _state_parts(self, tenure: Tenure) -> list[dict[str, Any]]:
        fields: dict[str, Any] = {
            'partition': tenure.partition,
            'epoch': tenure.claim.epoch + 1,
        }
        parts = []
        for keeper in self._keepers:
            for state in keeper.export_state(tenure):
                parts.append({**fields, **state, 'isLast': False})
        return [*parts, {**fields, 'isLast': True}]

    def _on_release(self, question: Question) -> Answer:
        body = question.body
        partition = PartitionId(body.partition)
        handed = self._handed.get(partition)
        if handed is None or handed.epoch != body.epoch:
            handed = _HandedOver(body.epoch)
            self._handed[partition] = handed
        if body.isLast:
            handed.is_whole = True
        else:
            handed.parts.append(body)
        self._use_handed(partition)
        return Answer('ok', None)

    def _use_handed(self, partition: PartitionId) -> None:
        handed = self._handed.get(partition)
        tenure = self._by_partition.get(partition)
        if handed is None or tenure is None or not handed.is_whole:
            return
        if tenure.claim.epoch == handed.epoch:
            del self._handed[partition]
            if tenure.state is OwnerState.FENCING:
                for keeper in self._keepers:
                    keeper.import_state(tenure, handed.parts)
                tenure.record_release(self._node.clock.now())
                self._advance(tenure)

    async def _claim_free(self) -> None:
        live = self._node.live_vms()
        if self._node.vm not in live:
            return
        free = [
            partition
            for partition in self._not_served()
            if first_vm(f'partition-{partition}', live) == self._node.vm
        ]
        silent = await self._silent_owners(free)
        claimed = 0
        for partition in free:
            # The claim may have changed while others were written.
            is_free = self._is_free(partition)
            if is_free and self._claim_vm(partition) in silent:
                await self._claim(partition)
                claimed += 1
            if claimed >= _CLAIMS_AT_ONCE:
                return

    def _not_served(self) -> list[PartitionId]:
        """Return the partitions that are free, asking once for each VM."""
        if self._by_claim is None:
            self._by_claim = {}
            for number in range(self._node.policy.partitions):
                partition = PartitionId(number)
                claim = self._node.catalog.claims.get(partition)
                holder = (claim.vm, claim.incarnation) if claim else None
                self._by_claim.setdefault(holder, []).append(partition)
        return [
            partition
            for held in self._by_claim.values()
            if self._may_be_free(held[0])
            for partition in held
            if self._is_free(partition)
        ]

    def _may_be_free(self, partition: PartitionId) -> bool:
        claim = self._node.catalog.claims.get(partition)
        if claim is not None and self._is_mine(claim):
            return True
        return self._is_free(partition)

    async def _silent_owners(
        self,
        partitions: list[PartitionId],
    ) -> set[VmName]:
        """Return the owners that do not answer either when asked."""
        owners = {self._claim_vm(partition) for partition in partitions}
        asked = [vm for vm in owners if self._may_answer(vm)]
        answers = await asyncio.gather(*map(self._sync.is_alive, asked))
        alive = {vm for vm, does in zip(asked, answers, strict=True) if does}
        return owners - alive

    def _may_answer(self, vm: VmName) -> bool:
        known = self._node.catalog.vms.get(vm)
        if known is None or vm == self._node.vm:
            return False
        return known.state is not VmState.GONE

    def _claim_vm(self, partition: PartitionId) -> VmName:
        claim = self._node.catalog.claims.get(partition)
        if claim is None or self._is_outdated(claim):
            return VmName('')
        return claim.vm

    def _is_outdated(self, claim: Claim) -> bool:
        """Return whether an earlier process of the VM holds the claim."""
        vm = self._node.catalog.vms.get(claim.vm)
        return vm is None or vm.incarnation != claim.incarnation

    async def _rebalance(self) -> None:
        """Hand a few partitions to VMs that come first for them."""
        self._steady_vms()
        self._rounds += 1
        if self._rounds % _REBALANCE_EVERY or not self._reached_store():
            return
        live = self._steady_vms()
        moved = 0
        for tenure in self.owned():
            heir = first_vm(f'partition-{tenure.partition}', live)
            if heir is not None and heir != self._node.vm:
                await self._hand_over(tenure, live)
                moved += 1
            if moved >= _MOVES_AT_ONCE:
                return

    def _steady_vms(self) -> tuple[VmName, ...]:
        """Return the VMs that have been live for some time."""
        now = self._node.clock.now()
        live = self._node.live_vms()
        self._live_since = {vm: self._live_since.get(vm, now) for vm in live}
        return tuple(
            vm
            for vm, since in self._live_since.items()
            if vm == self._node.vm or now - since >= _STEADY_S
        )

    def _reached_store(self) -> bool:
        # Without the store a partition that was let go has no owner.
        now = self._node.clock.now()
        return now - self._node.freshness.store_instant <= _STORE_RECENT_S

    def _is_free(self, partition: PartitionId) -> bool:
        claim = self._node.catalog.claims.get(partition)
        if claim is None or not claim.vm:
            return True
        if self._is_mine(claim):
            # A hand-over whose outcome is unknown leaves no tenure here.
            return partition not in self._by_partition
        if self._is_outdated(claim):
            return True
        now = self._node.clock.now()
        return not self._node.is_live(claim.vm, now)

    async def _claim(self, partition: PartitionId) -> None:
        before = self._node.catalog.claims.get(partition)
        claim = StoredClaim(
            vm=self._node.vm,
            incarnation=self._node.incarnation,
            epoch=before.epoch + 1 if before else 1,
        )
        if await self._write(partition, claim):
            logging.info('ownership: claimed partition %d', partition)

    async def _write(
        self,
        partition: PartitionId,
        claim: StoredClaim,
    ) -> bool:
        key = f'{Prefix.CLAIMS.value}{partition}'
        entry = self._node.replica.get(key)
        expected = entry.revision if entry else NO_REVISION
        write = Write(key, dump_entry(claim), expected)
        written = await self._store.claim(write)
        if not isinstance(written, Success):
            return False
        await self._sync.read_store()
        self._tell_soon(written.unwrap())
        return True

    def _tell_soon(self, revision: Revision) -> None:
        # One round tells of all claims that were written meanwhile.
        is_telling = self._to_tell is not None
        self._to_tell = revision
        if not is_telling:
            self._spawn(self._tell_all())

    async def _tell_all(self) -> None:
        told = None
        while told != self._to_tell:
            told = self._to_tell
            # Being asked, the others see that something is to be pulled.
            await self._sync.confirm(told or NO_REVISION, 0, need_all=True)
        self._to_tell = None

    async def _confirm(self) -> None:
        # One confirmation serves all claims that the replica holds now.
        pending = [
            tenure for tenure in self.owned() if tenure.serving_from is None
        ]
        revision = self._revision_of(pending)
        holders = await self._sync.confirm(revision, _CONFIRM_TIMEOUT_S)
        if len(holders) < majority(len(self._node.catalog.members())):
            return
        fence_s = self._node.policy.freshness_s * (1 + MAX_CLOCK_DRIFT)
        now = self._node.clock.now()
        for tenure in pending:
            tenure.record_majority(now, fence_s)
            self._advance(tenure)

    def _revision_of(self, tenures: list[Tenure]) -> Revision:
        revisions = []
        for tenure in tenures:
            key = f'{Prefix.CLAIMS.value}{tenure.partition}'
            entry = self._node.replica.get(key)
            if entry is not None:
                revisions.append(entry.revision)
        return max(revisions, default=NO_REVISION)

    def _on_changes(self, changed: tuple[Entry, ...]) -> None:
        for entry in changed:
            if entry.key.startswith(Prefix.CLAIMS.value):
                self._by_claim = None
                partition = PartitionId(
                    int(entry.key.removeprefix(Prefix.CLAIMS.value)),
                )
                self._take_over(partition)

    def _take_over(self, partition: PartitionId) -> None:
        claim = self._node.catalog.claims.get(partition)
        held = self._by_partition.get(partition)
        if held is not None and held.claim != claim:
            logging.info('ownership: lost partition %d', partition)
            self._end(held)
        if claim is None or partition in self._by_partition:
            return
        if self._is_mine(claim) and not self._node.stopping:
            self._by_partition[partition] = Tenure(partition, claim)
            self._use_handed(partition)
            self._spawn_step()

    def _is_mine(self, claim: Claim) -> bool:
        me = (self._node.vm, self._node.incarnation)
        return me == (claim.vm, Incarnation(claim.incarnation))

    def _spawn_step(self) -> None:
        if not self._working.locked():
            self._spawn(self.step())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _advance(self, tenure: Tenure) -> None:
        if tenure.advance(self._node.clock.now()):
            self._tell(tenure)

    def _end(self, tenure: Tenure) -> None:
        if tenure.state is OwnerState.LOST:
            return
        self._by_partition.pop(tenure.partition, None)
        tenure.end()
        self._tell(tenure)

    def _tell(self, tenure: Tenure) -> None:
        for listener in self._listeners:
            listener(tenure)
