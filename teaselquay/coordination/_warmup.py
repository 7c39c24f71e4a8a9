"""Upstreams that are warming up, and how many requests each may get."""

from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Container, Iterable, NamedTuple, Sequence

from teaselquay.configuration import ServiceRule, UpstreamRecord
from teaselquay.coordination._knowledge import UpstreamStats
from teaselquay.coordination._rate_limits import RateLimit, RateStatement
from teaselquay.decisions import Instant, UpstreamName

#: Tokens that a cold upstream saves up, in seconds of its rate, and at least
#: one. Two coordinators at a time then stay within the overshoot and the slack
#: that operators allow.
_BURST_S = 0.2
_NEVER = Instant(-inf)


class WarmupPolicy(NamedTuple):
    """How the upstreams of a service are to be warmed up.

    A cold upstream takes `rate_per_s` requests per second from all VMs
    together, 0 for no limit. It is cold for `duration_s` seconds.
    """

    rate_per_s: float = 0
    duration_s: float = 0

    @classmethod
    def from_rule(cls, rule: ServiceRule) -> 'WarmupPolicy':
        """Return the policy of the service in `rule`."""
        return cls(rule.warmup_rate_per_s, rule.warmup_s)


@dataclass(slots=True)
class ColdUpstreams:
    """The upstreams that are cold or may be, and until when.

    Load pattern: a zone that was emptied is used again, and none of its
    upstreams has done any work for a while. What an upstream states of itself
    is one source; the other is an event after which it may be cold, and that
    is not ended by an earlier statement that arrives late.

    >>> cold = ColdUpstreams()
    >>> cold.suspect(UpstreamName('up'), Instant(3.0))
    >>> cold.state(UpstreamName('up'), 0.0, Instant(1.0))
    >>> cold.includes(UpstreamName('up'), Instant(2.9))
    True
    >>> cold.includes(UpstreamName('up'), Instant(3.0))
    False
    """

    _stated_until: dict[UpstreamName, Instant] = field(default_factory=dict)
    _suspected_until: dict[UpstreamName, Instant] = field(default_factory=dict)

    def state(self, name: UpstreamName, left_s: float, now: Instant) -> None:
        """Record that `name` states to be cold for `left_s` seconds."""
        if left_s > 0:
            self._stated_until[name] = Instant(now + left_s)
        else:
            self._stated_until.pop(name, None)

    def suspect(self, name: UpstreamName, until: Instant) -> None:
        """Take `name` for cold until `until`."""
        known = self._suspected_until.get(name, until)
        self._suspected_until[name] = max(known, until)

    def includes(self, name: UpstreamName, now: Instant) -> bool:
        """Return whether `name` may be cold."""
        return now < self._stated_until.get(
            name, _NEVER
        ) or now < self._suspected_until.get(name, _NEVER)

    def forget_missing(
        self, listed: Container[UpstreamName], now: Instant
    ) -> None:
        """Forget upstreams that are not in `listed`, and what has ended."""
        for until_by_name in (self._stated_until, self._suspected_until):
            ended = [
                name
                for name, until in until_by_name.items()
                if name not in listed or until <= now
            ]
            for name in ended:
                until_by_name.pop(name)


@dataclass(slots=True)
class WarmupLimits:
    """The requests that the upstreams of a service may get while cold.

    Load pattern: upstreams join, restart, or return from an evacuated zone
    under full load. Each gets requests at the rate that it bears from the
    first moment on, first attempts and repeats alike, and the others carry the
    rest. `cold` is shared by all services of a VM. All operations on one
    upstream take constant time.
    """

    cold: ColdUpstreams = field(default_factory=ColdUpstreams)
    policy: WarmupPolicy = WarmupPolicy()
    _limits: dict[UpstreamName, RateLimit] = field(default_factory=dict)

    @property
    def is_active(self) -> bool:
        """Return whether the service limits what cold upstreams get."""
        return self.policy.rate_per_s > 0

    def configure(self, policy: WarmupPolicy) -> None:
        """Apply `policy` from now on."""
        if policy != self.policy:
            self.policy = policy
            self._limits.clear()

    def record_unreachable(
        self, name: UpstreamName, stats: UpstreamStats, now: Instant
    ) -> None:
        """Take `name` for cold if it may have restarted, by its `stats`.

        Load pattern: an upstream crashes, no VM can connect to it, and it is
        back under its name and address before its entry in the store says so.
        """
        if self.is_active and stats.is_unreachable(now):
            until = Instant(now + self.policy.duration_s)
            self.cold.suspect(name, until)

    def permitted(
        self,
        upstreams: Sequence[UpstreamRecord],
        vm_count: int,
        random: Random,
        now: Instant,
    ) -> list[UpstreamRecord]:
        """Return those of `upstreams` that may get a request now.

        `vm_count` is the number of VMs that decide without a coordinator, 1
        for a coordinator.
        """
        return [
            upstream
            for upstream in upstreams
            if self._permits(upstream.name, vm_count, random, now)
        ]

    def is_exhausted(self, name: UpstreamName, now: Instant) -> bool:
        """Return whether `name` has got what it may get so far."""
        return self.is_active and self._wait_s(name, now) > 0

    def take(self, name: UpstreamName, vm_count: int, now: Instant) -> None:
        """Record a request to `name`; `vm_count` is as in `permitted`."""
        if self.is_active and self.cold.includes(name, now):
            limit = self._limit(name, now)
            limit.take(now)
            limit.use_turn(vm_count)

    def next_token(
        self, upstreams: Iterable[UpstreamRecord], now: Instant
    ) -> tuple[float, float]:
        """Return the wait until one of `upstreams` may get a request.

        It is in seconds, and infinite if none is held back. The second number
        is the rate in requests per second of all that are.
        """
        if not self.is_active:
            return inf, 0.0
        wait_s, rate_per_s = inf, 0.0
        for upstream in upstreams:
            upstream_wait_s = self._wait_s(upstream.name, now)
            if upstream_wait_s > 0:
                wait_s = min(wait_s, upstream_wait_s)
                rate_per_s += self.policy.rate_per_s
        return wait_s, rate_per_s

    def forget_missing(
        self, listed: Container[UpstreamName], now: Instant
    ) -> None:
        """Forget upstreams that are not in `listed`, and what has ended."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if name in listed and self.cold.includes(name, now)
        }

    def _permits(
        self,
        name: UpstreamName,
        vm_count: int,
        random: Random,
        now: Instant,
    ) -> bool:
        if not self.cold.includes(name, now):
            return True
        limit = self._limit(name, now)
        if vm_count > 1:
            return limit.has_turn(vm_count, random, now)
        return limit.token_wait_s(now) <= 0

    def _wait_s(self, name: UpstreamName, now: Instant) -> float:
        if not self.cold.includes(name, now):
            return 0
        return self._limit(name, now).token_wait_s(now)

    def _limit(self, name: UpstreamName, now: Instant) -> RateLimit:
        """Return the tokens of `name`, none at first: it is just cold."""
        limit = self._limits.get(name)
        if limit is None:
            limit = RateLimit(RateStatement(None), now, now, burst_s=_BURST_S)
            limit.state(RateStatement(self.policy.rate_per_s), now, now)
            self._limits[name] = limit
        return limit
