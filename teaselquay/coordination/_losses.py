"""Expected loss of placing a request on an upstream."""

from dataclasses import dataclass, field
from math import inf

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
#: Gain of a free slot in the zone of the request for each megabyte that is not
#: transferred between zones, in shares of one request's value, and its upper
#: bound. It decides between upstreams that are about as likely to fail.
_OWN_ZONE_GAIN_PER_MB = 10.0
_MAX_OWN_ZONE_GAIN = 0.2
#: Gain of reusing an idle connection, from the users' price of a new one: about
#: a twentieth of a request's value.
_OPEN_CONNECTION_GAIN = 0.04
#: Loss at full utilization: some upstreams slow down when nearly full.
_FULL_UTILIZATION_LOSS = 0.02
#: Loss at an upstream that recently shed a request: exceeds any other loss.
SHED_LOSS = 1.0
#: Loss at an upstream whose queue is not open to the request. The request waits
#: for another, which is better than one that fails most requests.
_NO_ROOM_LOSS = 0.5
#: Age of evidence, in seconds, beyond which new evidence gains no more: in a
#: second, one in eight upstreams begins a spell.
_OLD_EVIDENCE_S = 1.0
#: Upstreams whose losses differ by less may be chosen in either order.
MAX_TIE_BREAK_LOSS = _FULL_UTILIZATION_LOSS / 2
_BYTES_PER_MB = 1e6


@dataclass(slots=True)
class LossEstimate:
    """Expected losses of one request at the upstreams that are compared.

    `mean_latency_s` is the mean latency of the service. What depends on the
    request alone is calculated once.
    """

    request: PlacementRequest
    mean_latency_s: float
    now: Instant
    #: By how much its work is expected to exceed the mean, in seconds.
    extra_work_s: float = 0
    #: Loss at an upstream that recently shed a request.
    shed_loss: float = SHED_LOSS
    #: Length of the queues, per slot, that is open to the request.
    max_queue_per_slot: float = inf
    #: Gain of the first evidence for some time about an upstream.
    evidence_gain: float = 0
    _target_s: float = field(init=False)
    _failure_factor: float = field(init=False)
    _own_zone_gain: float = field(init=False)

    def __post_init__(self) -> None:
        """Calculate what the upstreams have in common."""
        request = self.request
        self._target_s = max(request.target_left_s, self.mean_latency_s / 2)
        self._failure_factor = (
            _REPEATABLE_FAILURE_FACTOR if request.may_repeat else 1
        )
        self._own_zone_gain = min(
            _MAX_OWN_ZONE_GAIN,
            request.octets / _BYTES_PER_MB * _OWN_ZONE_GAIN_PER_MB,
        )

    def at(self, upstream: UpstreamRecord, stats: UpstreamStats) -> float:
        """Return the expected loss, in shares of the request's value."""
        loss = (
            stats.belief.failure_probability_at(self.now) * self._failure_factor
        )
        latency_s = stats.expected_latency_s(upstream, self.mean_latency_s)
        latency_s += self.extra_work_s
        late_share = latency_s / self._target_s - _SAFE_TARGET_FRACTION
        if late_share > 0:
            loss += (1 - loss) * min(1, late_share) * _LATE_RESPONSE_LOSS
        utilization = (stats.in_flight + 1) / upstream.slots
        loss += _FULL_UTILIZATION_LOSS * utilization * utilization
        if upstream.zone == self.request.zone and utilization <= 1:
            loss -= self._own_zone_gain
        if upstream.name in self.request.connected:
            loss -= _OPEN_CONNECTION_GAIN
        if self.now < stats.shed_until:
            loss += self.shed_loss
        if utilization > 1 + self.max_queue_per_slot:
            loss += _NO_ROOM_LOSS
        if self.evidence_gain:
            loss -= self._evidence_gain_of(stats)
        return loss

    def _evidence_gain_of(self, stats: UpstreamStats) -> float:
        if self.now < stats.reprobe_at():
            return 0
        age_s = self.now - stats.belief.as_of
        return self.evidence_gain * min(1, age_s / _OLD_EVIDENCE_S)
