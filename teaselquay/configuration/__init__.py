"""Typed configuration values and route matching."""

from teaselquay.configuration._model import (
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
from teaselquay.configuration._routing import (
    RoutingTable,
    choose_service,
    effective_priority,
    has_dot_segment,
)

__all__ = (
    'FleetConfiguration',
    'RequestLimits',
    'RouteKind',
    'RouteRule',
    'RoutingTable',
    'ServiceRule',
    'TeamRule',
    'UpstreamRecord',
    'UpstreamState',
    'VmRecord',
    'WeightedService',
    'ZoneEvacuation',
    'choose_service',
    'effective_priority',
    'has_dot_segment',
)
