"""The attempts of one request: retries, hedges and their budget."""

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
    abandon,
    begin_attempt,
    is_failure,
    release,
    take_head,
    tell_slow,
)
from teaselquay.pipeline._exchange import CallerGoneError, Exchange
from teaselquay.pipeline._parts import Parts
from teaselquay.shells import (
    AnswerHead,
    BrokenAnswerError,
    ConnectError,
    ExchangeError,
)

_MOST_ATTEMPTS = 3
_LEAST_HEDGE_S = 0.05
_UNKNOWN_HEDGE_S = 0.25

_Answered = tuple[Attempt, AnswerHead]


@dataclass(slots=True)
class Race:
    """Attempts that run side by side until one of them is answered.

    All attempts of a request are made here: no library repeats one.
    """

    exchange: Exchange
    parts: Parts
    route: Route
    _tried: set[UpstreamName] = field(default_factory=set)
    _running: list[Attempt] = field(default_factory=list)
    _watch: 'asyncio.Task[None] | None' = None
    _needs_fresh: bool = False
    _count: int = 0

    async def first_answer(self) -> _Answered:
        """Return the attempt that was answered, and the answer's head.

        Raises:
            CallerGoneError: the caller left.
            RefusedError: no upstream gave an answer.
        """
        try:
            return await self._run()
        finally:
            if self._watch is not None:
                self._watch.cancel()
            for loser in self._running:
                abandon(self.exchange, self.parts, loser)

    async def _run(self) -> _Answered:
        while True:
            try:
                return await self._try_once()
            except ConnectError as error:
                # Nothing was sent, so any request may try elsewhere.
                refusal = problem(ProblemKind.CONNECT_FAILED)
                refusal = refusal.with_detail(str(error))
                goes_on = bool(self._untried())
            except BrokenAnswerError:
                refusal = problem(ProblemKind.UPSTREAM_FAILED)
                goes_on = self._may_retry()
            if not goes_on or self._count >= _MOST_ATTEMPTS:
                raise RefusedError(refusal.with_run(self.exchange.ran))

    async def _try_once(self) -> _Answered:
        await self._begin()
        answered = await self._wait()
        if answered is None:
            raise BrokenAnswerError('no attempt was answered')
        return answered

    async def _begin(self) -> None:
        upstream = self._choose()
        use_pool = self.route.idempotent and not self._needs_fresh
        self._tried.add(upstream.name)
        self._count += 1
        # A pooled connection may have gone silent, and what a request that
        # must not run twice did there would stay unknown.
        attempt = await begin_attempt(
            self.exchange,
            self.parts,
            upstream,
            use_pool,
        )
        self._running.append(attempt)

    def _choose(self) -> Upstream:
        # The only upstream in use may be asked again: what failed may have
        # been the connection.
        upstream = self._choose_from(self._untried())
        if upstream is None:
            upstream = self._choose_from(self._candidates())
        if upstream is None:
            refusal = problem(ProblemKind.NO_UPSTREAM).with_retry_after(1)
            raise RefusedError(refusal.with_run(self.exchange.ran))
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

    async def _wait(self) -> _Answered | None:
        """Return the first good answer, or None once all have failed."""
        while self._running:
            for attempt in await self._wait_for_heads():
                self._running.remove(attempt)
                head = take_head(self.exchange, self.parts, attempt)
                if head is not None and not self._prefers_other(head):
                    return attempt, head
                release(self.exchange, self.parts, attempt)
        return None

    async def _wait_for_heads(self) -> list[Attempt]:
        """Return the attempts that got a head; hedge if none did soon."""
        waits: set[asyncio.Future[object]] = {
            attempt.connection.head  # type: ignore[misc]
            for attempt in self._running
        }
        if self._watch is not None:
            waits.add(self._watch)  # type: ignore[arg-type]
        left_s = self.exchange.deadline - self.parts.now()
        if self._may_repeat() or self._untold():
            left_s = min(left_s, self._slow_s())
        await asyncio.wait(
            waits,
            timeout=max(0, left_s),
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [
            attempt
            for attempt in self._running
            if attempt.connection.head.done()
        ]
        if not done:
            await self._waited_in_vain()
        return done

    async def _waited_in_vain(self) -> None:
        if self._watch is not None and self._watch.done():
            raise CallerGoneError
        if self.parts.now() >= self.exchange.deadline:
            raise RefusedError(problem(ProblemKind.DEADLINE_EXCEEDED))
        if self._watch is None and self.exchange.body_complete:
            self._watch = asyncio.ensure_future(self.exchange.gone())
        known = self._known_slow_s() is not None
        for attempt in self._untold() if known else ():
            tell_slow(self.exchange, self.parts, attempt)
        await self._hedge()

    def _untold(self) -> list[Attempt]:
        return [
            attempt for attempt in self._running if not attempt.is_told_slow
        ]

    async def _hedge(self) -> None:
        if not self._may_repeat():
            return
        if not self._suspect_silence() and not self.parts.budget.try_withdraw():
            return
        self.parts.metrics.hedges.inc()
        try:
            await self._begin()
        except (ExchangeError, RefusedError):
            return

    def _suspect_silence(self) -> bool:
        """Return whether a reused connection may have gone silent.

        Its idle siblings are closed, so that only the requests which are
        under way pay for it, and the next attempt gets a new connection.
        """
        reused = [attempt for attempt in self._running if attempt.reused]
        for attempt in reused:
            self.parts.pool.drop(attempt.address)
        is_first = not self._needs_fresh
        self._needs_fresh = True
        return bool(reused) and is_first

    def _may_repeat(self) -> bool:
        return (
            self.route.idempotent
            and self.exchange.body_complete
            and self._count < _MOST_ATTEMPTS
        )

    def _prefers_other(self, head: AnswerHead) -> bool:
        """Return whether a failed answer is better asked for elsewhere."""
        return (
            is_failure(head)
            and self._may_repeat()
            and bool(self._untried())
            and self.parts.budget.balance >= 1
        )

    def _may_retry(self) -> bool:
        if not self._may_repeat():
            return False
        if self.parts.now() >= self.exchange.deadline:
            return False
        health = self.parts.health
        mark = self.exchange.fingerprint
        if health.is_stopped(self.exchange.service, mark):
            return False
        if not self.parts.budget.try_withdraw():
            return False
        self.parts.metrics.retries.inc()
        return True

    def _slow_s(self) -> float:
        """Return after how long an attempt counts as slow."""
        slow_s = self._known_slow_s()
        if slow_s is None:
            return _UNKNOWN_HEDGE_S
        return max(_LEAST_HEDGE_S, slow_s)

    def _known_slow_s(self) -> float | None:
        return self.parts.health.slow_threshold_s(
            self.exchange.service,
            self.exchange.route_name,
        )
