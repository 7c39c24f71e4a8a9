"""The filters that a request passes before it is forwarded.

A filter returns once the request may proceed, and raises `RefusedError`
otherwise.
"""

import asyncio
import hmac
from hashlib import blake2b

from teaselquay.decisions import (
    Instant,
    KeyFormatError,
    KeyHash,
    Problem,
    ProblemKind,
    RefusedError,
    RouteName,
    Run,
    ServiceName,
    Start,
    carries_key,
    hash_key,
    problem,
    refuse,
)
from teaselquay.pipeline._exchange import Exchange
from teaselquay.pipeline._framing import check_lengths
from teaselquay.pipeline._parts import Parts
from teaselquay.shells import Admission

_API_KEY = b'x-api-key'
_AUTHORIZATION = b'authorization'
_BEARER = b'bearer '
_KEY_HEADERS = frozenset(
    (_API_KEY, _AUTHORIZATION, b'proxy-authorization'),
)
_MAX_KEY_BYTES = 256
#: Largest total size of the path and header fields of a request.
MAX_HEAD_BYTES = 32768
_FRESHNESS_WAIT_S = 0.5
_FRESHNESS_POLL_S = 0.02
#: Share of the time to the deadline that a request may spend in the queue.
_MAX_QUEUE_SHARE = 0.5
_MS_PER_S = 1000
_FINGERPRINT_BYTES = 16
#: Bodies up to this size are buffered, so that they can be sent again and are
#: part of the fingerprint.
MAX_BUFFERED_BODY_BYTES = 65536
_TIMEOUT_HEADER = b'x-request-timeout-ms'
_IDEMPOTENCY_HEADER = b'idempotency-key'


async def check_framing(exchange: Exchange, parts: Parts) -> None:
    """Refuse requests with a large head or ambiguous length or host."""
    head_bytes = sum(len(name) + len(value) for name, value in exchange.headers)
    if head_bytes + len(exchange.scope['raw_path']) > MAX_HEAD_BYTES:
        exchange.close_after = True
        raise refuse(
            ProblemKind.HEAD_TOO_LARGE,
            f'expected {MAX_HEAD_BYTES} bytes at most',
        )
    check_lengths(exchange)


async def authenticate(exchange: Exchange, parts: Parts) -> None:
    """Find the team of the caller's API key, and strip the key."""
    keys = _find_keys(exchange)
    if not keys:
        raise refuse(ProblemKind.KEY_MISSING)
    if len(keys) > 1:
        raise refuse(ProblemKind.KEY_DOUBLED)
    exchange.key = keys[0]
    digest = KeyHash(hash_key(exchange.key))
    team_name = parts.node.catalog.team_of_key(digest)
    team = parts.node.catalog.team(team_name) if team_name else None
    if team_name is None or team is None:
        raise refuse(ProblemKind.KEY_UNKNOWN)
    if not any(hmac.compare_digest(digest, known) for known in team.keys):
        raise refuse(ProblemKind.KEY_UNKNOWN)
    exchange.team_name = team_name
    exchange.team = team
    _strip_key(exchange, digest)


async def check_freshness(exchange: Exchange, parts: Parts) -> None:
    """Refuse while the configuration may lack an accepted change."""
    if parts.node.is_fresh():
        return
    deadline = parts.now() + _FRESHNESS_WAIT_S
    while parts.now() < deadline:
        await asyncio.sleep(_FRESHNESS_POLL_S)
        if parts.node.is_fresh():
            # The key may have been revoked during the wait.
            recheck_key(exchange, parts)
            return
    raise RefusedError(
        problem(ProblemKind.STALE_CONFIGURATION).with_retry_after(1),
    )


async def find_route(exchange: Exchange, parts: Parts) -> None:
    """Match the path and method to a route, and set the deadline."""
    catalog = parts.node.catalog
    names = catalog.match_routes(exchange.path)
    if not names:
        raise refuse(ProblemKind.ROUTE_UNKNOWN)
    for name in names:
        route = catalog.routes[name]
        if exchange.method in route.methods:
            exchange.route_name = RouteName(name)
            exchange.route = route
            exchange.service = ServiceName(route.service)
            _set_deadline(exchange)
            _check_length(exchange)
            return
    raise refuse(ProblemKind.METHOD_NOT_ALLOWED)


async def enforce_rate_limit(exchange: Exchange, parts: Parts) -> None:
    """Refuse a request that exceeds the rate and burst of its team."""
    assert exchange.team is not None
    team_name = exchange.team_name
    admission = await parts.borrower.admit(team_name, exchange.team.burst)
    if admission is Admission.ADMITTED:
        return
    if admission is Admission.EXCEEDED:
        refusal = problem(ProblemKind.RATE_EXCEEDED)
        wait_s = parts.borrower.wait_s(team_name)
        raise RefusedError(refusal.with_retry_after(wait_s))
    refusal = problem(ProblemKind.RATE_UNAVAILABLE)
    raise RefusedError(refusal.with_retry_after(1))


async def check_quarantine(exchange: Exchange, parts: Parts) -> None:
    """Refuse a request that crashed several upstreams before."""
    await exchange.buffer_body(MAX_BUFFERED_BODY_BYTES)
    exchange.fingerprint = _fingerprint(exchange)
    if parts.health.is_stopped(exchange.service, exchange.fingerprint):
        raise refuse(ProblemKind.REQUEST_QUARANTINED)


async def wait_in_queue(exchange: Exchange, parts: Parts) -> None:
    """Wait for capacity at the service, shared fairly among teams."""
    now = parts.now()
    max_wait_s = (exchange.deadline - now) * _MAX_QUEUE_SHARE
    if not await parts.queues.enter(
        exchange.service,
        exchange.team_name,
        Instant(now + max_wait_s),
    ):
        refusal = problem(ProblemKind.QUEUE_TIMEOUT)
        raise RefusedError(refusal.with_retry_after(1))
    exchange.add_end_hook(
        lambda ended: parts.queues.leave(ended.service, ended.team_name),
    )


async def start_idempotency_key(exchange: Exchange, parts: Parts) -> None:
    """Start the idempotency key of a request that must run at most once."""
    assert exchange.route is not None
    if exchange.route.idempotent:
        return
    header = exchange.header(_IDEMPOTENCY_HEADER)
    if header is None:
        raise refuse(ProblemKind.IDEMPOTENCY_KEY_INVALID, 'it is missing')
    # Keys are scoped by team: two teams may use the same one.
    key = header.decode('latin-1').strip().strip('"')
    exchange.idempotency_key = f'{exchange.team_name}/{key}'
    attempt_id = parts.once.new_attempt()
    try:
        started = await parts.once.start(exchange.idempotency_key, attempt_id)
    except KeyFormatError as error:
        raise refuse(
            ProblemKind.IDEMPOTENCY_KEY_INVALID,
            str(error),
        ) from error
    if started.outcome is Start.GRANTED:
        exchange.attempt_id = attempt_id
        exchange.add_end_hook(
            lambda ended: _finish_idempotency_key(ended, parts),
        )
        return
    raise RefusedError(_idempotency_problem(started.outcome, started.status))


def _idempotency_problem(outcome: Start | None, status: int) -> Problem:
    if outcome is None:
        kind = ProblemKind.IDEMPOTENCY_OWNER_UNAVAILABLE
        return problem(kind).with_retry_after(1)
    kinds = {
        Start.RUNNING: ProblemKind.ALREADY_RUNNING,
        Start.COMPLETED: ProblemKind.ALREADY_RAN,
        Start.UNKNOWN: ProblemKind.OUTCOME_UNKNOWN,
        Start.FROM_FUTURE: ProblemKind.IDEMPOTENCY_KEY_INVALID,
    }
    refusal = problem(kinds[outcome])
    if outcome is Start.COMPLETED:
        return refusal.with_detail(f'the upstream answered {status}')
    if outcome is Start.FROM_FUTURE:
        return refusal.with_detail('its time lies in the future')
    return refusal


def _finish_idempotency_key(exchange: Exchange, parts: Parts) -> None:
    if exchange.run_state is Run.UNKNOWN:
        return
    status = exchange.status if exchange.run_state is Run.RAN else 0
    parts.once.finish(exchange.idempotency_key, exchange.attempt_id, status)


def _find_keys(exchange: Exchange) -> list[bytes]:
    keys = [
        _parse_key(name, value)
        for name, value in exchange.headers
        if name in {_API_KEY, _AUTHORIZATION}
    ]
    if any(not key or len(key) > _MAX_KEY_BYTES for key in keys):
        raise refuse(ProblemKind.KEY_UNKNOWN)
    return keys


def _parse_key(name: bytes, value: bytes) -> bytes:
    if name == _API_KEY:
        return value.strip()
    if value[: len(_BEARER)].lower() != _BEARER:
        raise refuse(ProblemKind.KEY_UNKNOWN, 'expected the scheme Bearer')
    return value[len(_BEARER) :].strip()


def _strip_key(exchange: Exchange, digest: KeyHash) -> None:
    key = exchange.key
    for part in ('raw_path', 'query_string'):
        if carries_key(exchange.scope[part], key, digest):
            raise refuse(ProblemKind.KEY_MISPLACED, 'it stands in the URL')
    exchange.headers = [
        (name, value)
        for name, value in exchange.headers
        if name not in _KEY_HEADERS and not carries_key(value, key, digest)
    ]


def recheck_key(exchange: Exchange, parts: Parts) -> None:
    """Refuse if the API key was revoked since it was authenticated."""
    digest = KeyHash(hash_key(exchange.key))
    if parts.node.catalog.team_of_key(digest) != exchange.team_name:
        raise refuse(ProblemKind.KEY_UNKNOWN)


def _set_deadline(exchange: Exchange) -> None:
    assert exchange.route is not None
    timeout_ms = float(exchange.route.timeout_ms)
    requested_ms = exchange.header(_TIMEOUT_HEADER)
    if requested_ms is not None and requested_ms.isdigit():
        timeout_ms = min(timeout_ms, int(requested_ms))
    exchange.deadline = Instant(exchange.began + timeout_ms / _MS_PER_S)


def _check_length(exchange: Exchange) -> None:
    assert exchange.route is not None
    length = exchange.header(b'content-length')
    if length and int(length) > exchange.route.max_body_bytes:
        raise refuse(
            ProblemKind.BODY_TOO_LARGE,
            f'the route takes {exchange.route.max_body_bytes} bytes',
        )


def _fingerprint(exchange: Exchange) -> bytes:
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (
        exchange.team_name.encode(),
        exchange.method.encode(),
        exchange.scope['raw_path'],
        exchange.scope['query_string'],
        exchange.body,
    ):
        digest.update(len(part).to_bytes(_FINGERPRINT_BYTES, 'big'))
        digest.update(part)
    return digest.digest()
