"""Upstreams that say in their answers that they leave get no more requests."""

import asyncio
import json

import pytest

from teaselquay.configuration import RouteKind, UpstreamState
from teaselquay.coordination import Outcome, Placement, PlacementRequest
from teaselquay.decisions import Instant, ServiceName, UpstreamName, ZoneName
from teaselquay.fleet import AttemptResult
from tests.support.gateway import (
    Gateway,
    Handler,
    Received,
    ScriptedUpstream,
    answer,
    configuration,
    record,
    replies,
    run_with,
)
from tests.support.replicas import ReplicaFleet, ReplicaVm
from tests.support.virtual import run_virtual

Upstreams = list[ScriptedUpstream]
SERVICE = ServiceName('s')
LEAVER = UpstreamName('up-0')


def _leaves(status: str = '200 OK', **extra: str) -> Handler:
    return replies(b'ok', status, x_leaving='1', **extra)


@pytest.mark.parametrize(
    'handler',
    [
        _leaves(),
        _leaves('500 Failed'),
        _leaves('503 Busy', x_not_executed='1'),
    ],
    ids=['served', 'failed', 'shed'],
)
def test_upstream_that_says_that_it_leaves_gets_no_more_requests(
    handler: Handler,
):
    # Only the store told of leaving upstreams, which may be down.
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(30):
            await gateway.ask('POST', body=b'x')
        assert len(upstreams[0].received) <= 1
        assert len(upstreams[1].received) >= 29
        lines = [line for line in gateway.lines if b'upstream.leaving' in line]
        assert len(lines) == len(upstreams[0].received)

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    run_with(config, [handler, replies()], check)


def test_older_word_of_the_store_does_not_bring_a_leaving_upstream_back():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        listed = tuple(gateway.parts.state.upstreams_by_name.values())
        for _ in range(10):
            await gateway.ask()
            gateway.use(*listed)
        assert len(upstreams[0].received) <= 1

    run_with(configuration(), [_leaves(), replies()], check)


def test_new_process_of_a_leaving_upstream_gets_requests():
    is_leaving = [True]

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        extra = {'x_leaving': '1'} if is_leaving[0] else {}
        writer.write(answer(received, **extra))

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        port = upstreams[0].port
        gateway.use(record('up-0', port, started_ms=1000))
        assert (await gateway.ask())[0] == 200
        assert (await gateway.ask())[0] == 503
        is_leaving[0] = False
        gateway.use(record('up-0', port, started_ms=2000))
        assert (await gateway.ask())[0] == 200

    run_with(configuration(), [handle], check)


def test_requests_are_refused_at_once_if_all_upstreams_leave():
    async def check(gateway: Gateway, _: Upstreams) -> None:
        for _ in range(2):
            await gateway.ask('POST', body=b'x')
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, headers, body = await gateway.ask('POST', body=b'x')
        assert loop.time() - began < 0.5
        assert (status, json.loads(body)['run']) == (503, 'not-run')
        assert float(headers['retry-after']) > 0

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [_leaves(), _leaves()], check)


@pytest.mark.parametrize(
    'extra',
    [
        {'status': '421 Elsewhere'},
        {'x_request_id': 'another'},
        {'x_answer_stamp': ''},
        {'x_leaving': '0'},
    ],
    ids=['misdirected', 'another request', 'without stamp', 'not leaving'],
)
def test_answer_that_does_not_say_so_leaves_the_upstream_in_use(
    extra: dict[str, str],
):
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        await gateway.ask('POST', body=b'x')
        assert upstreams[0].received
        assert gateway.parts.state.is_usable(LEAVER)

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    handler = replies(b'ok', **{'x_leaving': '1', **extra})
    run_with(config, [handler], check)


def test_malformed_word_of_leaving_changes_nothing_but_is_logged():
    async def check(gateway: Gateway, _: Upstreams) -> None:
        for _ in range(3):
            assert (await gateway.ask())[0] == 200
        lines = [line for line in gateway.lines if b'leaving.rejected' in line]
        assert len(lines) == 3
        assert b'soon' in lines[0]

    run_with(configuration(), [replies(x_leaving='soon')], check)


def test_leaving_is_known_before_the_answer_is_complete():
    """Another request is not sent to it while the first one is read."""
    release = asyncio.Event()

    async def stall(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        writer.write(answer(received, b'ok', x_leaving='1')[:-1])
        await release.wait()
        writer.write(b'k')

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        first = asyncio.create_task(gateway.ask('POST'))
        async with asyncio.timeout(1):
            while gateway.parts.state.is_usable(LEAVER):
                await asyncio.sleep(0.01)
        assert (await gateway.ask('POST'))[0] == 503
        release.set()
        assert (await first)[0] == 200
        assert len(upstreams[0].received) == 1

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [stall], check)


def _request(vm: ReplicaVm) -> PlacementRequest:
    ticket = vm.coordinators.new_ticket()
    return PlacementRequest(ticket, ZoneName('a'), True, 3.0, 1.0)


async def _use(vm: ReplicaVm) -> UpstreamName:
    """Place a request of `vm` and report it; return its upstream."""
    request = _request(vm)
    placed = await vm.coordinators.place(SERVICE, request)
    assert isinstance(placed, Placement)
    outcome = Outcome.SERVED
    if not vm.state.is_usable(placed.upstream):
        outcome = Outcome.CANCELLED
    vm.coordinators.report_attempt(
        AttemptResult(SERVICE, request.ticket, placed.upstream, outcome, 0.1)
    )
    await asyncio.sleep(0.01)
    return placed.upstream


def _coordinators(fleet: ReplicaFleet) -> list[ReplicaVm]:
    """Return the coordinator of the service and its successors."""
    vm = next(vm for vm in fleet.vms if not vm.is_dead)
    names = vm.replication.directory.coordinators_for(
        f'service-{SERVICE}', vm.replication.clock.now()
    )
    by_name = {vm.name: vm for vm in fleet.vms}
    return [by_name[name] for name in names]


def test_coordinators_learn_of_a_leaving_upstream_while_the_store_is_down():
    async def main() -> None:
        fleet = ReplicaFleet(12)
        fleet.store.put('config', 1)
        for number in range(4):
            fleet.store.put(f'up/up-{number}', 'ready')
        await asyncio.sleep(5)
        fleet.store.is_down = True
        coordinators = _coordinators(fleet)
        vms = [vm for vm in fleet.vms if vm not in coordinators]
        teller, others = vms[0], vms[1:]
        state = teller.state
        teller.coordinators.record_leaving(state.upstreams_by_name[LEAVER])
        assert not state.is_usable(LEAVER)
        # It is told with an attempt there, whoever placed it.
        for _ in range(40):
            await _use(teller)
        assert not coordinators[0].state.is_usable(LEAVER)
        used = {await _use(vm) for vm in others for _ in range(8)}
        assert LEAVER not in used
        # A successor has been told as well.
        fleet.kill(coordinators[0])
        await asyncio.sleep(1)
        used = {await _use(vm) for vm in others for _ in range(8)}
        assert LEAVER not in used
        fleet.stop()

    run_virtual(main)


def test_leaving_upstream_that_lapses_and_is_listed_again_stays_unused():
    async def main() -> None:
        fleet = ReplicaFleet(3)
        fleet.store.put('config', 1)
        fleet.store.put('up/up-0', 'ready')
        fleet.store.put('up/up-1', 'ready')
        await asyncio.sleep(5)
        state = fleet.vms[0].state
        fleet.vms[0].coordinators.record_leaving(
            state.upstreams_by_name[LEAVER]
        )
        fleet.store.put('up/up-0', None)
        await asyncio.sleep(10)
        assert LEAVER not in state.upstreams_by_name
        fleet.store.put('up/up-0', 'ready')
        await asyncio.sleep(5)
        assert state.upstreams_by_name[LEAVER].state is UpstreamState.READY
        assert not state.is_usable(LEAVER)
        assert [up.name for up in state.usable(SERVICE)] == ['up-1']
        fleet.stop()

    run_virtual(main)


def test_upstreams_that_left_are_forgotten_in_time():
    async def main() -> None:
        fleet = ReplicaFleet(1)
        state = fleet.vms[0].state
        for number in range(20_000):
            state.record_leaving(
                UpstreamName(f'gone-{number}'),
                number,
                Instant(1000.0),
                fleet.vms[0].name,
            )
        assert state.leaving_start_ms(UpstreamName('gone-0')) is None
        assert state.leaving_start_ms(UpstreamName('gone-19999')) == 19_999
        state.remove_expired(Instant(1301.0), 1000)
        assert state.leaving_start_ms(UpstreamName('gone-19999')) is None
        fleet.stop()

    run_virtual(main)
