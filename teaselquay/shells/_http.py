"""HTTP/1.1 connections to upstreams and to the platform.

A connection carries one exchange at a time. It can be reused only after the
answer to its last exchange was read completely. Any other end of an exchange
closes the connection, so that a late answer cannot be read as that of a later
request. This module never retries a request.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import AsyncIterator, Iterable, Sequence, cast

import httptools

from teaselquay.shells._peers import Address

Header = tuple[bytes, bytes]

#: Bytes of an answer that are held before the connection is read on.
_HIGH_WATER_BYTES = 1 << 16
#: Limit for the head of an answer and for the bytes between two parts of its
#: body, a multiple of the limit for the heads of requests.
_MAX_HEAD_BYTES = 1 << 16
#: Limit for the number of fields of a head and of trailers.
_MAX_HEAD_FIELDS = 1000
#: Bytes that are parsed before the limits are checked again.
_MAX_PARSED_AT_ONCE_BYTES = 1 << 16
#: Limit for a document of an external system. It leaves room for several
#: changes of a value of maximum size, a mebibyte, in base64.
MAX_DOCUMENT_BYTES = 1 << 24
_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
#: Statuses that an answer can have; no request asks for another protocol.
_STATUSES = frozenset(range(100, 600)) - {_SWITCHING_PROTOCOLS}
_TCP_USER_TIMEOUT_MS = 15_000
#: Time in seconds after the end of an answer without a length in which a reset
#: of its connection still shows that it broke off.
_RESET_WAIT_S = 0.1


class ExchangeError(Exception):
    """An exchange ended without a complete answer."""


class ConnectError(ExchangeError):
    """The connection could not be opened; nothing was sent."""


class BrokenAnswerError(ExchangeError):
    """The connection failed before the answer was complete."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and header fields of an answer."""

    status: int
    headers: Sequence[Header]

    def field(self, name: bytes) -> bytes | None:
        """Return the first header field named `name`, or None."""
        return first_field(self.headers, name)


def first_field(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first of `headers` named `name`, in lower case, or None."""
    for found, field_value in headers:
        if found == name:
            return field_value
    return None


#: All connections read into this buffer, and copy what they keep.
_read_buffer = memoryview(bytearray(_MAX_PARSED_AT_ONCE_BYTES))


class HttpConnection(asyncio.BufferedProtocol):
    """A client connection whose caller starts and reads each exchange.

    `sent` is true once any byte of the current request may have been sent.
    `last_used` is the time at which the connection last became idle.
    """

    def __init__(self) -> None:
        """Create a connection that is not open yet."""
        self.sent = False
        self.last_used = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[Header] = []
        self._head: asyncio.Future[AnswerHead] | None = None
        self._field_count = 0
        #: Body bytes that have not been read yet. One buffer holds them, as an
        #: object for each chunk would cost many times its size.
        self._buffer = bytearray()
        self._bytes_since_body = 0
        self._body_changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._complete = True
        self._keep_alive = False
        self._is_head_request = False
        self._reads_until_close = False
        self._is_request_written = True
        #: Whether the sender of an answer without a length has ended it.
        self._has_ended = False
        self._error: ExchangeError | None = None
        self._closed = False

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float,
    ) -> 'HttpConnection':
        """Return a connection to `address`.

        Raises:
            ConnectError: the connection failed or timed out.
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
        """Return whether the connection can carry another exchange."""
        return self._complete and self._keep_alive and not self._closed

    def close(self) -> None:
        """Abort the connection, which cancels the request upstream."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def begin(self, method: str, is_streamed: bool = False) -> None:
        """Start an exchange for a request with `method`.

        If it `is_streamed`, `end_request` follows its last part.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = asyncio.get_running_loop().create_future()
        self._field_count = 0
        self._buffer = bytearray()
        self._bytes_since_body = 0
        self._complete = False
        self._keep_alive = False
        self._reads_until_close = False
        self._is_request_written = not is_streamed
        self._has_ended = False
        self._is_head_request = method == 'HEAD'
        self._error = None
        self.sent = False

    async def write(self, octets: bytes) -> None:
        """Send `octets` of the request, and wait while the buffer is full.

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

    def end_request(self) -> None:
        """Record that the last part of a streamed request was written."""
        self._is_request_written = True

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        Raises:
            BrokenAnswerError: the connection failed before the head came.
        """
        assert self._head is not None
        return await asyncio.shield(self._head)

    @property
    def head(self) -> 'asyncio.Future[AnswerHead]':
        """Return the future that receives the head of the answer."""
        assert self._head is not None
        return self._head

    async def read_body(
        self,
        stall_s: float | None = None,
    ) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; what came since is one part.

        Raises:
            BrokenAnswerError: the body is incomplete, or no data arrived
                for `stall_s` seconds.
        """
        while True:
            while self._buffer:
                part = bytes(self._buffer)
                self._buffer.clear()
                self._resume_reading()
                yield part
            if self._error is not None:
                raise self._error
            if self._complete:
                return
            self._body_changed.clear()
            try:
                async with asyncio.timeout(stall_s):
                    await self._body_changed.wait()
            except TimeoutError:
                self._fail('nothing came for too long')

    async def read_whole_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises:
            BrokenAnswerError: the body is incomplete, or longer than
                `max_bytes`.
        """
        body = bytearray()
        async for part in self.read_body():
            body += part
            if len(body) > max_bytes:
                self._fail(f'the body is too long, over {max_bytes} bytes')
        return bytes(body)

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the TCP user timeout."""
        self._transport = cast(asyncio.Transport, transport)
        # Closes a connection whose data is not acknowledged in this time.
        self._transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _TCP_USER_TIMEOUT_MS,
        )

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: WPS615
        """Return the common buffer."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was received."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._parser is None or self._complete:
            # They belong to no request. A complete answer can still be read.
            self.close()
            return
        for begin in range(0, len(data), _MAX_PARSED_AT_ONCE_BYTES):
            self._parse(data[begin : begin + _MAX_PARSED_AT_ONCE_BYTES])
            if self._closed:
                return

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_head_request or not self._complete:
                self._fail(f'the answer is malformed: {error}')
            return
        if self._bytes_since_body > _MAX_HEAD_BYTES and not self._complete:
            self._fail('a head, or what follows it, is too long')
        elif len(self._buffer) > _HIGH_WATER_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Complete an answer whose body ends with the connection.

        It breaks off if its sender did not wait for the whole request, or if
        a reset follows. Return whether the connection stays open to see that.
        """
        if not self._reads_until_close or self._complete:
            return False
        self._keep_alive = False
        if not self._has_sent_request():
            self._fail('it ended before the request was sent')
            return False
        self._has_ended = True
        loop = asyncio.get_running_loop()
        loop.call_later(_RESET_WAIT_S, self._finish_unless_reset)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange unless its answer is complete."""
        self._closed = True
        self._writable.set()
        if self._complete:
            return
        if self._has_ended and exc is None:
            self._finish()
        else:
            self._fail('the connection was lost')

    def pause_writing(self) -> None:
        """Make writers wait until the send buffer drains."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Wake up waiting writers."""
        self._writable.set()

    # Callbacks of httptools.HttpResponseParser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailers are ignored."""
        if self._is_after_answer():
            return
        self._field_count += 1
        if self._field_count == _MAX_HEAD_FIELDS + 1:
            self._fail(f'a head has over {_MAX_HEAD_FIELDS} fields')
        if self._head_is_read():
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Deliver the head unless its status is an interim one."""
        if self._is_after_answer():
            return
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            self._fail(f'no answer has the status {status}')
        if self._error is not None or status < _FIRST_FINAL_STATUS:
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._reads_until_close = self._body_ends_at_close(status)
        if self._head is not None and not self._head.done():
            self._head.set_result(AnswerHead(status, self._headers))
        if self._is_head_request:
            # An answer to HEAD has no body, but the parser would wait for one.
            self._keep_alive = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self._is_after_answer():
            return
        self._bytes_since_body = 0
        self._buffer += body
        self._body_changed.set()

    def on_message_complete(self) -> None:
        """End the exchange, or wait for the head after an interim one."""
        if self._is_after_answer():
            return
        assert self._parser is not None
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._headers = []
            return
        self._finish()

    def _is_after_answer(self) -> bool:
        """Return whether this data follows a complete answer.

        Such data belongs to no request and makes the connection unusable.
        """
        if self._complete:
            self._keep_alive = False
        return self._complete

    def _head_is_read(self) -> bool:
        """Return whether the head was read, so that fields are trailers."""
        return self._head is not None and self._head.done()

    def _has_sent_request(self) -> bool:
        """Return whether the kernel has taken the whole request."""
        transport = self._transport
        is_buffered = transport and transport.get_write_buffer_size()
        return self._is_request_written and not is_buffered

    def _finish_unless_reset(self) -> None:
        """Complete an answer whose sender has ended, or fail it."""
        if self._complete or self._closed or self._transport is None:
            return
        raw = self._transport.get_extra_info('socket')
        error = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(f'the connection was reset after its end: {error}')
            return
        self._finish()
        self.close()

    def _finish(self) -> None:
        self._complete = True
        self._body_changed.set()

    def _body_ends_at_close(self, status: int) -> bool:
        if status in _NO_BODY_STATUSES:
            return False
        names = {name for name, _ in self._headers}
        return not names & {b'content-length', b'transfer-encoding'}

    def _fail(self, reason: str) -> None:
        self._keep_alive = False
        self._error = BrokenAnswerError(reason)
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._error)
            # Marks the exception as retrieved, since nobody may be waiting.
            self._head.exception()
        self._body_changed.set()
        self.close()

    def _resume_reading(self) -> None:
        if len(self._buffer) <= _HIGH_WATER_BYTES and self._transport:
            if not self._closed:
                self._transport.resume_reading()


class ConnectionPool:
    """A pool of idle connections by address.

    A connection that was idle for longer than `max_idle_s` may be dead
    without notice, and is closed instead of being reused.
    """

    def __init__(
        self, max_idle_s: float = 4.0, max_idle_connections: int = 32
    ) -> None:
        """Limit the pool to `max_idle_connections` idle ones per address."""
        self._max_idle_s = max_idle_s
        self._max_idle_connections = max_idle_connections
        self._idle_by_address: dict[Address, deque[HttpConnection]] = {}

    def acquire(
        self,
        address: Address,
        now: float,
        max_idle_s: float | None = None,
    ) -> HttpConnection | None:
        """Remove and return the most recently used connection, or None.

        A connection that was idle for longer than `max_idle_s`, if that is
        below the pool's own limit, stays in the pool.
        """
        if not self.has(address, now, max_idle_s):
            return None
        return self._idle_by_address[address].pop()

    def has(
        self,
        address: Address,
        now: float,
        max_idle_s: float | None = None,
    ) -> bool:
        """Return whether `acquire` would return a connection.

        Close connections that can no longer be reused.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle[-1]
            idle_s = now - connection.last_used
            if idle_s <= self._max_idle_s and connection.reusable:
                return max_idle_s is None or idle_s <= max_idle_s
            idle.pop().close()
        return False

    def release(
        self,
        address: Address,
        connection: HttpConnection,
        now: float,
    ) -> None:
        """Return `connection` to the pool, or close it if not reusable."""
        idle = self._idle_by_address.setdefault(address, deque())
        if not connection.reusable or len(idle) >= self._max_idle_connections:
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
