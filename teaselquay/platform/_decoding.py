"""Decodes the entries of the platform's store into the product's types.

Their word, then ours: tenant, team; server, upstream; back end's capacity,
slots; kind of a route, `RouteKind`; born, `started_ms`.
"""

import json
from typing import Any

from teaselquay.configuration import (
    FleetConfiguration,
    RequestLimits,
    RouteKind,
    RouteRule,
    ServiceRule,
    TeamRule,
    UpstreamRecord,
    UpstreamState,
    VmRecord,
    WeightedService,
)
from teaselquay.decisions import (
    CatalogFault,
    Entry,
    EntryError,
    RouteName,
    ServiceName,
    TeamName,
    UpstreamName,
    VmName,
    ZoneName,
)
from teaselquay.platform._durations import parse_duration
from teaselquay.shells import Address

CONFIGURATION_KEY = 'op/config'
UPSTREAM_KEY_PREFIX = 'servers/'
VM_KEY_PREFIX = 'teaselquay/vms/'

#: What reading a document of another shape raises.
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)

_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'upload': RouteKind.UPLOAD,
}
_STATES = {'ready': UpstreamState.READY, 'draining': UpstreamState.DRAINING}


class PlatformDecoder:
    """Reads entries of the platform's store."""

    def decode(
        self,
        entry: Entry,
    ) -> FleetConfiguration | UpstreamRecord | VmRecord | None:
        """Return what `entry` says, or None if it is of no concern.

        Raises:
            EntryError: the value cannot be read.
        """
        upstream = self.upstream_of(entry.key)
        vm = self.vm_of(entry.key)
        try:
            if entry.key == CONFIGURATION_KEY:
                return _configuration(json.loads(entry.value))
            if upstream is not None:
                return _upstream(upstream, json.loads(entry.value))
            if vm is not None:
                return _vm(vm, json.loads(entry.value))
        except _UNREADABLE as error:
            fault = CatalogFault(entry.key, '', repr(error))
            raise EntryError(fault) from error
        return None

    def upstream_of(self, key: str) -> UpstreamName | None:
        """Return the upstream whose entry has `key`."""
        if not key.startswith(UPSTREAM_KEY_PREFIX):
            return None
        return UpstreamName(key.removeprefix(UPSTREAM_KEY_PREFIX))

    def vm_of(self, key: str) -> VmName | None:
        """Return the VM whose entry has `key`."""
        if not key.startswith(VM_KEY_PREFIX):
            return None
        return VmName(key.removeprefix(VM_KEY_PREFIX))


def vm_key(record: VmRecord) -> str:
    """Return the key of the entry that says where a VM is."""
    return f'{VM_KEY_PREFIX}{record.name}'


def encode_vm(record: VmRecord) -> bytes:
    """Return the entry that says where a VM is."""
    document = {'peer': record.peer, 'zone': record.zone}
    return json.dumps(document, separators=(',', ':')).encode()


def _vm(name: VmName, document: Any) -> VmRecord:
    Address.parse(_text(document, 'peer'))
    return VmRecord(name, document['peer'], ZoneName(_text(document, 'zone')))


def _upstream(name: UpstreamName, document: Any) -> UpstreamRecord:
    # `info` is fixed for one start of a server, `status` changes.
    info = document['info']
    status = document['status']
    address = _text(document, 'address')
    Address.parse(address)
    _whole(status, 'sequence')
    slots = _whole(info, 'capacity')
    if slots <= 0:
        raise ValueError(f'expected a positive capacity, not {slots}')
    started_ms = _whole(document, 'born') if 'born' in document else 0
    return UpstreamRecord(
        name=name,
        service=ServiceName(_text(info, 'service')),
        address=address,
        zone=ZoneName(_text(info, 'zone')),
        slots=slots,
        state=_STATES[_text(status, 'state')],
        started_ms=started_ms,
        warmup_left_s=parse_duration(status.get('warmup-left', '0s')),
    )


def _configuration(document: Any) -> FleetConfiguration:
    routes = [_route(name, row) for name, row in document['routes'].items()]
    teams = document.get('tenants') or {}
    return FleetConfiguration(
        version=_whole(document, 'version'),
        routes_by_name={route.name: route for route in routes},
        services_by_name={
            ServiceName(name): _service(name, row)
            for name, row in document['services'].items()
        },
        teams_by_name={
            TeamName(name): _team(name, row) for name, row in teams.items()
        },
        limits=_limits(document.get('limits') or {}),
    )


def _route(name: str, row: Any) -> RouteRule:
    parts = row.get('weighted-services')
    if parts:
        targets = tuple(
            WeightedService(ServiceName(part['service']), part['weight'])
            for part in parts
        )
    else:
        targets = (WeightedService(ServiceName(row['service']), 1),)
    return RouteRule(
        name=RouteName(name),
        host=_text(row, 'host'),
        prefix=_text(row, 'prefix'),
        kind=_KINDS[row['kind']],
        timeout_s=parse_duration(row['timeout']),
        target_latency_s=parse_duration(row['target-latency']),
        targets=targets,
        priority=row.get('priority', 1),
        max_attempts=row.get('max-attempts', 1),
        is_public=bool(row.get('public', False)),
    )


def _service(name: str, row: Any) -> ServiceRule:
    return ServiceRule(
        ServiceName(name),
        row.get('health-path', '/health'),
        row.get('max-conns', 0),
    )


def _team(name: str, row: Any) -> TeamRule:
    return TeamRule(
        name=TeamName(name),
        api_keys=tuple(row.get('api-keys') or ()),
        rate=float(row.get('rate-per-s') or 0),
        burst=float(row.get('burst') or 0),
        priority=row.get('priority'),
    )


def _limits(row: Any) -> RequestLimits:
    usual = RequestLimits()
    return RequestLimits(
        max_header_bytes=row.get('max-header-bytes', usual.max_header_bytes),
        max_body_bytes=row.get('max-body-bytes', usual.max_body_bytes),
        header_timeout_s=_limit_s(
            row,
            'header-timeout',
            usual.header_timeout_s,
        ),
        idle_timeout_s=_limit_s(row, 'idle-timeout', usual.idle_timeout_s),
    )


def _limit_s(row: Any, name: str, usual_s: float) -> float:
    return parse_duration(row[name]) if name in row else usual_s


def _text(row: Any, name: str) -> str:
    found = row[name]
    if not isinstance(found, str):
        raise TypeError(f'expected text in {name}, not {found!r}')
    return found


def _whole(row: Any, name: str) -> int:
    found = row[name]
    if type(found) is not int:  # noqa: WPS516
        raise TypeError(f'expected a whole number in {name}, not {found!r}')
    return found
