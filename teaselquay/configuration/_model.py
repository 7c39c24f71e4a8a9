"""Declarations of operators and upstreams, independent of storage."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Mapping

from teaselquay.decisions import (
    RouteName,
    ServiceName,
    TeamName,
    UpstreamName,
    VmName,
    ZoneName,
)

_MEBIBYTE = 1 << 20


class RouteKind(Enum):
    """Whether requests may be repeated, and how bodies are forwarded."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    #: Non-idempotent, with request bodies streamed to the upstream.
    UPLOAD = 'upload'


class UpstreamState(Enum):
    """State that an upstream reports."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are divided."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Requests for `host` whose path begins with `prefix`.

    `max_attempts` counts the upstreams that one request may be sent to.
    `priority` 0 is the most urgent. Times are in seconds.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    targets: tuple[WeightedService, ...]
    priority: int = 1
    max_attempts: int = 2
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """A group of interchangeable upstreams.

    An upstream is cold for `warmup_s` seconds after it starts, during which it
    takes `warmup_rate_per_s` requests per second, 0 for no limit.
    """

    name: ServiceName
    health_path: str = '/health'
    max_connections: int = 0
    warmup_s: float = 0
    warmup_rate_per_s: float = 0


@dataclass(frozen=True, slots=True)
class TeamRule:
    """Rate in requests per second and burst in requests, 0 for no limit.

    `priority` overrides that of the route if it is set.
    """

    name: TeamName
    api_keys: tuple[str, ...] = ()
    rate: float = 0
    burst: float = 0
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on request sizes in bytes, and on how long callers may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * _MEBIBYTE
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes_by_name: Mapping[RouteName, RouteRule]
    services_by_name: Mapping[ServiceName, ServiceRule]
    teams_by_name: Mapping[TeamName, TeamRule] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    @property
    def requires_api_keys(self) -> bool:
        """Return whether routes that are not public require an API key."""
        return bool(self.teams_by_name)


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One registered upstream.

    `started_ms` is the Unix time of its start in milliseconds, which
    distinguishes runs under one name. `warmup_left_s` is the remaining
    warm-up time in seconds, during which it is slow. `sequence` counts the
    writes of one run; records that differ in nothing else are equal.
    """

    name: UpstreamName
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: UpstreamState
    started_ms: int = 0
    warmup_left_s: float = 0.0
    sequence: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """An operators' request to send nothing more to the upstreams of a zone."""

    zone: ZoneName


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM of the fleet, and the address on which it accepts its peers.

    `capacity` is the number of cores that its processor and its link suffice
    for.
    """

    name: VmName
    peer: str
    zone: ZoneName
    capacity: float = 1.0
