"""One attempt of a request at one upstream."""

import asyncio
from dataclasses import dataclass, field
from typing import AsyncIterator

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination import Outcome
from teaselquay.decisions import Instant
from teaselquay.gateway._body import RequestBody
from teaselquay.gateway._dialect import Dialect
from teaselquay.pipeline import (
    NOT_FORWARDED,
    Exchange,
    frame_part,
    request_head,
)
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

#: Time to open a connection, in seconds: many round trips inside a region.
_CONNECT_TIMEOUT_S = 0.6
#: Part of an answer that is read before its head goes to the caller, so
#: that a broken one can be replaced.
_MOST_HELD_BYTES = 1 << 20
_MS_PER_S = 1000
_FIRST_SERVER_ERROR = 500
_MISDIRECTED = 421


@dataclass(frozen=True, slots=True)
class CallTarget:
    """Where an attempt goes, and how long it may take."""

    upstream: UpstreamRecord
    deadline: Instant
    #: Longest idle time of a kept connection, 0 for a new one only.
    most_idle_s: float
    team: str = ''


@dataclass(slots=True)
class CallResult:
    """How an attempt ended.

    `may_have_run` is false only if the upstream surely did not run it.
    `rest` yields what follows the held part of a long answer.
    """

    outcome: Outcome
    may_have_run: bool
    reason: str = ''
    head: AnswerHead | None = None
    body: bytes = b''
    rest: AsyncIterator[bytes] | None = None


@dataclass(slots=True)
class UpstreamCall:
    """Sends a request on a connection of its own, and judges the answer."""

    exchange: Exchange
    body: RequestBody
    target: CallTarget
    dialect: Dialect
    pool: ConnectionPool
    clock: Clock
    connection: HttpConnection | None = None
    is_reused: bool = False
    #: How long a reused connection had been idle.
    idle_s: float = 0.0
    began: Instant = Instant(0.0)
    _sender: 'asyncio.Task[None] | None' = None
    _held: list[bytes] = field(default_factory=list)

    async def run(self) -> CallResult:
        """Return how the attempt ended.

        Raises:
            CallerGoneError: the caller left before its body was complete.
            RefusedError: the body is larger than the limit.
        """
        self.began = self.clock.now()
        try:
            self.connection = await self._connect()
        except ConnectError as error:
            return CallResult(Outcome.UNREACHABLE, False, str(error))
        try:
            return await self._exchange()
        except BrokenAnswerError as error:
            return CallResult(
                Outcome.BROKEN,
                self.connection.sent,
                str(error),
            )

    def release(self) -> None:
        """Keep the connection if its exchange ended whole, or close it.

        Later calls do nothing.
        """
        connection = self.connection
        self.connection = None
        sender_done = self._sender is None or self._sender.done()
        if self._sender is not None and not sender_done:
            self._sender.cancel()
        if connection is None:
            return
        if not sender_done:
            # The rest of the body is still due on this connection.
            connection.close()
            return
        address = Address.parse(self.target.upstream.address)
        self.pool.release(address, connection, self.clock.now())

    def abort(self) -> None:
        """Close the connection, which cancels the work of most upstreams."""
        if self._sender is not None:
            self._sender.cancel()
        if self.connection is not None:
            self.connection.close()

    async def _connect(self) -> HttpConnection:
        address = Address.parse(self.target.upstream.address)
        now = self.clock.now()
        pooled = self.pool.acquire(address, now, self.target.most_idle_s)
        if pooled is not None:
            self.is_reused = True
            self.idle_s = now - pooled.last_used
            return pooled
        left_s = self.target.deadline - self.clock.now()
        return await HttpConnection.open(
            address,
            max(0, min(_CONNECT_TIMEOUT_S, left_s)),
        )

    async def _exchange(self) -> CallResult:
        assert self.connection is not None
        self.connection.begin(self.exchange.method)
        self._sender = asyncio.create_task(self._send())
        head = await self._wait_for_head()
        declined = self._declined(head)
        if declined is not None:
            return declined
        fault = self._fault(head)
        if fault:
            self.connection.close()
            return CallResult(Outcome.BROKEN, True, fault)
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
            # Raises what ended the sending early.
            self._sender.result()
        return await asyncio.shield(head)

    async def _send(self) -> None:
        assert self.connection is not None
        left_s = self.target.deadline - self.clock.now()
        head = self._head(left_s)
        if not self.exchange.has_body():
            await self.connection.write(head)
            return
        is_chunked = self.exchange.header(b'content-length') is None
        if not self.body.is_complete:
            await self.connection.write(head)
            head = b''
        async for part in self.body.stream():
            if part:
                await self.connection.write(head + frame_part(part, is_chunked))
                head = b''
        end = b'0\r\n\r\n' if is_chunked else b''
        if head or end:
            await self.connection.write(head + end)

    def _head(self, left_s: float) -> bytes:
        exchange = self.exchange
        return request_head(
            exchange,
            (
                *self._own_fields(left_s),
                *self._forwarded_fields(),
                *self._length_fields(),
            ),
        )

    def _own_fields(self, left_s: float) -> list[Header]:
        """Return what upstreams are told by this VM alone."""
        dialect = self.dialect
        left_ms = max(1, int(left_s * _MS_PER_S))
        fields = [
            (dialect.deadline_ms, b'%d' % left_ms),
            (dialect.expected_upstream, self.target.upstream.name.encode()),
        ]
        if self.target.team:
            fields.append((dialect.team, self.target.team.encode()))
        return fields

    def _forwarded_fields(self) -> list[Header]:
        dialect = self.dialect
        own = {
            dialect.deadline_ms,
            dialect.expected_upstream,
            dialect.team,
            dialect.api_key,
        }
        left_out = NOT_FORWARDED | own | _connection_fields(self.exchange)
        return [
            pair for pair in self.exchange.headers if pair[0] not in left_out
        ]

    def _length_fields(self) -> list[Header]:
        length = self.exchange.header(b'content-length')
        if length is not None:
            return [(b'content-length', length)]
        if self.exchange.has_body():
            return [(b'transfer-encoding', b'chunked')]
        return []

    def _declined(self, head: AnswerHead) -> CallResult | None:
        """Return the result if the upstream says that it ran nothing."""
        if head.status == _MISDIRECTED:
            outcome = Outcome.MISDIRECTED
        elif head.field(self.dialect.not_executed) is None:
            return None
        else:
            outcome = Outcome.SHED
        assert self.connection is not None
        self.connection.close()
        return CallResult(outcome, False, f'status {head.status}', head)

    def _fault(self, head: AnswerHead) -> str:
        """Return why `head` is not this request's answer, if so."""
        sent = self.exchange.header(self.dialect.request_id)
        echoed = head.field(self.dialect.request_id)
        if sent is not None and echoed is not None and echoed != sent:
            return 'the answer belongs to another request'
        if head.field(b'content-encoding') is not None:
            return 'the body is encoded though nobody asked for it'
        is_stamped = head.field(self.dialect.stamp) is not None
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
        held = 0
        async for part in parts:
            self._held.append(part)
            held += len(part)
            if held > _MOST_HELD_BYTES:
                body = b''.join(self._held)
                return CallResult(outcome, True, reason, head, body, parts)
        body = b''.join(self._held)
        return CallResult(outcome, True, reason, head, body)


def _connection_fields(exchange: Exchange) -> set[bytes]:
    """Return the fields that the caller declares to be for one hop."""
    named = exchange.header(b'connection') or b''
    return {name.strip().lower() for name in named.split(b',')}
