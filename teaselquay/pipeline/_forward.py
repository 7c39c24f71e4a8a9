"""Forward a request and stream the response back to the caller."""

import asyncio

from teaselquay.decisions import Run
from teaselquay.pipeline._attempt import (
    Attempt,
    record_outcome,
    release_attempt,
    report_crash,
)
from teaselquay.pipeline._exchange import CallerGoneError, Exchange
from teaselquay.pipeline._parts import Parts
from teaselquay.pipeline._race import Race
from teaselquay.shells import AnswerHead, BrokenAnswerError

_MS_PER_S = 1000
#: Once this many bytes of a response body were sent, the caller is watched
#: for a disconnect.
_DISCONNECT_WATCH_BYTES = 1 << 20


async def forward(exchange: Exchange, parts: Parts) -> None:
    """Forward the request and stream the response.

    Raises:
        BrokenAnswerError: the response broke off after its head was sent.
        CallerGoneError: the caller disconnected.
        RefusedError: no upstream returned a response.
    """
    assert exchange.route is not None
    parts.budget.deposit()
    with parts.tracer.hop(
        'upstream',
        exchange.traceparent,
        service=exchange.service,
        route=exchange.route_name,
    ) as context:
        exchange.traceparent = context
        race = Race(exchange, parts, exchange.route)
        attempt, head = await race.first_response()
        try:
            await _stream_response(exchange, parts, attempt, head)
        finally:
            release_attempt(exchange, parts, attempt)


async def _stream_response(
    exchange: Exchange,
    parts: Parts,
    attempt: Attempt,
    head: AnswerHead,
) -> None:
    await exchange.start_answer(head.status, list(head.headers))
    try:
        await _stream_body(exchange, attempt)
    except BrokenAnswerError:
        report_crash(exchange, parts, attempt.name)
        record_outcome(
            exchange,
            parts,
            attempt.name,
            attempt.began,
            failed=True,
        )
        raise
    await exchange.send_body(b'', more=False)
    exchange.run_state = Run.RAN
    parts.health.record_success(exchange.fingerprint)


async def _stream_body(exchange: Exchange, attempt: Attempt) -> None:
    assert exchange.route is not None
    stall_timeout_s = exchange.route.timeout_ms / _MS_PER_S
    disconnect_watch: asyncio.Task[None] | None = None
    body_bytes = 0
    try:
        async for part in attempt.connection.read_body(stall_timeout_s):
            body_bytes += len(part)
            await exchange.send_body(part, more=True)
            if (
                disconnect_watch is None
                and body_bytes > _DISCONNECT_WATCH_BYTES
            ):
                disconnect_watch = asyncio.ensure_future(
                    exchange.wait_disconnected(),
                )
            if disconnect_watch is not None and disconnect_watch.done():
                raise CallerGoneError
    finally:
        if disconnect_watch is not None:
            disconnect_watch.cancel()
