"""Rate limits of teams, enforced by one coordinator for the fleet."""

from dataclasses import dataclass, field

from teaselquay.decisions import Instant, TeamName

#: Initial level of an unknown team's bucket, in seconds of the team's rate. A
#: coordinator that restarted may not know what was already granted, and a full
#: bucket would grant the whole burst twice. The value is half of the excess
#: allowed in a window, a tenth of five seconds, as two coordinators may start
#: in one window.
_INITIAL_FILL_S = 0.25
#: Initial level as a fraction of the slack that is allowed in a window besides,
#: for teams with a low rate.
_INITIAL_SLACK_FRACTION = 0.25
#: How long after a grant the level of a team is reported to peers, in seconds.
#: All VMs know of a VM that starts in less time.
_LEVEL_REPORT_S = 1.0
#: Longest wait returned to a refused request, in seconds.
_MAX_WAIT_S = 2.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request is inside the rate of its team, and when.

    An admitted request may be sent after `wait_s`, in seconds; a refused one
    may be repeated after it.
    """

    is_admitted: bool
    wait_s: float


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one team.

    The level is negative while admitted requests wait for their tokens.
    """

    level: float
    as_of: Instant
    #: Number of refused requests that may be retried, and when it is reset.
    waiting: int = 0
    waiting_until: Instant = Instant(0.0)
    #: Tokens per second and largest level as of the last request. The rate is 0
    #: before any request.
    rate: float = 0.0
    capacity: float = 0.0
    #: Time until which the level is an estimate that a peer's level replaces,
    #: and the number of grants since the bucket was created.
    provisional_until: Instant = Instant(float('-inf'))
    granted: int = 0

    def refill(self, now: Instant) -> None:
        """Add the tokens that accrued since the last refill."""
        elapsed_s = max(0, now - self.as_of)
        self.level = min(self.capacity, self.level + elapsed_s * self.rate)
        self.as_of = max(self.as_of, now)


@dataclass(slots=True)
class QuotaLedger:
    """Token buckets of teams.

    Several coordinators may act for a team while the network is partitioned,
    so each is given only the share of the rate that belongs to the VMs it can
    reach: together they stay within one rate. `slack` is the number of
    requests that a team may exceed its rate and burst by in a window.
    """

    slack: float = 0.0
    _buckets: dict[TeamName, _Bucket] = field(default_factory=dict)
    #: Time of each team's last grant, in ascending order.
    _last_grant_at: dict[TeamName, Instant] = field(default_factory=dict)

    def admit(
        self,
        team: TeamName,
        rate: float,
        burst: float,
        now: Instant,
        max_wait_s: float = 0,
    ) -> Admission:
        """Return whether a request is admitted within `max_wait_s` seconds.

        Load pattern: a team inside its rate sends some requests in a clump.
        These wait for their tokens in the order of their arrival. Refused
        requests get increasing waits, so that they are not all retried at
        once.
        """
        bucket = self._refilled_bucket(team, rate, burst, now)
        token_wait_s = max(0, (1 - bucket.level) / rate)
        if token_wait_s <= max_wait_s:
            bucket.level -= 1
            bucket.granted += 1
            self._last_grant_at.pop(team, None)
            self._last_grant_at[team] = now
            return Admission(is_admitted=True, wait_s=token_wait_s)
        if now > bucket.waiting_until:
            bucket.waiting = 0
        wait_s = (1 - bucket.level + bucket.waiting) / rate
        if wait_s < _MAX_WAIT_S:
            bucket.waiting += 1
        wait_s = min(_MAX_WAIT_S, wait_s)
        bucket.waiting_until = Instant(now + wait_s)
        return Admission(is_admitted=False, wait_s=wait_s)

    def recent_levels(self, limit: int, now: Instant) -> dict[TeamName, float]:
        """Return the bucket levels of teams with a recent grant.

        At most the `limit` teams with the latest grants are included.
        """
        while self._last_grant_at:
            team, granted_at = next(iter(self._last_grant_at.items()))
            is_expired = now - granted_at > _LEVEL_REPORT_S
            if not is_expired and len(self._last_grant_at) <= limit:
                break
            self._last_grant_at.pop(team)
        return {team: self._buckets[team].level for team in self._last_grant_at}

    def merge_level(self, team: TeamName, level: float, now: Instant) -> None:
        """Merge the level that another coordinator holds for a team.

        Load pattern: a team sends more than its rate while coordinators
        fail and restart one after the other. Each that started with a level
        of its own would grant a part of the rate again.
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            self._buckets[team] = _Bucket(level, now, capacity=level)
            return
        bucket.refill(now)
        if now < bucket.provisional_until:
            bucket.level = max(min(0, level), level - bucket.granted)
            bucket.provisional_until = now
        else:
            bucket.level = min(bucket.level, level)

    def _refilled_bucket(
        self,
        team: TeamName,
        rate: float,
        burst: float,
        now: Instant,
    ) -> _Bucket:
        capacity = max(1.0, burst)
        bucket = self._buckets.get(team)
        if bucket is None:
            fill = max(
                rate * _INITIAL_FILL_S, self.slack * _INITIAL_SLACK_FRACTION
            )
            level = min(capacity, max(1.0, fill))
            until = Instant(now + _LEVEL_REPORT_S)
            bucket = _Bucket(level, now, provisional_until=until)
            self._buckets[team] = bucket
        bucket.rate = rate
        bucket.capacity = capacity
        bucket.refill(now)
        return bucket
