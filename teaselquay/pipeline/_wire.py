"""Write a request to the connection of an upstream."""

import asyncio
from typing import Iterator

from teaselquay.decisions import (
    ProblemKind,
    RefusedError,
    Run,
    problem,
    refuse,
)
from teaselquay.pipeline._exchange import Exchange
from teaselquay.pipeline._filters import recheck_key
from teaselquay.pipeline._framing import (
    NOT_FORWARDED,
    BodyFramer,
    request_head,
)
from teaselquay.pipeline._parts import Parts
from teaselquay.shells import Header, HttpConnection

_MS_PER_S = 1000
_NOT_FORWARDED = NOT_FORWARDED | {b'traceparent', b'x-request-timeout-ms'}


async def send_request(
    exchange: Exchange,
    parts: Parts,
    connection: HttpConnection,
) -> None:
    """Send the request after checking deadline, key and freshness again.

    Raises:
        BodyDroppedError: the body was streamed before.
        BrokenAnswerError: the connection was lost.
        CallerGoneError: the caller disconnected before its body was complete.
        RefusedError: the request may no longer be sent.
    """
    is_streamed = not exchange.can_replay()
    connection.begin(exchange.method, is_streamed)
    remaining_s = exchange.deadline - parts.now()
    if remaining_s <= 0:
        raise RefusedError(
            problem(ProblemKind.DEADLINE_EXCEEDED).with_run(exchange.run_state),
        )
    # The process may have been suspended for long since the first check.
    recheck_key(exchange, parts)
    if not parts.node.is_fresh():
        raise refuse(ProblemKind.STALE_CONFIGURATION)
    exchange.run_state = Run.UNKNOWN
    head = request_head(exchange, _header_fields(exchange, remaining_s))
    if not is_streamed:
        await connection.write(head + exchange.body)
        return
    try:
        async with asyncio.timeout(remaining_s):
            await _stream_request(exchange, connection, head)
    except TimeoutError as error:
        raise refuse(ProblemKind.DEADLINE_EXCEEDED) from error


async def _stream_request(
    exchange: Exchange,
    connection: HttpConnection,
    head: bytes,
) -> None:
    framer = BodyFramer.from_exchange(exchange)
    await connection.write(head)
    if exchange.body:
        await connection.write(framer.frame(exchange.body))
    async for part in exchange.read_remaining_body():
        if part:
            await connection.write(framer.frame(part))
    end = framer.end(exchange.received_body_bytes)
    if end:
        await connection.write(end)
    connection.end_request()


def _header_fields(exchange: Exchange, remaining_s: float) -> Iterator[Header]:
    yield b'x-request-timeout-ms', b'%d' % int(remaining_s * _MS_PER_S)
    if exchange.traceparent:
        yield b'traceparent', exchange.traceparent.encode()
    for name, value in exchange.headers:
        if name not in _NOT_FORWARDED:
            yield name, value
    yield from _length_fields(exchange)


def _length_fields(exchange: Exchange) -> list[Header]:
    length = exchange.header(b'content-length')
    if length is not None:
        return [(b'content-length', length)]
    if not exchange.has_body():
        return []
    if exchange.can_replay():
        return [(b'content-length', b'%d' % len(exchange.body))]
    return [(b'transfer-encoding', b'chunked')]
