"""Claims partitions in the store and decides when to act as their owner."""

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

_STEP_PERIOD_S = 0.25
_CONFIRM_TIMEOUT_S = 2.0
_RELEASE_TIMEOUT_S = 0.25
_RELEASE_ATTEMPTS = 3
#: Most claims that one VM writes in one step.
_MAX_CLAIMS_PER_STEP = 16
#: Most partitions that one VM transfers in one rebalancing, and the number
#: of steps from one rebalancing to the next.
_MAX_MOVES_PER_REBALANCE = 8
_REBALANCE_INTERVAL_STEPS = 8
_MAX_STORE_READ_AGE_S = 1.0
#: How long a VM must be live before it receives partitions of other VMs.
_STABLE_AFTER_S = 10.0

#: A process that holds claims.
_Holder = tuple[VmName, Incarnation]
TenureListener = Callable[[Tenure], None]


class PartitionStateHandler(Protocol):
    """A component with per-partition state that moves with ownership."""

    def export_state(self, tenure: Tenure) -> list[dict[str, Any]]:
        """Return the state of a partition as the fields of messages."""

    def import_state(self, tenure: Tenure, parts: list[Any]) -> None:
        """Restore the state in received messages before serving starts."""


@dataclass(slots=True)
class _ReceivedState:
    """State sent by the previous owner for the claim with `epoch`."""

    epoch: int
    parts: list[Any] = field(default_factory=list)
    is_complete: bool = False


class Ownership:
    """The partitions that this process has claimed in the store."""

    def __init__(
        self,
        node: Node,
        store: Store,
        sync: Synchroniser,
        link: PeerLink,
    ) -> None:
        """Create an instance that owns no partitions."""
        self._node = node
        self._link = link
        self._state_handlers: list[PartitionStateHandler] = []
        self._received: dict[PartitionId, _ReceivedState] = {}
        self._store = store
        self._sync = sync
        self._tenures: dict[PartitionId, Tenure] = {}
        self._listeners: list[TenureListener] = []
        self._step_lock = asyncio.Lock()
        self._step_count = 0
        self._revision_to_announce: Revision | None = None
        self._partitions_by_holder: (
            dict[_Holder | None, list[PartitionId]] | None
        ) = None
        self._live_since: dict[VmName, Instant] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        node.watch(self._on_entries_changed)
        link.on('release', self._on_release)

    def start(self, timers: TimerService) -> None:
        """Run `step` periodically on `timers`."""
        timers.subscribe('ownership', _STEP_PERIOD_S, self.step)

    def add_listener(self, listener: TenureListener) -> None:
        """Call `listener` with each tenure that starts to serve or ends."""
        self._listeners.append(listener)

    def add_state_handler(self, handler: 'PartitionStateHandler') -> None:
        """Transfer the state of `handler` along with each partition."""
        self._state_handlers.append(handler)

    def partition(self, subject: str) -> PartitionId:
        """Return the partition that `subject` hashes to."""
        return partition_of(subject, self._node.policy.partitions)

    def owner_of(self, partition: PartitionId) -> VmName | None:
        """Return the VM that has claimed `partition`, or None."""
        claim = self._node.catalog.claims.get(partition)
        return claim.vm if claim and claim.vm else None

    def tenure(self, partition: PartitionId) -> Tenure | None:
        """Return the tenure if this process may act as owner, or None."""
        tenure = self._tenures.get(partition)
        if tenure is None or not self._node.is_fresh():
            return None
        self._advance_tenure(tenure)
        return tenure if tenure.state is OwnerState.SERVING else None

    def owned(self) -> tuple[Tenure, ...]:
        """Return the tenures of this process, whether serving or not."""
        return tuple(self._tenures.values())

    async def step(self) -> None:
        """Advance tenures, claim free partitions and rebalance."""
        if not self._step_lock.locked():
            async with self._step_lock:
                await self._run_step()

    async def _run_step(self) -> None:
        for held in self.owned():
            self._advance_tenure(held)
        if not self._node.stopping and self._node.is_fresh():
            await self._claim_free_partitions()
            await self._rebalance()
        if any(tenure.serving_from is None for tenure in self.owned()):
            await self._confirm_claims()

    async def release_all(self) -> None:
        """Transfer each partition to another VM."""
        candidates = self._node.live_vms()
        await asyncio.gather(
            *(self._transfer(tenure, candidates) for tenure in self.owned()),
        )

    async def _transfer(
        self,
        tenure: Tenure,
        candidates: tuple[VmName, ...],
    ) -> None:
        """Transfer one partition to the first-ranked VM of `candidates`.

        This process acts as owner until it knows that the new claim was
        written, so the partition stays served while the store is
        unreachable.
        """
        successor = first_vm(f'partition-{tenure.partition}', candidates)
        vm = self._node.catalog.vms.get(successor) if successor else None
        if successor is None or vm is None:
            return
        claim = StoredClaim(
            vm=successor,
            incarnation=vm.incarnation,
            epoch=tenure.claim.epoch + 1,
        )
        served = tenure.state is OwnerState.SERVING
        if not await self._write_claim(tenure.partition, claim):
            return
        self._end_tenure(tenure)
        if served:
            await self._send_state(tenure, successor)

    async def _send_state(self, tenure: Tenure, successor: VmName) -> None:
        """Send the partition's state and release it to the successor."""
        address = self._node.peer_address(successor)
        if address is None:
            return
        try:
            for part in self._state_messages(tenure):
                await self._call_with_retries(address, part)
        except PeerTimeoutError:
            # The successor waits until this process must have stopped.
            logging.warning(
                'ownership: %s did not acknowledge transferred state',
                successor,
            )

    async def _call_with_retries(
        self,
        address: Address,
        part: dict[str, Any],
    ) -> None:
        for _ in range(_RELEASE_ATTEMPTS - 1):
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

    def _state_messages(self, tenure: Tenure) -> list[dict[str, Any]]:
        fields: dict[str, Any] = {
            'partition': tenure.partition,
            'epoch': tenure.claim.epoch + 1,
        }
        parts = []
        for handler in self._state_handlers:
            for state in handler.export_state(tenure):
                parts.append({**fields, **state, 'isLast': False})
        return [*parts, {**fields, 'isLast': True}]

    def _on_release(self, question: Question) -> Answer:
        body = question.body
        partition = PartitionId(body.partition)
        received = self._received.get(partition)
        if received is None or received.epoch != body.epoch:
            received = _ReceivedState(body.epoch)
            self._received[partition] = received
        if body.isLast:
            received.is_complete = True
        else:
            received.parts.append(body)
        self._import_received_state(partition)
        return Answer('ok', None)

    def _import_received_state(self, partition: PartitionId) -> None:
        received = self._received.get(partition)
        tenure = self._tenures.get(partition)
        if received is None or tenure is None or not received.is_complete:
            return
        if tenure.claim.epoch == received.epoch:
            del self._received[partition]
            if tenure.state is OwnerState.FENCING:
                for handler in self._state_handlers:
                    handler.import_state(tenure, received.parts)
                tenure.record_release(self._node.clock.now())
                self._advance_tenure(tenure)

    async def _claim_free_partitions(self) -> None:
        live = self._node.live_vms()
        if self._node.vm not in live:
            return
        free = [
            partition
            for partition in self._free_partitions()
            if first_vm(f'partition-{partition}', live) == self._node.vm
        ]
        unresponsive = await self._unresponsive_owners(free)
        claimed = 0
        for partition in free:
            # The claim may have changed while other claims were written.
            is_free = self._is_free(partition)
            if is_free and self._claim_holder(partition) in unresponsive:
                await self._claim(partition)
                claimed += 1
            if claimed >= _MAX_CLAIMS_PER_STEP:
                return

    def _free_partitions(self) -> list[PartitionId]:
        """Return the free partitions; check each claim holder once."""
        if self._partitions_by_holder is None:
            self._partitions_by_holder = {}
            for number in range(self._node.policy.partitions):
                partition = PartitionId(number)
                claim = self._node.catalog.claims.get(partition)
                holder = (claim.vm, claim.incarnation) if claim else None
                self._partitions_by_holder.setdefault(holder, []).append(
                    partition
                )
        return [
            partition
            for partitions in self._partitions_by_holder.values()
            if self._may_be_claimable(partitions[0])
            for partition in partitions
            if self._is_free(partition)
        ]

    def _may_be_claimable(self, partition: PartitionId) -> bool:
        claim = self._node.catalog.claims.get(partition)
        if claim is not None and self._is_own_claim(claim):
            return True
        return self._is_free(partition)

    async def _unresponsive_owners(
        self,
        partitions: list[PartitionId],
    ) -> set[VmName]:
        """Return the owners that do not answer direct requests either."""
        owners = {self._claim_holder(partition) for partition in partitions}
        probed = [vm for vm in owners if self._should_probe(vm)]
        answers = await asyncio.gather(*map(self._sync.is_alive, probed))
        alive = {
            vm
            for vm, has_answered in zip(probed, answers, strict=True)
            if has_answered
        }
        return owners - alive

    def _should_probe(self, vm: VmName) -> bool:
        known = self._node.catalog.vms.get(vm)
        if known is None or vm == self._node.vm:
            return False
        return known.state is not VmState.GONE

    def _claim_holder(self, partition: PartitionId) -> VmName:
        claim = self._node.catalog.claims.get(partition)
        if claim is None or self._is_outdated(claim):
            return VmName('')
        return claim.vm

    def _is_outdated(self, claim: Claim) -> bool:
        """Return whether the claim's VM has restarted or is unknown."""
        vm = self._node.catalog.vms.get(claim.vm)
        return vm is None or vm.incarnation != claim.incarnation

    async def _rebalance(self) -> None:
        """Transfer some partitions to the VMs that rank first for them."""
        self._stable_vms()
        self._step_count += 1
        if (
            self._step_count % _REBALANCE_INTERVAL_STEPS
            or not self._has_recent_store_read()
        ):
            return
        live = self._stable_vms()
        moved = 0
        for tenure in self.owned():
            successor = first_vm(f'partition-{tenure.partition}', live)
            if successor is not None and successor != self._node.vm:
                await self._transfer(tenure, live)
                moved += 1
            if moved >= _MAX_MOVES_PER_REBALANCE:
                return

    def _stable_vms(self) -> tuple[VmName, ...]:
        """Return this VM and those that have been live for long enough."""
        now = self._node.clock.now()
        live = self._node.live_vms()
        self._live_since = {vm: self._live_since.get(vm, now) for vm in live}
        return tuple(
            vm
            for vm, since in self._live_since.items()
            if vm == self._node.vm or now - since >= _STABLE_AFTER_S
        )

    def _has_recent_store_read(self) -> bool:
        # While the store is unreachable, a released partition gets no owner.
        now = self._node.clock.now()
        return now - self._node.freshness.store_instant <= _MAX_STORE_READ_AGE_S

    def _is_free(self, partition: PartitionId) -> bool:
        claim = self._node.catalog.claims.get(partition)
        if claim is None or not claim.vm:
            return True
        if self._is_own_claim(claim):
            # A transfer whose outcome is unknown leaves no tenure here.
            return partition not in self._tenures
        if self._is_outdated(claim):
            return True
        now = self._node.clock.now()
        return not self._node.is_live(claim.vm, now)

    async def _claim(self, partition: PartitionId) -> None:
        previous = self._node.catalog.claims.get(partition)
        claim = StoredClaim(
            vm=self._node.vm,
            incarnation=self._node.incarnation,
            epoch=previous.epoch + 1 if previous else 1,
        )
        if await self._write_claim(partition, claim):
            logging.info('ownership: claimed partition %d', partition)

    async def _write_claim(
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
        self._schedule_announcement(written.unwrap())
        return True

    def _schedule_announcement(self, revision: Revision) -> None:
        # One task announces all claims that are written while it runs.
        is_announcing = self._revision_to_announce is not None
        self._revision_to_announce = revision
        if not is_announcing:
            self._spawn(self._announce_claims())

    async def _announce_claims(self) -> None:
        announced = None
        while announced != self._revision_to_announce:
            announced = self._revision_to_announce
            # The request carries the revision, so peers that lag pull it.
            await self._sync.confirm(announced or NO_REVISION, 0, need_all=True)
        self._revision_to_announce = None

    async def _confirm_claims(self) -> None:
        # One confirmation covers all claims that the replica holds now.
        pending = [
            tenure for tenure in self.owned() if tenure.serving_from is None
        ]
        revision = self._newest_revision(pending)
        holders = await self._sync.confirm(revision, _CONFIRM_TIMEOUT_S)
        if len(holders) < majority(len(self._node.catalog.members())):
            return
        fence_s = self._node.policy.freshness_s * (1 + MAX_CLOCK_DRIFT)
        now = self._node.clock.now()
        for tenure in pending:
            tenure.record_majority(now, fence_s)
            self._advance_tenure(tenure)

    def _newest_revision(self, tenures: list[Tenure]) -> Revision:
        revisions = []
        for tenure in tenures:
            key = f'{Prefix.CLAIMS.value}{tenure.partition}'
            entry = self._node.replica.get(key)
            if entry is not None:
                revisions.append(entry.revision)
        return max(revisions, default=NO_REVISION)

    def _on_entries_changed(self, changed: tuple[Entry, ...]) -> None:
        for entry in changed:
            if entry.key.startswith(Prefix.CLAIMS.value):
                self._partitions_by_holder = None
                partition = PartitionId(
                    int(entry.key.removeprefix(Prefix.CLAIMS.value)),
                )
                self._apply_claim(partition)

    def _apply_claim(self, partition: PartitionId) -> None:
        claim = self._node.catalog.claims.get(partition)
        held = self._tenures.get(partition)
        if held is not None and held.claim != claim:
            logging.info('ownership: lost partition %d', partition)
            self._end_tenure(held)
        if claim is None or partition in self._tenures:
            return
        if self._is_own_claim(claim) and not self._node.stopping:
            self._tenures[partition] = Tenure(partition, claim)
            self._import_received_state(partition)
            self._spawn_step()

    def _is_own_claim(self, claim: Claim) -> bool:
        own_holder = (self._node.vm, self._node.incarnation)
        return own_holder == (claim.vm, Incarnation(claim.incarnation))

    def _spawn_step(self) -> None:
        if not self._step_lock.locked():
            self._spawn(self.step())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _advance_tenure(self, tenure: Tenure) -> None:
        if tenure.advance(self._node.clock.now()):
            self._notify_listeners(tenure)

    def _end_tenure(self, tenure: Tenure) -> None:
        if tenure.state is OwnerState.LOST:
            return
        self._tenures.pop(tenure.partition, None)
        tenure.end()
        self._notify_listeners(tenure)

    def _notify_listeners(self, tenure: Tenure) -> None:
        for listener in self._listeners:
            listener(tenure)
