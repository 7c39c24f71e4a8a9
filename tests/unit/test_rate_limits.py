"""Limits that upstreams name: reading, counting and agreeing on them."""

import asyncio
from collections import Counter, defaultdict
from random import Random
from typing import Awaitable, Callable

import pytest

from teaselquay.configuration import (
    RouteKind,
    UpstreamRecord,
    UpstreamState,
)
from teaselquay.coordination import (
    LimitChange,
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RateLimits,
    RateStatement,
    RefusalReason,
    ServiceScheduler,
    Ticket,
)
from teaselquay.decisions import (
    Instant,
    ServiceName,
    UpstreamName,
    VmName,
    ZoneName,
)
from teaselquay.fleet import AttemptResult
from teaselquay.gateway._statements import StatementError, parse_rate
from tests.support.gateway import (
    Gateway,
    Handler,
    Received,
    ScriptedUpstream,
    configuration,
    replies,
    run_with,
)
from tests.support.replicas import ReplicaFleet, ReplicaVm
from tests.support.virtual import run_virtual

SERVICE = ServiceName('s')
FIELD = b'x-rate-limit'
#: Time in seconds from the first naming on in which a limit need not be kept.
STABLE_WINDOW_S = 3.0
_WINDOW_S = 4.0
#: Share of the upstreams that are to get requests in each span of 2 s.
FLOOR_SHARE = 0.7


def _allowed(rate: float) -> float:
    """Return how many requests an upstream may get in some window."""
    return 1.5 * rate * _WINDOW_S + 5


def _most_in_window(arrivals: list[float]) -> int:
    """Return the largest number of `arrivals` in some window."""
    most = begin = 0
    for end, arrived_at in enumerate(arrivals):
        while arrived_at - arrivals[begin] > _WINDOW_S:
            begin += 1
        most = max(most, end - begin + 1)
    return most


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        (b'1', 1.0),
        (b'0.25', 0.25),
        (b' 12.5 ', 12.5),
        (b'0', 0.0),
        (b'999999999999', 999_999_999_999.0),
    ],
)
def test_decimal_limit_is_read(text: bytes, rate: float):
    assert parse_rate([(b'other', b'7'), (FIELD, text)], FIELD) == rate
    # The same limit may be named twice.
    assert parse_rate([(FIELD, text), (FIELD, text)], FIELD) == rate


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'-1',
        b'+1',
        b'1e3',
        b'nan',
        b'inf',
        b'1,2',
        b'1.',
        b'0x1',
        b'9' * 40,
    ],
)
def test_malformed_limit_is_rejected(text: bytes):
    with pytest.raises(StatementError):
        parse_rate([(FIELD, text)], FIELD)


def test_limits_that_differ_are_rejected():
    with pytest.raises(StatementError):
        parse_rate([(FIELD, b'1'), (FIELD, b'2')], FIELD)


UP = UpstreamName('up-0')


def test_answer_that_was_overtaken_does_not_end_a_limit():
    limits = RateLimits()
    limits.record(UP, RateStatement(1.0), Instant(9.5), Instant(10))
    for number in range(5):
        now = Instant(10.1 + number / 10)
        limits.record(UP, RateStatement(None), Instant(9.9), now)
    assert limits.by_upstream[UP].is_active


def test_answers_to_later_requests_end_a_limit():
    limits = RateLimits()
    limits.record(UP, RateStatement(1.0), Instant(9.5), Instant(10))
    changes = [
        limits.record(UP, RateStatement(None), Instant(sent), Instant(sent + 1))
        for sent in (10.5, 12.0)
    ]
    assert changes == [LimitChange.NONE, LimitChange.ENDED]


def test_restart_of_an_upstream_ends_its_limit():
    limits = RateLimits()
    limits.record(UP, RateStatement(1.0, 100), Instant(9.5), Instant(10))
    record = _upstreams(1, started_ms=200)[0]
    assert limits.has_token(record, Instant(10))
    # A late answer of the earlier process names no limit of the new one.
    limits.record(UP, RateStatement(None, 200), Instant(11), Instant(12))
    limits.record(UP, RateStatement(1.0, 100), Instant(9.5), Instant(12.1))
    assert not limits.by_upstream[UP].is_active


def test_limit_survives_a_short_absence_of_its_upstream():
    limits = RateLimits()
    limits.record(UP, RateStatement(1.0), Instant(9.5), Instant(10))
    limits.forget_missing(set(), Instant(20))
    assert not limits.has_token(_upstreams(1)[0], Instant(10))
    limits.forget_missing(set(), Instant(100))
    assert not limits.by_upstream


def test_limit_of_zero_permits_a_request_now_and_then():
    limits = RateLimits()
    limits.record(UP, RateStatement(0.0), Instant(9.5), Instant(10))
    record = _upstreams(1)[0]
    assert not limits.has_token(record, Instant(14))
    assert limits.has_token(record, Instant(30))


def test_end_of_a_limit_reaches_who_still_knows_it():
    now = Instant(10)
    first, second = RateLimits(), RateLimits()
    for limits in (first, second):
        limits.record(UP, RateStatement(1.0), Instant(9.5), now)
    for sent in (11, 12):
        first.record(
            UP, RateStatement(None), Instant(sent), Instant(sent + 0.5)
        )
    for share in tuple(second.shares(Instant(13))):
        assert first.is_outdated(share, Instant(13))
        first.merge(VmName('b'), share, Instant(13))
    assert not first.by_upstream[UP].is_active
    for share in tuple(first.shares(Instant(13))):
        second.merge(VmName('a'), share, Instant(13))
    assert not second.by_upstream[UP].is_active


def test_two_coordinators_grant_one_rate_together():
    """Load pattern: both are asked for more than the limit all the time."""
    rate = 2.0
    by_vm = {VmName(name): RateLimits() for name in 'ab'}
    for limits in by_vm.values():
        limits.record(UP, RateStatement(rate), Instant(0), Instant(0))
    record = _upstreams(1)[0]
    granted = 0
    for step in range(1, 400):
        now = Instant(step / 20)
        for limits in by_vm.values():
            if limits.has_token(record, now):
                limits.take(UP, 1, now)
                granted += 1
        if step % 4 == 0:
            shares = {vm: tuple(lim.shares(now)) for vm, lim in by_vm.items()}
            for vm, limits in by_vm.items():
                for other in by_vm.keys() - {vm}:
                    for share in shares[other]:
                        limits.merge(other, share, now)
    assert rate * 20 * 0.8 <= granted <= rate * 20 + 2


def _upstreams(count: int, started_ms: int = 0) -> tuple[UpstreamRecord, ...]:
    return tuple(
        UpstreamRecord(
            name=UpstreamName(f'up-{index}'),
            service=SERVICE,
            address=f'127.0.0.1:{index + 1}',
            zone=ZoneName('a'),
            slots=6,
            state=UpstreamState.READY,
            started_ms=started_ms,
        )
        for index in range(count)
    )


def _request(ticket: int, **fields: object) -> PlacementRequest:
    values: dict[str, object] = {
        'ticket': Ticket(ticket),
        'zone': ZoneName('a'),
        'may_repeat': False,
        'left_s': 10.0,
        'target_left_s': 1.5,
        **fields,
    }
    return PlacementRequest(**values)  # type: ignore[arg-type]


@pytest.mark.parametrize('upstream_count', [21, 66])
def test_coordinator_keeps_limits_and_uses_what_they_allow(upstream_count: int):
    """Load pattern: a third of the upstreams name 1 to 5 a second."""
    scheduler = ServiceScheduler(Random(1))
    upstreams = _upstreams(upstream_count)
    rates = {
        up.name: 1.0 + index % 5
        for index, up in enumerate(upstreams[: upstream_count // 3])
    }
    arrivals: dict[UpstreamName, list[float]] = defaultdict(list)
    pending: list[tuple[float, float, Ticket, UpstreamName]] = []
    refused = 0
    for number in range(upstream_count * 3 * 20):
        now = Instant(number / (upstream_count * 3))
        while pending and pending[0][0] <= now:
            ended, began, ticket, name = pending.pop(0)
            at = Instant(ended)
            scheduler.finish(ticket, name, Outcome.SERVED, ended - began, at)
            statement = RateStatement(rates.get(name))
            scheduler.record_statement(name, statement, ended - began, at)
        placed = scheduler.place(_request(number), upstreams, now)
        if isinstance(placed, PlacementRefusal):
            refused += 1
            continue
        arrivals[placed.upstream].append(now)
        pending.append((now + 0.5, now, Ticket(number), placed.upstream))
    assert not refused
    for name, rate in rates.items():
        late = [at for at in arrivals[name] if at >= STABLE_WINDOW_S]
        assert _most_in_window(late) <= _allowed(rate)
    for begin in range(int(STABLE_WINDOW_S), 17):
        used = [
            name
            for name, times in arrivals.items()
            if any(begin <= at < begin + 2 for at in times)
        ]
        assert len(used) >= FLOOR_SHARE * upstream_count


def test_requests_return_in_turn_if_all_upstreams_name_limits():
    scheduler = ServiceScheduler(Random(1))
    upstreams = _upstreams(4)
    now = Instant(10)
    for upstream in upstreams:
        scheduler.record_statement(upstream.name, RateStatement(2.0), 0.5, now)
    refusals = [
        scheduler.place(_request(number), upstreams, now)
        for number in range(40)
    ]
    waits_s = []
    for refusal in refusals:
        assert isinstance(refusal, PlacementRefusal)
        assert refusal.reason is RefusalReason.RATE_LIMITED
        waits_s.append(refusal.retry_after_s)
    # Forty requests at 8 a second, each up to 0.3 later by chance.
    assert max(waits_s) >= 40 / 8
    assert max(waits_s) <= 1.3 * 40 / 8 + 0.5


def test_limit_is_neither_a_failure_nor_a_shed():
    scheduler = ServiceScheduler(Random(1))
    upstreams = _upstreams(1)
    scheduler.place(_request(1), upstreams, Instant(10))
    before = scheduler.in_spell(UP, Instant(10.5))
    scheduler.record_statement(UP, RateStatement(1.0), 0.5, Instant(10.5))
    assert scheduler.in_spell(UP, Instant(10.5)) == before
    assert scheduler.in_flight(UP) == 1


class LimitedLoad:
    """Requests of all VMs of a fleet to upstreams of which some are limited.

    Every VM sends as often as the others. Arrivals count from VMs that have
    seen the limit half a second before, as the users count them.
    """

    def __init__(self, fleet: ReplicaFleet, rates: dict[str, float]) -> None:
        """Send to the upstreams of `fleet`; those in `rates` name a limit."""
        self.fleet = fleet
        self.rates = rates
        self.arrivals: dict[UpstreamName, list[float]] = defaultdict(list)
        self.arrived: Counter[UpstreamName] = Counter()
        self.served = 0
        self.refused = 0
        self._told_at: dict[tuple[VmName, UpstreamName], float] = {}
        self._began = asyncio.get_running_loop().time()

    async def run(self, seconds: float, per_s: float) -> None:
        """Send `per_s` requests a second for `seconds`."""
        loop = asyncio.get_running_loop()
        tasks = []
        for number in range(int(seconds * per_s)):
            vm = self.fleet.vms[number % len(self.fleet.vms)]
            if not vm.is_dead and vm.state.usable(SERVICE):
                tasks.append(loop.create_task(self._request(vm)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    def check(self) -> None:
        """Check that no limit was exceeded."""
        exceeded = {
            name: (rate, most)
            for name, rate in self.rates.items()
            if (most := _most_in_window(self.arrivals[UpstreamName(name)]))
            > _allowed(rate)
        }
        assert not exceeded

    async def _request(self, vm: ReplicaVm) -> None:
        loop = asyncio.get_running_loop()
        ticket = vm.coordinators.new_ticket()
        placed = await vm.coordinators.place(SERVICE, _request(ticket))
        if isinstance(placed, PlacementRefusal):
            self.refused += 1
            return
        name = placed.upstream
        self.arrived[name] += 1
        now = loop.time()
        is_bound = now - self._told_at.get((vm.name, name), now) >= 0.5
        if is_bound and now - self._began >= STABLE_WINDOW_S:
            self.arrivals[name].append(now)
        await asyncio.sleep(0.3)
        if vm.is_dead:
            return
        rate = self.rates.get(name)
        if rate is not None:
            self._told_at.setdefault((vm.name, name), loop.time())
        self.served += 1
        vm.coordinators.report_attempt(
            AttemptResult(
                SERVICE,
                ticket,
                name,
                Outcome.SERVED,
                0.3,
                rate_statement=RateStatement(rate),
            )
        )


def _run_limited(
    count: int,
    check: Callable[[ReplicaFleet, LimitedLoad], Awaitable[None]],
    rates: dict[str, float],
    upstream_count: int = 21,
) -> None:
    async def main() -> None:
        fleet = ReplicaFleet(count)
        fleet.store.put('config', 1)
        for number in range(upstream_count):
            fleet.store.put(f'up/up-{number}', 'ready')
        await asyncio.sleep(5)
        load = LimitedLoad(fleet, rates)
        try:
            await check(fleet, load)
            load.check()
        finally:
            fleet.stop()

    run_virtual(main)


def _candidates(fleet: ReplicaFleet) -> list[ReplicaVm]:
    """Return the coordinator of the service and its successors."""
    vm = next(vm for vm in fleet.vms if not vm.is_dead)
    directory = vm.replication.directory
    now = vm.replication.clock.now()
    names = directory.coordinators_for(f'service-{SERVICE}', now)
    by_name = {vm.name: vm for vm in fleet.vms}
    return [by_name[name] for name in names]


_RATES = {f'up-{number}': 1.0 + number % 3 for number in range(7)}


def test_limits_hold_while_coordinators_fall_one_after_the_other():
    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        task = asyncio.create_task(load.run(20, 65))
        for _ in range(5):
            await asyncio.sleep(3)
            fleet.kill(_candidates(fleet)[0])
        await task
        assert load.served > 0.9 * 20 * 65 * 0.85

    _run_limited(36, check, _RATES)


def test_limits_hold_while_a_coordinator_and_its_successors_are_lost():
    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        task = asyncio.create_task(load.run(16, 65))
        for _ in range(2):
            await asyncio.sleep(5)
            for vm in _candidates(fleet):
                fleet.kill(vm)
        await task

    _run_limited(36, check, _RATES)


def test_coordinator_is_told_a_limit_that_it_does_not_know():
    """Load pattern: the answers that name the limit are not reported again."""

    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        candidates = _candidates(fleet)
        vm = next(vm for vm in fleet.vms if vm not in candidates)
        for number in range(21):
            vm.coordinators.scheduler(SERVICE).record_statement(
                UpstreamName(f'up-{number}'),
                RateStatement(1.0),
                0.3,
                vm.replication.clock.now(),
            )
        request = _request(vm.coordinators.new_ticket())
        placed = await vm.coordinators.place(SERVICE, request)
        assert isinstance(placed, Placement)
        await asyncio.sleep(0.1)
        limits = candidates[0].coordinators.scheduler(SERVICE).limits
        assert list(limits.by_upstream) == [placed.upstream]

    _run_limited(36, check, {})


def test_limits_hold_while_a_coordinator_restarts():
    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        index = fleet.vms.index(_candidates(fleet)[0])
        task = asyncio.create_task(load.run(16, 65))
        for _ in range(4):
            await asyncio.sleep(1.5)
            fleet.kill(fleet.vms[index])
            await asyncio.sleep(1.5)
            await fleet.restart(index)
        await task

    _run_limited(36, check, _RATES)


def test_limits_hold_while_half_of_the_vms_ask_a_successor():
    """Load pattern: two coordinators at once, both of which are heard."""

    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        first = _candidates(fleet)[0]
        for vm in fleet.vms[::2]:
            vm.replication.directory.record_serving(first.name, False)
        await load.run(20, 65)

    _run_limited(36, check, _RATES)


def test_limits_hold_while_no_vm_reaches_a_coordinator():
    """Load pattern: all VMs are parted, each knows limits and decides alone."""

    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        await load.run(8, 130)
        for vm in fleet.vms:
            fleet.isolate(vm)
        await load.run(30, 130)
        assert load.served > 0.9 * 38 * 130

    _run_limited(36, check, _RATES)


def test_end_of_limits_returns_their_share_to_the_upstreams():
    async def check(fleet: ReplicaFleet, load: LimitedLoad) -> None:
        await load.run(5, 300)
        # Some upstreams are not needed, whether they name a limit or not.
        used = [UpstreamName(name) for name in _RATES]
        used = [name for name in used if load.arrived[name] >= 5]
        assert len(used) > len(_RATES) / 2
        load.rates = {}
        await load.run(5, 300)
        load.arrived.clear()
        await load.run(5, 300)
        usual = 5 * 300 / 21
        assert all(load.arrived[name] > usual / 2 for name in used)

    _run_limited(36, check, dict(_RATES))


Upstreams = list[ScriptedUpstream]


def _names_limit(status: str = '200 OK', **extra: str) -> Handler:
    return replies(b'ok', status, x_rate_limit='1', **extra)


@pytest.mark.parametrize(
    'handler',
    [
        _names_limit(),
        _names_limit('500 Failed'),
        _names_limit('503 Busy', x_not_executed='1'),
    ],
    ids=['served', 'failed', 'shed'],
)
def test_upstream_gets_no_more_than_the_limit_that_it_names(handler: Handler):
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(40):
            await gateway.ask()
        # All in less than one window.
        assert 1 <= len(upstreams[0].received) <= _allowed(1)

    run_with(configuration(max_attempts=1), [handler, replies()], check)


def test_retries_count_against_the_limit_of_an_upstream():
    """Every first attempt at the other upstream fails, and is retried."""
    arrivals: list[float] = []
    answer_limited = _names_limit()

    async def limited(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        arrivals.append(asyncio.get_running_loop().time())
        await answer_limited(reader, writer, received)

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        asks = []
        for _ in range(40):
            asks.append(asyncio.create_task(gateway.ask()))
            await asyncio.sleep(0.05)
        await asyncio.gather(*asks)
        assert len(upstreams[1].received) > 10
        assert _most_in_window(arrivals) <= _allowed(1)

    failed = replies(b'', '500 Failed')
    run_with(configuration(max_attempts=2), [limited, failed], check)


@pytest.mark.parametrize(
    'extra',
    [
        {'status': '421 Elsewhere'},
        {'x_request_id': 'another'},
        {'x_answer_stamp': ''},
    ],
    ids=['misdirected', 'another request', 'without stamp'],
)
def test_limit_of_an_answer_from_elsewhere_is_ignored(extra: dict[str, str]):
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        await gateway.ask('POST', body=b'x')
        assert upstreams[0].received
        scheduler = gateway.parts.coordinators.scheduler(
            gateway.parts.coordinators.services()[0]
        )
        assert not scheduler.limits.by_upstream

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    run_with(config, [_names_limit(**extra)], check)


def test_malformed_limit_changes_nothing_but_is_logged():
    malformed = replies(b'ok', x_rate_limit='many')

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(10):
            status, _, _ = await gateway.ask()
            assert status == 200
        lines = [line for line in gateway.lines if b'limit.rejected' in line]
        assert lines
        assert b'many' in lines[0]

    run_with(configuration(), [malformed], check)


def test_limit_of_an_answer_that_was_given_up_is_known():
    """Only the head of the answer arrives before the deadline."""

    async def stall(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: object,
    ) -> None:
        head = b'HTTP/1.1 200 OK\r\nx-answer-stamp: s\r\nx-rate-limit: 2\r\n'
        writer.write(
            head + b'x-request-id: request-1\r\ncontent-length: 9\r\n\r\n'
        )
        await reader.read()

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        await gateway.ask()
        limits = gateway.parts.coordinators.scheduler(
            gateway.parts.coordinators.services()[0]
        ).limits
        assert limits.by_upstream[UP].rate == 2

    config = configuration(timeout_s=0.4, max_attempts=1)
    run_with(config, [stall], check)


def test_placement_says_whether_the_limit_is_known():
    scheduler = ServiceScheduler(Random(1))
    upstreams = _upstreams(1)
    placed = scheduler.place(_request(1), upstreams, Instant(1))
    assert isinstance(placed, Placement)
    assert not placed.is_rate_limited
    scheduler.record_statement(UP, RateStatement(1.0), 0.5, Instant(2))
    placed = scheduler.place(_request(2), upstreams, Instant(4))
    assert isinstance(placed, Placement)
    assert placed.is_rate_limited
