"""Dispatch of one request: placement, retries and hedged attempts."""

import asyncio
from dataclasses import dataclass, field

from teaselquay.coordination import (
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RateStatement,
    RefusalReason,
    Ticket,
)
from teaselquay.decisions import (
    Instant,
    RefusedError,
    UpstreamName,
)
from teaselquay.events import Event
from teaselquay.fleet import AttemptResult
from teaselquay.gateway._call import CallResult, CallTarget, UpstreamCall
from teaselquay.gateway._errand import RequestContext
from teaselquay.gateway._parts import GatewayParts
from teaselquay.gateway._refusals import (
    RETRY_AFTER_S,
    STOPPING_RETRY_S,
    attempt_problem,
    deadline_problem,
    placement_problem,
)
from teaselquay.gateway._statements import shown
from teaselquay.pipeline import CallerGoneError
from teaselquay.shells import AnswerHead

#: A hedge is sent after this many times the mean latency of the service.
_HEDGE_FACTOR = 2.5
#: A hedge is sent no earlier than this fraction of the target latency.
_HEDGE_TARGET_FRACTION = 0.75
#: Idempotent requests may use a pooled connection that was idle this many
#: times as long as the limit for other requests, since they can be retried.
_IDEMPOTENT_IDLE_FACTOR = 1.6
#: Attempts of one request that may end unsent, because an address is
#: unreachable or stale, or its upstream left. They do not count towards the
#: maximum of the route.
_MAX_UNSENT_ATTEMPTS = 4
#: Outcomes of attempts that ended before anything was sent.
_UNSENT_OUTCOMES = frozenset((Outcome.UNREACHABLE, Outcome.CANCELLED))
_ANSWERED_OUTCOMES = frozenset((Outcome.SERVED, Outcome.FAILED, Outcome.SHED))


@dataclass(slots=True)
class _Attempt:
    """An attempt in progress and the placement it was started with."""

    call: UpstreamCall
    ticket: Ticket
    placement: Placement
    task: 'asyncio.Task[CallResult]'


@dataclass(slots=True)
class Dispatch:
    """Sends one request to upstreams until one answer can be forwarded.

    While no upstream would accept the request, it waits unsent, if an answer
    may still come in time. A request that is not idempotent is retried only
    if no earlier attempt can have run on its upstream.
    """

    context: RequestContext
    parts: GatewayParts
    _active: list[_Attempt] = field(default_factory=list)
    _tried: set[UpstreamName] = field(default_factory=set)
    _sent_count: int = 0
    _unsent_count: int = 0
    _may_have_run: bool = False
    _may_hedge: bool = True
    _waited_s: float = 0.0
    _wait_reason: str = ''
    _last_failure: tuple[UpstreamCall, CallResult] | None = None

    async def run(self) -> tuple[UpstreamCall, CallResult]:
        """Return the call whose answer goes to the caller, and its result.

        Attempts that are still in progress are aborted.

        Raises:
            CallerGoneError: the caller disconnected.
            RefusedError: no upstream gave an answer that can be forwarded.
        """
        caller_gone = asyncio.create_task(self.context.body.caller_gone.wait())
        try:
            while True:
                answer = await self._next_answer(caller_gone)
                if answer is not None:
                    return answer
        finally:
            caller_gone.cancel()
            self._abort_all()

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have got the request."""
        return bool(self._active) or self._may_have_run

    def oldest_attempt_at(self) -> Instant | None:
        """Return when the oldest attempt in progress began, if any."""
        begins = [attempt.call.began for attempt in self._active]
        return min(begins, default=None)

    async def _next_answer(
        self,
        caller_gone: 'asyncio.Task[bool]',
    ) -> tuple[UpstreamCall, CallResult] | None:
        """Start an attempt if none is in progress, and wait for a result.

        Raises:
            CallerGoneError: the caller disconnected.
            RefusedError: no upstream gave an answer that can be forwarded.
        """
        if self._active:
            return await self._wait_for_result(caller_gone)
        placed = await self._place()
        if not isinstance(placed, PlacementRefusal):
            if caller_gone.done():
                self._report_outcome(
                    placed[1], placed[0].upstream, Outcome.CANCELLED, 0
                )
                raise CallerGoneError
            self._start_attempt(*placed)
            return await self._wait_for_result(caller_gone)
        if await self._wait_for_room(placed, caller_gone):
            return None
        if self._last_failure is None:
            raise self._refusal(placed)
        return self._last_failure

    async def _wait_for_room(
        self,
        placed: PlacementRefusal,
        caller_gone: 'asyncio.Task[bool]',
    ) -> bool:
        """Wait until placement should be asked again; return whether it may.

        Raises:
            CallerGoneError: the caller disconnected.
        """
        parts = self.parts
        scheduler = parts.coordinators.scheduler(self.context.service)
        answered_by = min(self.context.deadline, parts.open_until)
        pause_s = parts.waiting.pause_s(
            placed,
            answered_by - parts.clock.now(),
            scheduler.mean_latency_s,
        )
        if pause_s is None:
            return False
        began = parts.clock.now()
        body_bytes = self.context.body.buffered_bytes
        with parts.waiting.enter(body_bytes) as is_entered:
            if not is_entered:
                return False
            await asyncio.wait((caller_gone,), timeout=pause_s)
        paused_s = parts.clock.now() - began
        self._waited_s += paused_s
        self._wait_reason = placed.reason.value
        parts.metrics.waits_s.labels(reason=placed.reason.value).observe(
            paused_s
        )
        if caller_gone.done():
            raise CallerGoneError
        return True

    async def _place(
        self,
    ) -> tuple[Placement, Ticket] | PlacementRefusal:
        """Return the placement of the next attempt and its ticket.

        Upstreams that this VM knows to be unusable are skipped, and a
        refusal is returned once the deadline has passed.
        """
        parts = self.parts
        while True:
            ticket = parts.coordinators.new_ticket()
            request = self._placement_request(ticket)
            placed = await parts.coordinators.place(
                self.context.service,
                request,
            )
            if isinstance(placed, PlacementRefusal):
                return self._with_rest(placed)
            self._record_placement(request, placed)
            if not self._may_begin(placed):
                self._report_outcome(
                    ticket, placed.upstream, Outcome.CANCELLED, 0
                )
                return PlacementRefusal(
                    RefusalReason.STOPPING, STOPPING_RETRY_S
                )
            if parts.may_send(placed.upstream):
                return placed, ticket
            if not parts.state.is_usable(placed.upstream):
                # The coordinator does not know yet that the upstream left.
                self._tried.add(placed.upstream)
            self._report_outcome(ticket, placed.upstream, Outcome.CANCELLED, 0)
            if parts.clock.now() >= self.context.deadline:
                return PlacementRefusal(
                    RefusalReason.NO_UPSTREAM, RETRY_AFTER_S
                )

    def _with_rest(self, refusal: PlacementRefusal) -> PlacementRefusal:
        """Return `refusal`, or until when the upstreams that are left rest.

        Load pattern: all upstreams of a service turn requests away. Nothing
        is sent to find out whether they still do.
        """
        if refusal.reason is not RefusalReason.NO_UPSTREAM:
            return refusal
        left_s = self.parts.rest_left_s(self.context.service)
        if left_s is None:
            return refusal
        return PlacementRefusal(
            RefusalReason.RESTING, left_s, self.parts.settings.vm
        )

    def _may_begin(self, placed: Placement) -> bool:
        """Return whether an attempt would end before this VM stops."""
        upstream = self.parts.state.upstreams_by_name.get(placed.upstream)
        rounds = placed.in_flight // upstream.slots if upstream else 0
        context = self.context
        return self.parts.may_begin(context.service, context.deadline, rounds)

    def _record_placement(
        self, request: PlacementRequest, placed: Placement
    ) -> None:
        metrics = self.parts.metrics
        left_s = self.context.deadline - self.parts.clock.now()
        metrics.placement_s.observe(max(0, request.left_s - left_s))
        if self._waited_s:
            self._log(
                Event.REQUEST_WAITED,
                waited_s=round(self._waited_s, 3),
                reason=self._wait_reason,
                left_s=round(left_s, 3),
                upstream=placed.upstream,
                placed_by=placed.placed_by,
                **self._priority_fields(placed),
            )
        metrics.count_placement(request.priority, 'placed')
        metrics.evidence_age_s.observe(placed.evidence_age_s)
        if request.is_repeat:
            metrics.retries.inc()

    def _placement_request(self, ticket: Ticket) -> PlacementRequest:
        context = self.context
        now = self.parts.clock.now()
        elapsed_s = now - context.exchange.began
        length = context.exchange.header(b'content-length') or b'0'
        avoided = self.parts.unreachable.names(now)
        avoided |= self.parts.resting_names(context.service)
        return PlacementRequest(
            ticket=ticket,
            zone=self.parts.settings.zone,
            may_repeat=self._allows_another_retry(),
            left_s=context.deadline - now,
            target_left_s=context.route.target_latency_s - elapsed_s,
            octets=int(length) + self.parts.answer_bytes,
            is_repeat=self._sent_count > 0,
            is_last=self._sent_count + 1 >= context.route.max_attempts,
            excluded=frozenset(self._tried | avoided),
            connected=self.parts.connected(
                context.service,
                self._max_idle_s(),
            ),
            fingerprint=context.fingerprint,
            priority=context.priority,
            work_s=self.parts.route_work.expected_s(
                context.service, context.route.name
            ),
        )

    def _max_idle_s(self) -> float:
        """Return how long, in seconds, a pooled connection may be idle.

        It is 0 after the first attempt, which forces a new connection,
        because the network path of pooled ones may drop packets silently.
        """
        if self._sent_count:
            return 0
        limit_s = self.parts.idle_limits.limit_s(self.context.service)
        if self.context.route.is_idempotent:
            return _IDEMPOTENT_IDLE_FACTOR * limit_s
        return limit_s

    def _allows_another_retry(self) -> bool:
        """Return whether the next attempt may be followed by a retry."""
        route = self.context.route
        return route.is_idempotent and self._sent_count + 1 < route.max_attempts

    def _start_attempt(self, placement: Placement, ticket: Ticket) -> None:
        context = self.context
        upstream = self.parts.state.upstreams_by_name[placement.upstream]
        target = CallTarget(
            upstream=upstream,
            deadline=context.deadline,
            max_idle_s=self._max_idle_s(),
            team=context.team,
        )
        call = UpstreamCall(
            context.exchange,
            context.body,
            target,
            self.parts.header_names,
            self.parts.pool,
            self.parts.clock,
            self.parts.may_send,
            self.parts.coordinators.record_leaving,
            self.parts.record_rest,
            clients=self.parts.clients,
            began=self.parts.clock.now(),
        )
        self._tried.add(upstream.name)
        self._sent_count += 1
        task = asyncio.create_task(call.run())
        self._active.append(_Attempt(call, ticket, placement, task))

    async def _wait_for_result(
        self,
        caller_gone: 'asyncio.Task[bool]',
    ) -> tuple[UpstreamCall, CallResult] | None:
        """Return an answer to forward, or None if there is none yet.

        Raises:
            CallerGoneError: the caller disconnected.
            RefusedError: the deadline has passed, or the last attempt failed
                and may not be retried.
        """
        tasks: list[asyncio.Task[object]] = [
            attempt.task for attempt in self._active
        ]  # type: ignore[assignment]
        await asyncio.wait(
            (*tasks, caller_gone),
            timeout=self._wait_timeout_s(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [attempt for attempt in self._active if attempt.task.done()]
        for attempt in done:
            self._active.remove(attempt)
            answer = self._handle_result(attempt)
            if answer is not None:
                return answer
        if caller_gone.done():
            raise CallerGoneError
        if self.parts.clock.now() >= self.context.deadline:
            may_have_run = self._sent_count > 0 or self._may_have_run
            raise RefusedError(deadline_problem(may_have_run))
        if not done:
            await self._hedge()
        return None

    def _wait_timeout_s(self) -> float:
        now = self.parts.clock.now()
        left_s = self.context.deadline - now
        if self._can_hedge():
            hedge_at = self._active[-1].call.began + self._hedge_delay_s()
            left_s = min(left_s, hedge_at - now)
        return max(0, left_s)

    def _hedge_delay_s(self) -> float:
        scheduler = self.parts.coordinators.scheduler(self.context.service)
        target_s = self.context.route.target_latency_s
        return max(
            _HEDGE_FACTOR * scheduler.mean_latency_s,
            _HEDGE_TARGET_FRACTION * target_s,
        )

    def _can_hedge(self) -> bool:
        route = self.context.route
        if not self._active or not route.is_idempotent:
            return False
        if self._sent_count >= route.max_attempts:
            return False
        return self._may_hedge and self.context.body.can_replay

    async def _hedge(self) -> None:
        if not self._can_hedge():
            return
        for attempt in self._active:
            if attempt.call.is_reused:
                # The network path may drop packets silently, which affects
                # the other pooled connections to this upstream as well.
                self.parts.drop_connections(attempt.call.target.upstream)
        placed = await self._place()
        if isinstance(placed, PlacementRefusal):
            self._may_hedge = False
            return
        self.parts.metrics.hedges.inc()
        self._log(
            Event.REQUEST_REPEATED,
            cause='slow',
            **_placement_fields(placed[0]),
        )
        self._start_attempt(*placed)

    def _handle_result(
        self,
        attempt: _Attempt,
    ) -> tuple[UpstreamCall, CallResult] | None:
        """Return the answer if it goes to the caller, else None.

        Raises:
            CallerGoneError: the caller left before its body was complete.
            RefusedError: no attempt is in progress and no retry is allowed,
                or the body is larger than the limit.
        """
        call = attempt.call
        result = attempt.task.result()
        upstream = call.target.upstream
        duration_s = self.parts.clock.now() - call.began
        self._report_outcome(
            attempt.ticket,
            upstream.name,
            result.outcome,
            duration_s,
            self._rate_statement(attempt),
        )
        self._update_idle_limit(call, result.outcome)
        if result.outcome is Outcome.SERVED:
            self.parts.route_work.record(
                self.context.service,
                self.context.route.name,
                duration_s,
                (attempt.placement.in_flight + 1) / upstream.slots,
            )
            return call, result
        self._log(
            Event.ATTEMPT_FAILED,
            outcome=result.outcome.value,
            may_have_run=result.may_have_run,
            reason=result.reason,
            took_s=round(duration_s, 3),
            reused=call.is_reused,
            retry_after=_shown_field(result.head, b'retry-after'),
            **_placement_fields(attempt.placement),
        )
        self._may_have_run = self._may_have_run or result.may_have_run
        self._record_declined(result, upstream.name)
        if result.outcome is Outcome.FAILED:
            if not self._may_retry(result):
                return call, result
            # A failure whose body is not read completely is not retained, as
            # its connection is released.
            self._last_failure = None if result.rest else (call, result)
        call.release()
        if not self._active and not self._may_retry(result):
            raise RefusedError(
                attempt_problem(
                    result, self._may_have_run, self._retry_after_s()
                )
            )
        return None

    def _record_declined(
        self, result: CallResult, upstream: UpstreamName
    ) -> None:
        """Record that `upstream` did not get or did not take the request."""
        now = self.parts.clock.now()
        if result.outcome in _UNSENT_OUTCOMES:
            self._sent_count -= 1
            self._unsent_count += 1
        if result.outcome is Outcome.UNREACHABLE:
            self.parts.unreachable.add(upstream, now)
        is_shed = result.outcome is Outcome.SHED
        if is_shed and self.parts.resting.includes(upstream, now):
            # It may be chosen again once its rest has ended.
            self._tried.discard(upstream)

    def _retry_after_s(self) -> float:
        """Return when an upstream may take the request, in seconds."""
        service = self.context.service
        usable = self.parts.state.usable(service)
        if len(self.parts.resting_names(service)) < len(usable):
            return RETRY_AFTER_S
        return self.parts.rest_left_s(service) or RETRY_AFTER_S

    def _update_idle_limit(self, call: UpstreamCall, outcome: Outcome) -> None:
        if not call.is_reused:
            return
        if outcome is Outcome.BROKEN:
            self.parts.idle_limits.record_stale(
                self.context.service, call.idle_s
            )
        elif outcome in _ANSWERED_OUTCOMES:
            self.parts.idle_limits.record_reused(self.context.service)

    def _may_retry(self, result: CallResult) -> bool:
        if not self.context.body.can_replay:
            return False
        if self._sent_count >= max(1, self.context.route.max_attempts):
            return False
        if self._unsent_count >= _MAX_UNSENT_ATTEMPTS:
            return False
        if self.parts.clock.now() >= self.context.deadline:
            return False
        return self.context.route.is_idempotent or not self._may_have_run

    def _refusal(self, placed: PlacementRefusal) -> RefusedError:
        self._log(
            Event.PLACEMENT_REFUSED,
            reason=placed.reason.value,
            placed_by=placed.placed_by,
            retry_after_s=round(placed.retry_after_s, 3),
            waited_s=round(self._waited_s, 3),
            left_s=round(self.context.deadline - self.parts.clock.now(), 3),
            waiting=self.parts.waiting.request_count,
            **self._priority_fields(placed),
        )
        self.parts.metrics.count_placement(
            self.context.priority, placed.reason.value
        )
        return RefusedError(placement_problem(placed, self._may_have_run))

    def _abort_all(self) -> None:
        now = self.parts.clock.now()
        is_late = now >= self.context.deadline
        for attempt in self._active:
            attempt.task.cancel()
            attempt.call.abort()
            outcome = Outcome.TIMED_OUT if is_late else Outcome.CANCELLED
            duration_s = now - attempt.call.began
            self._log(
                Event.ATTEMPT_ENDED,
                outcome=outcome.value,
                took_s=round(duration_s, 3),
                **_placement_fields(attempt.placement),
            )
            self._report_outcome(
                attempt.ticket,
                attempt.call.target.upstream.name,
                outcome,
                duration_s,
                self._rate_statement(attempt),
            )
        self._active.clear()

    def _rate_statement(self, attempt: _Attempt) -> RateStatement | None:
        """Return what the answer says of a limit, if that matters.

        Most answers name none of upstreams that never named one.
        """
        call = attempt.call
        upstream = call.target.upstream
        for event, reason in (
            (Event.LIMIT_REJECTED, call.rate_error),
            (Event.LEAVING_REJECTED, call.leaving_error),
            (Event.REST_REJECTED, call.rest_error),
        ):
            if reason:
                self._log(event, upstream=upstream.name, reason=reason)
        statement = call.rate_statement
        if statement is None or statement.rate is not None:
            return statement
        scheduler = self.parts.coordinators.scheduler(self.context.service)
        is_known = scheduler.limits.limit_of(upstream) is not None
        if is_known or attempt.placement.is_rate_limited:
            return statement
        return None

    def _report_outcome(
        self,
        ticket: Ticket,
        upstream: UpstreamName,
        outcome: Outcome,
        duration_s: float,
        rate_statement: RateStatement | None = None,
    ) -> None:
        context = self.context
        metrics = self.parts.metrics
        metrics.attempts.labels(
            service=context.service,
            outcome=outcome.value,
        ).inc()
        self.parts.coordinators.report_attempt(
            AttemptResult(
                context.service,
                ticket,
                upstream,
                outcome,
                duration_s,
                context.fingerprint,
                rate_statement,
            ),
        )

    def _priority_fields(
        self, placed: Placement | PlacementRefusal
    ) -> dict[str, object]:
        """Return the log fields on priority and threshold."""
        return {
            'priority': self.context.priority,
            'least_urgent': placed.least_urgent,
        }

    def _log(self, event: Event, **fields: object) -> None:
        self.parts.journal.emit(
            event,
            request=self.context.request_id,
            route=self.context.route.name,
            service=self.context.service,
            sent=self._sent_count,
            **fields,
        )


def _shown_field(head: AnswerHead | None, name: bytes) -> str | None:
    """Return the start of the field `name` for a log line, if there is one."""
    text = head.field(name) if head else None
    return None if text is None else shown(text)


def _placement_fields(placement: Placement) -> dict[str, object]:
    """Return the log fields that describe `placement`."""
    return {
        'upstream': placement.upstream,
        'in_spell': round(placement.in_spell, 3),
        'in_flight': placement.in_flight,
        'evidence_age_s': round(placement.evidence_age_s, 3),
        'placed_by': placement.placed_by,
    }
