"""HTTP/1.1 connections to upstreams and to the platform.

A connection serves one exchange at a time. It may be used again only after
the whole answer to its last exchange was read; whatever else ends an
exchange closes the connection, so that no late answer can reach a later
request. Nothing here sends a request again.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import AsyncIterator, Iterable, Sequence, cast

import httptools

from teaselquay.shells._peers import Address

Header = tuple[bytes, bytes]

_HIGH_WATER_BYTES = 1 << 18
#: Longest head of an answer, and most bytes between two parts of its body:
#: some times what callers may send as a head.
_MOST_HEAD_BYTES = 1 << 16
#: Longest document of an outside system: some changes of a value of the
#: longest size, a mebibyte, in base64.
MAX_DOCUMENT_BYTES = 1 << 24
_NO_BODY_STATUS = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_SWITCHING = 101
_UNACKNOWLEDGED_MS = 15_000


class ExchangeError(Exception):
    """An exchange did not end with a whole answer."""


class ConnectError(ExchangeError):
    """No connection was made, so that nothing was sent."""


class BrokenAnswerError(ExchangeError):
    """The connection ended, or broke the protocol, before the answer did."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and header fields of an answer."""

    status: int
    headers: Sequence[Header]

    def field(self, name: bytes) -> bytes | None:
        """Return the value of the first header field called `name`."""
        return first_field(self.headers, name)


def first_field(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first of `headers` called `name`."""
    for found, field_value in headers:
        if found == name:
            return field_value
    return None


class HttpConnection(asyncio.Protocol):
    """One connection, of which the caller owns every exchange.

    `sent` says whether any octet of the current request may have left.
    """

    def __init__(self) -> None:
        """Make a connection that is not open yet."""
        self.sent = False
        self.last_used = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[Header] = []
        self._head: asyncio.Future[AnswerHead] | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._since_body = 0
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._complete = True
        self._keep_alive = False
        self._is_head = False
        self._until_close = False
        self._error: ExchangeError | None = None
        self._closed = False

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float,
    ) -> 'HttpConnection':
        """Return an open connection.

        Raises:
            ConnectError: none could be made in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    cls,
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(
                f'{address.host}:{address.port}: {error or "timeout"}',
            ) from error
        return connection

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange ended with a whole answer."""
        return self._complete and self._keep_alive and not self._closed

    def close(self) -> None:
        """Close at once; the upstream takes it as cancellation."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def begin(self, method: str) -> None:
        """Begin an exchange with `method`."""
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = asyncio.get_running_loop().create_future()
        self._chunks.clear()
        self._buffered = 0
        self._since_body = 0
        self._complete = False
        self._keep_alive = False
        self._until_close = False
        self._is_head = method == 'HEAD'
        self._error = None
        self.sent = False

    async def write(self, octets: bytes) -> None:
        """Send octets of the request, and wait while the peer is slow.

        Raises:
            BrokenAnswerError: the connection was lost.
        """
        if self._closed or self._transport is None:
            raise self._error or BrokenAnswerError('the connection is lost')
        self.sent = True
        self._transport.write(octets)
        if not self._writable.is_set():
            await self._writable.wait()
            if self._closed:
                raise self._error or BrokenAnswerError('connection lost')

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        Raises:
            BrokenAnswerError: the connection ended before.
        """
        assert self._head is not None
        return await asyncio.shield(self._head)

    @property
    def head(self) -> 'asyncio.Future[AnswerHead]':
        """Return the future head of the answer."""
        assert self._head is not None
        return self._head

    async def read_body(
        self,
        stall_s: float | None = None,
    ) -> AsyncIterator[bytes]:
        """Yield the body, and raise unless all of it came.

        Raises:
            BrokenAnswerError: the body was cut, or nothing came for
                `stall_s` seconds.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._buffered -= len(chunk)
                self._resume()
                yield chunk
            if self._error is not None:
                raise self._error
            if self._complete:
                return
            self._arrived.clear()
            try:
                async with asyncio.timeout(stall_s):
                    await self._arrived.wait()
            except TimeoutError:
                self._fail('nothing came for too long')

    async def read_whole_body(self, most_bytes: int) -> bytes:
        """Return the body.

        Raises:
            BrokenAnswerError: the body was cut, or has more than
                `most_bytes`.
        """
        parts: list[bytes] = []
        length = 0
        async for part in self.read_body():
            parts.append(part)
            length += len(part)
            if length > most_bytes:
                self._fail(f'the body is too long, over {most_bytes} bytes')
        return b''.join(parts)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        # What stays without acknowledgement for so long went nowhere.
        self._transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_MS,
        )

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._parser is None or self._complete:
            self._fail('octets came that belong to no request')
            return
        self._since_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_head or not self._complete:
                self._fail(f'the answer is malformed: {error}')
            return
        if self._since_body > _MOST_HEAD_BYTES and not self._complete:
            self._fail('a head, or what follows it, is too long')
        elif self._buffered > _HIGH_WATER_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """End an answer that lasts until the connection closes."""
        if self._until_close and not self._complete:
            self._keep_alive = False
            self._complete = True
            self._arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange unless its answer is whole."""
        self._closed = True
        self._writable.set()
        if not self._complete:
            self._fail('the connection was lost')

    def pause_writing(self) -> None:
        """Hold back writers."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field."""
        if self._is_extra() or self._has_head():
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand out the head, unless it is an interim one."""
        if self._is_extra():
            return
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS and status != _SWITCHING:
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._until_close = self._lasts_until_close(status)
        if self._head is not None and not self._head.done():
            self._head.set_result(AnswerHead(status, self._headers))
        if self._is_head:
            # The parser would wait for a body that never comes.
            self._keep_alive = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self._is_extra():
            return
        self._since_body = 0
        self._chunks.append(body)
        self._buffered += len(body)
        self._arrived.set()

    def on_message_complete(self) -> None:
        """End the exchange, or go on after an interim head."""
        if self._is_extra():
            return
        assert self._parser is not None
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._headers = []
            return
        self._finish()

    def _is_extra(self) -> bool:
        """Return whether the answer is whole, so that this is another.

        It belongs to no request, and the connection cannot be used again.
        """
        if self._complete:
            self._keep_alive = False
        return self._complete

    def _has_head(self) -> bool:
        """Return whether the head is out, so that fields are trailers."""
        return self._head is not None and self._head.done()

    def _finish(self) -> None:
        self._complete = True
        self._arrived.set()

    def _lasts_until_close(self, status: int) -> bool:
        if status in _NO_BODY_STATUS:
            return False
        names = {name for name, _ in self._headers}
        return not names & {b'content-length', b'transfer-encoding'}

    def _fail(self, reason: str) -> None:
        self._keep_alive = False
        self._error = BrokenAnswerError(reason)
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._error)
            # The waiter may be gone already.
            self._head.exception()
        self._arrived.set()
        self.close()

    def _resume(self) -> None:
        if self._buffered <= _HIGH_WATER_BYTES and self._transport:
            if not self._closed:
                self._transport.resume_reading()


class ConnectionPool:
    """Idle connections by address.

    A connection that was idle for longer than `most_idle_s` may have gone
    silent and is closed instead of being used.
    """

    def __init__(self, most_idle_s: float = 4.0, most_idle: int = 32) -> None:
        """Keep at most `most_idle` connections for each address."""
        self._most_idle_s = most_idle_s
        self._most_idle = most_idle
        self._idle_by_address: dict[Address, deque[HttpConnection]] = {}

    def acquire(
        self,
        address: Address,
        now: float,
        most_idle_s: float | None = None,
    ) -> HttpConnection | None:
        """Return the idle connection that was used last, if it may be.

        One that was idle for longer than `most_idle_s`, where that is less
        than the pool's own limit, stays in the pool.
        """
        if not self.has(address, now, most_idle_s):
            return None
        return self._idle_by_address[address].pop()

    def has(
        self,
        address: Address,
        now: float,
        most_idle_s: float | None = None,
    ) -> bool:
        """Return whether `acquire` would return a connection."""
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle[-1]
            idle_s = now - connection.last_used
            if idle_s <= self._most_idle_s and connection.reusable:
                return most_idle_s is None or idle_s <= most_idle_s
            idle.pop().close()
        return False

    def release(
        self,
        address: Address,
        connection: HttpConnection,
        now: float,
    ) -> None:
        """Keep `connection` if it may be used again; close it otherwise."""
        idle = self._idle_by_address.setdefault(address, deque())
        if not connection.reusable or len(idle) >= self._most_idle:
            connection.close()
            return
        connection.last_used = now
        idle.append(connection)

    def drop(self, address: Address) -> None:
        """Close the idle connections to `address`."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()
