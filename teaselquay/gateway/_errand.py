"""What an attempt is made for."""

from dataclasses import dataclass

from teaselquay.configuration import RouteRule
from teaselquay.decisions import Instant, ServiceName
from teaselquay.gateway._body import RequestBody
from teaselquay.pipeline import Exchange


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What is to be done: a request with everything known about it."""

    exchange: Exchange
    body: RequestBody
    route: RouteRule
    service: ServiceName
    request_id: str
    deadline: Instant
    fingerprint: bytes = b''
    team: str = ''
