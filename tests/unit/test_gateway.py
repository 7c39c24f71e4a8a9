"""Tests of the gateway's guarantees to callers, with scripted upstreams."""

import asyncio
import json

import pytest

from teaselquay.configuration import RouteKind
from teaselquay.shells import Address, HttpConnection
from tests.support.gateway import (
    KEY,
    SERVICE,
    Gateway,
    Received,
    ScriptedUpstream,
    answer,
    configuration,
    read_whole,
    record,
    replies,
    request_head,
    run_with,
)

Upstreams = list[ScriptedUpstream]


async def _reset_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    received: Received,
) -> None:
    writer.transport.abort()


async def _never_answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    received: Received,
) -> None:
    await reader.read()


def _received_count(upstreams: Upstreams) -> int:
    return sum(len(upstream.received) for upstream in upstreams)


def test_request_reaches_upstream_with_its_team_and_without_the_key():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, headers, body = await gateway.ask(x_team='forged')
        assert (status, body) == (200, b'ok')
        assert headers['x-answer-stamp'] == 'stamp'
        received = upstreams[0].received[0]
        assert received.line == 'GET /slots/1 HTTP/1.1'
        assert received.headers['x-team'] == 'acme'
        assert received.headers['x-expected-upstream'] == 'up-0'
        assert int(received.headers['x-request-timeout-ms']) <= 2000
        assert KEY not in str(received)

    run_with(configuration(), [replies()], check)


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        ('/other/1', {}, 404),
        ('/slots/%2e%2e/x', {}, 400),
        ('/slots/1', {'x_api_key': 'unknown'}, 401),
        ('/slots/1', {'x_api_key': ''}, 401),
        ('/slots/1', {'host': 'other.example'}, 404),
        ('/slots/1', {'content_length': str(1 << 40)}, 413),
    ],
)
def test_invalid_requests_are_refused_without_being_sent(
    path: str,
    headers: dict[str, str],
    status: int,
):
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        answered_status, _, body = await gateway.ask(path=path, **headers)
        assert answered_status == status
        assert json.loads(body)['run'] == 'not-run'
        assert not _received_count(upstreams)

    run_with(configuration(), [replies()], check)


def test_non_idempotent_request_is_not_retried_after_a_reset():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, _, body = await gateway.ask('POST', body=b'x')
        assert status == 502
        assert json.loads(body)['run'] == 'unknown'
        assert _received_count(upstreams) == 1

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [_reset_connection, _reset_connection], check)


def test_idempotent_request_is_retried_after_a_reset():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(4):
            status, _, body = await gateway.ask()
            assert (status, body) == (200, b'ok')

    run_with(configuration(), [_reset_connection, replies()], check)


def test_declined_upload_is_sent_to_another_upstream():
    shed = replies(b'', '503 Busy', x_not_executed='1')

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(4):
            status, _, _ = await gateway.ask('POST', body=b'x' * 9)
            assert status == 200
        assert all(
            received.body == b'x' * 9 for received in upstreams[1].received
        )

    config = configuration(RouteKind.UPLOAD)
    run_with(config, [shed, replies()], check)


def test_request_that_all_upstreams_declined_is_refused_as_not_run():
    shed = replies(b'', '503 Busy', x_not_executed='1')

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, headers, body = await gateway.ask('POST', body=b'x')
        assert status == 503
        assert json.loads(body)['run'] == 'not-run'
        assert float(headers['retry-after']) > 0

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [shed, shed], check)


def test_failure_to_connect_does_not_count_as_an_attempt():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        unreachable_record = record('gone', 9)
        live_record = record('up-0', upstreams[0].port)
        gateway.use(unreachable_record, live_record)
        for _ in range(6):
            status, _, _ = await gateway.ask('POST', body=b'x')
            assert status == 200

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    run_with(config, [replies()], check)


def test_request_is_not_sent_to_an_upstream_that_left_while_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The upstream leaves between the placement and the first byte."""
    open_connection = HttpConnection.open

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        leaving, staying = (up.port for up in upstreams)

        async def open_slowly(
            address: Address, timeout_s: float
        ) -> HttpConnection:
            connection = await open_connection(address, timeout_s)
            gateway.use(record('up-1', staying))
            return connection

        monkeypatch.setattr(HttpConnection, 'open', open_slowly)
        for number in range(4):
            gateway.use(
                record(f'leaving-{number}', leaving), record('up-1', staying)
            )
            status, _, _ = await gateway.ask('POST', body=b'x')
            assert status == 200
        assert upstreams[0].connections
        assert not upstreams[0].received

    config = configuration(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    run_with(config, [replies(), replies()], check)


def test_answer_of_another_request_never_reaches_a_caller():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, _, _ = await gateway.ask('POST', body=b'x')
        assert status == 502

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [replies(x_request_id='another')], check)


@pytest.mark.parametrize(
    'extra',
    [
        {'content_encoding': 'gzip'},
        {'content_length': '9'},
        {'x_answer_stamp': ''},
    ],
)
def test_invalid_answer_is_not_forwarded(extra: dict[str, str]):
    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        writer.write(answer(received, **extra))
        writer.close()

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, _, _ = await gateway.ask('POST')
        assert status == 502

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [handle], check)


def test_bytes_after_an_answer_close_the_connection():
    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        writer.write(answer(received) + answer(received, b'again'))

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(3):
            status, _, body = await gateway.ask()
            assert (status, body) == (200, b'ok')
        assert upstreams[0].connections == 3

    run_with(configuration(), [handle], check)


def test_answer_without_length_is_complete_when_the_connection_closes():
    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        head = b'HTTP/1.1 200 OK\r\nx-answer-stamp: stamp\r\n\r\n'
        writer.write(head + b'whole')
        writer.close()

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, _, body = await gateway.ask()
        assert (status, body) == (200, b'whole')

    run_with(configuration(), [handle], check)


def test_answer_before_the_end_of_the_body_closes_the_connection():
    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        writer.write(answer(received, b'too large', '413 Large'))

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            gateway.port,
        )
        writer.write(request_head('POST', '/slots/1', 100) + b'first')
        status, _, body = await read_whole(reader)
        assert (status, body) == (413, b'too large')
        writer.close()
        await gateway.ask('POST')
        assert upstreams[0].connections == 2

    run_with(configuration(RouteKind.UPLOAD), [handle], check)


def test_upload_is_streamed_before_it_is_complete():
    seen = asyncio.Event()

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        received.body = await reader.readexactly(5)
        seen.set()
        received.body += await reader.readexactly(5)
        writer.write(answer(received))

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            gateway.port,
        )
        writer.write(request_head('POST', '/slots/1', 10) + b'first')
        await seen.wait()
        writer.write(b'later')
        status, _, _ = await read_whole(reader)
        assert status == 200
        assert upstreams[0].received[0].body == b'firstlater'
        writer.close()

    run_with(configuration(RouteKind.UPLOAD), [handle], check)


def test_attempt_is_cancelled_when_the_caller_disconnects():
    ended = asyncio.Event()

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        await reader.read()
        ended.set()

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        _, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
        writer.write(request_head('GET', '/slots/1', 0))
        while not _received_count(upstreams):
            await asyncio.sleep(0.01)
        writer.close()
        await ended.wait()
        assert any(b'request.abandoned' in line for line in gateway.lines)

    run_with(configuration(timeout_s=60), [handle], check)


def test_unanswered_request_fails_at_the_timeout_of_its_route():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        status, _, body = await gateway.ask('POST', body=b'x')
        assert status == 504
        assert json.loads(body)['run'] == 'unknown'

    config = configuration(RouteKind.NON_IDEMPOTENT, timeout_s=0.3)
    run_with(config, [_never_answer], check)


def test_request_over_the_rate_is_refused_with_retry_after():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        answers = [await gateway.ask() for _ in range(12)]
        refused = [reply for reply in answers if reply[0] == 429]
        assert refused
        assert all(float(reply[1]['retry-after']) > 0 for reply in refused)
        assert _received_count(upstreams) == len(answers) - len(refused)

    run_with(configuration(rate=2), [replies()], check)


def test_pooled_connections_are_reused_up_to_the_idle_limit():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        for _ in range(5):
            status, _, _ = await gateway.ask('POST', body=b'x')
            assert status == 200
        assert upstreams[0].connections == 1
        gateway.parts.idle_limits.record_stale(SERVICE, 0.01)
        await asyncio.sleep(0.1)
        status, _, _ = await gateway.ask('POST', body=b'x')
        assert status == 200
        assert upstreams[0].connections == 2

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [replies()], check)


def test_request_on_a_stale_connection_is_not_retried():
    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        if received is upstream_received()[0]:
            await replies()(reader, writer, received)
        else:
            writer.transport.abort()

    started_upstreams: Upstreams = []

    def upstream_received() -> list[Received]:
        return started_upstreams[0].received

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        started_upstreams.extend(upstreams)
        before_s = gateway.parts.idle_limits.limit_s(SERVICE)
        assert (await gateway.ask('POST', body=b'x'))[0] == 200
        status, _, body = await gateway.ask('POST', body=b'x')
        assert status == 502
        assert json.loads(body)['run'] == 'unknown'
        assert _received_count(upstreams) == 2
        assert gateway.parts.idle_limits.limit_s(SERVICE) < before_s / 2

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [handle], check)


def test_refused_placement_is_logged_with_its_reason():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        gateway.use()
        status, headers, _ = await gateway.ask()
        assert status == 503
        assert float(headers['retry-after']) > 0
        lines = [json.loads(line) for line in gateway.lines]
        refused = [
            entry for entry in lines if entry['event'] == 'placement.refused'
        ]
        assert refused[0]['request'] == 'request-1'
        assert refused[0]['reason'] == 'no-upstream'
        assert refused[0]['placed_by'] == 'vm-1'

    run_with(configuration(), [replies()], check)


def test_each_refusal_is_logged_with_its_request():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        await gateway.ask(path='/other/1')
        lines = [json.loads(line) for line in gateway.lines]
        refused = [line for line in lines if line['event'] == 'request.refused']
        assert refused[0]['request'] == 'request-1'
        assert refused[0]['problem'] == 'route-unknown'
        assert refused[0]['configuration'] == 7

    run_with(configuration(), [replies()], check)
