"""Rate limits that upstreams name in their answers."""

from dataclasses import dataclass, field
from enum import Enum
from math import ceil, inf
from random import Random
from typing import Iterable, Iterator, NamedTuple

from teaselquay.configuration import UpstreamRecord
from teaselquay.decisions import Instant, UpstreamName, VmName

#: Unused tokens of a limit that an upstream names, in seconds of the rate.
_BURST_S = 1.0
#: Rate in requests per second at which an upstream is asked that names a lower
#: one: only its answers tell when the limit ends.
_MIN_RATE = 0.1
#: Answers without a limit that end one. A single one may be an exception.
_MIN_ANSWERS_TO_END = 2
#: How long the end of a limit, and the limits of upstreams that are missing,
#: are remembered, in seconds: longer than an outage of the store.
_KEEP_S = 60.0
#: Share of a rate that all VMs without a coordinator use together. The rest is
#: a margin for VMs that do have one.
_ALONE_SHARE = 0.5
#: Part of the time between its turns for which a VM without a coordinator may
#: use its turn. Turns that could be saved up would be used all at once.
_TURN_FRACTION = 0.1
#: Difference in seconds up to which a statement from a peer counts as the one
#: that is known: more than a message takes.
_AGE_TOLERANCE_S = 0.1
_NEVER = Instant(float('-inf'))


class RateStatement(NamedTuple):
    """What an answer of an upstream says about its limit.

    `rate` is in requests per second, from all VMs together, or None for no
    limit. `started_ms` tells apart the processes under one name.
    """

    rate: float | None
    started_ms: int = 0


class LimitChange(Enum):
    """How a statement changed what is known of a limit."""

    NONE = 'none'
    STARTED = 'started'
    CHANGED = 'changed'
    ENDED = 'ended'


class LimitShare(NamedTuple):
    """What one VM knows of a limit, and the tokens that it granted of it.

    `age_s` is the time since the statement was heard.
    """

    upstream: UpstreamName
    statement: RateStatement
    age_s: float
    granted: int


@dataclass(slots=True)
class RateLimit:
    """Token bucket of one upstream, or the memory of a limit that ended.

    The level is negative after VMs granted tokens at the same time, until it
    has made up for them.
    """

    statement: RateStatement
    #: When the statement was heard, and when the limit began.
    heard_at: Instant
    since: Instant
    #: Tokens granted by this VM, and by others as far as they told.
    granted: int = 0
    granted_by_vm: dict[VmName, int] = field(default_factory=dict)
    #: Unused tokens that are kept, in seconds of the rate, and at least one.
    burst_s: float = _BURST_S
    _level: float = 0.0
    _as_of: Instant = _NEVER
    _answers_without: int = 0
    #: When a VM without a coordinator may send next.
    _turn_at: Instant | None = None

    @property
    def is_active(self) -> bool:
        """Return whether the upstream names a limit."""
        return self.statement.rate is not None

    @property
    def rate(self) -> float:
        """Return the rate in requests per second that is granted."""
        named = self.statement.rate
        return inf if named is None else max(_MIN_RATE, named)

    def state(
        self,
        statement: RateStatement,
        heard_at: Instant,
        now: Instant,
    ) -> LimitChange:
        """Replace the statement by one that was heard; return what changed.

        A limit begins without tokens: the upstream has just got its usual
        share.
        """
        was_active = self.is_active
        previous = self.statement
        self.statement = statement
        self.heard_at = heard_at
        self._answers_without = 0
        if not self.is_active:
            return LimitChange.ENDED if was_active else LimitChange.NONE
        if was_active and statement.started_ms == previous.started_ms:
            is_same = statement.rate == previous.rate
            return LimitChange.NONE if is_same else LimitChange.CHANGED
        self.since = heard_at
        self._level = 0
        self._as_of = now
        self._turn_at = None
        return LimitChange.STARTED

    def count_answer_without(self) -> bool:
        """Count an answer that names no limit; return whether it ends one."""
        self._answers_without += 1
        return self._answers_without >= _MIN_ANSWERS_TO_END

    def token_wait_s(self, now: Instant) -> float:
        """Return the seconds until a token is available, 0 if one is."""
        if not self.is_active:
            return 0
        self._refill(now)
        return max(0, (1 - self._level) / self.rate)

    def take(self, now: Instant, count: int = 1) -> None:
        """Take `count` tokens, which need not be available."""
        if not self.is_active:
            return
        self._refill(now)
        # The bound keeps a long memory of a peer from blocking the upstream.
        self._level = max(self._level - count, -self._capacity())

    def has_turn(self, vm_count: int, random: Random, now: Instant) -> bool:
        """Return whether it is the turn of this one of `vm_count` VMs.

        The first turn comes after a random part of the time between two, so
        that the turns of all VMs are spread evenly.
        """
        if not self.is_active:
            return True
        between_s = vm_count / (self.rate * _ALONE_SHARE)
        if self._turn_at is None:
            self._turn_at = Instant(now + random.random() * between_s)
        expired_s = now - self._turn_at - between_s * _TURN_FRACTION
        if expired_s > 0:
            missed = ceil(expired_s / between_s)
            self._turn_at = Instant(self._turn_at + missed * between_s)
        return now >= self._turn_at

    def use_turn(self, vm_count: int) -> None:
        """Use the turn of this one of `vm_count` VMs."""
        if self._turn_at is not None and self.is_active:
            between_s = vm_count / (self.rate * _ALONE_SHARE)
            self._turn_at = Instant(self._turn_at + between_s)

    def _capacity(self) -> float:
        return max(1.0, self.rate * self.burst_s)

    def _refill(self, now: Instant) -> None:
        elapsed_s = max(0, now - self._as_of)
        level = self._level + elapsed_s * self.rate
        self._level = min(self._capacity(), level)
        self._as_of = max(self._as_of, now)


@dataclass(slots=True)
class RateLimits:
    """The limits that the upstreams of a service name.

    Load pattern: some upstreams ask for a small part of what they usually get.
    The coordinator of the service grants their tokens at placement, so that
    retries and hedges count as well; its successors know the limits and what
    was granted. The other upstreams carry the rest. All operations on one
    upstream take constant time.
    """

    by_upstream: dict[UpstreamName, RateLimit] = field(default_factory=dict)
    #: Requests that this VM has placed on limited upstreams.
    granted: int = 0

    def record(
        self,
        upstream: UpstreamName,
        statement: RateStatement,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange:
        """Record what an answer to a request sent at `sent_at` says.

        An answer without a limit counts only if its request was sent after
        the limit was heard last, as answers may overtake each other. What
        an earlier process of the upstream said is ignored.
        """
        known = self.by_upstream.get(upstream)
        if known is None:
            if statement.rate is None:
                return LimitChange.NONE
            known = RateLimit(RateStatement(None), now, now)
            self.by_upstream[upstream] = known
        elif statement.started_ms < known.statement.started_ms:
            return LimitChange.NONE
        is_restart = statement.started_ms > known.statement.started_ms
        if statement.rate is None and not is_restart:
            if not known.is_active or sent_at < known.heard_at:
                return LimitChange.NONE
            if not known.count_answer_without():
                return LimitChange.NONE
        return known.state(statement, now, now)

    def limit_of(self, upstream: UpstreamRecord) -> RateLimit | None:
        """Return the limit in force for `upstream`, or None."""
        known = self.by_upstream.get(upstream.name)
        if known is None or not known.is_active:
            return None
        if known.statement.started_ms < upstream.started_ms:
            # It has restarted, and knows nothing of before.
            return None
        return known

    def has_token(self, upstream: UpstreamRecord, now: Instant) -> bool:
        """Return whether a request may be placed on `upstream`."""
        limit = self.limit_of(upstream)
        return limit is None or limit.token_wait_s(now) <= 0

    def is_exhausted(self, upstream: UpstreamName, now: Instant) -> bool:
        """Return whether `upstream` has got what its limit allows so far."""
        known = self.by_upstream.get(upstream)
        return known is not None and known.token_wait_s(now) > 0

    def has_turn(
        self,
        upstream: UpstreamRecord,
        vm_count: int,
        random: Random,
        now: Instant,
    ) -> bool:
        """Return whether one of `vm_count` VMs may use `upstream` alone."""
        limit = self.limit_of(upstream)
        return limit is None or limit.has_turn(vm_count, random, now)

    def take(
        self,
        upstream: UpstreamName,
        vm_count: int,
        now: Instant,
    ) -> None:
        """Record a request to `upstream`; `vm_count` is as in `has_turn`."""
        limit = self.by_upstream.get(upstream)
        if limit is not None and limit.is_active:
            self.granted += 1
            limit.granted += 1
            limit.take(now)
            limit.use_turn(vm_count)

    def next_token(
        self,
        upstreams: Iterable[UpstreamRecord],
        now: Instant,
    ) -> tuple[float, float]:
        """Return the wait for the next token in seconds, and their rate.

        The rate is that of all `upstreams` with a limit together, in tokens
        per second. It is 0, and the wait infinite, if there are none.
        """
        wait_s, rate_per_s = inf, 0.0
        for upstream in upstreams:
            limit = self.limit_of(upstream)
            if limit is not None:
                wait_s = min(wait_s, limit.token_wait_s(now))
                rate_per_s += limit.rate
        return wait_s, rate_per_s

    def shares(self, now: Instant) -> Iterator[LimitShare]:
        """Yield what peers should know of each limit."""
        for name, known in self.by_upstream.items():
            age_s = now - known.heard_at
            if known.is_active or age_s < _KEEP_S:
                yield LimitShare(name, known.statement, age_s, known.granted)

    def share_of(
        self, upstream: UpstreamName, now: Instant
    ) -> LimitShare | None:
        """Return what peers should know of an active limit, else None."""
        known = self.by_upstream.get(upstream)
        if known is None or not known.is_active:
            return None
        age_s = now - known.heard_at
        return LimitShare(upstream, known.statement, age_s, known.granted)

    def merge(self, vm: VmName, share: LimitShare, now: Instant) -> LimitChange:
        """Merge what `vm` knows; return what changed.

        The latest statement holds. Tokens that `vm` granted since it told
        last are taken from the level here.
        """
        heard_at = Instant(now - share.age_s)
        known = self.by_upstream.get(share.upstream)
        if known is None:
            if share.statement.rate is None:
                return LimitChange.NONE
            known = RateLimit(RateStatement(None), _NEVER, now)
            self.by_upstream[share.upstream] = known
            # What was granted before the limit was known here is past.
            known.granted_by_vm[vm] = share.granted
        change = LimitChange.NONE
        if self._is_newer(share.statement, heard_at, known):
            change = known.state(share.statement, heard_at, now)
        seen = known.granted_by_vm.get(vm, 0)
        if share.granted < seen:
            # The VM has restarted.
            seen = 0
        known.granted_by_vm[vm] = share.granted
        if share.granted > seen:
            known.take(now, share.granted - seen)
        return change

    def is_outdated(self, share: LimitShare, now: Instant) -> bool:
        """Return whether a limit in `share` is known to have ended."""
        known = self.by_upstream.get(share.upstream)
        if known is None or known.is_active or share.statement.rate is None:
            return False
        heard_at = Instant(now - share.age_s)
        return not self._is_newer(share.statement, heard_at, known)

    def forget_missing(self, names: set[UpstreamName], now: Instant) -> None:
        """Forget limits of upstreams not in `names`, and ended ones, in time.

        An entry that expired during an outage of the store may come back, of
        an upstream that names its limit as before.
        """
        self.by_upstream = {
            name: known
            for name, known in self.by_upstream.items()
            if (known.is_active and name in names)
            or now - known.heard_at < _KEEP_S
        }

    def _is_newer(
        self,
        statement: RateStatement,
        heard_at: Instant,
        known: RateLimit,
    ) -> bool:
        if statement.started_ms != known.statement.started_ms:
            return statement.started_ms > known.statement.started_ms
        return heard_at > known.heard_at + _AGE_TOLERANCE_S
