"""Registers this VM with the fleet and retires VMs that were removed."""

from dataclasses import replace

from absl import logging
from returns.result import Success

from teaselquay.decisions import (
    NO_REVISION,
    Instant,
    Prefix,
    Vm,
    VmName,
    VmState,
    dump_entry,
    first_vm,
)
from teaselquay.shells._node import Node
from teaselquay.shells._store import Store, Write
from teaselquay.shells._sync import Synchroniser
from teaselquay.shells._timers import TimerService
from teaselquay.shells._vmlist import VmList

_STEP_PERIOD_S = 1.0
_RETIRE_AFTER_S = 60.0


class Membership:
    """Writes the entries of this VM and of VMs that the platform removed."""

    def __init__(
        self,
        node: Node,
        store: Store,
        sync: Synchroniser,
        vm_list: VmList,
        own: Vm,
    ) -> None:
        """Use `own` as the entry of this VM."""
        self._node = node
        self._store = store
        self._sync = sync
        self._vm_list = vm_list
        self._own_entry = own
        self._unlisted_since: dict[VmName, Instant] = {}

    def start(self, timers: TimerService) -> None:
        """Run `step` periodically on `timers`."""
        timers.subscribe('membership', _STEP_PERIOD_S, self.step)

    async def step(self) -> None:
        """Write this VM's entry if it differs and retire removed VMs."""
        if not self._node.is_fresh():
            return
        if self._node.catalog.vms.get(self._node.vm) != self._own_entry:
            await self._write_entry(self._node.vm, self._own_entry)
        live = self._node.live_vms()
        if first_vm('retirer', live) == self._node.vm:
            await self._retire_unlisted()

    async def announce_draining(self) -> None:
        """Mark this VM as draining in the fleet, before it stops."""
        self._own_entry = replace(self._own_entry, state=VmState.DRAINING)
        await self._write_entry(self._node.vm, self._own_entry)

    async def announce_up(self) -> None:
        """Mark this VM as up in the fleet again."""
        self._own_entry = replace(self._own_entry, state=VmState.UP)
        await self._write_entry(self._node.vm, self._own_entry)

    async def announce_gone(self) -> None:
        """Mark this VM as gone, so that it no longer counts for majorities."""
        self._own_entry = replace(self._own_entry, state=VmState.GONE)
        await self._write_entry(self._node.vm, self._own_entry)

    async def _retire_unlisted(self) -> None:
        now = self._node.clock.now()
        for name, vm in tuple(self._node.catalog.vms.items()):
            is_listed = self._vm_list.is_listed(name)
            if is_listed or vm.state is VmState.GONE or name == self._node.vm:
                self._unlisted_since.pop(name, None)
                continue
            unlisted_since = self._unlisted_since.setdefault(name, now)
            if now - unlisted_since >= _RETIRE_AFTER_S:
                logging.info('membership: retiring %s; not listed', name)
                await self._write_entry(name, replace(vm, state=VmState.GONE))

    async def _write_entry(self, name: VmName, vm: Vm) -> None:
        key = f'{Prefix.VMS.value}{name}'
        entry = self._node.replica.get(key)
        expected = entry.revision if entry else NO_REVISION
        write = Write(key, dump_entry(vm), expected)
        written = await self._store.claim(write)
        if isinstance(written, Success):
            logging.info('membership: wrote %s as %s', name, vm.state.value)
            await self._sync.read_store()
