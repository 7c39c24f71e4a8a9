"""Upstreams get the body that the caller sent, or no whole request at all."""

import asyncio
from hashlib import blake2b
from types import SimpleNamespace

import pytest

from teaselquay.configuration import RequestLimits, RouteKind
from teaselquay.decisions import Instant
from teaselquay.gateway import HeaderNames
from teaselquay.gateway._call import CallTarget, UpstreamCall
from teaselquay.pipeline import (
    BodyDroppedError,
    BodyFramer,
    BodyLengthError,
    CallerGoneError,
    Exchange,
)
from teaselquay.pipeline._race import Race
from teaselquay.shells import SystemClock
from tests.support.gateway import (
    Gateway,
    Handler,
    Received,
    ScriptedUpstream,
    answer,
    configuration,
    read_whole,
    record,
    request_head,
    run_with,
)

_MIB = 1 << 20
#: The limit of the configuration in these tests.
_MAX_BODY_BYTES = 6 * _MIB
_SEND_BYTES = 200_000
_SIZES = (
    _MIB - 1,
    _MIB,
    _MIB + 1,
    3 * _MIB + 7,
    _MAX_BODY_BYTES,
)
_KINDS = (RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT, RouteKind.UPLOAD)


def _body(length: int) -> bytes:
    """Return a body in which no two blocks are equal."""
    blocks = range(length // 8 + 1)
    return b''.join(index.to_bytes(8, 'big') for index in blocks)[:length]


def _digest(body: bytes) -> str:
    return blake2b(body).hexdigest()


def _config(kind: RouteKind, max_attempts: int = 3):
    config = configuration(kind, timeout_s=20, max_attempts=max_attempts)
    limits = RequestLimits(max_body_bytes=_MAX_BODY_BYTES)
    object.__setattr__(config, 'limits', limits)
    return config


async def _read_body(reader: asyncio.StreamReader, received: Received) -> bytes:
    """Return the body of a request, as its head frames it."""
    if 'transfer-encoding' not in received.headers:
        length = int(received.headers['content-length'])
        return await reader.readexactly(length)
    parts = []
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


class _Upstreams:
    """Counts the whole bodies that upstreams got, by digest.

    The first `failures` requests get `status`, or a reset without one. With
    `is_early`, they get it before their body is read.
    """

    def __init__(self, failures: int, status: str, is_early: bool) -> None:
        self.digests: list[str] = []
        self._failures = failures
        self._status = status
        self._is_early = is_early

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        fails = self._failures > 0
        self._failures -= 1
        if fails and self._is_early:
            if self._status:
                self._write_failure(writer, received)
                await writer.drain()
            writer.close()
            return
        self.digests.append(_digest(await _read_body(reader, received)))
        if not fails:
            writer.write(answer(received))
        elif self._status:
            self._write_failure(writer, received)
        else:
            writer.transport.abort()

    def _write_failure(
        self, writer: asyncio.StreamWriter, received: Received
    ) -> None:
        is_shed = self._status.startswith('503')
        extra = {'x_not_executed': '1'} if is_shed else {}
        writer.write(answer(received, b'', self._status, **extra))


async def _send(gateway: Gateway, body: bytes, is_chunked: bool) -> int:
    """Return the status of a request with `body`, 0 without an answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    framing = {'transfer_encoding': 'chunked', 'content_length': ''}
    head = request_head(
        'POST', '/slots/1', len(body), **(framing if is_chunked else {})
    )
    try:
        writer.write(head)
        for begin in range(0, len(body), _SEND_BYTES):
            part = body[begin : begin + _SEND_BYTES]
            if is_chunked:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            writer.write(part)
            await writer.drain()
        if is_chunked:
            writer.write(b'0\r\n\r\n')
        return (await read_whole(reader))[0]
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


def _status_of(
    kind: RouteKind,
    body: bytes,
    is_chunked: bool,
    upstreams: _Upstreams,
) -> int:
    statuses: list[int] = []

    async def check(gateway: Gateway, _: list[ScriptedUpstream]) -> None:
        async with asyncio.timeout(30):
            statuses.append(await _send(gateway, body, is_chunked))

    handlers: list[Handler] = [upstreams, upstreams, upstreams]
    run_with(_config(kind), handlers, check)
    return statuses[0]


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('kind', _KINDS)
def test_body_of_any_permitted_size_arrives_whole(
    kind: RouteKind, size: int, is_chunked: bool
):
    # A body of over 1 MiB was dropped while it was read for the first time,
    # and sent as an empty one.
    body = _body(size)
    upstreams = _Upstreams(0, '', is_early=False)
    assert _status_of(kind, body, is_chunked, upstreams) == 200
    assert upstreams.digests == [_digest(body)]


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('kind', _KINDS)
def test_body_over_the_limit_is_refused_and_never_runs(
    kind: RouteKind, is_chunked: bool
):
    body = _body(_MAX_BODY_BYTES + 1)
    upstreams = _Upstreams(0, '', is_early=False)
    assert _status_of(kind, body, is_chunked, upstreams) in {0, 413}
    assert not upstreams.digests


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('is_early', [False, True])
@pytest.mark.parametrize('status', ['', '500 Failed', '503 Busy'])
@pytest.mark.parametrize('kind', _KINDS)
def test_retry_of_a_long_body_sends_the_same_body(
    kind: RouteKind, status: str, is_early: bool, is_chunked: bool
):
    body = _body(2 * _MIB)
    upstreams = _Upstreams(1, status, is_early)
    answered = _status_of(kind, body, is_chunked, upstreams)
    assert set(upstreams.digests) <= {_digest(body)}
    if kind is RouteKind.IDEMPOTENT:
        assert answered == 200
    elif status != '503 Busy':
        assert len(upstreams.digests) + is_early <= 1


def test_connection_is_closed_if_the_caller_leaves_in_a_long_body():
    # The connection stayed open, and the upstream waited for the rest.
    ended = asyncio.Event()

    async def wait_for_end(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        await reader.read()
        ended.set()
        raise ConnectionError

    async def check(gateway: Gateway, _: list[ScriptedUpstream]) -> None:
        _, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
        writer.write(request_head('POST', '/slots/1', 2 * _MIB) + _body(_MIB))
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.transport.abort()
        async with asyncio.timeout(2):
            await ended.wait()

    run_with(_config(RouteKind.UPLOAD), [wait_for_end], check)


@pytest.mark.parametrize('error', [None, CallerGoneError()])
def test_connection_with_a_body_that_failed_to_be_sent_is_not_reused(
    error: Exception | None,
):
    # Its upstream would read the next request as the rest of the body.
    released = []

    class Pool:
        def release(self, *connection: object) -> None:
            released.append(connection)

    class Connection:
        is_closed = False

        def close(self) -> None:
            self.is_closed = True

    async def send() -> None:
        if error is not None:
            raise error

    async def main() -> bool:
        call = UpstreamCall(
            None,
            None,
            CallTarget(record('up', 1), Instant(1), 0),
            HeaderNames(),
            Pool(),
            SystemClock(),
            lambda _: True,
            lambda _: None,
            lambda *_: None,
            Connection(),
        )
        connection = call.connection
        call._sender = asyncio.create_task(send())
        await asyncio.wait([call._sender])
        call.release()
        return connection.is_closed

    assert asyncio.run(main()) is (error is not None)
    assert len(released) == (error is None)


def _exchange(parts: list[bytes]) -> Exchange:
    messages = [
        {'type': 'http.request', 'body': part, 'more_body': True}
        for part in parts
    ]
    messages[-1]['more_body'] = False

    async def receive() -> dict[str, object]:
        return messages.pop(0)

    scope = {
        'method': 'POST',
        'path': '/',
        'headers': [(b'transfer-encoding', b'chunked')],
    }
    return Exchange.from_scope(scope, receive, None, Instant(0), False)


def test_body_that_was_streamed_is_not_sent_again():
    # A hedge sent the buffered start of a longer body as the whole body.
    async def main() -> None:
        exchange = _exchange([b'ab', b'cd', b'e'])
        assert not await exchange.buffer_body(2)
        streamed = [part async for part in exchange.read_remaining_body()]
        assert (exchange.body, streamed) == (b'ab', [b'cd', b'e'])
        route = SimpleNamespace(idempotent=True)
        assert not Race(exchange, None, route)._may_repeat()
        with pytest.raises(BodyDroppedError):
            _ = [part async for part in exchange.read_remaining_body()]

    asyncio.run(main())


def test_body_that_is_buffered_whole_may_be_sent_again():
    async def main() -> None:
        exchange = _exchange([b'ab', b'cd'])
        assert await exchange.buffer_body(100)
        route = SimpleNamespace(idempotent=True)
        assert Race(exchange, None, route)._may_repeat()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('length', 'parts', 'received_bytes', 'end'),
    [
        (4, [b'ab', b'cd'], 4, b''),
        (None, [b'ab', b'cd'], 4, b'0\r\n\r\n'),
        (None, [], 0, b'0\r\n\r\n'),
        (4, [b'ab'], 2, None),
        (4, [b'ab'], 4, None),
        (2, [b'ab', b'c'], 3, None),
        (None, [b'ab'], 4, None),
        (None, [], 4, None),
    ],
)
def test_only_the_whole_body_ends_properly(
    length: int | None, parts: list[bytes], received_bytes: int, end: bytes
):
    framer = BodyFramer(length)

    def send() -> bytes:
        for part in parts:
            framer.frame(part)
        return framer.end(received_bytes)

    if end is None:
        with pytest.raises(BodyLengthError):
            send()
    else:
        assert send() == end
