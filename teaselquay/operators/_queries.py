"""Answers questions about the fleet, as far as one VM knows."""

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
_LONG_AGO_S = 3600.0


class QueryError(LookupError):
    """A question about something that does not exist."""


@dataclass(frozen=True, slots=True)
class View:
    """The parts of a process that questions are answered from."""

    node: Node
    ownership: Ownership
    health: Health
    vm_list: VmList
    metrics: Metrics


_Query = Callable[[View, Command], Rows]
QUERIES: dict[Verb, _Query] = {}


def answers(verb: Verb) -> Callable[[_Query], _Query]:
    """Register a function as the answer to `verb`."""

    def register(query: _Query) -> _Query:
        QUERIES[verb] = query
        return query

    return register


@answers(Verb.SHOW_FLEET)
def _show_fleet(view: View, command: Command) -> Rows:
    return [_vm_row(view, name) for name in sorted(view.node.catalog.vms)]


@answers(Verb.SHOW_VM)
def _show_vm(view: View, command: Command) -> Rows:
    name = VmName(command.name)
    if name not in view.node.catalog.vms:
        raise QueryError(f'there is no VM {name}')
    row = dict(_vm_row(view, name))
    if name == view.node.vm:
        row['serving_partitions'] = sum(
            1
            for tenure in view.ownership.owned()
            if tenure.state is OwnerState.SERVING
        )
        row['revision'] = view.node.replica.revision
        now = view.node.clock.now()
        row['configuration_age_s'] = _round_age(
            now,
            view.node.freshness.instant(now),
        )
    return [row]


@answers(Verb.SHOW_ZONE)
def _show_zone(view: View, command: Command) -> Rows:
    vms = view.node.catalog.vms
    rows = [
        _vm_row(view, name)
        for name in sorted(vms)
        if vms[name].zone == command.name
    ]
    for service in view.vm_list.services():
        rows.extend(
            row
            for row in _service_rows(view, service)
            if row['zone'] == command.name
        )
    if not rows:
        raise QueryError(f'there is no zone {command.name}')
    return rows


@answers(Verb.SHOW_TEAMS)
def _show_teams(view: View, command: Command) -> Rows:
    return [
        _team_row(view, name) for name in sorted(view.node.catalog.team_names())
    ]


@answers(Verb.SHOW_TEAM)
def _show_team(view: View, command: Command) -> Rows:
    name = TeamName(command.name)
    team = view.node.catalog.team(name)
    if team is None:
        raise QueryError(f'there is no team {name}')
    return [
        {**_team_row(view, name), 'key_hash': key_hash}
        for key_hash in team.keys or ('-',)
    ]


@answers(Verb.SHOW_ROUTES)
def _show_routes(view: View, command: Command) -> Rows:
    return [_route_row(view, name) for name in sorted(view.node.catalog.routes)]


@answers(Verb.SHOW_ROUTE)
def _show_route(view: View, command: Command) -> Rows:
    name = RouteName(command.name)
    if name not in view.node.catalog.routes:
        raise QueryError(f'there is no route {name}')
    return [_route_row(view, name)]


@answers(Verb.SHOW_SERVICE)
def _show_service(view: View, command: Command) -> Rows:
    service = ServiceName(command.name)
    rows = _service_rows(view, service)
    if not rows and service not in view.node.catalog.services:
        raise QueryError(f'there is no service {service}')
    return rows


@answers(Verb.SHOW_UPSTREAM)
def _show_upstream(view: View, command: Command) -> Rows:
    rows = [
        row
        for service in view.vm_list.services()
        for row in _service_rows(view, service)
        if row['upstream'] == command.name
    ]
    if not rows:
        raise QueryError(f'there is no upstream {command.name}')
    return rows


@answers(Verb.WHY)
def _why(view: View, command: Command) -> Rows:
    return [
        {
            'upstream': row['upstream'],
            'use': row['use'],
            'because': row['because'],
        }
        for row in _show_upstream(view, command)
    ]


@answers(Verb.SHOW_FAULTS)
def _show_faults(view: View, command: Command) -> Rows:
    return [
        {'entry': fault.key, 'path': fault.path, 'expected': fault.expected}
        for fault in view.node.catalog.faults.values()
    ]


def _vm_row(view: View, name: VmName) -> Mapping[str, Any]:
    vm = view.node.catalog.vms[name]
    now = view.node.clock.now()
    heard = view.node.freshness.last_attestation(name)
    owned: Counter[str] = Counter(
        claim.vm for claim in view.node.catalog.claims.values()
    )
    return {
        'vm': name,
        'zone': vm.zone,
        'state': vm.state.value,
        'heard_s': 0 if name == view.node.vm else _round_age(now, heard),
        'partitions': owned[name],
    }


def _team_row(view: View, name: TeamName) -> Mapping[str, Any]:
    team = view.node.catalog.team(name)
    assert team is not None
    return {
        'team': name,
        'rate': team.rate,
        'burst': team.burst,
        'keys': len(team.keys),
    }


def _route_row(view: View, name: RouteName) -> Mapping[str, Any]:
    route = view.node.catalog.routes[name]
    return {
        'route': name,
        'prefix': route.prefix,
        'methods': ','.join(route.methods),
        'service': route.service,
        'idempotent': route.idempotent,
        'timeout_ms': route.timeout_ms,
    }


def _service_rows(view: View, service: ServiceName) -> Rows:
    known = view.health.view(service)
    weights = view.health.weights(service)
    candidates = {up.name for up in view.health.candidates(service)}
    rows: Rows = []
    for upstream in view.vm_list.upstreams(service):
        use, because = _use_of(
            upstream.name,
            weights.get(upstream.name, 1.0),
            upstream.name in candidates,
            known.verdict.reasons,
        )
        rows.append(
            {
                'upstream': upstream.name,
                'service': service,
                'zone': upstream.zone,
                'use': use,
                'weight': round(weights.get(upstream.name, 1.0), 2),
                'in_flight': known.load.of(upstream.name),
                'because': because,
            },
        )
    return rows


def _use_of(
    name: UpstreamName,
    weight: float,
    is_candidate: bool,
    reasons: Mapping[UpstreamName, str],
) -> tuple[str, str]:
    if not is_candidate:
        return 'leaving', 'the list, an operator or the upstream says so'
    if weight == 0:
        return 'ejected', reasons.get(name, 'outcomes seen by this VM alone')
    if weight < 1:
        return 'returning', reasons.get(name, 'it started a short time ago')
    return 'in-use', ''


def _round_age(now: Instant, instant: Instant) -> float:
    return round(min(now - instant, _LONG_AGO_S), 2)
