"""Retries and hedged attempts of one request, within the retry budget."""

import asyncio
from dataclasses import dataclass, field

from teaselquay.decisions import (
    ProblemKind,
    RefusedError,
    Route,
    Upstream,
    UpstreamName,
    choose_upstream,
    problem,
)
from teaselquay.pipeline._attempt import (
    Attempt,
    cancel_attempt,
    evaluate_head,
    is_failure,
    release_attempt,
    report_slow,
    start_attempt,
)
from teaselquay.pipeline._exchange import CallerGoneError, Exchange
from teaselquay.pipeline._parts import Parts
from teaselquay.shells import (
    AnswerHead,
    BrokenAnswerError,
    ConnectError,
    ExchangeError,
)

_MAX_ATTEMPTS = 3
_MIN_HEDGE_DELAY_S = 0.05
#: Used while it is unknown which latency of the route is slow.
_DEFAULT_HEDGE_DELAY_S = 0.25

_AttemptResponse = tuple[Attempt, AnswerHead]


@dataclass(slots=True)
class Race:
    """Concurrent attempts of one request; the first usable response wins.

    All attempts of a request are made here; no HTTP library retries one on
    its own.
    """

    exchange: Exchange
    parts: Parts
    route: Route
    _tried: set[UpstreamName] = field(default_factory=set)
    _running: list[Attempt] = field(default_factory=list)
    _disconnect_watch: 'asyncio.Task[None] | None' = None
    _needs_new_connection: bool = False
    _attempt_count: int = 0

    async def first_response(self) -> _AttemptResponse:
        """Return the attempt that got a response, and the response head.

        The attempts still running are cancelled.

        Raises:
            CallerGoneError: the caller disconnected.
            RefusedError: no upstream returned a response.
        """
        try:
            return await self._run()
        finally:
            if self._disconnect_watch is not None:
                self._disconnect_watch.cancel()
            for unfinished in self._running:
                cancel_attempt(self.exchange, self.parts, unfinished)

    async def _run(self) -> _AttemptResponse:
        while True:
            try:
                return await self._try_once()
            except ConnectError as error:
                # Nothing was sent, so even a request that is not idempotent
                # may go to another upstream.
                refusal = problem(ProblemKind.CONNECT_FAILED)
                refusal = refusal.with_detail(str(error))
                may_continue = bool(self._untried())
            except BrokenAnswerError:
                refusal = problem(ProblemKind.UPSTREAM_FAILED)
                may_continue = self._acquire_retry()
            if not may_continue or self._attempt_count >= _MAX_ATTEMPTS:
                raise RefusedError(refusal.with_run(self.exchange.run_state))

    async def _try_once(self) -> _AttemptResponse:
        await self._start_attempt()
        response = await self._wait_for_response()
        if response is None:
            raise BrokenAnswerError('no attempt got a response')
        return response

    async def _start_attempt(self) -> None:
        upstream = self._choose()
        use_pool = self.route.idempotent and not self._needs_new_connection
        self._tried.add(upstream.name)
        self._attempt_count += 1
        # A pooled connection may be dead without having been closed. Whether
        # a request that must not run twice ran there would stay unknown, so
        # such a request gets a new connection.
        attempt = await start_attempt(
            self.exchange,
            self.parts,
            upstream,
            use_pool,
        )
        self._running.append(attempt)

    def _choose(self) -> Upstream:
        # If all upstreams were tried, one is tried again: the failure may
        # have been that of the connection.
        upstream = self._choose_from(self._untried())
        if upstream is None:
            upstream = self._choose_from(self._candidates())
        if upstream is None:
            refusal = problem(ProblemKind.NO_UPSTREAM).with_retry_after(1)
            raise RefusedError(refusal.with_run(self.exchange.run_state))
        return upstream

    def _choose_from(self, upstreams: list[Upstream]) -> Upstream | None:
        health = self.parts.health
        service = self.exchange.service
        return choose_upstream(
            upstreams,
            health.weights(service),
            health.view(service).load,
            self.parts.node.zone,
            self.parts.node.random,
        )

    def _candidates(self) -> list[Upstream]:
        return self.parts.health.candidates(self.exchange.service)

    def _untried(self) -> list[Upstream]:
        return [
            upstream
            for upstream in self._candidates()
            if upstream.name not in self._tried
        ]

    async def _wait_for_response(self) -> _AttemptResponse | None:
        """Return the first usable response, or None once all have failed."""
        while self._running:
            for attempt in await self._wait_for_heads():
                self._running.remove(attempt)
                head = evaluate_head(self.exchange, self.parts, attempt)
                if head is not None and not self._should_retry_elsewhere(head):
                    return attempt, head
                release_attempt(self.exchange, self.parts, attempt)
        return None

    async def _wait_for_heads(self) -> list[Attempt]:
        """Return the attempts whose response head arrived or that failed.

        If there is none within the hedge delay, start a hedged attempt, if
        one is allowed, and return an empty list.

        Raises:
            CallerGoneError: the caller disconnected.
            RefusedError: the deadline has passed.
        """
        futures: set[asyncio.Future[object]] = {
            attempt.connection.head  # type: ignore[misc]
            for attempt in self._running
        }
        if self._disconnect_watch is not None:
            futures.add(self._disconnect_watch)  # type: ignore[arg-type]
        remaining_s = self.exchange.deadline - self.parts.now()
        if self._may_repeat() or self._not_reported_slow():
            remaining_s = min(remaining_s, self._slow_threshold_s())
        await asyncio.wait(
            futures,
            timeout=max(0, remaining_s),
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [
            attempt
            for attempt in self._running
            if attempt.connection.head.done()
        ]
        if not done:
            await self._handle_no_head()
        return done

    async def _handle_no_head(self) -> None:
        """Report slow attempts and start a hedged one, if it is allowed."""
        if self._disconnect_watch is not None and self._disconnect_watch.done():
            raise CallerGoneError
        if self.parts.now() >= self.exchange.deadline:
            raise RefusedError(problem(ProblemKind.DEADLINE_EXCEEDED))
        if self._disconnect_watch is None and self.exchange.body_complete:
            self._disconnect_watch = asyncio.ensure_future(
                self.exchange.wait_disconnected(),
            )
        known = self._learned_slow_threshold_s() is not None
        for attempt in self._not_reported_slow() if known else ():
            report_slow(self.exchange, self.parts, attempt)
        await self._hedge()

    def _not_reported_slow(self) -> list[Attempt]:
        return [
            attempt for attempt in self._running if not attempt.is_reported_slow
        ]

    async def _hedge(self) -> None:
        if not self._may_repeat():
            return
        if (
            not self._suspect_dead_connection()
            and not self.parts.budget.try_withdraw()
        ):
            return
        self.parts.metrics.hedges.inc()
        try:
            await self._start_attempt()
        except (ExchangeError, RefusedError):
            return

    def _suspect_dead_connection(self) -> bool:
        """Return whether a reused connection may be dead.

        Only the first call for a request returns True; that hedge is not
        charged to the retry budget. Idle connections to the same address are
        closed, so that only the requests in flight are delayed, and the next
        attempt opens a new connection.
        """
        reused = [attempt for attempt in self._running if attempt.reused]
        for attempt in reused:
            self.parts.pool.drop(attempt.address)
        is_first = not self._needs_new_connection
        self._needs_new_connection = True
        return bool(reused) and is_first

    def _may_repeat(self) -> bool:
        return (
            self.route.idempotent
            and self.exchange.can_replay()
            and self._attempt_count < _MAX_ATTEMPTS
        )

    def _should_retry_elsewhere(self, head: AnswerHead) -> bool:
        """Return whether to retry a failed response at another upstream."""
        return (
            is_failure(head)
            and self._may_repeat()
            and bool(self._untried())
            and self.parts.budget.balance >= 1
        )

    def _acquire_retry(self) -> bool:
        """Return whether a retry is allowed, and charge it to the budget."""
        if not self._may_repeat():
            return False
        if self.parts.now() >= self.exchange.deadline:
            return False
        health = self.parts.health
        fingerprint = self.exchange.fingerprint
        if health.is_stopped(self.exchange.service, fingerprint):
            return False
        if not self.parts.budget.try_withdraw():
            return False
        self.parts.metrics.retries.inc()
        return True

    def _slow_threshold_s(self) -> float:
        """Return the seconds after which an attempt counts as slow."""
        slow_s = self._learned_slow_threshold_s()
        if slow_s is None:
            return _DEFAULT_HEDGE_DELAY_S
        return max(_MIN_HEDGE_DELAY_S, slow_s)

    def _learned_slow_threshold_s(self) -> float | None:
        return self.parts.health.slow_threshold_s(
            self.exchange.service,
            self.exchange.route_name,
        )
