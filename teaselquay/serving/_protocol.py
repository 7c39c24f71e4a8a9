"""HTTP protocol of uvicorn with bounds on what a client may occupy."""

import asyncio
from typing import Any
from urllib.parse import unquote

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from teaselquay.serving._account import CONNECTION_BYTES, Use, head_cost
from teaselquay.serving._clients import ClientGroup

#: A connection is closed if its request head is longer and still incomplete.
_MAX_INCOMPLETE_HEAD_BYTES = 65536
#: Most bytes that are read at once: of a head and what follows it, of a body
#: with a length, and of a chunked one, whose chunks may have one byte each.
#: What follows a head is held before there is a claim for it.
_HEAD_READ_BYTES = 1 << 12
_BODY_READ_BYTES = 1 << 16
_CHUNKED_READ_BYTES = 1 << 13
#: Chunks in one read after which others are served first.
_MAX_CHUNKS_PER_TURN = 64
#: Bytes of responses that a connection holds before writers wait.
_MAX_UNSENT_BYTES = 1 << 14
#: Bytes of a response that are written at once.
_MAX_WRITE_BYTES = 1 << 16
#: How long the rest of a body is read after its response, in seconds, so that
#: the client can read the response before the connection is closed.
_DISCARD_S = 2.0
#: A request whose body is incomplete is not closed for the sake of others in
#: its first second.
_GRACE_S = 1.0
_HEAD_END = b'\r\n\r\n'
_HEAD_TOO_LARGE_RESPONSE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)
_NO_ROOM_RESPONSE = (
    b'HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.30\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)
#: Extension of the ASGI scope of a request for which there is no memory.
NO_ROOM_EXTENSION = 'teaselquay.no-room'
#: Key of the ASGI scope; true if nothing is sent to an upstream before the
#: body is complete.
HELD_WHOLE_KEY = 'teaselquay.held-whole'

#: All connections read into this buffer, and copy what they keep.
_buffer = bytearray(_BODY_READ_BYTES)
_view = memoryview(_buffer)


class _Cycle(RequestResponseCycle):
    """A request and its response, whose body is read when it is asked for."""

    protocol: 'BoundedHttpProtocol'
    is_reading: bool

    async def send(self, message: Any) -> None:
        """Send a message; a long body is written as the client reads it.

        The transport would copy what the client has not read yet.
        """
        body = message.get('body', b'')
        size = len(body)
        if size <= _MAX_WRITE_BYTES:
            await super().send(message)
            return
        self.protocol.charge_response(size)
        try:
            for begin in range(0, size, _MAX_WRITE_BYTES):
                end = begin + _MAX_WRITE_BYTES
                await super().send(
                    {
                        'type': 'http.response.body',
                        'body': body[begin:end],
                        'more_body': end < size or message.get('more_body'),
                    },
                )
        finally:
            self.protocol.charge_response(-size)

    async def receive(self) -> Any:
        """Return the next part of the body, or that the client has left."""
        if self.waiting_for_100_continue and not self.transport.is_closing():
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            self.waiting_for_100_continue = False  # noqa: WPS114
        if not self.disconnected and not self.response_complete:
            self.is_reading = True
            self.protocol.allow_reading()
            await self.message_event.wait()
            self.message_event.clear()
            self.is_reading = False
        if self.disconnected or self.response_complete:
            return {'type': 'http.disconnect'}
        body = bytes(self.body)
        self.body = bytearray()
        self.protocol.charge_body(-len(body))
        return {
            'type': 'http.request',
            'body': body,
            'more_body': self.more_body,
        }


class BoundedHttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Charges what a client occupies, and bounds its size and time.

    Requests are parsed one at a time: what follows a request stays unparsed
    until its response was written.
    """

    cycle: _Cycle  # type: ignore[assignment]

    def __init__(self, group: ClientGroup, **kwargs: Any) -> None:
        """Create a protocol that belongs to `group`."""
        super().__init__(**kwargs)
        self._group = group
        self._clients = group.clients
        self._account = group.clients.account
        #: The bytes of an incomplete head.
        self._head = bytearray()
        #: Bytes that follow the current request.
        self._pending = b''
        #: Whether a request has begun, and whether it was received whole.
        self._is_open = False
        self._is_received = False
        #: Bytes of the body that are still to come; None if it is chunked.
        self._body_left: int | None = 0
        self._body_tail = b''
        self._body_received = 0
        self._chunks = 0
        #: Whether the rest of the body is discarded after the response.
        self._is_discarding = False
        #: Whether all that still comes is discarded without being parsed.
        self._is_lingering = False
        self._awaits_turn = False
        self._awaits_write = False
        #: Time of the last change of the state above.
        self._since = 0.0
        self._stalled_since = 0.0
        self._unsent_bytes = 0
        self._connection_charge = 0
        self._head_charge = 0
        self._body_charge = 0
        self._pending_charge = 0
        self._response_charge = 0
        self._unsent_charge = 0

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        """Charge the connection, and close others if there are too many."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        self._since = self.loop.time()
        self._connection_charge = CONNECTION_BYTES
        self._account.add(Use.CONNECTIONS, CONNECTION_BYTES)
        if not self._group.admit(self):
            self.transport.abort()
        elif not self._account.has_room(0) and not self._group.is_reserved:
            self._clients.make_room(0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all that the connection was charged for."""
        self._group.discard(self)
        self._release_all()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the part of the common buffer that may be filled."""
        if self._is_lingering or (
            self._is_open and not self._is_received and self._body_left
        ):
            return _view
        if self._body_left is None:
            return _view[:_CHUNKED_READ_BYTES]
        return _view[:_HEAD_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was received."""
        if self._is_lingering:
            return
        self.data_received(bytes(_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse `data` up to the end of the current request."""
        self._chunks = 0
        while data:
            if self._is_open and self._is_received:
                self._hold(self._pending + data)
                self.flow.pause_reading()
                return
            try:
                data = self._parse(data)
            except httptools.HttpParserError:
                self._refuse_malformed()
                return
            if self._is_lingering or self.transport.is_closing():
                return
        if self._chunks > _MAX_CHUNKS_PER_TURN and not self._awaits_turn:
            self._awaits_turn = True
            self.flow.pause_reading()
            self._clients.turns.add(self._resume_after_turn)

    def pause_writing(self) -> None:
        """Make writers wait, and charge what the client does not read."""
        super().pause_writing()
        self._stalled_since = self.loop.time()
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self.charge_response(self._unsent_bytes - self._unsent_charge)
        self._unsent_charge = self._unsent_bytes

    def resume_writing(self) -> None:
        """Go on, since the client has read enough."""
        super().resume_writing()
        self.charge_response(-self._unsent_charge)
        self._unsent_charge = 0
        if self._awaits_write:
            self._awaits_write = False
            self._begin_next()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._is_open:
            # Requests are handed to the parser one at a time.
            raise ValueError('a request begins within another')
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start to serve the request."""
        self._is_open = True
        self._is_received = False
        self._body_received = 0
        version = self.parser.get_http_version()
        scope = self.scope
        scope['method'] = self.parser.get_method().decode('ascii')
        if version != '1.1':
            scope['http_version'] = version
        url = httptools.parse_url(self.url)
        path = url.path.decode('ascii')
        if '%' in path:
            path = unquote(path)
        scope['path'] = path
        scope['raw_path'] = url.path
        scope['query_string'] = url.query or b''
        if not self._has_room_for_head():
            scope['extensions'] = {NO_ROOM_EXTENSION: {}}
        self.cycle = _Cycle(
            scope=scope,
            transport=self,  # type: ignore[arg-type]
            flow=self.flow,
            logger=self.logger,
            access_logger=self.access_logger,
            access_log=self.access_log,
            default_headers=self.server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=self.expect_100_continue,
            keep_alive=version != '1.0' and self.parser.should_keep_alive(),
            on_response=self.on_response_complete,
        )
        self.cycle.protocol = self
        self.cycle.is_reading = False
        self._since = self.loop.time()
        self._start_asgi_task(self.cycle, self.app)

    def on_body(self, body: bytes) -> None:
        """Hold a part of the body until it is read."""
        self._body_received += len(body)
        self._chunks += 1
        cycle = self.cycle
        if cycle.response_complete:
            return
        cycle.body += body
        self.charge_body(len(body))
        is_awaited = cycle.is_reading and len(cycle.body) <= HIGH_WATER_LIMIT
        if self._body_left != 0 and not is_awaited:
            self.flow.pause_reading()
        cycle.message_event.set()

    def on_message_complete(self) -> None:
        """Note that the request was received whole."""
        self._is_received = True
        if not self.cycle.response_complete:
            self.cycle.more_body = False
            self.cycle.message_event.set()

    # What the request and its response call.

    def write(self, data: bytes) -> None:
        """Write a part of the response."""
        self.transport.write(data)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self.transport.is_closing()

    def close(self) -> None:
        """Close the connection after the response.

        If the client may still be sending, what comes is discarded for a
        while: a reset would take the response from it.
        """
        is_sending = not self._is_received or self._pending
        if not self.cycle.response_complete or not is_sending:
            self.transport.close()
            return
        self._is_lingering = True
        self._since = self.loop.time()
        self._hold(b'')
        self.transport.write_eof()
        self.flow.resume_reading()

    def on_response_complete(self) -> None:
        """Release the request, and begin the next one."""
        self.server_state.total_requests += 1
        self._release_request()
        if self._is_lingering or self.transport.is_closing():
            return
        self._since = self.loop.time()
        if self._is_received:
            self._end_request()
        else:
            self._is_discarding = True
            self.flow.resume_reading()

    def allow_reading(self) -> None:
        """Read on, unless something that is read already waits."""
        if not self._pending and not self._awaits_turn:
            self.flow.resume_reading()

    def charge_body(self, size: int) -> None:
        """Charge `size` more bytes of the body that are held."""
        self._body_charge += size
        self._account.add(Use.BODIES, size)
        if size > 0 and not self._account.has_room(0):
            self._clients.make_room(0)

    def charge_response(self, size: int) -> None:
        """Charge `size` more bytes of responses that are not sent yet."""
        if not self._connection_charge:
            return
        self._response_charge += size
        self._account.add(Use.RESPONSES, size)
        if size > 0 and not self._account.has_room(0):
            self._clients.make_room(0)

    # What the bounds of all clients call.

    def closing_rank(self, now: float) -> tuple[int, float] | None:
        """Return the order in which to close it, or None to keep it."""
        if self.transport.is_closing():
            return None
        if self.flow.write_paused:
            self._note_progress(now)
            return (1, self._stalled_since)
        if not self._is_open or self._is_discarding or self._is_lingering:
            return (0, self._since)
        age_s = now - self._since
        if self._is_received or age_s < _GRACE_S:
            return None
        return (2, self._body_received / age_s)

    def is_new(self, now: float) -> bool:
        """Return whether it was accepted just now and has sent nothing."""
        if self.cycle is not None or self._head:
            return False
        return now - self._since < _GRACE_S

    def held_bytes(self) -> int:
        """Return the memory that closing the connection frees."""
        return (
            CONNECTION_BYTES
            + self._head_charge
            + self._body_charge
            + self._pending_charge
            + self._response_charge
            + self._body_received
        )

    def close_early(self, reason: str) -> None:
        """Close the connection, whatever it is doing.

        A request of which nothing was sent to an upstream is refused.
        """
        if self.transport.is_closing():
            self.transport.abort()
            return
        self._clients.count_closed(reason)
        cycle = self.cycle
        if self._is_open and not self._is_received and cycle is not None:
            is_unsent = self.scope.get(HELD_WHOLE_KEY, False)
            if is_unsent and not cycle.response_started:
                self.transport.write(_NO_ROOM_RESPONSE)
            cycle.disconnected = True
            cycle.message_event.set()
        self._since = self.loop.time()
        if self.flow.write_paused:
            self.transport.abort()
        else:
            self.transport.close()
        self._release_all()

    def expired_reason(self, now: float) -> str | None:
        """Return why the time of the connection is over, or None."""
        if self.flow.write_paused:
            return self._stalled_reason(now)
        reason, most_s = self._time_limit()
        return reason if now - self._since >= most_s else None

    def _time_limit(self) -> tuple[str, float]:
        """Return how long the current state may last, and why it ends."""
        idle_s = float(self.config.timeout_keep_alive)
        if self.transport.is_closing():
            # What the client does not read keeps the connection open.
            return 'response-not-read', idle_s
        if self._is_lingering or self._is_discarding:
            return 'body-not-ended', _DISCARD_S
        if self._is_open:
            return '', float('inf')
        if self._head:
            return 'head-not-ended', self._clients.header_timeout_s
        return 'idle', idle_s

    def _stalled_reason(self, now: float) -> str | None:
        self._note_progress(now)
        is_late = now - self._stalled_since >= self.config.timeout_keep_alive
        return 'response-not-read' if is_late else None

    def _note_progress(self, now: float) -> None:
        """Note whether the client has read more of what waits for it."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._stalled_since = now

    # Parsing.

    def _parse(self, data: bytes) -> bytes:
        """Parse a part of `data`, and return the rest of it."""
        if not self._is_open:
            return self._parse_head(data)
        if self._body_left is None:
            return self._parse_chunks(data)
        body = data[: self._body_left]
        self._body_left -= len(body)
        self._feed(body)
        return data[len(body) :]

    def _parse_head(self, data: bytes) -> bytes:
        if self._head:
            begin = max(0, len(self._head) - len(_HEAD_END) + 1)
            self._head += data
            data = b''
            end = self._head.find(_HEAD_END, begin)
        else:
            end = data.find(_HEAD_END)
        if end < 0:
            self._keep_incomplete_head(data)
            return b''
        end += len(_HEAD_END)
        if self._head:
            data = bytes(self._head)
            self._head = bytearray()
        head = data[:end]
        self._charge_head(head_cost(head))
        self._feed(head)
        if self._is_open and not self._is_received:
            self._find_body_length()
        return data[end:]

    def _keep_incomplete_head(self, data: bytes) -> None:
        if not self._head:
            self._since = self.loop.time()
        self._head += data
        if len(self._head) > _MAX_INCOMPLETE_HEAD_BYTES:
            self.transport.write(_HEAD_TOO_LARGE_RESPONSE)
            self.transport.close()
            return
        self._charge_head(len(self._head))
        if not self._account.has_room(0):
            self._clients.make_room(0)

    def _find_body_length(self) -> None:
        self._body_left = None
        self._body_tail = b''
        for name, text in self.headers:
            if name == b'content-length':
                self._body_left = int(text)

    def _parse_chunks(self, data: bytes) -> bytes:
        """Parse up to a place where the body may end.

        A chunked body ends with an empty line after another line, so the
        parser is given no more than up to the next place of this kind.
        """
        tail = self._body_tail
        end = (tail + data).find(_HEAD_END)
        if end < 0:
            self._body_tail = (tail + data)[1 - len(_HEAD_END) :]
            self._feed(data)
            return b''
        end += len(_HEAD_END) - len(tail)
        self._body_tail = b''
        self._feed(data[:end])
        return data[end:]

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._unsupported_upgrade_warning()
            self._is_received = True
        if self._is_received and self._is_discarding:
            self._end_request()

    def _refuse_malformed(self) -> None:
        text = 'Invalid HTTP request received.'
        self.logger.warning(text)
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
        self.send_400_response(text)

    # States.

    def _end_request(self) -> None:
        """Begin the next request, once the response was read."""
        self._is_open = False
        self._is_discarding = False
        self._body_left = 0
        self._since = self.loop.time()
        if self.flow.write_paused:
            self._awaits_write = True
            self.flow.pause_reading()
        else:
            self._begin_next()

    def _begin_next(self) -> None:
        if not self._pending:
            self.allow_reading()
        elif not self._awaits_turn:
            self._awaits_turn = True
            self._clients.turns.add(self._resume_after_turn)

    def _resume_after_turn(self) -> None:
        self._awaits_turn = False
        if self.transport.is_closing() or self._is_lingering:
            return
        pending = self._pending
        if pending and not self._is_open and not self._awaits_write:
            self._hold(b'')
            self.data_received(pending)
        if not self._pending and not self._awaits_write:
            self.allow_reading()

    def _hold(self, pending: bytes) -> None:
        self._pending = pending
        change = len(pending) - self._pending_charge
        if change:
            self._pending_charge += change
            self._account.add(Use.PIPELINED, change)

    def _release_all(self) -> None:
        self._account.add(Use.CONNECTIONS, -self._connection_charge)
        self._connection_charge = 0
        self._release_request()
        self._hold(b'')
        self._account.add(Use.RESPONSES, -self._response_charge)
        self._response_charge = 0
        self._unsent_charge = 0
        self._head = bytearray()

    def _release_request(self) -> None:
        self._charge_head(0)
        if self._body_charge:
            self.charge_body(-self._body_charge)
        cycle = self.cycle
        if cycle is not None and cycle.response_complete:
            # The connection would hold the fields until its next request.
            cycle.body = bytearray()
            cycle.scope = {}  # type: ignore[typeddict-item]
            self.scope = cycle.scope
            self.headers = []

    def _charge_head(self, size: int) -> None:
        change = size - self._head_charge
        if change:
            self._head_charge = size
            self._account.add(Use.HEADS, change)

    def _has_room_for_head(self) -> bool:
        if self._group.is_reserved or self._account.has_room(0):
            return True
        self._clients.make_room(0)
        if self._account.has_room(0):
            return True
        self._clients.count_closed('refused')
        return False
