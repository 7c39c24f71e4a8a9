"""Memory of a whole process, idle and with the design size loaded."""

import asyncio
import time
from dataclasses import dataclass

from slopes._node import entries
from teaselquay.decisions import Revision
from teaselquay.shells import Address, EtcdStore, Write
from tests.support.fleet import Fleet, VmProcess, running_fleet, wait_for

_TEAMS = 29_000
_ROUTES = 4400
_AT_ONCE = 100


@dataclass(frozen=True)
class ProcessMemory:
    """Resident memory in MB, and how long loading took in seconds."""

    idle_mb: float
    loaded_mb: float
    load_s: float


def measure_process() -> ProcessMemory:
    """Return the memory of one VM's process."""
    with running_fleet(vms=1, services={'slots': 1}) as fleet:
        vm = fleet.vms[0]
        time.sleep(3)
        idle = _resident_mb(vm)
        asyncio.run(_fill(fleet))
        began = time.monotonic()
        # A new process takes all entries from the store at once.
        vm.kill()
        vm.start()
        wait_for(vm.is_ready, 60, 'ready')
        wait_for(lambda: _teams(fleet) >= _TEAMS, 60, 'all teams')
        load_s = time.monotonic() - began
        time.sleep(3)
        return ProcessMemory(idle, _resident_mb(vm), load_s)


async def _fill(fleet: Fleet) -> None:
    address = Address('127.0.0.1', fleet.store)
    store = EtcdStore([address], 'loader', timeout_s=5.0)
    items = entries(_TEAMS, _ROUTES)
    for first in range(0, len(items), _AT_ONCE):
        writes = [
            Write(item.key, item.value, Revision(0))
            for item in items[first : first + _AT_ONCE]
        ]
        (await store.write(writes)).unwrap()
    store.close()


def _teams(fleet: Fleet) -> int:
    return len(fleet.do('show teams')['rows'])


def _resident_mb(vm: VmProcess) -> float:
    assert vm.process is not None
    with open(f'/proc/{vm.process.pid}/status') as status:
        line = next(x for x in status if x.startswith('VmRSS'))
    return int(line.split()[1]) / 1000
