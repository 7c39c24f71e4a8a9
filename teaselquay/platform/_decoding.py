"""Decodes entries of the platform's store into the types of this project.

The platform's terms, and what they are called here:

- tenant: team
- server: upstream
- capacity of a back end: slots
- kind of a route: `RouteKind`
- born: `started_ms`
"""

import json
from ipaddress import ip_address
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
    ZoneEvacuation,
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
from teaselquay.fleet import DecodedEntry
from teaselquay.platform._durations import parse_duration
from teaselquay.shells import Address

CONFIGURATION_KEY = 'op/config'
EVACUATION_KEY_PREFIX = 'op/evacuate/'
UPSTREAM_KEY_PREFIX = 'servers/'
VM_KEY_PREFIX = 'teaselquay/vms/'

#: Exceptions that a document of an unexpected structure raises. Deep nesting
#: exhausts the stack of the JSON parser.
_DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
#: Largest number that is accepted. It fits into messages and is exact as a
#: float.
_MAX_NUMBER = (1 << 53) - 1

#: Limit for the part of a malformed value that a log line repeats.
_MAX_REASON_CHARS = 200

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
    ) -> DecodedEntry | None:
        """Return the record in `entry`, or None if its key is not used here.

        Raises:
            EntryError: the value cannot be decoded.
        """
        upstream = self.upstream_of(entry.key)
        vm = self.vm_of(entry.key)
        zone = self.evacuated_zone_of(entry.key)
        if zone is not None:
            # The key alone is the request, whatever its value is.
            return ZoneEvacuation(zone)
        try:
            if entry.key == CONFIGURATION_KEY:
                return _parse_configuration(json.loads(entry.value))
            if upstream is not None:
                return _parse_upstream(upstream, json.loads(entry.value))
            if vm is not None:
                return _parse_vm(vm, json.loads(entry.value))
        except _DECODE_ERRORS as error:
            reason = repr(error)[:_MAX_REASON_CHARS]
            fault = CatalogFault(entry.key, '', reason)
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

    def evacuated_zone_of(self, key: str) -> ZoneName | None:
        """Return the zone that `key` evacuates, or None for other keys."""
        if not key.startswith(EVACUATION_KEY_PREFIX):
            return None
        return ZoneName(key.removeprefix(EVACUATION_KEY_PREFIX))


def vm_key(record: VmRecord) -> str:
    """Return the key under which the VM of `record` is registered."""
    return f'{VM_KEY_PREFIX}{record.name}'


def encode_vm(record: VmRecord) -> bytes:
    """Return the JSON value that registers the VM of `record`."""
    document = {
        'peer': record.peer,
        'zone': record.zone,
        'capacity': record.capacity,
    }
    return json.dumps(document, separators=(',', ':')).encode()


def _parse_vm(name: VmName, document: Any) -> VmRecord:
    return VmRecord(
        name,
        _address_field(document, 'peer'),
        ZoneName(_str_field(document, 'zone')),
        float(_number(document.get('capacity', 1), 'capacity')),
    )


def _parse_upstream(name: UpstreamName, document: Any) -> UpstreamRecord:
    # `info` is constant while a server process runs, `status` changes.
    info = document['info']
    status = document['status']
    address = _address_field(document, 'address')
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
                ServiceName(weighted['service']),
                _number(weighted['weight'], 'weight'),
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
        priority=_number(fields.get('priority', 1), 'priority'),
        max_attempts=_number(fields.get('max-attempts', 1), 'max-attempts'),
        is_public=bool(fields.get('public', False)),
    )


def _parse_service(name: str, fields: Any) -> ServiceRule:
    return ServiceRule(
        ServiceName(name),
        fields.get('health-path', '/health'),
        _number(fields.get('max-conns', 0), 'max-conns'),
        parse_duration(fields.get('warmup', '0s')),
        _number(fields.get('warmup-per-s') or 0, 'warmup-per-s'),
    )


def _parse_team(name: str, fields: Any) -> TeamRule:
    priority = fields.get('priority')
    return TeamRule(
        name=TeamName(name),
        api_keys=tuple(map(_text, fields.get('api-keys') or ())),
        rate=float(_number(fields.get('rate-per-s') or 0, 'rate-per-s')),
        burst=float(_number(fields.get('burst') or 0, 'burst')),
        priority=None if priority is None else _number(priority, 'priority'),
    )


def _parse_limits(fields: Any) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        max_header_bytes=_number(
            fields.get('max-header-bytes', defaults.max_header_bytes),
            'max-header-bytes',
        ),
        max_body_bytes=_number(
            fields.get('max-body-bytes', defaults.max_body_bytes),
            'max-body-bytes',
        ),
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


def _text(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError(f'expected text, not {field!r}')
    return field


def _str_field(fields: Any, name: str) -> str:
    return _text(fields[name])


def _address_field(fields: Any, name: str) -> str:
    """Return the IP address and port under `name` as text.

    Raises:
        ValueError: the host is no IP address, or the port is out of range.
    """
    text = _str_field(fields, name)
    address = Address.parse(text)
    ip_address(address.host)
    if not address.port:
        raise ValueError(f'no port in {name}')
    return text


def _int_field(fields: Any, name: str) -> int:
    field = fields[name]
    if type(field) is not int:  # noqa: WPS516
        raise TypeError(f'expected a whole number in {name}, not {field!r}')
    return _number(field, name)


def _number(field: Any, name: str) -> Any:
    """Return `field` if it is a number that is neither negative nor too large.

    Raises:
        TypeError: it is no number.
        ValueError: it is out of range.
    """
    if type(field) not in {int, float}:  # noqa: WPS516
        raise TypeError(f'expected a number in {name}, not {field!r}')
    if not 0 <= field <= _MAX_NUMBER:
        raise ValueError(f'the number in {name} is out of range')
    return field
