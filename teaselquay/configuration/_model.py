"""What operators and upstreams declare, independent of how it is stored."""

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
    """What may be repeated, and how bodies are treated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    #: Non-idempotent, with bodies that are streamed to the upstream.
    UPLOAD = 'upload'


class UpstreamState(Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share a route's requests."""

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
    """Upstreams that do the same work."""

    name: ServiceName
    health_path: str = '/health'
    max_connections: int = 0


@dataclass(frozen=True, slots=True)
class TeamRule:
    """Rate in requests a second and burst in requests, 0 for no limit.

    `priority` replaces that of the route where it is set.
    """

    name: TeamName
    api_keys: tuple[str, ...] = ()
    rate: float = 0
    burst: float = 0
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * _MEBIBYTE
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of everything that operators declare."""

    version: int
    routes_by_name: Mapping[RouteName, RouteRule]
    services_by_name: Mapping[ServiceName, ServiceRule]
    teams_by_name: Mapping[TeamName, TeamRule] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    @property
    def requires_api_keys(self) -> bool:
        """Return whether routes that are not public need a key."""
        return bool(self.teams_by_name)


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as it has registered itself.

    `started_ms` is the Unix time of its start, which tells apart two runs
    under one name. `warmup_left_s` is how much longer it works slowly.
    """

    name: UpstreamName
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: UpstreamState
    started_ms: int = 0
    warmup_left_s: float = 0.0


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Where a VM of the fleet listens for its peers."""

    name: VmName
    peer: str
    zone: ZoneName
