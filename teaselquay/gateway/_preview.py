"""Explains where a request would be sent now, without sending it."""

import asyncio
from collections import Counter
from dataclasses import asdict
from random import Random
from typing import Any, Mapping

from starlette.requests import Request
from starlette.responses import JSONResponse

from teaselquay.configuration import (
    RouteRule,
    RoutingTable,
    TeamRule,
    UpstreamRecord,
    UpstreamState,
    WeightedService,
    effective_priority,
    has_dot_segment,
)
from teaselquay.coordination import (
    Candidate,
    Omission,
    Placement,
    PlacementPreview,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
    ServiceScheduler,
    Ticket,
    preview_placement,
)
from teaselquay.decisions import (
    Instant,
    ProblemKind,
    RefusedError,
    ServiceName,
    TeamName,
    refuse,
)
from teaselquay.gateway._parts import GatewayParts
from teaselquay.gateway._refusals import stopping_problem

_MAX_CANDIDATES = 40
_MAX_OMITTED = 40
_MAX_SERVICES = 10
#: Shortest time between two previews in seconds. The VM serves nothing while a
#: scheduler is copied: 18 to 30 ms with 1,000 upstreams, 5 to 9 with 129.
_MIN_PERIOD_S = 0.5
_BAD_REQUEST = 400
_TOO_MANY_REQUESTS = 429
_MAX_OCTET_DIGITS = 15


class PreviewEndpoint:
    """Answers `GET /placement` of the control application.

    What it reads of the parts stays as it is, except that expired records and
    dead idle connections are discarded, as by any read.
    """

    def __init__(self, parts: GatewayParts) -> None:
        """Preview the requests of the gateway that `parts` belong to."""
        self._parts = parts
        self._next_at = Instant(0.0)

    async def respond(self, request: Request) -> JSONResponse:
        """Answer one question."""
        query = request.query_params
        octets = query.get('octets', '0')
        if not (query.get('host') and query.get('path')):
            return _error(_BAD_REQUEST, 'host and path are required')
        is_number = octets.isascii() and octets.isdigit()
        if not is_number or len(octets) > _MAX_OCTET_DIGITS:
            return _error(_BAD_REQUEST, 'octets is not a number')
        now = self._parts.clock.now()
        if now < self._next_at:
            return _error(_TOO_MANY_REQUESTS, 'another preview was just made')
        self._next_at = Instant(now + _MIN_PERIOD_S)
        return JSONResponse(await self.preview(query, int(octets)))

    async def preview(
        self, query: Mapping[str, str], octets: int
    ) -> dict[str, Any]:
        """Return the answer for the host, path and team in `query`."""
        parts = self._parts
        table = parts.state.table
        document: dict[str, Any] = {
            'vm': parts.settings.vm,
            'configuration': table and table.configuration.version,
            'evacuated_zones': sorted(parts.state.evacuated_zones),
            'route': None,
            'services': [],
        }
        try:
            route, team = self._match(table, query, octets)
        except RefusedError as error:
            document['decision'] = {
                'refusal': error.problem.kind.value,
                'retry_after_s': error.problem.retry_after_s,
            }
            return document
        document['route'] = route.name
        for target in route.targets[:_MAX_SERVICES]:
            # Requests are served between two copies of schedulers.
            await asyncio.sleep(0)
            document['services'].append(
                self._explain(route, target, team, octets)
            )
        return document

    def _match(
        self, table: RoutingTable | None, query: Mapping[str, str], octets: int
    ) -> tuple[RouteRule, TeamRule | None]:
        """Return the route of a request, and its team if one is named.

        Raises:
            RefusedError: the request would be refused before placement.
        """
        path = query['path'].partition('?')[0]
        if self._parts.is_closed:
            raise RefusedError(stopping_problem(may_have_run=False))
        if table is None:
            raise refuse(ProblemKind.STALE_CONFIGURATION)
        if has_dot_segment(path):
            raise refuse(ProblemKind.BAD_REQUEST)
        route = table.match(query['host'], path)
        if route is None:
            raise refuse(ProblemKind.ROUTE_UNKNOWN)
        if octets > table.configuration.limits.max_body_bytes:
            raise refuse(ProblemKind.BODY_TOO_LARGE)
        name = query.get('team')
        if not name:
            return route, None
        team = table.configuration.teams_by_name.get(TeamName(name))
        if team is None:
            raise refuse(ProblemKind.KEY_UNKNOWN)
        return route, team

    def _explain(
        self,
        route: RouteRule,
        target: WeightedService,
        team: TeamRule | None,
        octets: int,
    ) -> dict[str, Any]:
        """Return how the service would place the request, and why."""
        parts = self._parts
        service = target.service
        now = parts.clock.now()
        ranked = parts.coordinators.directory.coordinators_for(
            f'service-{service}', now
        )
        request = self._placement_request(route, service, team, octets)
        scheduler = self._scheduler(service)
        preview = preview_placement(
            scheduler, request, parts.state.usable(service), now
        )
        return {
            'service': service,
            'weight': target.weight,
            'priority': preview.priority,
            'work_s': request.work_s or scheduler.mean_latency_s,
            'coordinator': ranked[0] if ranked else None,
            'is_coordinator': ranked[:1] == [parts.settings.vm],
            'decision': self._decision(
                service, route, preview.decision, scheduler
            ),
            'candidates': [
                _candidate_fields(candidate)
                for candidate in preview.candidates[:_MAX_CANDIDATES]
            ],
            **self._omission_fields(service, preview, now),
        }

    def _placement_request(
        self,
        route: RouteRule,
        service: ServiceName,
        team: TeamRule | None,
        octets: int,
    ) -> PlacementRequest:
        """Return the request for placement of a first attempt."""
        parts = self._parts
        avoided = parts.unreachable.names(parts.clock.now())
        has_one_attempt = route.max_attempts <= 1
        return PlacementRequest(
            ticket=Ticket(0),
            zone=parts.settings.zone,
            may_repeat=route.is_idempotent and not has_one_attempt,
            left_s=route.timeout_s,
            target_left_s=route.target_latency_s,
            octets=octets + parts.answer_bytes,
            is_last=has_one_attempt,
            excluded=avoided | parts.resting_names(service),
            connected=parts.connected(
                service, parts.idle_limits.limit_s(service)
            ),
            priority=effective_priority(route, team),
            work_s=parts.route_work.expected_s(service, route.name),
        )

    def _scheduler(self, service: ServiceName) -> ServiceScheduler:
        """Return the scheduler of `service`, or a new one that is not kept."""
        coordinators = self._parts.coordinators
        if service in coordinators.services():
            return coordinators.scheduler(service)
        return coordinators.new_scheduler(service, Random())

    def _decision(
        self,
        service: ServiceName,
        route: RouteRule,
        placed: Placement | PlacementRefusal,
        scheduler: ServiceScheduler,
    ) -> dict[str, Any]:
        if isinstance(placed, Placement):
            return {'upstream': placed.upstream}
        rest_left_s = self._parts.rest_left_s(service)
        if placed.reason is RefusalReason.NO_UPSTREAM and rest_left_s:
            placed = PlacementRefusal(RefusalReason.RESTING, rest_left_s)
        pause_s = self._parts.waiting.pause_s(
            placed, route.timeout_s, scheduler.mean_latency_s
        )
        return {
            'refusal': placed.reason.value,
            'retry_after_s': placed.retry_after_s,
            'would_wait': pause_s is not None,
        }

    def _omission_fields(
        self, service: ServiceName, preview: PlacementPreview, now: Instant
    ) -> dict[str, Any]:
        """Return the upstreams that are not compared, and why."""
        state = self._parts.state
        compared = {known.upstream.name for known in preview.candidates}
        reasons = {
            record.name: self._reason(record, now)
            or preview.omissions[record.name]
            for record in state.upstreams_by_name.values()
            if record.service == service and record.name not in compared
        }
        # Those that chance left out say least.
        named = sorted(
            reasons, key=lambda name: reasons[name] is Omission.NOT_DRAWN
        )
        return {
            'omitted': {
                name: reasons[name].value for name in named[:_MAX_OMITTED]
            },
            'omitted_counts': Counter(
                known.value for known in reasons.values()
            ),
        }

    def _reason(self, record: UpstreamRecord, now: Instant) -> Omission | None:
        """Return why `record` is not usable for this VM, if it is not."""
        parts = self._parts
        reasons = (
            (
                record.zone in parts.state.evacuated_zones,
                Omission.ZONE_EVACUATED,
            ),
            (record.state is not UpstreamState.READY, Omission.DRAINING),
            (parts.state.is_leaving(record), Omission.LEAVING),
            (parts.resting.includes(record.name, now), Omission.RESTING),
            (
                record.name in parts.unreachable.names(now),
                Omission.UNREACHABLE_HERE,
            ),
        )
        return next((reason for is_true, reason in reasons if is_true), None)


def _candidate_fields(candidate: Candidate) -> dict[str, Any]:
    record = candidate.upstream
    return {
        **asdict(candidate),
        'upstream': record.name,
        'zone': record.zone,
        'slots': record.slots,
    }


def _error(status: int, message: str) -> JSONResponse:
    return JSONResponse({'error': message}, status)
