"""Detection of upstreams that fail for some of their work, or slow down.

Each pair of an upstream and a route has a cumulative sum of log-likelihood
ratios (Page 1954). A failed or slow answer raises the sum, a good one
lowers it, and the upstream is suspect while the sum is above a threshold.
The sum needs no window and reacts after a number of samples, not of
seconds, so it serves busy and idle services alike.
"""

from dataclasses import dataclass, field
from enum import Enum
from math import ceil, log
from typing import Iterable

from teaselquay.decisions._ids import Instant, RouteName, UpstreamName, VmName
from teaselquay.decisions._states import StateTable

#: Latency buckets have a width of a factor of two to the power of a half.
_BUCKETS_PER_OCTAVE = 2
_LEAST_BASELINE = 0.02
_LEAST_SUSPECT = 0.25
_MOST_BASELINE = 0.4
_SUSPECT_FACTOR = 4.0
_MOST_SUSPECT = 0.9
#: Half-lives of what is remembered, in samples.
_BASELINE_SAMPLES = 400
_MIN_REFERENCE_SAMPLES = 20
_SHARE_SAMPLES = 200
_MIN_SHARE_SAMPLES = 5
_NONE: frozenset[UpstreamName] = frozenset()


def latency_bucket(seconds: float) -> int:
    """Return the number of the logarithmic bucket of a latency.

    >>> latency_bucket(0.001), latency_bucket(0.002), latency_bucket(0.02)
    (0, 2, 9)
    """
    return max(0, round(_BUCKETS_PER_OCTAVE * log(seconds * 1000 + 1e-9, 2)))


def bucket_seconds(bucket: int) -> float:
    """Return the latency in the middle of a bucket."""
    return 2 ** (bucket / _BUCKETS_PER_OCTAVE) / 1000


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcomes of requests that one VM sent to one upstream."""

    upstream: UpstreamName
    route: RouteName
    failed: bool
    bucket: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class DetectionPolicy:
    """How eagerly upstreams are ejected.

    `threshold` is in natural logarithms of likelihood ratios, `slow_octaves`
    in doublings of the route's median latency. `reporter_share` is the
    greatest part of the threshold that one VM's reports can fill while
    other VMs report too.
    """

    threshold: float = 12.0
    slow_octaves: float = 2.0
    reporter_share: float = 0.6
    eject_s: float = 5.0
    most_eject_s: float = 120.0
    return_s: float = 5.0
    forgive_s: float = 60.0


class EjectionState(Enum):
    """Whether an upstream gets work."""

    IN_USE = 'in-use'
    EJECTED = 'ejected'
    RETURNING = 'returning'


@dataclass(slots=True)
class LatencyBaseline:
    """Latencies of the whole answers of one route."""

    _by_bucket: dict[int, float] = field(default_factory=dict)

    def add(self, bucket: int, count: int) -> None:
        """Count answers, and forget a little of what was before."""
        keep = 0.5 ** (count / _BASELINE_SAMPLES)
        for known in self._by_bucket:
            self._by_bucket[known] *= keep
        self._by_bucket[bucket] = self._by_bucket.get(bucket, 0.0) + count

    def median_bucket(self) -> int | None:
        """Return the bucket of the median latency, once it is known."""
        total = sum(self._by_bucket.values())
        if total < _MIN_REFERENCE_SAMPLES:
            return None
        seen = 0.0
        for bucket in sorted(self._by_bucket):
            seen += self._by_bucket[bucket]
            if seen >= total / 2:
                return bucket
        return None


def _suspect_share(usual: float) -> float:
    """Return the share of bad outcomes that a sick upstream has."""
    raised = max(_LEAST_SUSPECT, usual * _SUSPECT_FACTOR)
    return min(_MOST_SUSPECT, raised)


@dataclass(slots=True)
class Cusum:
    """Cumulative sum of one upstream on one route."""

    total: float = 0.0
    _by_reporter: dict[VmName, float] = field(default_factory=dict)
    _good: float = 0.0
    _bad: float = 0.0

    def count(self, number: int, is_bad: bool) -> None:
        """Count outcomes, and forget a little of what was before."""
        keep = 0.5 ** (number / _SHARE_SAMPLES)
        self._good *= keep
        self._bad *= keep
        if is_bad:
            self._bad += number
        else:
            self._good += number

    def bad_share(self) -> float | None:
        """Return the share of bad outcomes, once it is known."""
        seen = self._good + self._bad
        return self._bad / seen if seen >= _MIN_SHARE_SAMPLES else None

    def good(self, count: int, usual: float) -> None:
        """Lower the sum by `count` good outcomes.

        `usual` is the share of bad outcomes at a healthy upstream.
        """
        step = log((1 - usual) / (1 - _suspect_share(usual)))
        before = self.total
        self.total -= count * step
        if self.total <= 0:
            self.total = 0.0
            self._by_reporter.clear()
            return
        # What good outcomes take back, reporters may say again.
        kept = self.total / before
        for reporter in self._by_reporter:
            self._by_reporter[reporter] *= kept

    def bad(
        self,
        reporter: VmName,
        count: int,
        usual: float,
        most: float,
    ) -> None:
        """Raise the sum by `count` bad outcomes, `most` for one reporter."""
        rise = count * log(_suspect_share(usual) / usual)
        held = self._by_reporter.get(reporter, 0.0)
        added = min(rise, max(0.0, most - held))
        self._by_reporter[reporter] = held + added
        self.total += added

    def reset(self) -> None:
        """Start again from zero."""
        self.total = 0.0
        self._by_reporter.clear()

    def reporters(self) -> int:
        """Return how many VMs have raised the sum since it was zero."""
        return len(self._by_reporter)


_USES = StateTable(
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
    """Whether one upstream is in use, and why.

    `reason` names the route and sum that ejected it, `ejections` counts
    recent ejections, which double the time to the next trial.
    """

    name: UpstreamName
    state: EjectionState = EjectionState.IN_USE
    reason: str = ''
    ejections: int = 0
    until: Instant = Instant(0.0)
    returned: Instant = Instant(0.0)
    by_route: dict[RouteName, Cusum] = field(default_factory=dict)

    def apply(self, trigger: str) -> None:
        """Change the state by `trigger`."""
        self.state = _USES.after(trigger, self.state)

    def worst(self) -> tuple[float, RouteName]:
        """Return the greatest sum and its route."""
        pairs = [(cusum.total, route) for route, cusum in self.by_route.items()]
        return max(pairs, default=(0.0, RouteName('')))

    def weight(self, now: Instant, return_s: float) -> float:
        """Return the share of a full load that it should get."""
        if self.state is EjectionState.EJECTED:
            return 0.0
        if self.state is EjectionState.IN_USE:
            return 1.0
        part = (now - self.returned) / return_s
        return min(1.0, max(0.1, part))

    def reset_sums(self) -> None:
        """Forget the evidence gathered so far."""
        for cusum in self.by_route.values():
            cusum.reset()


@dataclass(slots=True)
class Detector:
    """Judges the upstreams of one service by the outcomes of requests."""

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
        cold: frozenset[UpstreamName] = _NONE,
    ) -> None:
        """Take over the outcomes that `reporter` saw.

        An upstream that is `cold` may be slow, but not fail.
        """
        self._reporters[reporter] = now
        most = self._most_of_one(now)
        usual: dict[RouteName, float] = {}
        for sample in samples:
            route = sample.route
            if route not in usual:
                usual[route] = self._usual_bad_share(route)
            is_slow = sample.upstream not in cold and self._is_slow(sample)
            is_bad = sample.failed or is_slow
            cusum = self._count(sample, is_bad)
            if is_bad:
                cusum.bad(reporter, sample.count, usual[route], most)
            else:
                cusum.good(sample.count, usual[route])

    def decide(
        self,
        capacity: 'Capacity',
        now: Instant,
    ) -> tuple[UpstreamHealth, ...]:
        """Return the upstreams that were ejected with this call.

        The worst goes first, and none goes if the capacity in use would
        fall below the floor. If it is below, because others left or grew
        cold, ejected upstreams return early.
        """
        self._return_due(now)
        self._restore_floor(capacity, now)
        suspects = sorted(
            self.by_upstream.values(),
            key=lambda health: health.worst()[0],
            reverse=True,
        )
        ejected = []
        for health in suspects:
            if health.worst()[0] < self._threshold(health):
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
        """Return the latency that counts as slow, of each known route."""
        known = {
            route: self.slow_threshold_s(route) for route in self.latencies
        }
        return {
            route: slow_s
            for route, slow_s in known.items()
            if slow_s is not None
        }

    def weights(self, now: Instant) -> dict[UpstreamName, float]:
        """Return the weight of each upstream that is not fully in use."""
        return {
            name: health.weight(now, self.policy.return_s)
            for name, health in self.by_upstream.items()
            if health.state is not EjectionState.IN_USE
        }

    def slow_threshold_s(self, route: RouteName) -> float | None:
        """Return the latency from which on an answer counts as slow."""
        baseline = self.latencies.get(route)
        bucket = baseline.median_bucket() if baseline else None
        if bucket is None:
            return None
        return bucket_seconds(bucket + self._slow_margin())

    def forget_missing(self, present: Iterable[UpstreamName]) -> None:
        """Drop what is known of upstreams that are not `present`."""
        names = set(present)
        for name in tuple(self.by_upstream):
            if name not in names:
                del self.by_upstream[name]

    def _count(self, sample: Sample, is_bad: bool) -> Cusum:
        """Return the sum that the sample belongs to."""
        health = self.by_upstream.get(sample.upstream)
        if health is None:
            health = UpstreamHealth(sample.upstream)
            self.by_upstream[sample.upstream] = health
        cusum = health.by_route.setdefault(sample.route, Cusum())
        if health.state is not EjectionState.EJECTED:
            cusum.count(sample.count, is_bad)
            self._count_latency(sample)
        return cusum

    def _count_latency(self, sample: Sample) -> None:
        if not sample.failed:
            latencies = self.latencies.setdefault(
                sample.route,
                LatencyBaseline(),
            )
            latencies.add(sample.bucket, sample.count)

    def _usual_bad_share(self, route: RouteName) -> float:
        """Return the lower median over the upstreams, within sane bounds.

        A median leaves out the few that are sick, and one that fails for
        all upstreams, such as a route with bad requests, ejects none.
        """
        shares = sorted(
            share
            for health in self.by_upstream.values()
            if (share := _bad_share(health, route)) is not None
        )
        if not shares:
            return _LEAST_BASELINE
        median = shares[(len(shares) - 1) // 2]
        return min(_MOST_BASELINE, max(_LEAST_BASELINE, median))

    def _is_slow(self, sample: Sample) -> bool:
        baseline = self.latencies.get(sample.route)
        median = baseline.median_bucket() if baseline else None
        if median is None:
            return False
        return sample.bucket >= median + self._slow_margin()

    def _slow_margin(self) -> int:
        return ceil(self.policy.slow_octaves * _BUCKETS_PER_OCTAVE)

    def _most_of_one(self, now: Instant) -> float:
        recent = sum(
            1
            for heard in self._reporters.values()
            if now - heard <= self.policy.eject_s
        )
        if recent <= 1:
            return float('inf')
        return self.policy.threshold * self.policy.reporter_share

    def _threshold(self, health: UpstreamHealth) -> float:
        if health.state is EjectionState.RETURNING:
            return self.policy.threshold / 2
        return self.policy.threshold

    def _eject(self, health: UpstreamHealth, now: Instant) -> None:
        total, route = health.worst()
        health.reason = f'route {route}: sum {total:.1f}'
        if now - health.returned > self.policy.forgive_s:
            health.ejections = 0
        length_s = self.policy.eject_s * 2**health.ejections
        health.ejections += 1
        health.until = Instant(now + min(length_s, self.policy.most_eject_s))
        health.reset_sums()
        health.apply('eject')

    def _restore_floor(self, capacity: 'Capacity', now: Instant) -> None:
        by_end = sorted(
            (
                health
                for health in self.by_upstream.values()
                if health.state is EjectionState.EJECTED
                and health.name in capacity.slots
            ),
            key=lambda health: health.until,
        )
        for health in by_end:
            if capacity.meets_floor(self.ejected_upstreams()):
                return
            self._try_again(health, now)

    def _return_due(self, now: Instant) -> None:
        for health in self.by_upstream.values():
            if health.state is EjectionState.EJECTED and now >= health.until:
                self._try_again(health, now)
            elif health.state is EjectionState.RETURNING:
                if now - health.returned >= self.policy.return_s:
                    health.apply('accept')

    def _try_again(self, health: UpstreamHealth, now: Instant) -> None:
        health.returned = now
        health.reset_sums()
        health.apply('try_again')


def _bad_share(health: UpstreamHealth, route: RouteName) -> float | None:
    cusum = health.by_route.get(route)
    return cusum.bad_share() if cusum else None


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of one service and the floor that ejections must leave.

    `slots` holds the upstreams that are present and not leaving; `unavailable`
    names those of them that cannot take work for another reason, such as a
    cold start or an unreachable address.
    """

    slots: dict[UpstreamName, int]
    floor: float
    unavailable: frozenset[UpstreamName] = frozenset()

    def allows_ejection(
        self,
        candidate: UpstreamName,
        ejected: frozenset[UpstreamName],
    ) -> bool:
        """Return whether the floor still holds without `candidate`."""
        if candidate not in self.slots:
            return True
        return self.meets_floor(ejected | {candidate})

    def meets_floor(self, ejected: frozenset[UpstreamName]) -> bool:
        """Return whether what is left reaches the floor."""
        out = ejected | self.unavailable
        left = sum(
            count for name, count in self.slots.items() if name not in out
        )
        return left >= self.floor * sum(self.slots.values())
