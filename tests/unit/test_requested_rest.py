"""Upstreams that ask for rest get no requests until it ends."""

import asyncio
import json
from random import Random

import pytest

from teaselquay.configuration import RouteKind
from teaselquay.coordination import RestingUpstreams
from teaselquay.coordination._resting import MAX_REST_S
from teaselquay.decisions import Instant, UpstreamName
from tests.support.gateway import (
    Gateway,
    Handler,
    Received,
    ScriptedUpstream,
    answer,
    configuration,
    replies,
    run_with,
)

Upstreams = list[ScriptedUpstream]
REST_S = 1.2
#: Time in seconds after the answer from which on the rest binds, and the
#: requests that may arrive in it all the same.
SLACK_S = 0.5
ALLOWED = 2
BUSY = '503 Busy'


class Resting:
    """Turns all requests away, and records when each answer was sent."""

    def __init__(self, rest: str = str(REST_S), **extra: str) -> None:
        """State `rest` in each answer."""
        self.arrivals: list[float] = []
        self._fields = {'retry_after': rest, 'x_not_executed': '1', **extra}

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        """Turn one request away."""
        self.arrivals.append(asyncio.get_running_loop().time())
        writer.write(answer(received, b'', BUSY, **self._fields))

    def most_in_one_rest(self) -> int:
        """Return the most arrivals in the binding part of one rest."""
        return max(
            sum(
                begin + SLACK_S < arrival < begin + REST_S
                for arrival in self.arrivals
            )
            for begin in self.arrivals
        )


def _rests_once(rest_s: float) -> Handler:
    """Return a handler that asks for rest once, and serves afterwards."""
    waiting = [str(rest_s)]

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        if waiting:
            fields = {'retry_after': waiting.pop(), 'x_not_executed': '1'}
            writer.write(answer(received, b'', BUSY, **fields))
        else:
            writer.write(answer(received))

    return handle


@pytest.mark.parametrize('count', [1, 6])
def test_upstreams_get_no_requests_while_they_rest(count: int):
    handlers = [Resting() for _ in range(count)]

    async def check(gateway: Gateway, _: Upstreams) -> None:
        async def call() -> None:
            loop = asyncio.get_running_loop()
            end_at = loop.time() + 2 * REST_S
            while loop.time() < end_at:
                await gateway.ask(x_request_timeout_ms='300')
                await asyncio.sleep(0.05)

        await asyncio.gather(*(call() for _ in range(8)))
        assert max(item.most_in_one_rest() for item in handlers) <= ALLOWED

    run_with(configuration(), handlers, check)


def test_request_waits_for_the_end_of_a_rest_if_its_deadline_permits():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, _ = await gateway.ask('POST', body=b'x')
        assert status == 200
        assert loop.time() - began >= 0.5
        assert len(upstreams[0].received) == 2

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=3)
    run_with(config, [_rests_once(0.5)], check)


def test_request_is_refused_at_once_if_all_rest_beyond_its_deadline():
    async def check(gateway: Gateway, _: Upstreams) -> None:
        await gateway.ask('POST', body=b'x')
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, headers, body = await gateway.ask('POST', body=b'x')
        assert loop.time() - began < 0.5
        assert (status, json.loads(body)['run']) == (503, 'not-run')
        assert 4 < float(headers['retry-after']) < 8

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=3)
    run_with(config, [Resting('5')], check)


def test_other_upstreams_serve_while_one_rests():
    resting = Resting()

    async def check(gateway: Gateway, _: Upstreams) -> None:
        for _ in range(30):
            assert (await gateway.ask())[0] == 200
        assert len(resting.arrivals) <= 1

    run_with(configuration(), [resting, replies()], check)


@pytest.mark.parametrize(
    'handler',
    [
        replies(retry_after='60'),
        replies(b'', '429 Slow', retry_after='60', x_not_executed='1'),
        replies(b'', '421 Other', retry_after='60', x_not_executed='1'),
        Resting('60', x_request_id='another'),
        Resting('60', x_not_executed='', x_answer_stamp=''),
        Resting('0'),
    ],
    ids=['served', 'status', 'misdirected', 'another', 'no mark', 'zero'],
)
def test_answer_that_does_not_ask_for_rest_leaves_the_upstream_in_use(
    handler: Handler,
):
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        await gateway.ask('POST', body=b'x')
        assert upstreams[0].received
        assert gateway.parts.may_send(UpstreamName('up-0'))

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    run_with(config, [handler], check)


@pytest.mark.parametrize(
    'rest', ['-1', 'NaN', '1e9', '9' * 200, 'Sun, 06 Nov 1994 08:49:37 GMT']
)
def test_malformed_rest_changes_nothing_but_is_logged(rest: str):
    async def check(gateway: Gateway, _: Upstreams) -> None:
        await gateway.ask('POST', body=b'x')
        assert gateway.parts.may_send(UpstreamName('up-0'))
        lines = [line for line in gateway.lines if b'rest.rejected' in line]
        assert lines
        assert rest[:30].encode() in lines[0]

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    run_with(config, [Resting(rest)], check)


def test_upstream_that_asked_for_rest_while_its_connection_was_opened(
    monkeypatch: pytest.MonkeyPatch,
):
    """The request of another caller was turned away in the meantime."""

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        parts = gateway.parts
        resting = parts.state.upstreams_by_name[UpstreamName('up-0')]

        def acquire(*_: object) -> None:
            parts.record_rest(resting, 60.0)

        monkeypatch.setattr(parts.pool, 'acquire', acquire)
        status, _, _ = await gateway.ask('POST', body=b'x')
        assert status == 503
        assert not upstreams[0].received

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=3)
    run_with(config, [replies()], check)


def test_longest_rest_is_bounded_and_a_shorter_one_does_not_end_it():
    resting = RestingUpstreams(Random(1))
    name = UpstreamName('up')
    resting.record(name, 1e18, Instant(0.0))
    resting.record(name, 1.0, Instant(1.0))
    assert resting.includes(name, Instant(MAX_REST_S))
    assert not resting.includes(name, Instant(MAX_REST_S + 0.5))
    assert resting.names(Instant(MAX_REST_S + 0.5)) == frozenset()
