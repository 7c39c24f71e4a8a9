"""Cost of the fleet's own messages, against the number of nodes."""

import asyncio
import time
from dataclasses import dataclass

from teaselquay.decisions import Team
from teaselquay.shells import PolicySettings
from tests.support.virtual import VirtualFleet, run_virtual

#: Partitions for each node at any size.
_PARTITIONS_PER_NODE = 2
_SETTLE_S = 15.0
_MEASURE_S = 10.0


@dataclass(frozen=True)
class FleetCost:
    """What one node of a calm fleet spends, and the store's calls."""

    nodes: int
    octets_s: float
    messages_s: float
    core_percent: float
    store_calls_s: float
    store_calls_away_s: float
    spread_worst_s: float
    change_octets: float


def measure_fleet(nodes: int) -> FleetCost:
    """Return the costs of a fleet of `nodes`, on virtual time."""

    async def main() -> FleetCost:
        policy = PolicySettings(
            partitions=_PARTITIONS_PER_NODE * nodes,
            dead_after_s=6.0,
        )
        fleet = VirtualFleet(7, policy, encodes=True)
        for index in range(nodes):
            fleet.add(f'vm-{index}')
        await fleet.settle(120)
        await asyncio.sleep(_SETTLE_S)
        links = [found.link for found in fleet.by_vm.values()]
        octets = sum(link.octets for link in links)
        messages = sum(link.messages for link in links)
        calls = fleet.store.reads + fleet.store.writes
        used = time.process_time()
        await asyncio.sleep(_MEASURE_S)
        used = time.process_time() - used
        calls = fleet.store.reads + fleet.store.writes - calls
        octets = sum(link.octets for link in links) - octets
        messages = sum(link.messages for link in links) - messages
        calm_octets = octets / nodes / _MEASURE_S
        spread = await _spread(fleet)
        change = await _change_octets(fleet, calm_octets)
        away = await _calls_away(fleet)
        return FleetCost(
            nodes=nodes,
            octets_s=calm_octets,
            messages_s=messages / nodes / _MEASURE_S,
            core_percent=used / nodes / _MEASURE_S * 100,
            store_calls_s=calls / _MEASURE_S,
            store_calls_away_s=away,
            spread_worst_s=spread,
            change_octets=change,
        )

    return run_virtual(main)


async def _spread(fleet: VirtualFleet) -> float:
    loop = asyncio.get_running_loop()
    worst = 0.0
    for number in range(5):
        began = loop.time()
        revision = fleet.put('teams/changed', Team(number + 1, 1))
        while any(
            found.node.replica.revision < revision
            for found in fleet.by_vm.values()
        ):
            await asyncio.sleep(0.02)
        worst = max(worst, loop.time() - began)
    return worst


async def _change_octets(fleet: VirtualFleet, calm: float) -> float:
    """Return what one change adds to a node's messages."""
    changes = 10
    links = [found.link for found in fleet.by_vm.values()]
    before = sum(link.octets for link in links)
    for number in range(changes):
        fleet.put('teams/one-key', Team(number + 1, 1, ('0' * 64,)))
        await asyncio.sleep(1)
    added = sum(link.octets for link in links) - before
    return added / len(links) / changes - calm


async def _calls_away(fleet: VirtualFleet) -> float:
    fleet.store.away = True
    await asyncio.sleep(5)
    calls = fleet.store.reads + fleet.store.writes
    await asyncio.sleep(_MEASURE_S)
    return (fleet.store.reads + fleet.store.writes - calls) / _MEASURE_S
