"""Forwards a request, and streams the answer back to the caller."""

import asyncio

from teaselquay.decisions import Run
from teaselquay.pipeline._attempt import Attempt, crashed, record, release
from teaselquay.pipeline._exchange import CallerGoneError, Exchange
from teaselquay.pipeline._parts import Parts
from teaselquay.pipeline._race import Race
from teaselquay.shells import AnswerHead, BrokenAnswerError

_MS_PER_S = 1000
#: From this size on, the caller is watched while an answer streams.
_WATCH_BYTES = 1 << 20


async def forward(exchange: Exchange, parts: Parts) -> None:
    """Forward the request and stream the answer.

    Raises:
        BrokenAnswerError: the answer broke off after its head was sent.
        CallerGoneError: the caller left.
        RefusedError: no upstream gave an answer.
    """
    assert exchange.route is not None
    parts.budget.earn()
    with parts.tracer.hop(
        'upstream',
        exchange.traceparent,
        service=exchange.service,
        route=exchange.route_name,
    ) as context:
        exchange.traceparent = context
        race = Race(exchange, parts, exchange.route)
        attempt, head = await race.first_answer()
        try:
            await _stream_answer(exchange, parts, attempt, head)
        finally:
            release(exchange, parts, attempt)


async def _stream_answer(
    exchange: Exchange,
    parts: Parts,
    attempt: Attempt,
    head: AnswerHead,
) -> None:
    await exchange.start_answer(head.status, list(head.headers))
    try:
        await _stream_body(exchange, attempt)
    except BrokenAnswerError:
        crashed(exchange, parts, attempt.name)
        record(exchange, parts, attempt.name, attempt.began, failed=True)
        raise
    await exchange.send_body(b'', more=False)
    exchange.ran = Run.RAN
    parts.health.record_success(exchange.fingerprint)


async def _stream_body(exchange: Exchange, attempt: Attempt) -> None:
    assert exchange.route is not None
    stall_s = exchange.route.timeout_ms / _MS_PER_S
    watch: asyncio.Task[None] | None = None
    seen = 0
    try:
        async for part in attempt.connection.read_body(stall_s):
            seen += len(part)
            await exchange.send_body(part, more=True)
            if watch is None and seen > _WATCH_BYTES:
                watch = asyncio.ensure_future(exchange.gone())
            if watch is not None and watch.done():
                raise CallerGoneError
    finally:
        if watch is not None:
            watch.cancel()
