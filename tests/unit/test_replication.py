"""How changes of the store reach all VMs, on virtual time."""

import asyncio
import json
from random import Random
from typing import Awaitable, Callable

from teaselquay.decisions import ServiceName, UpstreamName, VmName
from tests.support.replicas import RATE, ReplicaFleet, ReplicaVm
from tests.support.virtual import run_virtual

#: The users' bounds for a configuration and for a leaving upstream.
IN_FORCE_S = 2.0
#: The same where the users have grown.
GROWN_IN_FORCE_S = 2.5
SERVICE = ServiceName('s')
UP = UpstreamName('one')


def _run(count: int, check: Callable[[ReplicaFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = ReplicaFleet(count)
        fleet.store.put('config', 1)
        fleet.store.put('up/one', 'ready')
        await asyncio.sleep(5)
        try:
            await check(fleet)
        finally:
            fleet.stop()

    run_virtual(main)


def test_change_is_in_force_on_every_vm_in_time():
    async def check(fleet: ReplicaFleet) -> None:
        assert {vm.version for vm in fleet.vms} == {1}
        fleet.store.put('config', 2)
        await asyncio.sleep(IN_FORCE_S)
        assert {vm.version for vm in fleet.vms} == {2}

    _run(24, check)


def test_change_of_a_long_configuration_does_not_choke_the_readers_link():
    """Load pattern: 16 VMs of a zone want 20 kB from one VM at once, whose
    link carries as much as the smallest of the users' for 38 VMs.
    """
    random = Random(1)
    keys = {f'team-{index}': random.randbytes(32).hex() for index in range(80)}
    routes = [
        {'host': f'{key[:8]}.example', 'prefix': f'/{key[8:16]}/', 'kind': 'x'}
        for key in keys.values()
    ]

    async def check(fleet: ReplicaFleet) -> None:
        fleet.network.encodes = True
        fleet.network.bytes_per_s = 1.25e6 * 16 / 38
        for version in (2, 3, 4):
            fleet.lines.clear()
            fleet.store.put('config', [version, keys, routes])
            await asyncio.sleep(IN_FORCE_S)
            assert {vm.version for vm in fleet.vms} == {version}
            assert not [line for line in fleet.lines if b'peer.lost' in line]

    _run(48, check)


def _places(random: Random, count: int) -> dict[str, str]:
    """Return `count` teams or routes of 145 bytes each in JSON."""
    return {str(index): random.randbytes(67).hex() for index in range(count)}


def _check_changes(
    documents: list[object],
    gap_s: float,
) -> None:
    """Check that each VM has each change in time.

    Load pattern: 38 VMs a zone, whose links carry 10 Mbit/s and hold 32 KiB.
    """
    late: list[tuple[int, VmName, int]] = []

    async def look(fleet: ReplicaFleet, version: int) -> None:
        await asyncio.sleep(GROWN_IN_FORCE_S)
        late.extend(
            (version, vm.name, vm.version)
            for vm in fleet.vms
            if vm.version < version
        )

    async def check(fleet: ReplicaFleet) -> None:
        fleet.network.encodes = True
        fleet.network.bytes_per_s = 1.25e6
        fleet.network.queue_bytes = 32 * 1024
        looks = []
        for version, document in enumerate(documents, start=2):
            fleet.store.put('config', [version, document])
            looks.append(asyncio.create_task(look(fleet, version)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*looks)
        assert not late

    _run(114, check)


def test_storm_of_changes_is_in_force_in_time_behind_narrow_links():
    random = Random(1)
    places = _places(random, 98)
    storm = [{**places, **_places(random, 1)} for _ in range(40)]
    _check_changes(storm, gap_s=0.1)


def test_changes_of_everything_are_in_force_in_time_behind_narrow_links():
    random = Random(1)
    _check_changes([_places(random, 98) for _ in range(8)], gap_s=0.5)
    _check_changes([_places(random, 250) for _ in range(4)], gap_s=1)


def test_change_reaches_vms_whose_relay_is_away():
    async def check(fleet: ReplicaFleet) -> None:
        dead = [vm for vm in fleet.vms if not vm.replication._is_reader()][:20]
        for vm in dead:
            fleet.kill(vm)
        fleet.store.put('config', 2)
        await asyncio.sleep(IN_FORCE_S / 2)
        live = [vm for vm in fleet.vms if not vm.is_dead]
        assert {vm.version for vm in live} == {2}

    _run(48, check)


def test_readers_are_asked_little_while_nothing_changes():
    async def check(fleet: ReplicaFleet) -> None:
        readers = [vm for vm in fleet.vms if vm.replication._is_reader()]
        links = [fleet.network.link_at(vm.address) for vm in readers]
        before = sum(link.messages for link in links if link)
        await asyncio.sleep(10)
        after = sum(link.messages for link in links if link)
        # Each reader tells 15 VMs and two readers twice a second, and asks
        # another reader as often. One in four rounds of the other VMs asks
        # a reader. Questions and answers count at both ends.
        told = 3 * 17 * 2 * 10
        asked_by_readers = 4 * 3 * 2 * 10
        asked_by_others = 2 * 45 * 2 * 10 / 4
        most = told + asked_by_readers + asked_by_others
        assert after - before <= most * 1.05

    _run(48, check)


def test_calm_minute_costs_few_calls():
    async def check(fleet: ReplicaFleet) -> None:
        before = fleet.store.calls
        await asyncio.sleep(60)
        # Three zones, a watch of two seconds each.
        assert fleet.store.calls - before <= 3 * 60 / 2 + 3

    _run(24, check)


def test_vm_that_no_peer_answers_reads_the_store():
    async def check(fleet: ReplicaFleet) -> None:
        for vm in fleet.vms[:8]:
            fleet.isolate(vm)
        fleet.store.put('config', 2)
        await asyncio.sleep(IN_FORCE_S)
        assert {vm.version for vm in fleet.vms} == {2}

    _run(24, check)


def test_vm_that_reads_because_no_peer_answers_tells_nobody():
    async def check(fleet: ReplicaFleet) -> None:
        ranking = fleet.vms[0].replication.directory._ranking('store-reader')
        # Others would read before them, as far as they know.
        unheard = [vm for vm in fleet.vms if vm.name in ranking[-4:]]
        for vm in unheard:
            for other in fleet.vms:
                fleet.network.cut(other.name, vm.name)
        fleet.lines.clear()
        for version in range(2, 8):
            fleet.store.put('config', version)
            await asyncio.sleep(0.5)
        lines = [json.loads(line) for line in fleet.lines]
        told_by = {
            line['vm'] for line in lines if line['event'] == 'changes.told'
        }
        assert told_by
        assert not told_by & {vm.name for vm in unheard}

    _run(24, check)


def test_readers_that_the_store_turns_away_are_replaced():
    async def check(fleet: ReplicaFleet) -> None:
        readers = {vm.name for vm in fleet.vms if vm.replication._is_reader()}
        assert len(readers) == 3
        fleet.store.away = readers
        fleet.store.put('config', 2)
        await asyncio.sleep(0.05)
        fleet.store.put('config', 3)
        await asyncio.sleep(2 * IN_FORCE_S)
        assert {vm.version for vm in fleet.vms} == {3}

    _run(24, check)


def test_killed_readers_are_replaced():
    async def check(fleet: ReplicaFleet) -> None:
        dead = [vm for vm in fleet.vms if vm.replication._is_reader()]
        for vm in dead:
            fleet.kill(vm)
        fleet.store.put('config', 2)
        await asyncio.sleep(2 * IN_FORCE_S)
        live = [vm for vm in fleet.vms if vm not in dead]
        assert {vm.version for vm in live} == {2}

    _run(24, check)


def test_lost_history_is_read_anew_with_what_was_removed():
    async def check(fleet: ReplicaFleet) -> None:
        fleet.store.is_down = True
        await asyncio.sleep(2.5)
        fleet.store.put('up/one', None)
        fleet.store.put('up/two', 'ready')
        fleet.store.compacted = fleet.store.revision
        fleet.store.is_down = False
        await asyncio.sleep(8)
        for vm in fleet.vms:
            assert [up.name for up in vm.state.usable(SERVICE)] == ['two']

    _run(9, check)


def test_lapsed_upstream_is_kept_until_it_had_time_to_come_back():
    async def check(fleet: ReplicaFleet) -> None:
        fleet.store.is_down = True
        await asyncio.sleep(3)
        fleet.store.put('up/one', None)
        fleet.store.is_down = False
        await asyncio.sleep(1.5)
        assert all(vm.state.is_usable(UP) for vm in fleet.vms)
        fleet.store.put('up/one', 'ready')
        await asyncio.sleep(5)
        assert all(vm.state.is_usable(UP) for vm in fleet.vms)

    _run(9, check)


def test_removed_upstream_is_used_no_more_while_the_store_is_well():
    async def check(fleet: ReplicaFleet) -> None:
        fleet.store.put('up/one', None)
        await asyncio.sleep(IN_FORCE_S)
        assert not any(vm.state.is_usable(UP) for vm in fleet.vms)

    _run(9, check)


def test_entry_that_cannot_be_read_names_no_upstream():
    async def check(fleet: ReplicaFleet) -> None:
        fleet.store.put('up/one', 'asleep')
        fleet.store.put('up/two', 'ready')
        await asyncio.sleep(IN_FORCE_S)
        for vm in fleet.vms:
            assert [up.name for up in vm.state.usable(SERVICE)] == ['two']

    _run(3, check)


def test_vms_that_coordinate_nothing_are_in_contact():
    async def check(fleet: ReplicaFleet) -> None:
        await asyncio.sleep(20)
        for vm in fleet.vms:
            directory = vm.replication.directory
            silent_s = vm.replication.clock.now() - directory.last_contact
            assert silent_s < 1

    _run(24, check)


def test_quota_holds_over_parts_of_the_fleet():
    async def check(fleet: ReplicaFleet) -> None:
        for left in fleet.vms[:8]:
            for right in fleet.vms[8:]:
                fleet.network.cut(left.name, right.name)
                fleet.network.cut(right.name, left.name)
        await asyncio.sleep(2)
        admitted = await _storm(fleet, 5.0)
        # The users allow a tenth above rate and burst, and twenty more.
        assert admitted <= (RATE * 5 + RATE) * 1.1 + 20
        assert admitted >= RATE * 5 * 0.7

    _run(24, check)


def test_quota_holds_while_its_coordinator_dies():
    async def check(fleet: ReplicaFleet) -> None:
        dead = _quota_coordinator(fleet)
        storm = asyncio.create_task(_storm(fleet, 5.0))
        await asyncio.sleep(2)
        fleet.kill(dead)
        assert await storm <= (RATE * 5 + RATE) * 1.1 + 20

    _run(24, check)


def test_quota_holds_while_coordinators_die_and_come_back():
    """Load pattern: a hot team, and its coordinator restarts in series."""

    async def check(fleet: ReplicaFleet) -> None:
        first = _quota_coordinator(fleet)
        index = fleet.vms.index(first)
        storm = asyncio.create_task(_storm(fleet, 5.0))
        for _ in range(3):
            await asyncio.sleep(0.6)
            fleet.kill(fleet.vms[index])
            await asyncio.sleep(0.6)
            await fleet.restart(index)
        assert await storm <= (RATE * 5 + RATE) * 1.1 + 20

    _run(24, check)


def test_quota_holds_while_all_who_know_its_level_die_twice():
    async def check(fleet: ReplicaFleet) -> None:
        storm = asyncio.create_task(_storm(fleet, 5.0))
        for _ in range(2):
            await asyncio.sleep(1.5)
            directory = fleet.vms[-1].replication.directory
            subject = fleet.vms[-1].coordinators._quota_subject('acme')
            now = fleet.vms[-1].replication.clock.now()
            dead = set(directory.coordinators_for(subject, now))
            assert fleet.vms[-1].name not in dead
            for vm in fleet.vms:
                if vm.name in dead:
                    fleet.kill(vm)
        assert await storm <= (RATE * 5 + RATE) * 1.1 + 20

    _run(24, check)


def _quota_coordinator(fleet: ReplicaFleet) -> ReplicaVm:
    found = []
    for vm in fleet.vms:
        directory = vm.replication.directory
        subject = vm.coordinators._quota_subject('acme')
        now = vm.replication.clock.now()
        if directory.coordinators_for(subject, now)[0] == vm.name:
            found.append(vm)
    assert len(found) == 1
    return found[0]


def test_team_inside_its_rate_is_served_after_a_loss_of_all():
    async def check(fleet: ReplicaFleet) -> None:
        for vm in list(fleet.vms):
            fleet.kill(vm)
        await asyncio.sleep(1)
        fleet.vms = [fleet._start(index) for index in range(24)]
        await asyncio.sleep(0.05)
        asked = int(RATE * 0.6 * 3)
        admitted = await _storm(fleet, 3.0, asked=asked)
        assert admitted >= asked * 0.99

    _run(24, check)


async def _storm(
    fleet: ReplicaFleet,
    seconds: float,
    asked: int = 0,
) -> int:
    """Return how many requests are admitted of `asked`.

    Without a number they are ten times what the rate allows.
    """
    asked = asked or int(RATE * 10 * seconds)
    admitted = 0

    async def ask(index: int) -> None:
        nonlocal admitted
        vm = fleet.vms[index % len(fleet.vms)]
        table = vm.state.table
        if vm.is_dead or table is None:
            return
        team = table.configuration.teams_by_name['acme']
        wait_s = await vm.coordinators.admit(team)
        admitted += wait_s == 0

    tasks = []
    for index in range(asked):
        tasks.append(asyncio.create_task(ask(index)))
        await asyncio.sleep(seconds / asked)
    await asyncio.gather(*tasks)
    return admitted
