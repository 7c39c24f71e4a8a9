"""Detection of upstreams that fail some of their requests or become slow.

Each pair of an upstream and a route has a cumulative sum (CUSUM) of
log-likelihood ratios (Page 1954). A failed or slow response raises the sum,
a good one lowers it, and the upstream is suspect while the sum is above a
threshold. The sum needs no time window and reacts after a number of samples
rather than of seconds, so it suits busy and idle services alike.
"""

from dataclasses import dataclass, field
from enum import Enum
from math import ceil, log
from typing import Iterable

from teaselquay.decisions._ids import Instant, RouteName, UpstreamName, VmName
from teaselquay.decisions._states import StateTable

#: The upper bound of a latency bucket is 2 ** 0.5 times its lower bound.
_BUCKETS_PER_OCTAVE = 2
_MIN_BASELINE_SHARE = 0.02
_MIN_SUSPECT_SHARE = 0.25
_MAX_BASELINE_SHARE = 0.4
_SUSPECT_FACTOR = 4.0
_MAX_SUSPECT_SHARE = 0.9
#: Half-lives of the decaying counts, in samples.
_LATENCY_HALF_LIFE_SAMPLES = 400
_MIN_LATENCY_SAMPLES = 20
_SHARE_HALF_LIFE_SAMPLES = 200
_MIN_SHARE_SAMPLES = 5
_NO_UPSTREAMS: frozenset[UpstreamName] = frozenset()


def latency_bucket(seconds: float) -> int:
    """Return the index of the logarithmic bucket of a latency.

    >>> latency_bucket(0.001), latency_bucket(0.002), latency_bucket(0.02)
    (0, 2, 9)
    """
    return max(0, round(_BUCKETS_PER_OCTAVE * log(seconds * 1000 + 1e-9, 2)))


def bucket_seconds(bucket: int) -> float:
    """Return the latency in the middle of a bucket, in seconds."""
    return 2 ** (bucket / _BUCKETS_PER_OCTAVE) / 1000


@dataclass(frozen=True, slots=True)
class Sample:
    """Count of requests with one outcome, sent by one VM to one upstream.

    `bucket` is the latency bucket of the responses.
    """

    upstream: UpstreamName
    route: RouteName
    failed: bool
    bucket: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class DetectionPolicy:
    """Limits and durations of ejections.

    `threshold` is in natural logarithms of likelihood ratios, `slow_octaves`
    in doublings of the route's median latency. `reporter_share` is the
    largest share of the threshold that the reports of one VM can contribute
    while other VMs report too. The count of ejections, which doubles their
    length each time, restarts `ejection_memory_s` after the last return.
    """

    threshold: float = 12.0
    slow_octaves: float = 2.0
    reporter_share: float = 0.6
    eject_s: float = 5.0
    max_eject_s: float = 120.0
    return_s: float = 5.0
    ejection_memory_s: float = 60.0


class EjectionState(Enum):
    """Whether an upstream receives requests."""

    IN_USE = 'in-use'
    EJECTED = 'ejected'
    RETURNING = 'returning'


@dataclass(slots=True)
class LatencyBaseline:
    """Decaying histogram of the latencies of complete responses of a route."""

    _by_bucket: dict[int, float] = field(default_factory=dict)

    def add(self, bucket: int, count: int) -> None:
        """Count responses and decay the earlier counts."""
        decay = 0.5 ** (count / _LATENCY_HALF_LIFE_SAMPLES)
        for existing in self._by_bucket:
            self._by_bucket[existing] *= decay
        self._by_bucket[bucket] = self._by_bucket.get(bucket, 0.0) + count

    def median_bucket(self) -> int | None:
        """Return the bucket of the median latency, or None.

        None means that there are too few samples.
        """
        total = sum(self._by_bucket.values())
        if total < _MIN_LATENCY_SAMPLES:
            return None
        cumulative = 0.0
        for bucket in sorted(self._by_bucket):
            cumulative += self._by_bucket[bucket]
            if cumulative >= total / 2:
                return bucket
        return None


def _suspect_bad_share(baseline_share: float) -> float:
    """Return the share of bad outcomes assumed for a failing upstream."""
    raised = max(_MIN_SUSPECT_SHARE, baseline_share * _SUSPECT_FACTOR)
    return min(_MAX_SUSPECT_SHARE, raised)


@dataclass(slots=True)
class Cusum:
    """Cumulative sum (CUSUM) of one upstream on one route."""

    total: float = 0.0
    _by_reporter: dict[VmName, float] = field(default_factory=dict)
    _good_count: float = 0.0
    _bad_count: float = 0.0

    def record(self, number: int, is_bad: bool) -> None:
        """Count outcomes and decay the earlier counts."""
        decay = 0.5 ** (number / _SHARE_HALF_LIFE_SAMPLES)
        self._good_count *= decay
        self._bad_count *= decay
        if is_bad:
            self._bad_count += number
        else:
            self._good_count += number

    def bad_share(self) -> float | None:
        """Return the share of bad outcomes, or None with too few samples."""
        observed = self._good_count + self._bad_count
        return (
            self._bad_count / observed
            if observed >= _MIN_SHARE_SAMPLES
            else None
        )

    def add_good(self, count: int, baseline_share: float) -> None:
        """Lower the sum by `count` good outcomes.

        `baseline_share` is the share of bad outcomes at a healthy upstream.
        """
        step = log(
            (1 - baseline_share) / (1 - _suspect_bad_share(baseline_share))
        )
        before = self.total
        self.total -= count * step
        if self.total <= 0:
            self.total = 0.0
            self._by_reporter.clear()
            return
        # The part that good outcomes cancelled no longer counts against the
        # limits of the reporters.
        remaining = self.total / before
        for reporter in self._by_reporter:
            self._by_reporter[reporter] *= remaining

    def add_bad(
        self,
        reporter: VmName,
        count: int,
        baseline_share: float,
        reporter_limit: float,
    ) -> None:
        """Raise the sum by `count` bad outcomes.

        The contribution of one reporter ends at `reporter_limit`.
        """
        rise = count * log(_suspect_bad_share(baseline_share) / baseline_share)
        contributed = self._by_reporter.get(reporter, 0.0)
        added = min(rise, max(0.0, reporter_limit - contributed))
        self._by_reporter[reporter] = contributed + added
        self.total += added

    def reset(self) -> None:
        """Set the sum to zero."""
        self.total = 0.0
        self._by_reporter.clear()

    def reporters(self) -> int:
        """Return how many VMs have raised the sum since it was zero."""
        return len(self._by_reporter)


_TRANSITIONS = StateTable(
    EjectionState,
    (
        {
            'trigger': 'eject',
            'source': [EjectionState.IN_USE, EjectionState.RETURNING],
            'dest': EjectionState.EJECTED,
        },
        {
            'trigger': 'try_again',
            'source': EjectionState.EJECTED,
            'dest': EjectionState.RETURNING,
        },
        {
            'trigger': 'accept',
            'source': EjectionState.RETURNING,
            'dest': EjectionState.IN_USE,
        },
    ),
)


@dataclass(slots=True)
class UpstreamHealth:
    """State and evidence of one upstream.

    `reason` names the route and the sum that led to the last ejection.
    `ejections` counts recent ejections; each doubles the length of the next.
    """

    name: UpstreamName
    state: EjectionState = EjectionState.IN_USE
    reason: str = ''
    ejections: int = 0
    ejected_until: Instant = Instant(0.0)
    readmitted: Instant = Instant(0.0)
    by_route: dict[RouteName, Cusum] = field(default_factory=dict)

    def apply(self, trigger: str) -> None:
        """Apply the transition `trigger` to the state."""
        self.state = _TRANSITIONS.after(trigger, self.state)

    def highest_cusum(self) -> tuple[float, RouteName]:
        """Return the highest sum and its route."""
        pairs = [(cusum.total, route) for route, cusum in self.by_route.items()]
        return max(pairs, default=(0.0, RouteName('')))

    def weight(self, now: Instant, return_s: float) -> float:
        """Return the share of a full load that it should receive, 0 to 1."""
        if self.state is EjectionState.EJECTED:
            return 0.0
        if self.state is EjectionState.IN_USE:
            return 1.0
        ramp = (now - self.readmitted) / return_s
        return min(1.0, max(0.1, ramp))

    def reset_cusums(self) -> None:
        """Set the sums of all routes to zero."""
        for cusum in self.by_route.values():
            cusum.reset()


@dataclass(slots=True)
class Detector:
    """Ejects and readmits the upstreams of one service."""

    policy: DetectionPolicy
    by_upstream: dict[UpstreamName, UpstreamHealth] = field(
        default_factory=dict,
    )
    latencies: dict[RouteName, LatencyBaseline] = field(default_factory=dict)
    _reporters: dict[VmName, Instant] = field(default_factory=dict)

    def observe(
        self,
        reporter: VmName,
        samples: Iterable[Sample],
        now: Instant,
        warming: frozenset[UpstreamName] = _NO_UPSTREAMS,
    ) -> None:
        """Record the outcomes that `reporter` observed.

        Slow responses of an upstream in `warming` do not count as bad;
        failed ones do.
        """
        self._reporters[reporter] = now
        reporter_limit = self._reporter_limit(now)
        baseline_shares: dict[RouteName, float] = {}
        for sample in samples:
            route = sample.route
            if route not in baseline_shares:
                baseline_shares[route] = self._baseline_bad_share(route)
            is_slow = sample.upstream not in warming and self._is_slow(sample)
            is_bad = sample.failed or is_slow
            cusum = self._record_outcome(sample, is_bad)
            if is_bad:
                cusum.add_bad(
                    reporter,
                    sample.count,
                    baseline_shares[route],
                    reporter_limit,
                )
            else:
                cusum.add_good(sample.count, baseline_shares[route])

    def decide(
        self,
        capacity: 'Capacity',
        now: Instant,
    ) -> tuple[UpstreamHealth, ...]:
        """Return the upstreams ejected by this call.

        The one with the highest sum is ejected first. An upstream whose
        ejection would bring the capacity in use below the floor stays. If
        the capacity is below the floor already, because others left or
        restarted, ejected upstreams return early.
        """
        self._readmit_due(now)
        self._restore_floor(capacity, now)
        suspects = sorted(
            self.by_upstream.values(),
            key=lambda health: health.highest_cusum()[0],
            reverse=True,
        )
        ejected = []
        for health in suspects:
            if health.highest_cusum()[0] < self._threshold(health):
                break
            if health.state is EjectionState.EJECTED:
                continue
            if capacity.allows_ejection(health.name, self.ejected_upstreams()):
                self._eject(health, now)
                ejected.append(health)
        return tuple(ejected)

    def ejected_upstreams(self) -> frozenset[UpstreamName]:
        """Return the names of the ejected upstreams."""
        return frozenset(
            name
            for name, health in self.by_upstream.items()
            if health.state is EjectionState.EJECTED
        )

    def slow_thresholds_s(self) -> dict[RouteName, float]:
        """Return the slow threshold of each route with a known median."""
        thresholds_s = {
            route: self.slow_threshold_s(route) for route in self.latencies
        }
        return {
            route: slow_s
            for route, slow_s in thresholds_s.items()
            if slow_s is not None
        }

    def weights(self, now: Instant) -> dict[UpstreamName, float]:
        """Return the weights of the ejected and the returning upstreams."""
        return {
            name: health.weight(now, self.policy.return_s)
            for name, health in self.by_upstream.items()
            if health.state is not EjectionState.IN_USE
        }

    def slow_threshold_s(self, route: RouteName) -> float | None:
        """Return the least latency that counts as slow, in seconds.

        Returns None while the median latency of `route` is unknown.
        """
        baseline = self.latencies.get(route)
        bucket = baseline.median_bucket() if baseline else None
        if bucket is None:
            return None
        return bucket_seconds(bucket + self._slow_margin())

    def forget_missing(self, present: Iterable[UpstreamName]) -> None:
        """Remove the state of upstreams that are not `present`."""
        names = set(present)
        for name in tuple(self.by_upstream):
            if name not in names:
                del self.by_upstream[name]

    def _record_outcome(self, sample: Sample, is_bad: bool) -> Cusum:
        """Count the sample and return the sum that it belongs to."""
        health = self.by_upstream.get(sample.upstream)
        if health is None:
            health = UpstreamHealth(sample.upstream)
            self.by_upstream[sample.upstream] = health
        cusum = health.by_route.setdefault(sample.route, Cusum())
        if health.state is not EjectionState.EJECTED:
            cusum.record(sample.count, is_bad)
            self._record_latency(sample)
        return cusum

    def _record_latency(self, sample: Sample) -> None:
        if not sample.failed:
            latencies = self.latencies.setdefault(
                sample.route,
                LatencyBaseline(),
            )
            latencies.add(sample.bucket, sample.count)

    def _baseline_bad_share(self, route: RouteName) -> float:
        """Return the lower median over the upstreams, within bounds.

        The median ignores a few failing upstreams. It also rises with a
        route that fails at all upstreams, such as one with bad requests, so
        that this ejects none.
        """
        shares = sorted(
            share
            for health in self.by_upstream.values()
            if (share := _bad_share(health, route)) is not None
        )
        if not shares:
            return _MIN_BASELINE_SHARE
        median = shares[(len(shares) - 1) // 2]
        return min(_MAX_BASELINE_SHARE, max(_MIN_BASELINE_SHARE, median))

    def _is_slow(self, sample: Sample) -> bool:
        baseline = self.latencies.get(sample.route)
        median = baseline.median_bucket() if baseline else None
        if median is None:
            return False
        return sample.bucket >= median + self._slow_margin()

    def _slow_margin(self) -> int:
        return ceil(self.policy.slow_octaves * _BUCKETS_PER_OCTAVE)

    def _reporter_limit(self, now: Instant) -> float:
        recent = sum(
            1
            for reported in self._reporters.values()
            if now - reported <= self.policy.eject_s
        )
        if recent <= 1:
            return float('inf')
        return self.policy.threshold * self.policy.reporter_share

    def _threshold(self, health: UpstreamHealth) -> float:
        if health.state is EjectionState.RETURNING:
            return self.policy.threshold / 2
        return self.policy.threshold

    def _eject(self, health: UpstreamHealth, now: Instant) -> None:
        total, route = health.highest_cusum()
        health.reason = f'route {route}: sum {total:.1f}'
        if now - health.readmitted > self.policy.ejection_memory_s:
            health.ejections = 0
        length_s = self.policy.eject_s * 2**health.ejections
        health.ejections += 1
        health.ejected_until = Instant(
            now + min(length_s, self.policy.max_eject_s)
        )
        health.reset_cusums()
        health.apply('eject')

    def _restore_floor(self, capacity: 'Capacity', now: Instant) -> None:
        by_end = sorted(
            (
                health
                for health in self.by_upstream.values()
                if health.state is EjectionState.EJECTED
                and health.name in capacity.slots
            ),
            key=lambda health: health.ejected_until,
        )
        for health in by_end:
            if capacity.meets_floor(self.ejected_upstreams()):
                return
            self._readmit(health, now)

    def _readmit_due(self, now: Instant) -> None:
        for health in self.by_upstream.values():
            if (
                health.state is EjectionState.EJECTED
                and now >= health.ejected_until
            ):
                self._readmit(health, now)
            elif health.state is EjectionState.RETURNING:
                if now - health.readmitted >= self.policy.return_s:
                    health.apply('accept')

    def _readmit(self, health: UpstreamHealth, now: Instant) -> None:
        health.readmitted = now
        health.reset_cusums()
        health.apply('try_again')


def _bad_share(health: UpstreamHealth, route: RouteName) -> float | None:
    cusum = health.by_route.get(route)
    return cusum.bad_share() if cusum else None


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of one service and the capacity that ejections must leave.

    `slots` has the concurrency of each upstream that is present and not
    leaving. `floor` is the share of all slots that must stay in use.
    `unavailable` names upstreams of `slots` that cannot take requests for
    another reason, such as a cold start or an unreachable address.
    """

    slots: dict[UpstreamName, int]
    floor: float
    unavailable: frozenset[UpstreamName] = frozenset()

    def allows_ejection(
        self,
        candidate: UpstreamName,
        ejected: frozenset[UpstreamName],
    ) -> bool:
        """Return whether the floor is still met without `candidate`."""
        if candidate not in self.slots:
            return True
        return self.meets_floor(ejected | {candidate})

    def meets_floor(self, ejected: frozenset[UpstreamName]) -> bool:
        """Return whether the slots left without `ejected` meet the floor."""
        excluded = ejected | self.unavailable
        left = sum(
            count for name, count in self.slots.items() if name not in excluded
        )
        return left >= self.floor * sum(self.slots.values())
