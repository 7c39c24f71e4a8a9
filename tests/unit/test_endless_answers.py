"""Answers of upstreams that do not end until their reader closes."""

import asyncio
import time
from typing import Callable

import pytest

from teaselquay.configuration import RouteKind
from teaselquay.shells import (
    Address,
    ExchangeError,
    HttpConnection,
    JsonClient,
)
from tests.standins.listener import Listener
from tests.support.gateway import (
    Gateway,
    Handler,
    Received,
    ScriptedUpstream,
    answer,
    configuration,
    replies,
    request_head,
    run_with,
)

_TIMEOUT_S = 1.0
#: Half a second after the deadline callers must have a final answer.
_LATE_S = 0.5
#: More than the buffers of the sockets and of the gateway hold together.
_MOST_KEPT_BYTES = 32 << 20

_PART = b'4000\r\n' + b'x' * 0x4000 + b'\r\n'
_FIELD = b'x-more: ' + b'y' * 1000 + b'\r\n'
_LINE = b'HTTP/1.1 200 OK\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


def _chunked(status: str, stamp: str = 'stamp') -> Callable[[Received], bytes]:
    """Return the head of a chunked answer to what was received."""

    def head(received: Received) -> bytes:
        whole = answer(
            received,
            b'',
            status,
            content_length='',
            x_answer_stamp=stamp,
            transfer_encoding='chunked',
        )
        return whole

    return head


class _Endless:
    """Sends `start` and then `part` again and again."""

    def __init__(
        self,
        start: Callable[[Received], bytes],
        part: bytes,
    ) -> None:
        self.start = start
        self.part = part
        self.sent = 0
        self.closed_at = 0.0

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        try:
            writer.write(self.start(received))
            while not writer.is_closing():
                writer.write(self.part)
                self.sent += len(self.part)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.closed_at = time.monotonic()
        raise ConnectionError


_ENDLESS: dict[str, Callable[[], _Endless]] = {
    'status line': lambda: _Endless(lambda _: b'HTTP/1.1 200 O', b'K' * 1000),
    'head': lambda: _Endless(lambda _: _LINE, _FIELD),
    'interim heads': lambda: _Endless(
        lambda _: b'',
        b'HTTP/1.1 102 Processing\r\n\r\n',
    ),
    'trailers': lambda: _Endless(
        lambda received: _chunked('200 OK')(received) + b'0\r\n',
        _FIELD,
    ),
    'extension': lambda: _Endless(
        lambda received: _chunked('200 OK')(received) + b'1;',
        b'z' * 1000,
    ),
    'body of a failure': lambda: _Endless(_chunked('500 Failed'), _PART),
    'body': lambda: _Endless(_chunked('200 OK'), _PART),
    'body without a stamp': lambda: _Endless(
        _chunked('200 OK', stamp=''),
        _PART,
    ),
}


@pytest.mark.parametrize('name', _ENDLESS)
def test_endless_answer_is_closed_and_never_looks_whole(name: str):
    endless = _ENDLESS[name]()

    async def check(gateway: Gateway, _: list[ScriptedUpstream]) -> None:
        began = time.monotonic()
        got = await _ask(gateway)
        # An answer that has begun is cut, and does not end as chunks do.
        is_cut = got.startswith(b'HTTP/1.1 ') and not got.endswith(_LAST_CHUNK)
        assert got.startswith((b'HTTP/1.1 502', b'HTTP/1.1 504')) or is_cut
        await asyncio.sleep(0.1)
        assert 0 < endless.closed_at <= began + _TIMEOUT_S + _LATE_S
        assert endless.sent - len(got) <= _MOST_KEPT_BYTES

    config = configuration(RouteKind.NON_IDEMPOTENT, timeout_s=_TIMEOUT_S)
    run_with(config, [endless], check)


async def _ask(gateway: Gateway) -> bytes:
    """Return all that comes until the connection ends."""
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    writer.write(request_head('POST', '/slots/1', 1, connection='close') + b'x')
    parts = []
    try:
        async with asyncio.timeout(_TIMEOUT_S + _LATE_S):
            while part := await reader.read(1 << 20):
                parts.append(part)
    except ConnectionError:
        # It was reset, which is one way to be cut.
        pass
    finally:
        writer.close()
    return b''.join(parts)


def test_endless_failure_is_repeated_elsewhere_where_that_is_allowed():
    handlers: list[Handler] = [_ENDLESS['body of a failure'](), replies()]

    async def check(gateway: Gateway, _: list[ScriptedUpstream]) -> None:
        for _ in range(4):
            status, _, body = await gateway.ask()
            assert (status, body) == (200, b'ok')

    run_with(configuration(timeout_s=_TIMEOUT_S), handlers, check)


class _EndlessStore(Listener):
    """Answers with a body that does not end."""

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send until the caller closes."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_LINE + b'transfer-encoding: chunked\r\n\r\n')
        try:
            while not writer.is_closing():
                writer.write(_PART)
                await writer.drain()
        except ConnectionError:
            writer.close()


def test_endless_answer_of_the_store_is_not_kept():
    async def main() -> None:
        store = _EndlessStore()
        await store.start()
        client = JsonClient(Address('127.0.0.1', store.port))
        began = time.monotonic()
        with pytest.raises(ExchangeError, match='too long'):
            await client.call('GET', '/', 20)
        assert time.monotonic() - began < 10
        store.close()

    asyncio.run(main())


def test_long_but_proper_head_is_read():
    connection = HttpConnection()

    async def main() -> int:
        connection.begin('GET')
        connection.data_received(_LINE)
        for _ in range(30):
            connection.data_received(_FIELD)
        connection.data_received(b'content-length: 0\r\n\r\n')
        return len((await connection.read_head()).headers)

    assert asyncio.run(main()) == 31
