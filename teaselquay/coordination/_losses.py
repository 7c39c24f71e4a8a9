"""What a request is expected to lose at an upstream."""

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._knowledge import Knowledge
from teaselquay.coordination._placement import PlacementRequest
from teaselquay.decisions import Instant

#: Loss of a late answer as a share of one in time, as the users weigh it.
_LATE_LOSS = 0.7
#: Share of the time to the target that an answer may be expected to take
#: without a loss: times vary by about as much again.
_SAFE_PART = 0.5
#: Loss of a failure that a second attempt can make good, which itself may
#: fail and draws on the budget.
_REPEATABLE_LOSS = 0.5
#: Loss for each megabyte that crosses zones, in shares of one request, from
#: the users' price of transfer.
_ZONE_LOSS_PER_MB = 3.0
#: Gain of a kept connection, from the users' price of new ones: about a
#: twentieth of a request.
_CONNECTED_GAIN = 0.04
#: Loss at a full upstream: some slow down when they are nearly full.
_FULL_LOSS = 0.02
#: Loss at an upstream that shed a request just now: more than any other.
_SHED_LOSS = 1
#: Upstreams whose losses differ by less are drawn by chance.
MOST_DRAWN_LOSS = _FULL_LOSS / 2
_BYTES_PER_MB = 1e6


def expected_loss(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    known: Knowledge,
    mean_latency_s: float,
    now: Instant,
) -> float:
    """Return the expected loss, in shares of the request's worth.

    `mean_latency_s` is the usual time of the service.
    """
    failure = known.belief.fails_at(now)
    if request.may_repeat:
        failure *= _REPEATABLE_LOSS
    target_s = max(request.target_left_s, mean_latency_s / 2)
    part = known.expected_s(upstream, mean_latency_s) / target_s
    late = min(1, max(0, part - _SAFE_PART))
    fill = (known.in_flight + 1) / upstream.slots
    loss = failure + (1 - failure) * late * _LATE_LOSS
    loss += _FULL_LOSS * fill * fill
    if upstream.zone != request.zone:
        loss += request.octets / _BYTES_PER_MB * _ZONE_LOSS_PER_MB
    if upstream.name in request.connected:
        loss -= _CONNECTED_GAIN
    if now < known.shed_until:
        loss += _SHED_LOSS
    return loss
