"""Costs of one node, against teams, routes, servers and requests."""

import asyncio
import gc
import subprocess
import sys
from dataclasses import dataclass
from random import Random
from typing import Any

from teaselquay.decisions import (
    Catalog,
    Delta,
    DetectionPolicy,
    Detector,
    Entry,
    IdempotencyLedger,
    Instant,
    Replica,
    Revision,
    Route,
    RouteName,
    Sample,
    ServiceName,
    Team,
    Upstream,
    UpstreamName,
    VmName,
    WallTime,
    ZoneName,
    dump_entry,
    hash_key,
)
from teaselquay.shells import Health, PolicySettings
from tests.support.callers import new_key
from tests.support.virtual import VirtualFleet, run_virtual

_ROUTES = 4400
_SERVICES = 350
_SERVERS = 9200
_MEASURE_S = 20.0
_PAGE = 4096
_ABSENT = 628


def _resident() -> int:
    gc.collect()
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * _PAGE


def entries(teams: int, routes: int) -> list[Entry]:
    """Return the entries of so many teams, with a key each, and routes."""
    made = []
    for number in range(teams):
        key_hash = hash_key(b'%d' % number)
        value = dump_entry(Team(10.0 + number % 7, 20.0, (key_hash,)))
        key = f'teams/team-{number}'
        made.append(Entry(key, value, Revision(number + 1)))
    for number in range(routes):
        route = Route(f'/route-{number}/', f'service-{number % _SERVICES}')
        made.append(
            Entry(
                f'routes/route-{number}',
                dump_entry(route),
                Revision(teams + number + 1),
            ),
        )
    return made


def grow(teams: int, routes: int) -> int:
    """Return how many bytes a replica and catalog of this size add."""
    before = _resident()
    replica = Replica()
    catalog = Catalog(replica)
    revision = Revision(0)
    for entry in entries(teams, routes):
        delta = Delta(revision, entry.revision, (entry,))
        catalog.apply(replica.merge(delta))
        revision = entry.revision
    return _resident() - before


def in_process(call: str) -> float:
    """Return the result of a call here, in MB, in a process of its own.

    Only a new process has no free memory that would hide growth.
    """
    code = f'import slopes._node as node; print(node.{call})'
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=True,
        text=True,
    )
    return int(done.stdout) / 1e6


def grow_ledger(keys: int) -> int:
    """Return how many bytes are added by a ledger with `keys` started keys."""
    before = _resident()
    ledger = IdempotencyLedger(WallTime(1.0), 1e9, 1.0)
    for number in range(keys):
        key = f'team/{new_key()}'
        ledger.start(key, number, WallTime(2e9))  # type: ignore[arg-type]
    grown = _resident() - before
    assert len(ledger) == keys
    return grown


def grow_health(servers: int) -> int:
    """Return how many bytes are added by detectors of all servers."""
    before = _resident()
    detectors = []
    for service in range(_SERVICES):
        detector = Detector(DetectionPolicy())
        samples = [
            Sample(
                UpstreamName(f'service-{service}-{index}'),
                RouteName(f'route-{service}'),
                False,
                9,
            )
            for index in range(servers // _SERVICES)
        ]
        detector.observe(VmName('vm-1'), samples, Instant(1.0))
        detectors.append(detector)
    return _resident() - before


@dataclass(frozen=True)
class EvidenceCost:
    """What one node's reports cost, at a rate of requests."""

    rate: float
    octets_s: float
    messages_s: float


class _List:
    """The platform's list at the design size."""

    def __init__(self) -> None:
        per_service = _SERVERS // _SERVICES
        self.by_service = {
            ServiceName(f'service-{number}'): tuple(
                Upstream(
                    UpstreamName(f'service-{number}-{index}'),
                    '10.0.0.1:80',
                    ZoneName('a'),
                    6,
                )
                for index in range(per_service)
            )
            for number in range(_SERVICES)
        }

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        return self.by_service[service]


def measure_evidence(rate: float) -> EvidenceCost:
    """Return the cost of reports, sent and gathered.

    Half of the reports stay in the node that sends them, since there are
    two; the cost is doubled for a fleet where next to none does.
    """

    async def main() -> EvidenceCost:
        fleet = VirtualFleet(5, PolicySettings(partitions=2), encodes=True)
        listed: Any = _List()
        healths = []
        for index in range(2):
            found = fleet.add(f'vm-{index}')
            link: Any = found.link
            healths.append(Health(found.node, link, listed))
        await fleet.settle()
        # The budget of reports is that of a fleet of the design size.
        absent = tuple(VmName(f'absent-{n}') for n in range(_ABSENT))
        for found in fleet.by_vm.values():
            members = (*found.node.freshness.members, *absent)
            found.node.freshness.replace_members(members)
        random = Random(3)
        link = next(iter(fleet.by_vm.values())).link

        async def counted(rate: float) -> tuple[int, int]:
            octets, messages = link.octets, link.messages
            period_s = fleet.policy.report_period_s
            for _ in range(int(_MEASURE_S / period_s)):
                for _ in range(round(rate * period_s)):
                    for health in healths:
                        _record(health, random, listed)
                for health in healths:
                    await health.report_all()
                await asyncio.sleep(period_s)
            return link.octets - octets, link.messages - messages

        # Each of two nodes gathers for the other half the services.
        calm = await counted(0)
        busy = await counted(rate)
        return EvidenceCost(
            rate,
            2 * (busy[0] - calm[0]) / _MEASURE_S,
            2 * (busy[1] - calm[1]) / _MEASURE_S,
        )

    return run_virtual(main)


def _record(health: Health, random: Random, listed: _List) -> None:
    service = random.choice(list(listed.by_service))
    upstream = random.choice(listed.by_service[service])
    sample = Sample(
        upstream.name,
        RouteName('route'),
        random.random() < 0.005,
        random.randrange(8, 12),
    )
    health.record(service, sample)


@dataclass(frozen=True)
class LendingCost:
    """What borrowing costs one node, at a number of active teams."""

    teams: int
    octets_s: float
    messages_s: float


def measure_lending(teams: int) -> LendingCost:
    """Return the cost of 108 requests/s from `teams` teams.

    A node lends as much as it borrows, which doubles what is sent here.
    """
    rate = 108.0

    async def main() -> LendingCost:
        fleet = VirtualFleet(6, PolicySettings(partitions=16), encodes=True)
        for number in range(teams):
            fleet.put(f'teams/t{number}', Team(40, 60))
        for index in range(4):
            fleet.add(f'vm-{index}')
        await fleet.settle()
        await asyncio.sleep(15)
        found = next(iter(fleet.by_vm.values()))
        random = Random(4)

        async def counted(requests: bool) -> tuple[int, int]:
            octets, messages = found.link.octets, found.link.messages
            loop = asyncio.get_running_loop()
            end = loop.time() + _MEASURE_S
            tasks = []
            while loop.time() < end:
                await asyncio.sleep(1 / rate)
                if requests:
                    team: Any = f't{random.randrange(teams)}'
                    work = found.borrower.admit(team, 60)
                    tasks.append(asyncio.create_task(work))
            await asyncio.gather(*tasks)
            return found.link.octets - octets, found.link.messages - messages

        calm = await counted(False)
        busy = await counted(True)
        return LendingCost(
            teams,
            2 * (busy[0] - calm[0]) / _MEASURE_S,
            2 * (busy[1] - calm[1]) / _MEASURE_S,
        )

    return run_virtual(main)
