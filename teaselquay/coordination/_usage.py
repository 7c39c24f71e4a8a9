"""Which upstreams of a service are likely healthy, in use, or idle."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice
from typing import Callable

from teaselquay.coordination._knowledge import UpstreamStats
from teaselquay.decisions import Instant, UpstreamName

#: Upstreams with a lower spell probability count as likely healthy.
_MAX_HEALTHY_SPELL_PROBABILITY = 0.35
#: Delay after a computed change at which it is looked at, in seconds. It
#: exceeds the rounding of times.
_ROUNDING_S = 1e-9
_NEVER = Instant(float('inf'))


@dataclass(slots=True)
class _Status:
    """What was last counted of one upstream, and when it is looked at."""

    stats: UpstreamStats
    is_healthy: bool = False
    is_used: bool = False
    #: Earliest pending look, after which time alone may change the status.
    look_at: Instant = _NEVER


@dataclass(slots=True)
class UsageTracker:
    """Counts of likely healthy upstreams and of those in use.

    Load pattern: a service with many upstreams and requests, where counting
    them again for each request would use up a core. An update takes time
    logarithmic in the number of upstreams; reading the counts is constant.
    """

    healthy_count: int = 0
    used_healthy_count: int = 0
    #: Idle upstreams that may be explored, longest idle first.
    _due: dict[UpstreamName, None] = field(default_factory=dict)
    _statuses: dict[UpstreamName, _Status] = field(default_factory=dict)
    _looks: list[tuple[Instant, UpstreamName]] = field(default_factory=list)

    def put(
        self,
        name: UpstreamName,
        stats: UpstreamStats,
        now: Instant,
    ) -> None:
        """Track `stats` for `name`, instead of earlier ones if it has any."""
        status = self._statuses.get(name)
        if status is None:
            self._statuses[name] = _Status(stats)
        else:
            status.stats = stats
        self.refresh(name, now)

    def discard_missing(self, names: set[UpstreamName]) -> None:
        """Stop tracking upstreams that are not in `names`."""
        for name in self._statuses.keys() - names:
            self._count(self._statuses.pop(name), sign=-1)
            self._due.pop(name, None)

    def refresh(self, name: UpstreamName, now: Instant) -> None:
        """Count `name` again after its statistics changed."""
        status = self._statuses.get(name)
        if status is None:
            return
        self._count(status, sign=-1)
        belief = status.stats.belief
        spell_probability = belief.probability_at(now)
        status.is_healthy = spell_probability < _MAX_HEALTHY_SPELL_PROBABILITY
        status.is_used = status.stats.is_in_use(now)
        self._count(status, sign=1)
        if status.stats.is_due_for_exploration(now):
            self._due.setdefault(name)
        else:
            self._due.pop(name, None)
        self._schedule_look(name, status, now)

    def advance(self, now: Instant) -> None:
        """Apply what follows from the passing of time until `now`."""
        while self._looks and self._looks[0][0] <= now:
            look_at, name = heappop(self._looks)
            status = self._statuses.get(name)
            if status is not None and status.look_at == look_at:
                status.look_at = _NEVER
                self.refresh(name, now)

    def due_for_exploration(
        self,
        limit: int,
        is_permitted: Callable[[UpstreamName], bool] | None = None,
    ) -> list[UpstreamName]:
        """Return at most `limit` idle upstreams, longest idle first.

        Those for which `is_permitted` is false are left out.
        """
        return list(islice(filter(is_permitted, self._due), limit))

    def _count(self, status: _Status, sign: int) -> None:
        if status.is_healthy:
            self.healthy_count += sign
            self.used_healthy_count += sign * status.is_used

    def _schedule_look(
        self,
        name: UpstreamName,
        status: _Status,
        now: Instant,
    ) -> None:
        """Schedule the next look, unless an earlier one is pending."""
        changes = [status.stats.idle_at(), status.stats.reprobe_at()]
        if not status.is_healthy:
            changes.append(
                status.stats.belief.falls_below_at(
                    _MAX_HEALTHY_SPELL_PROBABILITY
                )
            )
        look_at = min(
            (change for change in changes if change > now),
            default=_NEVER,
        )
        if look_at < status.look_at:
            status.look_at = Instant(look_at + _ROUNDING_S)
            heappush(self._looks, (status.look_at, name))
