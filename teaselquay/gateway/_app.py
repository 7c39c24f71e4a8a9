"""ASGI application: validates, admits, dispatches and answers requests."""

import asyncio
from dataclasses import replace
from hashlib import blake2b

from absl import logging

from teaselquay.configuration import (
    RouteKind,
    RouteRule,
    RoutingTable,
    TeamRule,
    choose_service,
    effective_priority,
    has_dot_segment,
)
from teaselquay.decisions import (
    Instant,
    Problem,
    ProblemKind,
    RefusedError,
    Run,
    ServiceName,
    problem,
    refuse,
)
from teaselquay.events import Event
from teaselquay.gateway._body import RequestBody, Retention, no_memory
from teaselquay.gateway._call import CallResult
from teaselquay.gateway._dispatch import Dispatch
from teaselquay.gateway._errand import RequestContext
from teaselquay.gateway._parts import GatewayParts
from teaselquay.gateway._refusals import deadline_problem, stopping_problem
from teaselquay.pipeline import (
    CallerGoneError,
    Exchange,
    Receive,
    Scope,
    Send,
    check_lengths,
)
from teaselquay.serving import HELD_WHOLE_KEY, NO_ROOM_EXTENSION
from teaselquay.shells import BrokenAnswerError

_MS_PER_S = 1000
_DIGEST_BYTES = 16
#: Fraction of the time to its deadline that a request may wait until there is
#: memory for its body. The rest is for another VM.
_MAX_MEMORY_WAIT_FRACTION = 1 / 2
#: Bytes of a body that are digested before other tasks may run.
_MAX_DIGESTED_AT_ONCE_BYTES = 1 << 20
_UNAVAILABLE_STATUS = 503
#: Statuses of refusals that are sent unchanged. All others of requests that
#: did not run become 503, which tells callers that they may retry.
_UNCHANGED_STATUSES = frozenset((400, 401, 404, 405, 413, 429, 431))
#: Fraction of its route's target latency that a request may wait until it is
#: inside the rate of its team.
_MAX_RATE_WAIT_FRACTION = 1 / 3
#: Retry-After of a VM without configuration, in seconds.
_UNCONFIGURED_RETRY_S = 0.5


class GatewayApp:
    """ASGI application that forwards the requests of callers to upstreams."""

    def __init__(self, parts: GatewayParts) -> None:
        """Create the application; all requests share `parts`."""
        self._parts = parts

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer one request."""
        exchange = Exchange.from_scope(
            scope,
            receive,
            send,
            self._parts.clock.now(),
            self._parts.is_stopping,
        )
        request = _Request(exchange, self._parts)
        self._parts.open_requests.add(request)
        try:
            await request.serve()
        finally:
            self._parts.open_requests.discard(request)
            self._count_answer(exchange)

    def _count_answer(self, exchange: Exchange) -> None:
        self._parts.metrics.count_answer(
            self._parts.routes.label_for(exchange.route_name or 'none'),
            exchange.status,
            self._parts.clock.now() - exchange.began,
        )


class _Request:
    """One request of a caller, from its checks to its answer."""

    def __init__(self, exchange: Exchange, parts: GatewayParts) -> None:
        self._exchange = exchange
        self._parts = parts
        self._body: RequestBody | None = None
        name = exchange.header(parts.header_names.request_id) or b''
        self._request_id = name.decode('latin-1')
        self._version = 0
        self._max_body_bytes = 0
        self._team = ''
        self._service = ServiceName('')
        self._deadline = Instant(float('inf'))
        self._dispatch: Dispatch | None = None
        self._task: asyncio.Task[None] | None = None
        #: Why the request was ended before its answer came, if it was.
        self._end_problem: Problem | None = None

    def oldest_attempt_at(self, service: ServiceName) -> Instant | None:
        """Return when its oldest attempt at `service` began, if any."""
        if self._dispatch is None or service != self._service:
            return None
        return self._dispatch.oldest_attempt_at()

    def end_if_too_late(self) -> None:
        """Refuse it if nothing was sent yet and it would not end in time."""
        if not self._service or self._may_have_run():
            return
        if not self._parts.may_begin(self._service, self._deadline):
            self.end()

    def end(self) -> None:
        """End it without waiting any longer."""
        if self._task is None or self._end_problem is not None:
            return
        self._end_problem = stopping_problem(self._may_have_run())
        self._task.cancel()

    def _may_have_run(self) -> bool:
        return self._dispatch is not None and self._dispatch.may_have_run

    async def serve(self) -> None:
        """Answer the request, and log a refusal, failure or disconnect.

        Raises:
            BrokenAnswerError: the answer broke off after its head was sent,
                so the connection to the caller must be closed.
        """
        self._task = asyncio.current_task()
        try:
            await self._serve_or_refuse()
        except asyncio.CancelledError:
            if self._end_problem is None or self._exchange.answer_started:
                raise
            assert self._task is not None
            self._task.uncancel()
            await self._refuse(self._end_problem)
        except BrokenAnswerError as error:
            self._parts.journal.emit(
                Event.ANSWER_CUT,
                request=self._request_id,
                route=self._exchange.route_name,
                service=self._service,
                reason=str(error),
                after_s=self._elapsed_s(),
            )
            raise
        finally:
            if self._body is not None:
                self._body.close()

    async def _serve_or_refuse(self) -> None:
        try:
            await self._serve()
        except RefusedError as error:
            await self._refuse(error.problem)
        except CallerGoneError:
            self._parts.journal.emit(
                Event.REQUEST_ABANDONED,
                request=self._request_id,
                after_s=self._elapsed_s(),
            )
        except BrokenAnswerError:
            raise
        except Exception:
            logging.exception('gateway: internal error while serving a request')
            if self._exchange.answer_started:
                raise
            await self._refuse(problem(ProblemKind.INTERNAL_ERROR))

    async def _serve(self) -> None:
        parts = self._parts
        if parts.is_closed:
            raise RefusedError(stopping_problem(may_have_run=False))
        if NO_ROOM_EXTENSION in self._exchange.scope.get('extensions', ()):
            raise no_memory('requests')
        table = parts.state.table
        if table is None:
            refusal = problem(ProblemKind.STALE_CONFIGURATION)
            raise RefusedError(refusal.with_retry_after(_UNCONFIGURED_RETRY_S))
        self._version = table.configuration.version
        self._max_body_bytes = table.configuration.limits.max_body_bytes
        self._check_head(table)
        route = self._find_route(table)
        team = self._authenticate(table, route)
        service = choose_service(route, parts.random)
        self._service = service
        self._deadline = self._deadline_of(route)
        if team is not None:
            await self._admit(team, route, service)
        context = await self._build_context(route, team, service)
        self._dispatch = Dispatch(context, parts)
        call, answer = await self._dispatch.run()
        try:
            await self._answer_before_deadline(answer, context.deadline)
        finally:
            call.release()
        if self._elapsed_s() > route.target_latency_s:
            parts.journal.emit(
                Event.REQUEST_LATE,
                request=self._request_id,
                route=route.name,
                service=service,
                upstream=call.target.upstream.name,
                status=self._exchange.status,
                after_s=self._elapsed_s(),
                target_s=route.target_latency_s,
                upstream_s=round(parts.clock.now() - call.began, 3),
            )

    def _check_head(self, table: RoutingTable) -> None:
        exchange = self._exchange
        limits = table.configuration.limits
        head_bytes = sum(
            len(name) + len(text) for name, text in exchange.headers
        )
        if (
            head_bytes + len(exchange.scope['raw_path'])
            > limits.max_header_bytes
        ):
            exchange.close_after = True
            raise refuse(
                ProblemKind.HEAD_TOO_LARGE,
                f'the limit is {limits.max_header_bytes} bytes',
            )
        check_lengths(exchange)
        length = exchange.header(b'content-length')
        if length and int(length) > limits.max_body_bytes:
            raise refuse(
                ProblemKind.BODY_TOO_LARGE,
                f'the limit is {limits.max_body_bytes} bytes',
            )

    def _find_route(self, table: RoutingTable) -> RouteRule:
        exchange = self._exchange
        path = exchange.scope['raw_path'].decode('latin-1')
        if has_dot_segment(path):
            raise refuse(
                ProblemKind.BAD_REQUEST,
                'the path has a segment of dots',
            )
        host = (exchange.header(b'host') or b'').decode('latin-1')
        route = table.match(host, path)
        if route is None:
            raise refuse(ProblemKind.ROUTE_UNKNOWN)
        exchange.route_name = route.name
        return route

    def _authenticate(
        self,
        table: RoutingTable,
        route: RouteRule,
    ) -> TeamRule | None:
        if route.is_public or not table.configuration.requires_api_keys:
            return None
        name = self._parts.header_names.api_key
        if self._exchange.header_count(name) > 1:
            raise refuse(ProblemKind.KEY_DOUBLED)
        key = self._exchange.header(name)
        if key is None:
            raise refuse(ProblemKind.KEY_MISSING)
        team = table.team_of(key.strip())
        if team is None:
            raise refuse(ProblemKind.KEY_UNKNOWN)
        self._team = team.name
        return team

    async def _admit(
        self,
        team: TeamRule,
        route: RouteRule,
        service: ServiceName,
    ) -> None:
        """Admit the request under the rate of `team`, waiting if need be.

        Raises:
            CallerGoneError: the caller left during the wait.
            RefusedError: the team exceeds its rate.
        """
        parts = self._parts
        max_wait_s = route.target_latency_s * _MAX_RATE_WAIT_FRACTION
        admission = await parts.coordinators.admit(team, max_wait_s)
        if not admission.is_admitted:
            parts.coordinators.report_refusal(service)
            refusal = problem(ProblemKind.RATE_EXCEEDED)
            refusal = refusal.with_detail(f'team {team.name}')
            raise RefusedError(refusal.with_retry_after(admission.wait_s))
        if admission.wait_s:
            parts.metrics.waits_s.labels(reason='rate').observe(
                admission.wait_s
            )
            await self._pause(route, admission.wait_s)

    async def _pause(self, route: RouteRule, wait_s: float) -> None:
        """Wait for `wait_s` seconds.

        Raises:
            CallerGoneError: the caller left meanwhile.
        """
        caller_gone = self._read_body(route).caller_gone
        try:
            async with asyncio.timeout(wait_s):
                await caller_gone.wait()
        except TimeoutError:
            return
        raise CallerGoneError

    def _read_body(self, route: RouteRule) -> RequestBody:
        """Return the body, which is read from the first call on.

        Uploads are streamed. Any other request should not start to run
        before its caller has sent the whole body.
        """
        if self._body is None:
            is_streamed = route.kind is RouteKind.UPLOAD
            self._exchange.scope[HELD_WHOLE_KEY] = not is_streamed
            self._body = RequestBody(
                self._exchange,
                self._max_body_bytes,
                Retention.REPLAY if is_streamed else Retention.WHOLE,
                self._parts.body_memory,
                self._left_s() * _MAX_MEMORY_WAIT_FRACTION,
            )
        return self._body

    async def _build_context(
        self,
        route: RouteRule,
        team: TeamRule | None,
        service: ServiceName,
    ) -> RequestContext:
        exchange = self._exchange
        body = self._read_body(route)
        team_name = team.name if team else ''
        await self._receive(body, route.kind is RouteKind.UPLOAD)
        return RequestContext(
            exchange=exchange,
            body=body,
            route=route,
            service=service,
            request_id=self._request_id,
            deadline=self._deadline,
            fingerprint=await _fingerprint(exchange, team_name, route, body),
            team=team_name,
            priority=effective_priority(route, team),
        )

    async def _receive(self, body: RequestBody, is_streamed: bool) -> None:
        """Wait until the body, or the first part of it, has been received.

        A body that is streamed is not sent to an upstream before there is
        memory for what is held of it.

        Raises:
            CallerGoneError: the caller left before.
            RefusedError: the body is too long, or did not come in time.
        """
        try:
            async with asyncio.timeout(max(0, self._left_s())):
                if is_streamed:
                    await body.wait_for_room()
                else:
                    await body.wait_complete()
        except TimeoutError as error:
            raise RefusedError(deadline_problem(may_have_run=False)) from error

    def _left_s(self) -> float:
        return self._deadline - self._parts.clock.now()

    def _deadline_of(self, route: RouteRule) -> Instant:
        limit_s = route.timeout_s
        requested_ms = self._exchange.header(
            self._parts.header_names.deadline_ms
        )
        if requested_ms is not None and requested_ms.isdigit():
            limit_s = min(limit_s, int(requested_ms) / _MS_PER_S)
        return Instant(self._exchange.began + limit_s)

    async def _answer_before_deadline(
        self,
        answer: CallResult,
        deadline: Instant,
    ) -> None:
        """Send an answer; one that is still arriving is cut at `deadline`.

        Raises:
            BrokenAnswerError: the answer did not end in time or broke off.
        """
        if answer.rest is None:
            await self._answer(answer)
            return
        left_s = deadline - self._parts.clock.now()
        try:
            async with asyncio.timeout(max(0, left_s)):
                await self._answer(answer)
        except TimeoutError as error:
            raise BrokenAnswerError('it did not end in time') from error

    async def _answer(self, answer: CallResult) -> None:
        assert answer.head is not None
        exchange = self._exchange
        headers = list(answer.head.headers)
        if answer.rest is None:
            headers = [
                field_pair
                for field_pair in headers
                if field_pair[0] != b'content-length'
            ]
            length = str(len(answer.body)).encode()
            headers.append((b'content-length', length))
        if exchange.method == 'HEAD':
            headers = list(answer.head.headers)
        await exchange.start_answer(answer.head.status, headers)
        await exchange.send_body(answer.body, more=answer.rest is not None)
        if answer.rest is not None:
            async for chunk in answer.rest:
                if self._body is not None and self._body.caller_gone.is_set():
                    raise CallerGoneError
                await exchange.send_body(chunk, more=True)
            await exchange.send_body(b'', more=False)

    async def _refuse(self, refusal: Problem) -> None:
        if self._exchange.answer_started:
            return
        if refusal.run is Run.NOT_RUN:
            if refusal.status not in _UNCHANGED_STATUSES:
                refusal = replace(refusal, status=_UNAVAILABLE_STATUS)
        self._parts.metrics.count_refusal(refusal)
        is_refused = refusal.run is Run.NOT_RUN
        self._parts.journal.emit(
            Event.REQUEST_REFUSED if is_refused else Event.REQUEST_FAILED,
            request=self._request_id,
            route=self._exchange.route_name,
            team=self._team,
            service=self._service,
            problem=refusal.kind.value,
            status=refusal.status,
            run=refusal.run.value,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
            after_s=self._elapsed_s(),
            configuration=self._version,
            configuration_age_s=round(self._parts.replication.age_s(), 3),
        )
        await self._send_refusal(refusal)

    async def _send_refusal(self, refusal: Problem) -> None:
        headers = []
        if (
            self._exchange.header(self._parts.header_names.request_id)
            is not None
        ):
            headers.append(
                (
                    self._parts.header_names.request_id,
                    self._request_id.encode(),
                ),
            )
        await self._exchange.send_problem(refusal, headers, _format_seconds)

    def _elapsed_s(self) -> float:
        return round(self._parts.clock.now() - self._exchange.began, 4)


def _format_seconds(seconds: float) -> str:
    return f'{seconds:.2f}'


async def _fingerprint(
    exchange: Exchange,
    team: str,
    route: RouteRule,
    body: RequestBody,
) -> bytes:
    """Return a digest that is equal for requests that quarantine equates.

    The body of an upload does not count. Other tasks run while a long one is
    digested.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for component in (
        team.encode(),
        exchange.method.encode(),
        exchange.scope['raw_path'],
        exchange.scope['query_string'],
        exchange.header(b'content-length') or b'',
    ):
        digest.update(_encode_length(len(component)))
        digest.update(component)
    if route.kind is RouteKind.UPLOAD:
        digest.update(_encode_length(0))
        return digest.digest()
    digest.update(_encode_length(body.received_bytes))
    pending_bytes = 0
    async for part in body.open():
        digest.update(part)
        pending_bytes += len(part)
        if pending_bytes >= _MAX_DIGESTED_AT_ONCE_BYTES:
            pending_bytes = 0
            await asyncio.sleep(0)
    return digest.digest()


def _encode_length(length: int) -> bytes:
    return length.to_bytes(_DIGEST_BYTES, 'big')
