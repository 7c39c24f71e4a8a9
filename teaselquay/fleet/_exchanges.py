"""Convert between coordination messages and their Python objects."""

from dataclasses import dataclass
from typing import Any

from absl import logging

from teaselquay.coordination import (
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RateStatement,
    RefusalReason,
    Ticket,
)
from teaselquay.decisions import ServiceName, UpstreamName, VmName, ZoneName

_REASONS_BY_TEXT = {reason.value: reason for reason in RefusalReason}
MS_PER_S = 1000
_PERMILLE = 1000
_MAX_UINT32 = (1 << 32) - 1
#: Names in the schema of what an answer says of a limit.
_UNLIMITED = 'unlimited'
_LIMITED = 'limited'


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of one attempt on an upstream."""

    service: ServiceName
    ticket: Ticket
    upstream: UpstreamName
    outcome: Outcome
    latency_s: float
    fingerprint: bytes = b''
    #: What the answer says of a limit of the upstream, if anything.
    rate_statement: RateStatement | None = None
    #: Start of the process of the upstream that is known to leave, if any.
    leaving_start_ms: int | None = None


def _to_ms(seconds: float) -> int:
    return min(_MAX_UINT32, max(0, int(seconds * MS_PER_S)))


def placement_request_fields(
    service: ServiceName,
    request: PlacementRequest,
) -> dict[str, Any]:
    """Return the message fields that request a placement."""
    return {
        'service': service,
        'ticket': request.ticket,
        'zone': request.zone,
        'mayRepeat': request.may_repeat,
        'leftMs': _to_ms(request.left_s),
        'targetLeftMs': _to_ms(request.target_left_s),
        'octets': request.octets,
        'isRepeat': request.is_repeat,
        'isLast': request.is_last,
        'excluded': sorted(request.excluded),
        'connected': sorted(request.connected),
        'fingerprint': request.fingerprint,
        'priority': request.priority,
        'workMs': _to_ms(request.work_s),
    }


def parse_placement_request(body: Any) -> PlacementRequest:
    """Return the placement request in the message `body`."""
    return PlacementRequest(
        ticket=Ticket(body.ticket),
        zone=ZoneName(body.zone),
        may_repeat=body.mayRepeat,
        left_s=body.leftMs / MS_PER_S,
        target_left_s=body.targetLeftMs / MS_PER_S,
        octets=body.octets,
        is_repeat=body.isRepeat,
        is_last=body.isLast,
        excluded=frozenset(map(UpstreamName, body.excluded)),
        connected=frozenset(map(UpstreamName, body.connected)),
        fingerprint=bytes(body.fingerprint),
        priority=body.priority,
        work_s=body.workMs / MS_PER_S,
    )


def placement_fields(placed: Placement | PlacementRefusal) -> dict[str, Any]:
    """Return the message fields of the answer `placed`."""
    if isinstance(placed, PlacementRefusal):
        return {
            'refusal': placed.reason.value,
            'retryAfterMs': _to_ms(placed.retry_after_s),
            'leastUrgent': placed.least_urgent,
        }
    return {
        'upstream': placed.upstream,
        'inSpellPermille': int(placed.in_spell * _PERMILLE),
        'inFlight': placed.in_flight,
        'evidenceAgeMs': _to_ms(placed.evidence_age_s),
        'isRateLimited': placed.is_rate_limited,
        'leastUrgent': placed.least_urgent,
    }


def parse_placement(
    body: Any,
    vm: VmName,
) -> Placement | PlacementRefusal:
    """Return the placement or refusal in the answer `body` of `vm`."""
    if body.refusal:
        reason = _REASONS_BY_TEXT.get(body.refusal)
        if reason is None:
            # The coordinator runs a newer version.
            logging.warning('peers: unknown refusal %r', body.refusal)
            reason = RefusalReason.OVERLOADED
        return PlacementRefusal(
            reason,
            body.retryAfterMs / MS_PER_S,
            vm,
            body.leastUrgent,
        )
    return Placement(
        UpstreamName(body.upstream),
        body.inSpellPermille / _PERMILLE,
        body.inFlight,
        body.evidenceAgeMs / MS_PER_S,
        vm,
        bool(body.isRateLimited),
        body.leastUrgent,
    )


def attempt_fields(result: AttemptResult) -> dict[str, Any]:
    """Return the message fields that report `result`."""
    return {
        'service': result.service,
        'ticket': result.ticket,
        'upstream': result.upstream,
        'outcome': result.outcome.value,
        'latencyMs': _to_ms(result.latency_s),
        'fingerprint': result.fingerprint,
        'isLeaving': result.leaving_start_ms is not None,
        'leavingStartMs': result.leaving_start_ms or 0,
        **_statement_fields(result.rate_statement),
    }


def parse_attempt(body: Any) -> AttemptResult:
    """Return the attempt result in the message `body`."""
    return AttemptResult(
        service=ServiceName(body.service),
        ticket=Ticket(body.ticket),
        upstream=UpstreamName(body.upstream),
        outcome=Outcome(body.outcome),
        latency_s=body.latencyMs / MS_PER_S,
        fingerprint=bytes(body.fingerprint),
        rate_statement=_parse_statement(body),
        leaving_start_ms=body.leavingStartMs if body.isLeaving else None,
    )


def _statement_fields(statement: RateStatement | None) -> dict[str, Any]:
    if statement is None:
        return {}
    if statement.rate is None:
        return {'limit': _UNLIMITED, 'startedMs': statement.started_ms}
    return {
        'limit': _LIMITED,
        'rate': statement.rate,
        'startedMs': statement.started_ms,
    }


def _parse_statement(body: Any) -> RateStatement | None:
    kind = str(body.limit)
    if kind == _LIMITED:
        return RateStatement(body.rate, body.startedMs)
    if kind == _UNLIMITED:
        return RateStatement(None, body.startedMs)
    return None
