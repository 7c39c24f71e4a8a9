"""Answers that break off, or whose status is none, do not look complete."""

import asyncio
import socket
import struct

import pytest

from teaselquay.configuration import RouteKind
from tests.support.gateway import (
    Gateway,
    Handler,
    Received,
    ScriptedUpstream,
    configuration,
    replies,
    run_with,
)

Upstreams = list[ScriptedUpstream]
HALF = b'half of an answer'
LONG_BODY = b'b' * 4_000_000
_HEAD = (
    'HTTP/1.1 {status} X\r\nx-answer-stamp: stamp\r\n'
    'x-request-id: {request}\r\n{fields}\r\n'
)


def _head(received: Received, status: str = '200', fields: str = '') -> bytes:
    request = received.headers['x-request-id']
    return _HEAD.format(status=status, request=request, fields=fields).encode()


def _ends_early(resets_after_s: float | None) -> Handler:
    """Return a handler that ends an answer without length half-way.

    The connection is reset some time after the end, unless that is None.
    """

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        writer.write(_head(received) + HALF)
        await writer.drain()
        raw = writer.get_extra_info('socket')
        raw.shutdown(socket.SHUT_WR)
        if resets_after_s is None:
            await asyncio.sleep(1)
            return
        await asyncio.sleep(resets_after_s)
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()

    return handle


async def _status_of(gateway: Gateway, method: str, body: bytes) -> int:
    status, _, content = await gateway.ask(method, body=body)
    assert HALF not in content
    return status


@pytest.mark.parametrize(
    'kind', [RouteKind.UPLOAD, RouteKind.NON_IDEMPOTENT], ids=lambda it: it.name
)
def test_answer_that_ends_before_the_request_was_sent_is_not_complete(
    kind: RouteKind,
):
    async def check(gateway: Gateway, _: Upstreams) -> None:
        assert await _status_of(gateway, 'POST', LONG_BODY) == 502

    run_with(configuration(kind), [_ends_early(None)], check)


@pytest.mark.parametrize('resets_after_s', [0.0, 0.05])
def test_answer_that_is_reset_after_its_end_is_not_complete(
    resets_after_s: float,
):
    async def check(gateway: Gateway, _: Upstreams) -> None:
        assert await _status_of(gateway, 'POST', b'x') == 502

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [_ends_early(resets_after_s)], check)


def test_answer_without_length_that_ends_properly_is_complete():
    async def check(gateway: Gateway, _: Upstreams) -> None:
        status, _, content = await gateway.ask('POST', body=b'x')
        assert (status, content) == (200, HALF)

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [_ends_early(None)], check)


@pytest.mark.parametrize(
    'status', ['000', '001', '099', '101', '600', '700', '999']
)
def test_answer_whose_status_is_none_is_a_failure_at_once(status: str):
    """Its connection stays open, as that of a faulty upstream may."""

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        fields = 'content-length: 4\r\n'
        writer.write(_head(received, status, fields) + b'body')

    async def check(gateway: Gateway, _: Upstreams) -> None:
        async with asyncio.timeout(1):
            assert await _status_of(gateway, 'POST', b'') == 502

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [handle], check)


@pytest.mark.parametrize('status', ['200 OK', '299 Own', '599 Own'])
def test_last_valid_statuses_are_passed_on(status: str):
    async def check(gateway: Gateway, _: Upstreams) -> None:
        answered, _, content = await gateway.ask('POST')
        assert (answered, content) == (int(status[:3]), b'body')

    config = configuration(RouteKind.NON_IDEMPOTENT)
    run_with(config, [replies(b'body', status)], check)


def test_interim_answers_are_not_passed_on():
    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        for status in ('100', '103', '199'):
            writer.write(_head(received, status))
        fields = 'content-length: 2\r\n'
        writer.write(_head(received, '200', fields) + b'ok')

    async def check(gateway: Gateway, _: Upstreams) -> None:
        status, _, content = await gateway.ask('POST')
        assert (status, content) == (200, b'ok')

    run_with(configuration(RouteKind.NON_IDEMPOTENT), [handle], check)
