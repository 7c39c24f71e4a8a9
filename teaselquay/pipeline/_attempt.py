"""One attempt of a request at one upstream, and its health report."""

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
_SERVICE_UNAVAILABLE = 503
_LEAVING_HEADER = b'teaselquay-leaving'


@dataclass(slots=True)
class Attempt:
    """A request that was sent on one connection.

    `reused` is true if the connection came from the pool. `is_reported_slow`
    is true once the attempt was recorded before its response arrived.
    """

    upstream: Upstream
    connection: HttpConnection
    began: Instant
    reused: bool
    is_reported_slow: bool = False

    @property
    def name(self) -> UpstreamName:
        """Return the name of the upstream."""
        return self.upstream.name

    @property
    def address(self) -> Address:
        """Return the address of the upstream."""
        return Address.parse(self.upstream.address)


async def start_attempt(
    exchange: Exchange,
    parts: Parts,
    upstream: Upstream,
    use_pool: bool,
) -> Attempt:
    """Send the request to `upstream` and return the attempt.

    Raises:
        BrokenAnswerError: the connection was lost while sending.
        CallerGoneError: the caller disconnected before its body was complete.
        ConnectError: the connection failed; nothing was sent.
        RefusedError: the request may no longer be sent.
    """
    began = parts.now()
    load = parts.health.view(exchange.service).load
    load.begin(upstream.name)
    try:
        return await _send(exchange, parts, upstream, use_pool)
    except BaseException as error:
        load.end(upstream.name)
        if isinstance(error, ConnectError | BrokenAnswerError):
            record_outcome(exchange, parts, upstream.name, began, failed=True)
        if isinstance(error, BrokenAnswerError):
            report_crash(exchange, parts, upstream.name)
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
        remaining_s = exchange.deadline - began
        connection = await HttpConnection.open(
            address,
            max(0, min(_CONNECT_TIMEOUT_S, remaining_s)),
        )
    try:
        await send_request(exchange, parts, connection)
    except BaseException:
        if connection.sent:
            exchange.run_state = Run.UNKNOWN
        connection.close()
        raise
    return Attempt(upstream, connection, began, reused)


def evaluate_head(
    exchange: Exchange,
    parts: Parts,
    attempt: Attempt,
) -> AnswerHead | None:
    """Return the response head, or None if the connection broke.

    The outcome of the attempt is recorded.
    """
    error = attempt.connection.head.exception()
    if error is not None:
        record_outcome(
            exchange,
            parts,
            attempt.name,
            attempt.began,
            failed=True,
        )
        report_crash(exchange, parts, attempt.name)
        return None
    head = attempt.connection.head.result()
    if head.field(_LEAVING_HEADER) is not None:
        parts.health.report_leaving(exchange.service, attempt.name)
    failed = is_failure(head)
    if head.status != _SERVICE_UNAVAILABLE and (
        failed or not attempt.is_reported_slow
    ):
        # An upstream that sheds load with a 503 is overloaded, not faulty:
        # its load reflects that, so no outcome is recorded for its health.
        record_outcome(
            exchange,
            parts,
            attempt.name,
            attempt.began,
            failed=failed,
        )
    return head


def report_slow(exchange: Exchange, parts: Parts, attempt: Attempt) -> None:
    """Record an attempt as slow before its response arrives, once."""
    if not attempt.is_reported_slow:
        attempt.is_reported_slow = True
        record_outcome(
            exchange,
            parts,
            attempt.name,
            attempt.began,
            failed=False,
        )


def is_failure(head: AnswerHead) -> bool:
    """Return whether a response is a server error (5xx)."""
    return head.status >= _FIRST_SERVER_ERROR


def release_attempt(exchange: Exchange, parts: Parts, attempt: Attempt) -> None:
    """End an attempt and return its connection to the pool if reusable."""
    parts.health.view(exchange.service).load.end(attempt.name)
    parts.pool.release(attempt.address, attempt.connection, parts.now())


def cancel_attempt(
    exchange: Exchange,
    parts: Parts,
    attempt: Attempt,
) -> None:
    """Close the connection of an attempt whose response is not needed.

    It counts as failed if the deadline of the request has passed.
    """
    attempt.connection.close()
    if parts.now() >= exchange.deadline:
        record_outcome(
            exchange,
            parts,
            attempt.name,
            attempt.began,
            failed=True,
        )
    parts.health.view(exchange.service).load.end(attempt.name)


def report_crash(exchange: Exchange, parts: Parts, name: UpstreamName) -> None:
    """Report that an upstream broke the connection during this request."""
    parts.health.record_crash(exchange.service, exchange.fingerprint, name)


def record_outcome(
    exchange: Exchange,
    parts: Parts,
    name: UpstreamName,
    began: Instant,
    failed: bool,
) -> None:
    """Record the outcome and latency of an attempt."""
    outcome = 'failed' if failed else 'answered'
    counter = parts.metrics.attempts
    counter.labels(service=exchange.service, outcome=outcome).inc()
    bucket = latency_bucket(parts.now() - began)
    sample = Sample(name, exchange.route_name, failed, bucket)
    parts.health.record(exchange.service, sample)
