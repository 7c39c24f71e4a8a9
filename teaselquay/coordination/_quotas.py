"""Rates of teams, counted by one coordinator for the whole fleet."""

from dataclasses import dataclass, field

from teaselquay.decisions import Instant, TeamName

#: Seconds of its rate that an unknown team starts with. A successor may
#: not know what was spent, and a whole burst would be given twice; half a
#: second is what a tenth of five seconds allows.
_START_S = 0.5
#: Longest time that a refused request is told to wait, in seconds.
_MOST_WAIT_S = 2.0


@dataclass(slots=True)
class _Bucket:
    level: float
    as_of: Instant
    #: Refused requests that may come back, and until when they are counted.
    waiting: int = 0
    waiting_until: Instant = Instant(0.0)


@dataclass(slots=True)
class QuotaLedger:
    """Token buckets of teams.

    Several coordinators may act for a team while the fleet is parted, so
    each grants only the share of the rate that belongs to the VMs which it
    hears from: all of them together stay within one rate.
    """

    _buckets: dict[TeamName, _Bucket] = field(default_factory=dict)

    def admit(
        self,
        team: TeamName,
        rate: float,
        burst: float,
        now: Instant,
    ) -> float:
        """Return 0 if a request is admitted, else seconds until it may be.

        Requests that are refused are told different times, in the order
        in which they came, so that they do not all return at once.
        """
        bucket = self._refill(team, rate, burst, now)
        if bucket.level >= 1:
            bucket.level -= 1
            return 0
        if now > bucket.waiting_until:
            bucket.waiting = 0
        wait_s = (1 - bucket.level + bucket.waiting) / rate
        if wait_s < _MOST_WAIT_S:
            bucket.waiting += 1
        wait_s = min(_MOST_WAIT_S, wait_s)
        bucket.waiting_until = Instant(now + wait_s)
        return wait_s

    def _refill(
        self,
        team: TeamName,
        rate: float,
        burst: float,
        now: Instant,
    ) -> _Bucket:
        most = max(1.0, burst)
        bucket = self._buckets.get(team)
        if bucket is None:
            level = min(most, max(1.0, rate * _START_S))
            bucket = _Bucket(level, now)
            self._buckets[team] = bucket
        elapsed_s = max(0, now - bucket.as_of)
        bucket.level = min(most, bucket.level + elapsed_s * rate)
        bucket.as_of = max(bucket.as_of, now)
        return bucket
