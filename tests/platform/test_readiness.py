"""Readiness of a VM, and when it starts to coordinate."""

import asyncio

from teaselquay.decisions import (
    Entry,
    Instant,
    Revision,
    VmName,
    WallTime,
    ZoneName,
)
from teaselquay.events import Journal
from teaselquay.gateway import GatewayProcess, GatewaySettings
from teaselquay.platform import PlatformDecoder
from teaselquay.platform._settings import DIALECT
from teaselquay.shells import Address
from tests.platform.test_decoding import CONFIGURATION, json_entry

_ANY_PORT = Address('127.0.0.1', 0)


def _gateway_process(lines: list[bytes]) -> GatewayProcess:
    settings = GatewaySettings(
        vm=VmName('vm-1'),
        zone=ZoneName('a'),
        callers=_ANY_PORT,
        ready=_ANY_PORT,
        metrics=_ANY_PORT,
        peer=_ANY_PORT,
        seeds=(),
        grace_s=6,
        repeat_ratio=0.2,
        repeat_slack=20,
    )
    return GatewayProcess(
        settings,
        DIALECT,
        _UnresponsiveStore(),  # type: ignore[arg-type]
        PlatformDecoder(),
        Journal('vm-1', 1, lambda: WallTime(0.0), lines.append),
        b'key',
    )


class _UnresponsiveStore:
    """Store whose calls never return."""

    async def read_all(self) -> None:
        """Wait forever."""
        await asyncio.Future()


def test_vm_coordinates_once_it_has_a_configuration():
    """Load pattern: all VMs start at once, and none coordinates yet.

    A VM must start to coordinate as soon as it has a configuration.
    """

    async def main() -> None:
        lines: list[bytes] = []
        process = _gateway_process(lines)
        process._start_parts()
        member = process._member
        assert not member.coordinators.is_serving()
        entry: Entry = json_entry('op/config', CONFIGURATION)
        member.state.apply([entry], Instant(0.0), 0)
        assert entry.revision == Revision(3)
        assert member.coordinators.is_serving()
        assert any(b'ready-changed' in line for line in lines)
        process._timers.stop()

    asyncio.run(main())
