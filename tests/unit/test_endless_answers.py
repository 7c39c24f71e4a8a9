"""Upstream answers that never end are cut at the deadline or size limit.

The server sends until its peer closes the connection, so a gateway without
bounds would wait forever or run out of memory.
"""

import asyncio
import time
import tracemalloc
from typing import Awaitable, Callable

import pytest

from teaselquay.configuration import RouteKind
from teaselquay.decisions import Instant
from teaselquay.gateway import HeaderNames
from teaselquay.gateway._body import RequestBody
from teaselquay.gateway._call import UpstreamCall
from teaselquay.pipeline import Exchange
from teaselquay.shells import (
    Address,
    BrokenAnswerError,
    ExchangeError,
    HttpConnection,
    JsonClient,
    SystemClock,
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
#: Callers must have a final answer half a second after the deadline.
_MAX_DELAY_S = 0.5
#: More than the socket buffers and the gateway can buffer together.
_MAX_BUFFERED_BYTES = 32 << 20

_CHUNK = b'4000\r\n' + b'x' * 0x4000 + b'\r\n'
_HEADER_LINE = b'x-more: ' + b'y' * 1000 + b'\r\n'
_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


def _chunked(status: str, stamp: str = 'stamp') -> Callable[[Received], bytes]:
    """Return a function that builds the head of a chunked answer."""

    def head(received: Received) -> bytes:
        answer_head = answer(
            received,
            b'',
            status,
            content_length='',
            x_answer_stamp=stamp,
            transfer_encoding='chunked',
        )
        return answer_head

    return head


class _EndlessAnswer:
    """Sends the start of an answer, then `repeated` until it is closed."""

    def __init__(
        self,
        answer_start: Callable[[Received], bytes],
        repeated: bytes,
    ) -> None:
        self.answer_start = answer_start
        self.repeated = repeated
        self.sent_bytes = 0
        self.closed_at = 0.0

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        try:
            writer.write(self.answer_start(received))
            while not writer.is_closing():
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.closed_at = time.monotonic()
        raise ConnectionError


_ENDLESS_ANSWERS: dict[str, Callable[[], _EndlessAnswer]] = {
    'status line': lambda: _EndlessAnswer(
        lambda _: b'HTTP/1.1 200 O', b'K' * 1000
    ),
    'head': lambda: _EndlessAnswer(lambda _: _STATUS_LINE, _HEADER_LINE),
    'interim heads': lambda: _EndlessAnswer(
        lambda _: b'',
        b'HTTP/1.1 102 Processing\r\n\r\n',
    ),
    'trailers': lambda: _EndlessAnswer(
        lambda received: _chunked('200 OK')(received) + b'0\r\n',
        _HEADER_LINE,
    ),
    'extension': lambda: _EndlessAnswer(
        lambda received: _chunked('200 OK')(received) + b'1;',
        b'z' * 1000,
    ),
    'body of a failure': lambda: _EndlessAnswer(_chunked('500 Failed'), _CHUNK),
    'body': lambda: _EndlessAnswer(_chunked('200 OK'), _CHUNK),
    'body without a stamp': lambda: _EndlessAnswer(
        _chunked('200 OK', stamp=''),
        _CHUNK,
    ),
}


@pytest.mark.parametrize('name', _ENDLESS_ANSWERS)
def test_endless_answer_is_cut_and_never_looks_complete(name: str):
    endless = _ENDLESS_ANSWERS[name]()

    async def check(gateway: Gateway, _: list[ScriptedUpstream]) -> None:
        began = time.monotonic()
        response = await _read_until_close(gateway)
        # An answer that has begun is cut: it lacks the last chunk.
        is_cut = response.startswith(b'HTTP/1.1 ') and not response.endswith(
            _LAST_CHUNK
        )
        assert response.startswith((b'HTTP/1.1 502', b'HTTP/1.1 504')) or is_cut
        await asyncio.sleep(0.1)
        assert 0 < endless.closed_at <= began + _TIMEOUT_S + _MAX_DELAY_S
        assert endless.sent_bytes - len(response) <= _MAX_BUFFERED_BYTES

    config = configuration(RouteKind.NON_IDEMPOTENT, timeout_s=_TIMEOUT_S)
    run_with(config, [endless], check)


async def _read_until_close(gateway: Gateway) -> bytes:
    """Return all bytes that are received until the connection closes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    writer.write(request_head('POST', '/slots/1', 1, connection='close') + b'x')
    chunks = []
    try:
        async with asyncio.timeout(_TIMEOUT_S + _MAX_DELAY_S):
            while chunk := await reader.read(1 << 20):
                chunks.append(chunk)
    except ConnectionError:
        # A reset is one way to cut an answer.
        pass
    finally:
        writer.close()
    return b''.join(chunks)


def test_endless_failure_of_an_idempotent_request_is_retried():
    handlers: list[Handler] = [
        _ENDLESS_ANSWERS['body of a failure'](),
        replies(),
    ]

    async def check(gateway: Gateway, _: list[ScriptedUpstream]) -> None:
        for _ in range(4):
            status, _, body = await gateway.ask()
            assert (status, body) == (200, b'ok')

    run_with(configuration(timeout_s=_TIMEOUT_S), handlers, check)


def _answer_in_pieces(*pieces: bytes) -> HttpConnection:
    """Return a connection that has received `pieces`."""
    connection = HttpConnection()
    connection.begin('GET')
    for piece in pieces:
        connection.data_received(piece)
    return connection


def test_small_chunks_are_held_as_one_part():
    async def main() -> list[bytes]:
        connection = _answer_in_pieces(
            _STATUS_LINE + b'transfer-encoding: chunked\r\n\r\n',
            b'1\r\na\r\n' * 1000,
            b'1\r\nb\r\n' * 1000,
            _LAST_CHUNK,
        )
        return [part async for part in connection.read_body()]

    assert asyncio.run(main()) == [b'a' * 1000 + b'b' * 1000]


@pytest.mark.parametrize('count', [1000, 1001])
def test_number_of_fields_is_limited(count: int):
    async def main() -> int:
        connection = _answer_in_pieces(
            _STATUS_LINE, b'x: y\r\n' * count, b'\r\n'
        )
        return len((await connection.read_head()).headers)

    if count > 1000:
        with pytest.raises(BrokenAnswerError, match='fields'):
            asyncio.run(main())
    else:
        assert asyncio.run(main()) == count


#: Payload in the tests of memory, and the bound on what holds it: the payload,
#: a copy of it, and its buffer's spare room.
_PAYLOAD_BYTES = 1 << 17
_MAX_HELD_BYTES = 3 * _PAYLOAD_BYTES
_CHUNKED_HEAD = (
    _STATUS_LINE + b'x-answer-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n'
)


def _traced_bytes(test: Callable[[], Awaitable[object]]) -> int:
    """Return the memory that is allocated while `test` returns an object."""

    async def main() -> int:
        tracemalloc.start()
        try:
            held = await test()
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        del held
        return held_bytes

    return asyncio.run(main())


def test_small_chunks_cost_about_the_memory_of_their_payload():
    # An object for each chunk cost a VM all of its memory.
    async def receive() -> HttpConnection:
        return _answer_in_pieces(
            _CHUNKED_HEAD, b'2\r\nab\r\n' * (_PAYLOAD_BYTES // 2)
        )

    assert _traced_bytes(receive) <= _MAX_HELD_BYTES


def test_small_chunks_that_come_one_by_one_cost_no_more():
    connection = HttpConnection()

    async def receive() -> UpstreamCall:
        connection.begin('GET')
        connection.data_received(_CHUNKED_HEAD)
        call = UpstreamCall(
            None,
            None,
            None,
            HeaderNames(),
            None,
            SystemClock(),
            lambda _: True,
            lambda _: None,
            connection,
        )
        head = await connection.read_head()
        reading = asyncio.create_task(call._read_answer(head))
        for _ in range(_PAYLOAD_BYTES // 2):
            connection.data_received(b'2\r\nab\r\n')
            await asyncio.sleep(0)
        reading.cancel()
        return call

    assert _traced_bytes(receive) <= _MAX_HELD_BYTES


def test_request_body_in_small_parts_costs_about_its_payload():
    async def receive_body() -> RequestBody:
        count = iter(range(_PAYLOAD_BYTES // 2))

        async def receive() -> dict[str, object]:
            if next(count, None) is None:
                await asyncio.Event().wait()
            part = bytes(bytearray(b'ab'))
            return {'type': 'http.request', 'body': part, 'more_body': True}

        headers = [(b'transfer-encoding', b'chunked')]
        scope = {'method': 'POST', 'path': '/', 'headers': headers}
        exchange = Exchange.from_scope(
            scope, receive, None, Instant(0), close_after=False
        )
        body = RequestBody(exchange, _PAYLOAD_BYTES)
        while body.received_bytes < _PAYLOAD_BYTES:
            await asyncio.sleep(0)
        body.close()
        return body

    assert _traced_bytes(receive_body) <= _MAX_HELD_BYTES


class _EndlessStore(Listener):
    """Answers with a body that does not end."""

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send until the caller closes."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_STATUS_LINE + b'transfer-encoding: chunked\r\n\r\n')
        try:
            while not writer.is_closing():
                writer.write(_CHUNK)
                await writer.drain()
        except ConnectionError:
            writer.close()


def test_endless_answer_of_the_store_is_rejected():
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


def test_long_but_valid_head_is_read():
    connection = HttpConnection()

    async def main() -> int:
        connection.begin('GET')
        connection.data_received(_STATUS_LINE)
        for _ in range(30):
            connection.data_received(_HEADER_LINE)
        connection.data_received(b'content-length: 0\r\n\r\n')
        return len((await connection.read_head()).headers)

    assert asyncio.run(main()) == 31
