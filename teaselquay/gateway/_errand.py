"""The context that all attempts of one request share."""

from dataclasses import dataclass

from teaselquay.configuration import RouteRule
from teaselquay.decisions import Instant, ServiceName
from teaselquay.gateway._body import RequestBody
from teaselquay.pipeline import Exchange


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A request with its route, service, deadline and team."""

    exchange: Exchange
    body: RequestBody
    route: RouteRule
    service: ServiceName
    request_id: str
    deadline: Instant
    fingerprint: bytes = b''
    team: str = ''
    #: Priority of the team if it has one, else of the route.
    priority: int = 1
