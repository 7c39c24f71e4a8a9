"""Rates of teams, counted by one coordinator for the whole fleet."""

from dataclasses import dataclass, field

from teaselquay.decisions import Instant, TeamName

#: Seconds of its rate that an unknown team starts with. Who comes back may
#: not have been told what was spent, and a whole burst would be given twice;
#: half of what a tenth of five seconds allows, as two may come in a window.
_START_S = 0.25
#: For how long after a grant the level of a team is told, in seconds: a VM
#: that starts is known to all in less.
_TOLD_FOR_S = 1.0
#: Longest time that a refused request is told to wait, in seconds.
_MOST_WAIT_S = 2.0


@dataclass(slots=True)
class _Bucket:
    level: float
    as_of: Instant
    #: Refused requests that may come back, and until when they are counted.
    waiting: int = 0
    waiting_until: Instant = Instant(0.0)
    #: Rate and burst as of the last request, 0 before any.
    rate: float = 0.0
    most: float = 0.0
    #: Until when the level is a guess, and what was granted since the start.
    guess_until: Instant = Instant(float('-inf'))
    granted: int = 0

    def refill(self, now: Instant) -> None:
        """Add what came since the last time."""
        elapsed_s = max(0, now - self.as_of)
        self.level = min(self.most, self.level + elapsed_s * self.rate)
        self.as_of = max(self.as_of, now)


@dataclass(slots=True)
class QuotaLedger:
    """Token buckets of teams.

    Several coordinators may act for a team while the fleet is parted, so
    each grants only the share of the rate that belongs to the VMs which it
    hears from: all of them together stay within one rate.
    """

    _buckets: dict[TeamName, _Bucket] = field(default_factory=dict)
    #: When each team was last granted something, the latest at the end.
    _granted_at: dict[TeamName, Instant] = field(default_factory=dict)

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
            bucket.granted += 1
            self._granted_at.pop(team, None)
            self._granted_at[team] = now
            return 0
        if now > bucket.waiting_until:
            bucket.waiting = 0
        wait_s = (1 - bucket.level + bucket.waiting) / rate
        if wait_s < _MOST_WAIT_S:
            bucket.waiting += 1
        wait_s = min(_MOST_WAIT_S, wait_s)
        bucket.waiting_until = Instant(now + wait_s)
        return wait_s

    def recent_levels(self, most: int, now: Instant) -> dict[TeamName, float]:
        """Return what is left of the teams that were granted something.

        These are the `most` latest of them, if there are more.
        """
        while self._granted_at:
            team, granted_at = next(iter(self._granted_at.items()))
            is_old = now - granted_at > _TOLD_FOR_S
            if not is_old and len(self._granted_at) <= most:
                break
            self._granted_at.pop(team)
        return {team: self._buckets[team].level for team in self._granted_at}

    def merge_level(self, team: TeamName, level: float, now: Instant) -> None:
        """Take in what another coordinator has left of a team's rate.

        Load pattern: a team sends more than its rate while coordinators
        are lost and come back one after the other. Each that began with
        its own idea of the rate would grant a part of it again.
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            self._buckets[team] = _Bucket(level, now, most=level)
            return
        bucket.refill(now)
        if now < bucket.guess_until:
            bucket.level = max(0, level - bucket.granted)
            bucket.guess_until = now
        else:
            bucket.level = min(bucket.level, level)

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
            until = Instant(now + _TOLD_FOR_S)
            bucket = _Bucket(level, now, guess_until=until)
            self._buckets[team] = bucket
        bucket.rate = rate
        bucket.most = most
        bucket.refill(now)
        return bucket
