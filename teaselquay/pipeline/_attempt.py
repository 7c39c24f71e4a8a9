"""One attempt of a request at one upstream, and the evidence it gives."""

from dataclasses import dataclass

from teaselquay.decisions import (
    Instant,
    Run,
    Sample,
    Upstream,
    UpstreamName,
    latency_bucket,
)
from teaselquay.pipeline._exchange import Exchange
from teaselquay.pipeline._parts import Parts
from teaselquay.pipeline._wire import send_request
from teaselquay.shells import (
    Address,
    AnswerHead,
    BrokenAnswerError,
    ConnectError,
    HttpConnection,
)

_CONNECT_TIMEOUT_S = 1.0
_FIRST_SERVER_ERROR = 500
_SHED = 503
_LEAVING_HEADER = b'teaselquay-leaving'


@dataclass(slots=True)
class Attempt:
    """A request that was sent on one connection.

    `reused` says that the connection came from the pool.
    """

    upstream: Upstream
    connection: HttpConnection
    began: Instant
    reused: bool
    is_told_slow: bool = False

    @property
    def name(self) -> UpstreamName:
        """Return the name of the upstream."""
        return self.upstream.name

    @property
    def address(self) -> Address:
        """Return the address of the upstream."""
        return Address.parse(self.upstream.address)


async def begin_attempt(
    exchange: Exchange,
    parts: Parts,
    upstream: Upstream,
    use_pool: bool,
) -> Attempt:
    """Return an attempt whose request was sent.

    Raises:
        BrokenAnswerError: the connection was lost while sending.
        CallerGoneError: the caller left before its body was complete.
        ConnectError: no connection was made; nothing was sent.
        RefusedError: the request must not run any more.
    """
    began = parts.now()
    load = parts.health.view(exchange.service).load
    load.begin(upstream.name)
    try:
        return await _send(exchange, parts, upstream, use_pool)
    except BaseException as error:
        load.end(upstream.name)
        if isinstance(error, ConnectError | BrokenAnswerError):
            record(exchange, parts, upstream.name, began, failed=True)
        if isinstance(error, BrokenAnswerError):
            crashed(exchange, parts, upstream.name)
        raise


async def _send(
    exchange: Exchange,
    parts: Parts,
    upstream: Upstream,
    use_pool: bool,
) -> Attempt:
    began = parts.now()
    address = Address.parse(upstream.address)
    connection = parts.pool.acquire(address, began) if use_pool else None
    reused = connection is not None
    if connection is None:
        left_s = exchange.deadline - began
        connection = await HttpConnection.open(
            address,
            max(0, min(_CONNECT_TIMEOUT_S, left_s)),
        )
    try:
        await send_request(exchange, parts, connection)
    except BaseException:
        if connection.sent:
            exchange.ran = Run.UNKNOWN
        connection.close()
        raise
    return Attempt(upstream, connection, began, reused)


def take_head(
    exchange: Exchange,
    parts: Parts,
    attempt: Attempt,
) -> AnswerHead | None:
    """Return the head that came, or None if the connection broke."""
    error = attempt.connection.head.exception()
    if error is not None:
        record(exchange, parts, attempt.name, attempt.began, failed=True)
        crashed(exchange, parts, attempt.name)
        return None
    head = attempt.connection.head.result()
    if head.field(_LEAVING_HEADER) is not None:
        parts.health.said_leaving(exchange.service, attempt.name)
    failed = is_failure(head)
    if head.status != _SHED and (failed or not attempt.is_told_slow):
        # Shedding is honest: the load tells it, not the health.
        record(exchange, parts, attempt.name, attempt.began, failed=failed)
    return head


def tell_slow(exchange: Exchange, parts: Parts, attempt: Attempt) -> None:
    """Report an attempt as slow before its answer comes, once."""
    if not attempt.is_told_slow:
        attempt.is_told_slow = True
        record(exchange, parts, attempt.name, attempt.began, failed=False)


def is_failure(head: AnswerHead) -> bool:
    """Return whether an answer blames the upstream."""
    return head.status >= _FIRST_SERVER_ERROR


def release(exchange: Exchange, parts: Parts, attempt: Attempt) -> None:
    """End an attempt, and keep its connection if it may be used again."""
    parts.health.view(exchange.service).load.end(attempt.name)
    parts.pool.release(attempt.address, attempt.connection, parts.now())


def abandon(
    exchange: Exchange,
    parts: Parts,
    attempt: Attempt,
) -> None:
    """Cancel an attempt that no answer is expected from any more."""
    attempt.connection.close()
    if parts.now() >= exchange.deadline:
        record(exchange, parts, attempt.name, attempt.began, failed=True)
    parts.health.view(exchange.service).load.end(attempt.name)


def crashed(exchange: Exchange, parts: Parts, name: UpstreamName) -> None:
    """Report that an upstream broke off during this request."""
    parts.health.crashed(exchange.service, exchange.fingerprint, name)


def record(
    exchange: Exchange,
    parts: Parts,
    name: UpstreamName,
    began: Instant,
    failed: bool,
) -> None:
    """Report the outcome of an attempt."""
    outcome = 'failed' if failed else 'answered'
    counter = parts.metrics.attempts
    counter.labels(service=exchange.service, outcome=outcome).inc()
    bucket = latency_bucket(parts.now() - began)
    sample = Sample(name, exchange.route_name, failed, bucket)
    parts.health.record(exchange.service, sample)
