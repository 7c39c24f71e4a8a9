"""Decodes entries of the platform's store into the types of this project.

The platform's terms, and what they are called here:

- tenant: team
- server: upstream
- capacity of a back end: slots
- kind of a route: `RouteKind`
- born: `started_ms`
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

#: Exceptions that a document of an unexpected structure raises.
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

_ROUTE_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'upload': RouteKind.UPLOAD,
}
_UPSTREAM_STATES = {
    'ready': UpstreamState.READY,
    'draining': UpstreamState.DRAINING,
}


class PlatformDecoder:
    """Decodes entries of the platform's store."""

    def decode(
        self,
        entry: Entry,
    ) -> FleetConfiguration | UpstreamRecord | VmRecord | None:
        """Return the record in `entry`, or None if its key is not used here.

        Raises:
            EntryError: the value cannot be decoded.
        """
        upstream = self.upstream_of(entry.key)
        vm = self.vm_of(entry.key)
        try:
            if entry.key == CONFIGURATION_KEY:
                return _parse_configuration(json.loads(entry.value))
            if upstream is not None:
                return _parse_upstream(upstream, json.loads(entry.value))
            if vm is not None:
                return _parse_vm(vm, json.loads(entry.value))
        except _DECODE_ERRORS as error:
            fault = CatalogFault(entry.key, '', repr(error))
            raise EntryError(fault) from error
        return None

    def upstream_of(self, key: str) -> UpstreamName | None:
        """Return the upstream stored under `key`, or None for other keys."""
        if not key.startswith(UPSTREAM_KEY_PREFIX):
            return None
        return UpstreamName(key.removeprefix(UPSTREAM_KEY_PREFIX))

    def vm_of(self, key: str) -> VmName | None:
        """Return the VM stored under `key`, or None for other keys."""
        if not key.startswith(VM_KEY_PREFIX):
            return None
        return VmName(key.removeprefix(VM_KEY_PREFIX))


def vm_key(record: VmRecord) -> str:
    """Return the key under which the VM of `record` is registered."""
    return f'{VM_KEY_PREFIX}{record.name}'


def encode_vm(record: VmRecord) -> bytes:
    """Return the JSON value that registers the VM of `record`."""
    document = {'peer': record.peer, 'zone': record.zone}
    return json.dumps(document, separators=(',', ':')).encode()


def _parse_vm(name: VmName, document: Any) -> VmRecord:
    Address.parse(_str_field(document, 'peer'))
    return VmRecord(
        name, document['peer'], ZoneName(_str_field(document, 'zone'))
    )


def _parse_upstream(name: UpstreamName, document: Any) -> UpstreamRecord:
    # `info` is constant while a server process runs, `status` changes.
    info = document['info']
    status = document['status']
    address = _str_field(document, 'address')
    Address.parse(address)
    slots = _int_field(info, 'capacity')
    if slots <= 0:
        raise ValueError(f'expected a positive capacity, not {slots}')
    started_ms = _int_field(document, 'born') if 'born' in document else 0
    return UpstreamRecord(
        name=name,
        service=ServiceName(_str_field(info, 'service')),
        address=address,
        zone=ZoneName(_str_field(info, 'zone')),
        slots=slots,
        state=_UPSTREAM_STATES[_str_field(status, 'state')],
        started_ms=started_ms,
        warmup_left_s=parse_duration(status.get('warmup-left', '0s')),
        sequence=_int_field(status, 'sequence'),
    )


def _parse_configuration(document: Any) -> FleetConfiguration:
    routes = [
        _parse_route(name, fields)
        for name, fields in document['routes'].items()
    ]
    teams = document.get('tenants') or {}
    return FleetConfiguration(
        version=_int_field(document, 'version'),
        routes_by_name={route.name: route for route in routes},
        services_by_name={
            ServiceName(name): _parse_service(name, fields)
            for name, fields in document['services'].items()
        },
        teams_by_name={
            TeamName(name): _parse_team(name, fields)
            for name, fields in teams.items()
        },
        limits=_parse_limits(document.get('limits') or {}),
    )


def _parse_route(name: str, fields: Any) -> RouteRule:
    weighted_services = fields.get('weighted-services')
    if weighted_services:
        targets = tuple(
            WeightedService(
                ServiceName(weighted['service']), weighted['weight']
            )
            for weighted in weighted_services
        )
    else:
        targets = (WeightedService(ServiceName(fields['service']), 1),)
    return RouteRule(
        name=RouteName(name),
        host=_str_field(fields, 'host'),
        prefix=_str_field(fields, 'prefix'),
        kind=_ROUTE_KINDS[fields['kind']],
        timeout_s=parse_duration(fields['timeout']),
        target_latency_s=parse_duration(fields['target-latency']),
        targets=targets,
        priority=fields.get('priority', 1),
        max_attempts=fields.get('max-attempts', 1),
        is_public=bool(fields.get('public', False)),
    )


def _parse_service(name: str, fields: Any) -> ServiceRule:
    return ServiceRule(
        ServiceName(name),
        fields.get('health-path', '/health'),
        fields.get('max-conns', 0),
    )


def _parse_team(name: str, fields: Any) -> TeamRule:
    return TeamRule(
        name=TeamName(name),
        api_keys=tuple(fields.get('api-keys') or ()),
        rate=float(fields.get('rate-per-s') or 0),
        burst=float(fields.get('burst') or 0),
        priority=fields.get('priority'),
    )


def _parse_limits(fields: Any) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        max_header_bytes=fields.get(
            'max-header-bytes', defaults.max_header_bytes
        ),
        max_body_bytes=fields.get('max-body-bytes', defaults.max_body_bytes),
        header_timeout_s=_parse_timeout(
            fields,
            'header-timeout',
            defaults.header_timeout_s,
        ),
        idle_timeout_s=_parse_timeout(
            fields, 'idle-timeout', defaults.idle_timeout_s
        ),
    )


def _parse_timeout(fields: Any, name: str, default_s: float) -> float:
    return parse_duration(fields[name]) if name in fields else default_s


def _str_field(fields: Any, name: str) -> str:
    field = fields[name]
    if not isinstance(field, str):
        raise TypeError(f'expected text in {name}, not {field!r}')
    return field


def _int_field(fields: Any, name: str) -> int:
    field = fields[name]
    if type(field) is not int:  # noqa: WPS516
        raise TypeError(f'expected a whole number in {name}, not {field!r}')
    return field
