"""The attempts of one request: placement, second sends and hedges."""

import asyncio
from dataclasses import dataclass, field

from teaselquay.coordination import (
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
    Ticket,
)
from teaselquay.decisions import (
    RefusedError,
    UpstreamName,
)
from teaselquay.events import Event
from teaselquay.fleet import Finished
from teaselquay.gateway._call import CallResult, CallTarget, UpstreamCall
from teaselquay.gateway._errand import RequestContext
from teaselquay.gateway._parts import GatewayParts
from teaselquay.gateway._refusals import (
    RETURN_S,
    timed_out,
    unanswered,
    unplaced,
)
from teaselquay.pipeline import CallerGoneError

#: A hedge is sent when an answer takes this many times the usual.
_HEDGE_FACTOR = 2.5
#: Part of the target latency after which a hedge may be sent.
_HEDGE_TARGET_SHARE = 0.75
#: Idle time that an idempotent request trusts, in multiples of what others
#: do: it can be sent again.
_IDEMPOTENT_IDLES = 1.6
#: Addresses that may turn out unreachable or stale for one request.
_MOST_UNSENT = 4
_ANSWERED = frozenset((Outcome.SERVED, Outcome.FAILED, Outcome.SHED))


@dataclass(slots=True)
class _Running:
    call: UpstreamCall
    ticket: Ticket
    placement: Placement
    task: 'asyncio.Task[CallResult]'


@dataclass(slots=True)
class Dispatch:
    """Sends one request to upstreams until one answer is good enough.

    A request that is not idempotent is sent again only if the upstream
    before surely did not run it.
    """

    context: RequestContext
    parts: GatewayParts
    _running: list[_Running] = field(default_factory=list)
    _tried: set[UpstreamName] = field(default_factory=set)
    _sent: int = 0
    _unsent: int = 0
    _may_have_run: bool = False
    _may_hedge: bool = True
    _last: tuple[UpstreamCall, CallResult] | None = None

    async def run(self) -> tuple[UpstreamCall, CallResult]:
        """Return the call whose answer goes to the caller.

        Raises:
            CallerGoneError: the caller left.
            RefusedError: no answer can be given.
        """
        caller_gone = asyncio.create_task(self.context.body.caller_gone.wait())
        try:
            while True:
                found = None if self._running else await self._start()
                if found is None:
                    found = await self._wait(caller_gone)
                if found is not None:
                    return found
        finally:
            caller_gone.cancel()
            self._abort_all()

    async def _start(self) -> tuple[UpstreamCall, CallResult] | None:
        """Start one attempt, or return the last upstream's failure.

        Raises:
            RefusedError: there is neither.
        """
        placed = await self._place()
        if isinstance(placed, PlacementRefusal):
            if self._last is None:
                raise self._refusal(placed)
            return self._last
        self._begin(*placed)
        return None

    async def _place(
        self,
    ) -> tuple[Placement, Ticket] | PlacementRefusal:
        """Return where the next attempt goes, as this VM may use it."""
        parts = self.parts
        while True:
            ticket = parts.coordinators.new_ticket()
            request = self._placement_request(ticket)
            placed = await parts.coordinators.place(
                self.context.service,
                request,
            )
            if isinstance(placed, PlacementRefusal):
                return placed
            self._measure(request, placed)
            if parts.state.is_usable(placed.upstream):
                return placed, ticket
            # This VM has seen it leave before the coordinator did.
            self._tried.add(placed.upstream)
            self._finish(ticket, placed.upstream, Outcome.CANCELLED, 0)
            if parts.clock.now() >= self.context.deadline:
                return PlacementRefusal(RefusalReason.NO_UPSTREAM, RETURN_S)

    def _measure(self, request: PlacementRequest, placed: Placement) -> None:
        metrics = self.parts.metrics
        left_s = self.context.deadline - self.parts.clock.now()
        metrics.placement_s.observe(max(0, request.left_s - left_s))
        metrics.evidence_age_s.observe(placed.evidence_age_s)
        if request.is_repeat:
            metrics.retries.inc()

    def _placement_request(self, ticket: Ticket) -> PlacementRequest:
        context = self.context
        now = self.parts.clock.now()
        elapsed_s = now - context.exchange.began
        length = context.exchange.header(b'content-length') or b'0'
        avoided = self.parts.unreachable.names(now)
        return PlacementRequest(
            ticket=ticket,
            zone=self.parts.settings.zone,
            may_repeat=self._leaves_repeat(),
            left_s=context.deadline - now,
            target_left_s=context.route.target_latency_s - elapsed_s,
            octets=int(length) + self.parts.answer_bytes,
            is_repeat=self._sent > 0,
            excluded=frozenset(self._tried | avoided),
            connected=self.parts.connected(
                context.service,
                self._most_idle_s(),
            ),
            fingerprint=context.fingerprint,
        )

    def _most_idle_s(self) -> float:
        """Return how old a kept connection of the next attempt may be.

        A second attempt gets a new one: the path may have gone silent.
        """
        if self._sent:
            return 0
        limit_s = self.parts.idle_limits.limit_s(self.context.service)
        if self.context.route.is_idempotent:
            return _IDEMPOTENT_IDLES * limit_s
        return limit_s

    def _leaves_repeat(self) -> bool:
        """Return whether the next attempt may be followed by another."""
        route = self.context.route
        return route.is_idempotent and self._sent + 1 < route.max_attempts

    def _begin(self, placement: Placement, ticket: Ticket) -> None:
        context = self.context
        upstream = self.parts.state.upstreams_by_name[placement.upstream]
        target = CallTarget(
            upstream=upstream,
            deadline=context.deadline,
            most_idle_s=self._most_idle_s(),
            team=context.team,
        )
        call = UpstreamCall(
            context.exchange,
            context.body,
            target,
            self.parts.header_names,
            self.parts.pool,
            self.parts.clock,
            began=self.parts.clock.now(),
        )
        self._tried.add(upstream.name)
        self._sent += 1
        task = asyncio.create_task(call.run())
        self._running.append(_Running(call, ticket, placement, task))

    async def _wait(
        self,
        caller_gone: 'asyncio.Task[bool]',
    ) -> tuple[UpstreamCall, CallResult] | None:
        """Return an answer to pass on, or None if there is none yet."""
        waits: list[asyncio.Task[object]] = [
            running.task for running in self._running
        ]  # type: ignore[assignment]
        await asyncio.wait(
            (*waits, caller_gone),
            timeout=self._wait_s(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [running for running in self._running if running.task.done()]
        for running in done:
            self._running.remove(running)
            found = self._take(running)
            if found is not None:
                return found
        if caller_gone.done():
            raise CallerGoneError
        if self.parts.clock.now() >= self.context.deadline:
            may_have_run = self._sent > 0 or self._may_have_run
            raise RefusedError(timed_out(may_have_run))
        if not done:
            await self._hedge()
        return None

    def _wait_s(self) -> float:
        now = self.parts.clock.now()
        left_s = self.context.deadline - now
        if self._can_hedge():
            hedge_at = self._running[-1].call.began + self._hedge_s()
            left_s = min(left_s, hedge_at - now)
        return max(0, left_s)

    def _hedge_s(self) -> float:
        scheduler = self.parts.coordinators.scheduler(self.context.service)
        target_s = self.context.route.target_latency_s
        return max(
            _HEDGE_FACTOR * scheduler.mean_s,
            _HEDGE_TARGET_SHARE * target_s,
        )

    def _can_hedge(self) -> bool:
        route = self.context.route
        if not self._running or not route.is_idempotent:
            return False
        if self._sent >= route.max_attempts:
            return False
        return self._may_hedge and self.context.body.can_replay

    async def _hedge(self) -> None:
        if not self._can_hedge():
            return
        for running in self._running:
            if running.call.is_reused:
                # The path may have gone silent, and so its siblings.
                self.parts.drop_connections(running.call.target.upstream)
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
        self._begin(*placed)

    def _take(
        self,
        running: _Running,
    ) -> tuple[UpstreamCall, CallResult] | None:
        """Return the answer if it goes to the caller, None to go on."""
        call = running.call
        result = running.task.result()
        upstream = call.target.upstream
        took_s = self.parts.clock.now() - call.began
        self._finish(running.ticket, upstream.name, result.outcome, took_s)
        self._learn_reuse(call, result.outcome)
        if result.outcome is Outcome.SERVED:
            return call, result
        self._log(
            Event.ATTEMPT_FAILED,
            outcome=result.outcome.value,
            may_have_run=result.may_have_run,
            reason=result.reason,
            took_s=round(took_s, 3),
            reused=call.is_reused,
            **_placement_fields(running.placement),
        )
        self._may_have_run = self._may_have_run or result.may_have_run
        if result.outcome is Outcome.UNREACHABLE:
            self._sent -= 1
            self._unsent += 1
            self.parts.unreachable.add(upstream.name, self.parts.clock.now())
        if result.outcome is Outcome.FAILED:
            if not self._may_repeat(result):
                return call, result
            # What is still to come of a long answer is not waited for.
            self._last = None if result.rest else (call, result)
        call.release()
        if not self._running and not self._may_repeat(result):
            raise RefusedError(unanswered(result, self._may_have_run))
        return None

    def _learn_reuse(self, call: UpstreamCall, outcome: Outcome) -> None:
        if not call.is_reused:
            return
        if outcome is Outcome.BROKEN:
            self.parts.idle_limits.record_stale(
                self.context.service, call.idle_s
            )
        elif outcome in _ANSWERED:
            self.parts.idle_limits.record_reused(self.context.service)

    def _may_repeat(self, result: CallResult) -> bool:
        if not self.context.body.can_replay:
            return False
        if self._sent >= max(1, self.context.route.max_attempts):
            return False
        if self._unsent >= _MOST_UNSENT:
            return False
        if self.parts.clock.now() >= self.context.deadline:
            return False
        return self.context.route.is_idempotent or not self._may_have_run

    def _refusal(self, placed: PlacementRefusal) -> RefusedError:
        self._log(
            Event.PLACEMENT_REFUSED,
            reason=placed.reason.value,
            placed_by=placed.placed_by,
        )
        return RefusedError(unplaced(placed, self._may_have_run))

    def _abort_all(self) -> None:
        now = self.parts.clock.now()
        is_late = now >= self.context.deadline
        for running in self._running:
            running.task.cancel()
            running.call.abort()
            outcome = Outcome.TIMED_OUT if is_late else Outcome.CANCELLED
            took_s = now - running.call.began
            self._log(
                Event.ATTEMPT_ENDED,
                outcome=outcome.value,
                took_s=round(took_s, 3),
                **_placement_fields(running.placement),
            )
            self._finish(
                running.ticket,
                running.call.target.upstream.name,
                outcome,
                took_s,
            )
        self._running.clear()

    def _finish(
        self,
        ticket: Ticket,
        upstream: UpstreamName,
        outcome: Outcome,
        took_s: float,
    ) -> None:
        context = self.context
        metrics = self.parts.metrics
        metrics.attempts.labels(
            service=context.service,
            outcome=outcome.value,
        ).inc()
        self.parts.coordinators.finish(
            Finished(
                context.service,
                ticket,
                upstream,
                outcome,
                took_s,
                context.fingerprint,
            ),
        )

    def _log(self, event: Event, **fields: object) -> None:
        self.parts.journal.emit(
            event,
            request=self.context.request_id,
            route=self.context.route.name,
            service=self.context.service,
            sent=self._sent,
            **fields,
        )


def _placement_fields(placement: Placement) -> dict[str, object]:
    """Return where an attempt went, and what was believed then."""
    return {
        'upstream': placement.upstream,
        'in_spell': round(placement.in_spell, 3),
        'in_flight': placement.in_flight,
        'evidence_age_s': round(placement.evidence_age_s, 3),
        'placed_by': placement.placed_by,
    }
