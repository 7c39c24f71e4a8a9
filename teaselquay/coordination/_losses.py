"""Expected loss of placing a request on an upstream."""

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._knowledge import UpstreamStats
from teaselquay.coordination._placement import PlacementRequest
from teaselquay.decisions import Instant

#: Loss of a late response, as a share of the value of one in time. The users
#: weigh it so.
_LATE_RESPONSE_LOSS = 0.7
#: Fraction of the time to the target latency that a response may be expected to
#: take without a loss: latencies vary by about as much again.
_SAFE_TARGET_FRACTION = 0.5
#: Share of a failure's loss that remains if a second attempt may follow: that
#: attempt may fail as well, and it uses up the repeat budget.
_REPEATABLE_FAILURE_FACTOR = 0.5
#: Loss for each megabyte transferred between zones, in shares of one request's
#: value, from the users' price of transfer.
_CROSS_ZONE_LOSS_PER_MB = 3.0
#: Gain of reusing an idle connection, from the users' price of a new one: about
#: a twentieth of a request's value.
_OPEN_CONNECTION_GAIN = 0.04
#: Loss at full utilization: some upstreams slow down when nearly full.
_FULL_UTILIZATION_LOSS = 0.02
#: Loss at an upstream that recently shed a request: exceeds any other loss.
_SHED_LOSS = 1
#: Upstreams whose losses differ by less may be chosen in either order.
MAX_TIE_BREAK_LOSS = _FULL_UTILIZATION_LOSS / 2
_BYTES_PER_MB = 1e6


def expected_loss(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    stats: UpstreamStats,
    mean_latency_s: float,
    now: Instant,
) -> float:
    """Return the expected loss, in shares of the request's value.

    `mean_latency_s` is the mean latency of the service.
    """
    failure_loss = stats.belief.failure_probability_at(now)
    if request.may_repeat:
        failure_loss *= _REPEATABLE_FAILURE_FACTOR
    target_s = max(request.target_left_s, mean_latency_s / 2)
    target_fraction = (
        stats.expected_latency_s(upstream, mean_latency_s) / target_s
    )
    late_share = min(1, max(0, target_fraction - _SAFE_TARGET_FRACTION))
    utilization = (stats.in_flight + 1) / upstream.slots
    loss = failure_loss + (1 - failure_loss) * late_share * _LATE_RESPONSE_LOSS
    loss += _FULL_UTILIZATION_LOSS * utilization * utilization
    if upstream.zone != request.zone:
        loss += request.octets / _BYTES_PER_MB * _CROSS_ZONE_LOSS_PER_MB
    if upstream.name in request.connected:
        loss -= _OPEN_CONNECTION_GAIN
    if now < stats.shed_until:
        loss += _SHED_LOSS
    return loss
