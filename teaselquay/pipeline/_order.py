"""The pipeline application and the order of its filters."""

from typing import Awaitable, Callable

from absl import logging

from teaselquay.decisions import (
    Problem,
    ProblemKind,
    RefusedError,
    Run,
    problem,
)
from teaselquay.pipeline._exchange import (
    CallerGoneError,
    Exchange,
    Receive,
    Scope,
    Send,
)
from teaselquay.pipeline._filters import (
    authenticate,
    check_framing,
    check_freshness,
    check_quarantine,
    enforce_rate_limit,
    find_route,
    start_idempotency_key,
    wait_in_queue,
)
from teaselquay.pipeline._forward import forward
from teaselquay.pipeline._parts import Parts
from teaselquay.shells import BrokenAnswerError

Filter = Callable[[Exchange, Parts], Awaitable[None]]

#: The filters, in the order in which they are applied to a request.
PIPELINE: tuple[Filter, ...] = (
    check_framing,
    check_freshness,
    authenticate,
    find_route,
    enforce_rate_limit,
    check_quarantine,
    wait_in_queue,
    start_idempotency_key,
    forward,
)

#: The problem kinds whose run state is about an earlier request with the same
#: idempotency key; it is not replaced by that of the exchange.
_KINDS_WITH_OWN_RUN = frozenset(
    (
        ProblemKind.ALREADY_RAN,
        ProblemKind.ALREADY_RUNNING,
        ProblemKind.OUTCOME_UNKNOWN,
    ),
)


class Pipeline:
    """An ASGI application that applies the filters to each request."""

    def __init__(self, parts: Parts) -> None:
        """Pass `parts` to all filters."""
        self._parts = parts

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        exchange = Exchange.from_scope(
            scope,
            receive,
            send,
            self._parts.now(),
            self._parts.node.stopping,
        )
        tracer = self._parts.tracer
        received = tracer.traceparent(exchange.header(b'traceparent'))
        try:
            with tracer.hop('request', received) as context:
                exchange.traceparent = context
                await self._run(exchange)
        finally:
            exchange.end()
            self._count(exchange)

    async def _run(self, exchange: Exchange) -> None:
        try:
            for apply_filter in PIPELINE:
                await apply_filter(exchange, self._parts)
        except RefusedError as error:
            await self._refuse(exchange, error.problem)
        except CallerGoneError:
            exchange.status = 0
        except BrokenAnswerError:
            # The response has started, so closing the connection is the only
            # way to report the failure to the caller.
            raise
        except Exception:
            logging.exception(
                'pipeline: internal error while handling a request',
            )
            refusal = problem(ProblemKind.INTERNAL_ERROR)
            if exchange.answer_started:
                raise
            await self._refuse(exchange, refusal.with_run(exchange.run_state))

    async def _refuse(self, exchange: Exchange, refusal: Problem) -> None:
        if (
            refusal.kind not in _KINDS_WITH_OWN_RUN
            and exchange.run_state is not Run.NOT_RUN
        ):
            refusal = refusal.with_run(exchange.run_state)
        self._parts.metrics.count_refusal(refusal)
        await exchange.send_problem(refusal)

    def _count(self, exchange: Exchange) -> None:
        self._parts.metrics.count_answer(
            exchange.route_name or 'none',
            exchange.status,
            self._parts.now() - exchange.began,
        )
