"""Answers queries about the fleet from the state known to one VM."""

from collections import Counter
from dataclasses import dataclass
from typing import Any, Callable, Mapping

from teaselquay.decisions import (
    Instant,
    OwnerState,
    RouteName,
    ServiceName,
    TeamName,
    UpstreamName,
    VmName,
)
from teaselquay.operators._language import Command, Verb
from teaselquay.shells import Health, Metrics, Node, Ownership, VmList

Rows = list[Mapping[str, Any]]
_MAX_REPORTED_AGE_S = 3600.0


class QueryError(LookupError):
    """A query names an object that does not exist."""


@dataclass(frozen=True, slots=True)
class QueryContext:
    """The components of a process that queries read from."""

    node: Node
    ownership: Ownership
    health: Health
    vm_list: VmList
    metrics: Metrics


_QueryHandler = Callable[[QueryContext, Command], Rows]
QUERY_HANDLERS: dict[Verb, _QueryHandler] = {}


def handles(verb: Verb) -> Callable[[_QueryHandler], _QueryHandler]:
    """Return a decorator that registers a function as handler of `verb`."""

    def register(handler: _QueryHandler) -> _QueryHandler:
        QUERY_HANDLERS[verb] = handler
        return handler

    return register


@handles(Verb.SHOW_FLEET)
def _show_fleet(context: QueryContext, command: Command) -> Rows:
    return [_vm_row(context, name) for name in sorted(context.node.catalog.vms)]


@handles(Verb.SHOW_VM)
def _show_vm(context: QueryContext, command: Command) -> Rows:
    name = VmName(command.name)
    if name not in context.node.catalog.vms:
        raise QueryError(f'no VM named {name}')
    row = dict(_vm_row(context, name))
    if name == context.node.vm:
        row['serving_partitions'] = sum(
            1
            for tenure in context.ownership.owned()
            if tenure.state is OwnerState.SERVING
        )
        row['revision'] = context.node.replica.revision
        now = context.node.clock.now()
        row['configuration_age_s'] = _round_age(
            now,
            context.node.freshness.instant(now),
        )
    return [row]


@handles(Verb.SHOW_ZONE)
def _show_zone(context: QueryContext, command: Command) -> Rows:
    vms = context.node.catalog.vms
    rows = [
        _vm_row(context, name)
        for name in sorted(vms)
        if vms[name].zone == command.name
    ]
    for service in context.vm_list.services():
        rows.extend(
            row
            for row in _service_rows(context, service)
            if row['zone'] == command.name
        )
    if not rows:
        raise QueryError(f'no zone named {command.name}')
    return rows


@handles(Verb.SHOW_TEAMS)
def _show_teams(context: QueryContext, command: Command) -> Rows:
    return [
        _team_row(context, name)
        for name in sorted(context.node.catalog.team_names())
    ]


@handles(Verb.SHOW_TEAM)
def _show_team(context: QueryContext, command: Command) -> Rows:
    name = TeamName(command.name)
    team = context.node.catalog.team(name)
    if team is None:
        raise QueryError(f'no team named {name}')
    return [
        {**_team_row(context, name), 'key_hash': key_hash}
        for key_hash in team.keys or ('-',)
    ]


@handles(Verb.SHOW_ROUTES)
def _show_routes(context: QueryContext, command: Command) -> Rows:
    return [
        _route_row(context, name)
        for name in sorted(context.node.catalog.routes)
    ]


@handles(Verb.SHOW_ROUTE)
def _show_route(context: QueryContext, command: Command) -> Rows:
    name = RouteName(command.name)
    if name not in context.node.catalog.routes:
        raise QueryError(f'no route named {name}')
    return [_route_row(context, name)]


@handles(Verb.SHOW_SERVICE)
def _show_service(context: QueryContext, command: Command) -> Rows:
    service = ServiceName(command.name)
    rows = _service_rows(context, service)
    if not rows and service not in context.node.catalog.services:
        raise QueryError(f'no service named {service}')
    return rows


@handles(Verb.SHOW_UPSTREAM)
def _show_upstream(context: QueryContext, command: Command) -> Rows:
    rows = [
        row
        for service in context.vm_list.services()
        for row in _service_rows(context, service)
        if row['upstream'] == command.name
    ]
    if not rows:
        raise QueryError(f'no upstream named {command.name}')
    return rows


@handles(Verb.WHY)
def _why(context: QueryContext, command: Command) -> Rows:
    return [
        {
            'upstream': row['upstream'],
            'use': row['use'],
            'because': row['because'],
        }
        for row in _show_upstream(context, command)
    ]


@handles(Verb.SHOW_FAULTS)
def _show_faults(context: QueryContext, command: Command) -> Rows:
    return [
        {'entry': fault.key, 'path': fault.path, 'expected': fault.expected}
        for fault in context.node.catalog.faults.values()
    ]


def _vm_row(context: QueryContext, name: VmName) -> Mapping[str, Any]:
    vm = context.node.catalog.vms[name]
    now = context.node.clock.now()
    last_heard = context.node.freshness.last_attestation(name)
    partition_counts: Counter[str] = Counter(
        claim.vm for claim in context.node.catalog.claims.values()
    )
    return {
        'vm': name,
        'zone': vm.zone,
        'state': vm.state.value,
        'heard_s': 0
        if name == context.node.vm
        else _round_age(now, last_heard),
        'partitions': partition_counts[name],
    }


def _team_row(context: QueryContext, name: TeamName) -> Mapping[str, Any]:
    team = context.node.catalog.team(name)
    assert team is not None
    return {
        'team': name,
        'rate': team.rate,
        'burst': team.burst,
        'keys': len(team.keys),
    }


def _route_row(context: QueryContext, name: RouteName) -> Mapping[str, Any]:
    route = context.node.catalog.routes[name]
    return {
        'route': name,
        'prefix': route.prefix,
        'methods': ','.join(route.methods),
        'service': route.service,
        'idempotent': route.idempotent,
        'timeout_ms': route.timeout_ms,
    }


def _service_rows(context: QueryContext, service: ServiceName) -> Rows:
    service_health = context.health.view(service)
    weights = context.health.weights(service)
    candidates = {
        candidate.name for candidate in context.health.candidates(service)
    }
    rows: Rows = []
    for upstream in context.vm_list.upstreams(service):
        use, reason = _upstream_use(
            upstream.name,
            weights.get(upstream.name, 1.0),
            upstream.name in candidates,
            service_health.verdict.reasons,
        )
        rows.append(
            {
                'upstream': upstream.name,
                'service': service,
                'zone': upstream.zone,
                'use': use,
                'weight': round(weights.get(upstream.name, 1.0), 2),
                'in_flight': service_health.load.of(upstream.name),
                'because': reason,
            },
        )
    return rows


def _upstream_use(
    name: UpstreamName,
    weight: float,
    is_candidate: bool,
    reasons: Mapping[UpstreamName, str],
) -> tuple[str, str]:
    if not is_candidate:
        return (
            'leaving',
            'the list, an operator or the upstream says so',
        )
    if weight == 0:
        return 'ejected', reasons.get(name, 'outcomes seen by this VM alone')
    if weight < 1:
        return 'returning', reasons.get(name, 'it started a short time ago')
    return 'in-use', ''


def _round_age(now: Instant, instant: Instant) -> float:
    """Return the seconds since `instant`, capped at an hour, to 0.01 s."""
    return round(min(now - instant, _MAX_REPORTED_AGE_S), 2)
