"""One attempt of a request at one upstream."""

import asyncio
from dataclasses import dataclass, field
from typing import AsyncIterator, Callable

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination import Outcome, RateStatement
from teaselquay.decisions import Instant, RefusedError, UpstreamName
from teaselquay.gateway._body import RequestBody
from teaselquay.gateway._dialect import HeaderNames
from teaselquay.gateway._statements import (
    StatementError,
    parse_leaving,
    parse_rate,
    parse_rest,
)
from teaselquay.pipeline import (
    NOT_FORWARDED,
    BodyDroppedError,
    BodyFramer,
    BodyLengthError,
    CallerGoneError,
    Exchange,
    request_head,
)
from teaselquay.serving import Clients, Use
from teaselquay.shells import (
    Address,
    AnswerHead,
    BrokenAnswerError,
    Clock,
    ConnectError,
    ConnectionPool,
    Header,
    HttpConnection,
)

#: Timeout of opening a connection: many round trips inside a region.
_CONNECT_TIMEOUT_S = 0.6
#: Bytes of an answer that are buffered before its head goes to the caller,
#: so that a broken answer can be replaced by that of another upstream.
_MAX_BUFFERED_BYTES = 1 << 20
#: Answers up to this length are read whole also where memory is short.
_MIN_BUFFERED_BYTES = 1 << 16
#: Bytes that a connection to an upstream holds while it is not read on.
_CONNECTION_BUFFER_BYTES = 1 << 17
#: Bytes that are held of an answer that is streamed, beside these.
_STREAM_BYTES = _MIN_BUFFERED_BYTES + 1
#: Copies of an answer that is read whole: the buffer, and what is taken of it.
_BUFFER_COST = 2
_MS_PER_S = 1000
_FIRST_SERVER_ERROR = 500
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503


@dataclass(frozen=True, slots=True)
class CallTarget:
    """The upstream of an attempt and the limits on time and connection."""

    upstream: UpstreamRecord
    deadline: Instant
    #: Longest idle time of a pooled connection in seconds; 0 opens a new one.
    max_idle_s: float
    team: str = ''


@dataclass(slots=True)
class CallResult:
    """The outcome of an attempt, with the answer if there is one.

    `may_have_run` is false only if the upstream cannot have run the request.
    `rest` yields what follows the buffered part of a long answer.
    """

    outcome: Outcome
    may_have_run: bool
    reason: str = ''
    head: AnswerHead | None = None
    body: bytes = b''
    rest: AsyncIterator[bytes] | None = None


@dataclass(slots=True)
class UpstreamCall:
    """Sends a request on a connection of its own and validates the answer."""

    exchange: Exchange
    body: RequestBody
    target: CallTarget
    header_names: HeaderNames
    pool: ConnectionPool
    clock: Clock
    #: Returns whether this VM may send new requests to an upstream.
    may_send: Callable[[UpstreamName], bool]
    #: Records an answer that says that its upstream leaves.
    record_leaving: Callable[[UpstreamRecord], None]
    #: Records an answer that asks for so many seconds of rest.
    record_rest: Callable[[UpstreamRecord, float], None]
    connection: HttpConnection | None = None
    is_reused: bool = False
    #: How long a reused connection had been idle, in seconds.
    idle_s: float = 0.0
    began: Instant = Instant(0.0)
    #: What the head of the answer says of a limit, once it has arrived.
    rate_statement: RateStatement | None = None
    #: Why the limit that it names cannot be read, or an empty string.
    rate_error: str = ''
    #: Why it cannot be read whether the upstream leaves, or an empty string.
    leaving_error: str = ''
    #: Why the rest that it asks for cannot be read, or an empty string.
    rest_error: str = ''
    #: Account of the memory in which answers are held.
    clients: Clients = field(default_factory=Clients)
    _sender: 'asyncio.Task[None] | None' = None
    _buffer: bytearray = field(default_factory=bytearray)
    _charged_bytes: int = 0

    async def run(self) -> CallResult:
        """Send the request and return the result of the attempt.

        Raises:
            CallerGoneError: the caller left before its body was complete.
            RefusedError: the body is larger than the limit.
        """
        self.began = self.clock.now()
        try:
            self.connection = await self._connect()
        except ConnectError as error:
            return CallResult(Outcome.UNREACHABLE, False, str(error))
        if not self.may_send(self.target.upstream.name):
            # It left, or asked for rest, while the connection was opened.
            self.connection.close()
            reason = 'the upstream left or rests since it was chosen'
            return CallResult(Outcome.CANCELLED, False, reason)
        try:
            return await self._send_and_read_answer()
        except (BodyDroppedError, BodyLengthError) as error:
            # The upstream is not at fault, and got no whole request.
            self.connection.close()
            return CallResult(
                Outcome.CANCELLED,
                self.connection.sent,
                f'the body cannot be sent: {error!r}',
            )
        except (CallerGoneError, RefusedError):
            # The upstream waits for the rest of the body.
            self.connection.close()
            raise
        except BrokenAnswerError as error:
            return CallResult(
                Outcome.BROKEN,
                self.connection.sent,
                str(error),
            )

    def release(self) -> None:
        """Return the connection to the pool if its exchange is complete.

        Close it otherwise. Later calls do nothing.
        """
        self._charge(0)
        connection = self.connection
        self.connection = None
        is_sent = self._is_request_sent()
        if self._sender is not None:
            self._sender.cancel()
        if connection is None:
            return
        if not is_sent:
            # The rest of the body has not been sent on this connection.
            connection.close()
            return
        address = Address.parse(self.target.upstream.address)
        self.pool.release(address, connection, self.clock.now())

    def abort(self) -> None:
        """Close the connection, which makes most upstreams cancel the work."""
        self._charge(0)
        if self._sender is not None:
            self._sender.cancel()
        if self.connection is not None:
            self.connection.close()

    def _is_request_sent(self) -> bool:
        """Return whether the whole request has been sent."""
        sender = self._sender
        if sender is None:
            return True
        if not sender.done() or sender.cancelled():
            return False
        return sender.exception() is None

    async def _connect(self) -> HttpConnection:
        address = Address.parse(self.target.upstream.address)
        now = self.clock.now()
        pooled = None
        if self.exchange.header(self.header_names.request_id) is not None:
            # Without an id, a late answer to an earlier request on the
            # connection could not be told from the answer to this one.
            pooled = self.pool.acquire(address, now, self.target.max_idle_s)
        if pooled is not None:
            self.is_reused = True
            self.idle_s = now - pooled.last_used
            return pooled
        left_s = self.target.deadline - self.clock.now()
        return await HttpConnection.open(
            address,
            max(0, min(_CONNECT_TIMEOUT_S, left_s)),
        )

    async def _send_and_read_answer(self) -> CallResult:
        assert self.connection is not None
        self.connection.begin(
            self.exchange.method, is_streamed=self.exchange.has_body()
        )
        self._sender = asyncio.create_task(self._send())
        head = await self._wait_for_head()
        if not self._answers_request(head):
            # A late copy of an earlier answer says nothing about this request.
            self.connection.close()
            reason = 'the answer belongs to another request'
            return CallResult(Outcome.BROKEN, True, reason)
        if self._speaks_for_upstream(head):
            self._read_rate(head)
            self._read_leaving(head)
            self._read_rest(head)
        declined_result = self._declined_result(head)
        if declined_result is not None:
            return declined_result
        invalid_reason = self._invalid_answer_reason(head)
        if invalid_reason:
            self.connection.close()
            return CallResult(Outcome.BROKEN, True, invalid_reason)
        return await self._read_answer(head)

    async def _wait_for_head(self) -> AnswerHead:
        assert self.connection is not None
        assert self._sender is not None
        head = self.connection.head
        await asyncio.wait(
            (head, self._sender),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not head.done():
            # Raises the error that ended the sending early.
            self._sender.result()
        return await asyncio.shield(head)

    async def _send(self) -> None:
        assert self.connection is not None
        left_s = self.target.deadline - self.clock.now()
        head = self._head(left_s)
        if not self.exchange.has_body():
            await self.connection.write(head)
            return
        parts = self.body.open()
        framer = BodyFramer.from_exchange(self.exchange)
        if not self.body.is_complete:
            await self.connection.write(head)
            head = b''
        async for part in parts:
            if part:
                await self.connection.write(head + framer.frame(part))
                head = b''
        end = framer.end(self.body.received_bytes)
        if head or end:
            await self.connection.write(head + end)
        self.connection.end_request()

    def _head(self, left_s: float) -> bytes:
        exchange = self.exchange
        return request_head(
            exchange,
            (
                *self._gateway_fields(left_s),
                *self._forwarded_fields(),
                *self._length_fields(),
            ),
        )

    def _gateway_fields(self, left_s: float) -> list[Header]:
        """Return the header fields that the gateway sets itself."""
        header_names = self.header_names
        left_ms = max(1, int(left_s * _MS_PER_S))
        fields = [
            (header_names.deadline_ms, b'%d' % left_ms),
            (
                header_names.expected_upstream,
                self.target.upstream.name.encode(),
            ),
        ]
        if self.target.team:
            fields.append((header_names.team, self.target.team.encode()))
        return fields

    def _forwarded_fields(self) -> list[Header]:
        header_names = self.header_names
        gateway_names = {
            header_names.deadline_ms,
            header_names.expected_upstream,
            header_names.team,
            header_names.api_key,
        }
        excluded = (
            NOT_FORWARDED | gateway_names | _connection_fields(self.exchange)
        )
        return [
            field_pair
            for field_pair in self.exchange.headers
            if field_pair[0] not in excluded
        ]

    def _length_fields(self) -> list[Header]:
        length = self.exchange.header(b'content-length')
        if length is not None:
            return [(b'content-length', length)]
        if self.exchange.has_body():
            return [(b'transfer-encoding', b'chunked')]
        return []

    def _declined_result(self, head: AnswerHead) -> CallResult | None:
        """Return the result if the upstream declined the request, else None."""
        if head.status == _MISDIRECTED_STATUS:
            outcome = Outcome.MISDIRECTED
        elif self._was_declined(head):
            outcome = Outcome.SHED
        else:
            return None
        assert self.connection is not None
        self.connection.close()
        return CallResult(outcome, False, f'status {head.status}', head)

    def _speaks_for_upstream(self, head: AnswerHead) -> bool:
        """Return whether `head` tells something of the upstream.

        One of another upstream, or without the mark of any, does not.
        """
        has_run = head.field(self.header_names.stamp) is not None
        is_misdirected = head.status == _MISDIRECTED_STATUS
        return not is_misdirected and (has_run or self._was_declined(head))

    def _was_declined(self, head: AnswerHead) -> bool:
        return head.field(self.header_names.not_executed) is not None

    def _read_leaving(self, head: AnswerHead) -> None:
        """Record at once if the upstream leaves."""
        try:
            is_leaving = parse_leaving(head.headers, self.header_names.leaving)
        except StatementError as error:
            self.leaving_error = str(error)
            return
        if is_leaving:
            self.record_leaving(self.target.upstream)

    def _read_rest(self, head: AnswerHead) -> None:
        """Record at once if the upstream asks for rest."""
        if head.status != _UNAVAILABLE_STATUS:
            return
        try:
            rest_s = parse_rest(head.headers)
        except StatementError as error:
            self.rest_error = str(error)
            return
        if rest_s > 0:
            self.record_rest(self.target.upstream, rest_s)

    def _read_rate(self, head: AnswerHead) -> None:
        """Read what `head` says of a limit of the upstream.

        Only an answer to a request that ran says that there is none.
        """
        try:
            rate = parse_rate(head.headers, self.header_names.rate_limit)
        except StatementError as error:
            self.rate_error = str(error)
            return
        if rate is not None or not self._was_declined(head):
            started_ms = self.target.upstream.started_ms
            self.rate_statement = RateStatement(rate, started_ms)

    def _answers_request(self, head: AnswerHead) -> bool:
        """Return whether `head` has the id that was sent, if any was.

        A head without id can belong to an earlier request only on a reused
        connection.
        """
        sent = self.exchange.header(self.header_names.request_id)
        echoed = head.field(self.header_names.request_id)
        if echoed is None and not self.is_reused:
            return True
        return sent is None or echoed == sent

    def _invalid_answer_reason(self, head: AnswerHead) -> str:
        """Return why `head` cannot be forwarded, or an empty string."""
        if head.field(b'content-encoding') is not None:
            return 'the body is encoded though nobody asked for it'
        is_stamped = head.field(self.header_names.stamp) is not None
        if not is_stamped:
            return f'status {head.status} without the stamp of an upstream'
        return ''

    async def _read_answer(self, head: AnswerHead) -> CallResult:
        assert self.connection is not None
        outcome = Outcome.SERVED
        if head.status >= _FIRST_SERVER_ERROR:
            outcome = Outcome.FAILED
        reason = f'status {head.status}'
        parts = self.connection.read_body()
        is_streamed = False
        try:
            async for part in parts:
                self._buffer += part
                self._charge(len(self._buffer) * _BUFFER_COST)
                if self._must_stream():
                    body = self._take_buffer()
                    is_streamed = True
                    return CallResult(outcome, True, reason, head, body, parts)
        finally:
            # The connection holds parts of a streamed answer until its release.
            self._charge(_STREAM_BYTES if is_streamed else 0)
        return CallResult(outcome, True, reason, head, self._take_buffer())

    def _charge(self, size: int) -> None:
        """Charge `size` bytes of the answer in total."""
        if size > _MIN_BUFFERED_BYTES:
            # The connection holds as much again of a long answer.
            size += _CONNECTION_BUFFER_BYTES
        self.clients.account.add(Use.RESPONSES, size - self._charged_bytes)
        self._charged_bytes = size

    def _must_stream(self) -> bool:
        """Return whether the answer is too long to be read whole."""
        size = len(self._buffer)
        if size > _MAX_BUFFERED_BYTES:
            return True
        return size > _MIN_BUFFERED_BYTES and not self.clients.reserve(0)

    def _take_buffer(self) -> bytes:
        body = bytes(self._buffer)
        self._buffer.clear()
        return body


def _connection_fields(exchange: Exchange) -> set[bytes]:
    """Return the hop-by-hop fields that the connection field names."""
    named = exchange.header(b'connection') or b''
    return {name.strip().lower() for name in named.split(b',')}
