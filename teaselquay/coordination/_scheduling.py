"""Placement of a service's requests on its upstreams.

While it is reachable, one VM places all requests of a service, so that it
knows the load of every upstream and is the first to learn of each failure.
Every VM runs the same scheduler and falls back to its own.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Sequence

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._belief import (
    SUSPICION_THRESHOLD,
    Belief,
    SpellModel,
)
from teaselquay.coordination._budget import RepeatPolicy
from teaselquay.coordination._candidates import CandidateSampler
from teaselquay.coordination._knowledge import UnusedUpstream, UpstreamStats
from teaselquay.coordination._latency import LatencyEstimate
from teaselquay.coordination._losses import MAX_TIE_BREAK_LOSS
from teaselquay.coordination._placement import (
    FAILURE_OUTCOMES,
    NO_VM,
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
    Ticket,
)
from teaselquay.coordination._queue_room import MAX_QUEUE_PER_SLOT
from teaselquay.coordination._rate_limits import (
    LimitChange,
    RateLimits,
    RateStatement,
)
from teaselquay.coordination._shedding import RateEstimate, ShedMonitor
from teaselquay.coordination._urgency import Urgency
from teaselquay.coordination._usage import UsageTracker
from teaselquay.coordination._waiting import ReturnSchedule
from teaselquay.coordination._warmup import WarmupLimits
from teaselquay.decisions import (
    Instant,
    Quarantine,
    QuarantinePolicy,
    RecentSuccesses,
    RetryBudget,
    UpstreamName,
    VmName,
)


#: A failure is fast if it arrives within this fraction of the service's mean
#: latency, or within the minimum below if that is longer. A request still
#: pending after that time did not fail fast.
_FAST_FAILURE_FRACTION = 0.15
_MIN_FAST_FAILURE_S = 0.03
#: Mean latency assumed before the first response, in seconds.
_INITIAL_MEAN_LATENCY_S = 0.5
#: Weight of a new latency in the exponentially weighted mean.
_LATENCY_EWMA_WEIGHT = 0.05
#: Largest fraction of the time to the deadline that the expected queueing and
#: processing may take.
_MAX_DEADLINE_FRACTION = 0.9
#: How long an upstream is treated as full after it shed a request, in seconds.
_SHED_PENALTY_S = 0.3
#: Upstreams that a request may crash before it is quarantined.
_MAX_CRASHES = 3
#: Reduction of the loss at an idle upstream. It outweighs the risk of one that
#: has not failed for some seconds, so that all of these receive requests at
#: any time: whichever upstream is lost next, most healthy ones were in use.
_EXPLORATION_BONUS = 0.3
#: Share of likely healthy upstreams that is kept in use. The users require
#: seven tenths.
_MIN_USED_SHARE = 0.8
#: Idle upstreams that each placement considers for exploration.
_MAX_EXPLORED = 4
#: Shares of unserved requests between which the exploration bonus grows, and
#: the largest multiple that is added. The users allow the upper share.
_UNSERVED_SHARE_LOW = 0.05
_UNSERVED_SHARE_HIGH = 0.1
_MAX_BONUS_FACTOR = 2.5
#: Length of the window of recent outcomes, in seconds, and the fewest outcomes
#: in it from which a share is calculated.
_OUTCOME_WINDOW_S = 2.0
_MIN_WINDOW_OUTCOMES = 10
#: Rates between which refused requests return, per second. The upper one
#: bounds the work of the coordinator.
_MIN_RETURNS_PER_S = 1.0
_MAX_RETURNS_PER_S = 100.0
#: Part by which a wait is prolonged at most, at random.
_WAIT_SPREAD = 0.3
#: A last attempt is sent to upstreams that shed if no more than this many mean
#: latencies are left.
_LAST_CHANCE_LATENCIES = 2.5
#: Shortest time after which a held attempt asks again, in seconds; the longest
#: is twice as long.
_HOLD_S = 2.0
#: Shortest wait returned to a refused caller, in seconds. An attempt expires
#: this long after its deadline.
_MIN_WAIT_S = 0.25


@dataclass(slots=True)
class _Attempt:
    """An attempt that has not ended."""

    upstream: UpstreamName
    sent_at: Instant
    expires_at: Instant
    request: PlacementRequest


def _new_quarantine() -> Quarantine:
    return Quarantine(QuarantinePolicy(crashes=_MAX_CRASHES))


@dataclass(slots=True)
class ServiceScheduler:
    """Load, beliefs and budgets of one service.

    `mean_latency_s` is the running mean latency of served requests. The time
    of a placement does not depend on the number of upstreams, except the
    first one after these have changed.
    """

    random: Random
    model: SpellModel = SpellModel()
    repeats: RepeatPolicy = RepeatPolicy()
    quarantine: Quarantine = field(default_factory=_new_quarantine)
    successes: RecentSuccesses = field(default_factory=RecentSuccesses)
    mean_latency_s: float = _INITIAL_MEAN_LATENCY_S
    latency: LatencyEstimate = field(default_factory=LatencyEstimate)
    _budget: RetryBudget | None = None
    _stats_by_upstream: dict[UpstreamName, UpstreamStats] = field(
        default_factory=dict
    )
    _attempts: dict[Ticket, _Attempt] = field(default_factory=dict)
    _pending_checks: deque[tuple[Instant, Ticket]] = field(
        default_factory=deque
    )
    _recent_outcomes: deque[tuple[Instant, bool]] = field(default_factory=deque)
    _recent_unserved: int = 0
    #: The upstreams of the last placement.
    _upstreams: Sequence[UpstreamRecord] = ()
    _sampler: CandidateSampler = field(init=False)
    _usage: UsageTracker = field(default_factory=UsageTracker)
    _slot_count: int = 0
    _sheds: ShedMonitor = field(default_factory=ShedMonitor)
    _requests: RateEstimate = field(default_factory=RateEstimate)
    #: Returns of refused requests that wait for room and for the budget.
    _room_returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    _repeat_returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    #: Limits that the upstreams name, and returns that wait for their tokens.
    limits: RateLimits = field(default_factory=RateLimits)
    _token_returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    #: What upstreams that are warming up may get.
    warmup: WarmupLimits = field(default_factory=WarmupLimits)
    #: VMs among which the limits are divided, 1 for a coordinator.
    _limit_divisor: int = 1
    _expirations: list[tuple[Instant, Ticket]] = field(default_factory=list)
    urgency: Urgency = field(default_factory=Urgency)

    def __post_init__(self) -> None:
        """Create the sampler of candidates."""
        self._sampler = CandidateSampler(self.random)

    def place(
        self,
        request: PlacementRequest,
        upstreams: Sequence[UpstreamRecord],
        now: Instant,
        limit_divisor: int = 1,
    ) -> Placement | PlacementRefusal:
        """Return the upstream for `request`, or why it is refused.

        A placed request counts as in flight until `finish` or its expiry.
        `upstreams` is not to change between calls: a change comes as another
        sequence. `limit_divisor` is the number of VMs that decide without a
        coordinator, among which the limits of upstreams are divided.
        """
        self._limit_divisor = limit_divisor
        if upstreams is not self._upstreams:
            self._replace_upstreams(upstreams, now)
        self._process_timers(now)
        if self.quarantine.is_quarantined(request.fingerprint, now):
            return PlacementRefusal(
                RefusalReason.QUARANTINED,
                self.quarantine.policy.keep_s,
            )
        ranked = self.urgency.rank(request, now)
        candidates = self._candidates(ranked, now)
        if not candidates:
            return self._refusal_without_candidates(ranked, now)
        best = self._best(candidates, ranked, now)
        refusal = self._refusal(ranked, best, now)
        if refusal is not None:
            wait_s = refusal.retry_after_s + self.mean_latency_s
            self.urgency.record_refusal(request, wait_s, now)
            return refusal
        return self._start_attempt(request, best, now)

    def finish(
        self,
        ticket: Ticket,
        upstream: UpstreamName,
        outcome: Outcome,
        latency_s: float,
        now: Instant,
        vm: VmName = NO_VM,
        fingerprint: bytes = b'',
    ) -> None:
        """Record how an attempt ended, on this VM or as `vm` reported."""
        attempt = self._end_attempt(ticket)
        if attempt is not None:
            self.urgency.record_end(attempt.request, outcome, now)
        if outcome is not Outcome.CANCELLED:
            self._count_outcome(outcome is Outcome.SERVED, now)
        self._record_outcome(upstream, outcome, latency_s, now, vm)
        self._usage.refresh(upstream, now)
        if outcome is Outcome.SERVED:
            self.successes.add(fingerprint, now)
        elif outcome is Outcome.BROKEN and fingerprint:
            if not self.successes.has(fingerprint, now):
                self.quarantine.record_crash(fingerprint, upstream, now)

    def record_statement(
        self,
        upstream: UpstreamName,
        statement: RateStatement,
        latency_s: float,
        now: Instant,
    ) -> LimitChange:
        """Record what an answer after `latency_s` seconds says of a limit.

        Return what changed.
        """
        sent_at = Instant(now - latency_s)
        return self.limits.record(upstream, statement, sent_at, now)

    def record_refusal(self, now: Instant) -> None:
        """Record a request that was refused before placement."""
        self._count_outcome(False, now)

    def in_spell(self, upstream: UpstreamName, now: Instant) -> float:
        """Return the probability that `upstream` is in a spell."""
        return self._stats_of(upstream).belief.probability_at(now)

    def second_sends_left(self) -> float:
        """Return how many retries and hedges the budget still allows."""
        return self._repeat_budget().balance

    def in_flight(self, upstream: UpstreamName) -> int:
        """Return the number of attempts at `upstream` that have not ended."""
        return self._stats_of(upstream).in_flight

    def is_losing(self, now: Instant) -> bool:
        """Return whether more than a tenth of recent requests is unserved."""
        self._forget_outcomes(now)
        count = len(self._recent_outcomes)
        unserved = self._recent_unserved
        return (
            count >= _MIN_WINDOW_OUTCOMES
            and unserved > count * _UNSERVED_SHARE_HIGH
        )

    def unused_upstreams(self, now: Instant) -> list[UnusedUpstream]:
        """Return the upstreams without recent requests, and why."""
        found = []
        for upstream in self._upstreams:
            stats = self._stats_of(upstream.name)
            if not stats.is_in_use(now):
                found.append(
                    UnusedUpstream(
                        upstream.name,
                        stats.belief.probability_at(now),
                        now - stats.last_used_at,
                        now - stats.belief.last_spell_failure_at,
                        stats.is_unreachable(now),
                    )
                )
        return found

    def forget_missing(
        self,
        upstreams: Sequence[UpstreamRecord],
        now: Instant,
    ) -> None:
        """Discard the statistics of upstreams that are not in `upstreams`.

        Those with attempts in flight are kept.
        """
        kept = {up.name for up in upstreams}
        self.limits.forget_missing(kept, now)
        self.warmup.forget_missing(kept, now)
        self._stats_by_upstream = {
            name: stats
            for name, stats in self._stats_by_upstream.items()
            if name in kept or stats.in_flight
        }

    def _replace_upstreams(
        self,
        upstreams: Sequence[UpstreamRecord],
        now: Instant,
    ) -> None:
        """Place on `upstreams` from now on.

        What was recorded of an upstream before it restarted is discarded,
        but its attempts in flight still count.
        """
        self._upstreams = upstreams
        self._sampler.replace_records(upstreams)
        self._slot_count = sum(up.slots for up in upstreams)
        self._usage.discard_missing({up.name for up in upstreams})
        for upstream in upstreams:
            stats = self._stats_of(upstream.name)
            if stats.started_ms != upstream.started_ms:
                stats = UpstreamStats(
                    Belief(self.model),
                    upstream.started_ms,
                    stats.in_flight,
                )
                self._stats_by_upstream[upstream.name] = stats
            self._usage.put(upstream.name, stats, now)

    def _count_outcome(self, is_served: bool, now: Instant) -> None:
        self._recent_outcomes.append((now, is_served))
        self._recent_unserved += not is_served
        self._forget_outcomes(now)

    def _forget_outcomes(self, now: Instant) -> None:
        begin = now - _OUTCOME_WINDOW_S
        while self._recent_outcomes and self._recent_outcomes[0][0] < begin:
            _, is_served = self._recent_outcomes.popleft()
            self._recent_unserved -= not is_served

    def _record_outcome(
        self,
        upstream: UpstreamName,
        outcome: Outcome,
        latency_s: float,
        now: Instant,
        vm: VmName,
    ) -> None:
        stats = self._stats_of(upstream)
        sent_at = Instant(now - latency_s)
        if outcome in FAILURE_OUTCOMES:
            is_fast = latency_s < self._fast_failure_s()
            is_error_response = outcome is Outcome.FAILED
            stats.belief.record_failure(now, is_fast or not is_error_response)
        elif outcome is Outcome.SERVED:
            stats.belief.record_success(sent_at, now)
            stats.unreachable_reports.clear()
            self._record_latency(stats, latency_s)
        elif outcome is Outcome.SHED:
            stats.shed_until = Instant(now + _SHED_PENALTY_S)
            self._sheds.record(was_shed=True, now=now)
        elif outcome is Outcome.UNREACHABLE:
            stats.unreachable_reports[vm] = now
            self.warmup.record_unreachable(upstream, stats, now)

    def _fast_failure_s(self) -> float:
        return max(
            _MIN_FAST_FAILURE_S,
            self.mean_latency_s * _FAST_FAILURE_FRACTION,
        )

    def _record_latency(self, stats: UpstreamStats, latency_s: float) -> None:
        self.latency.record(latency_s)
        ratio = latency_s / self.mean_latency_s
        stats.relative_latency += (
            2 * _LATENCY_EWMA_WEIGHT * (ratio - stats.relative_latency)
        )
        self.mean_latency_s += _LATENCY_EWMA_WEIGHT * (
            latency_s - self.mean_latency_s
        )

    def _candidates(
        self,
        request: PlacementRequest,
        now: Instant,
    ) -> list[UpstreamRecord]:
        """Return the upstreams to compare, those of a sample if it has any."""
        drawn = self._sampler.draw(
            request.zone,
            request.connected,
            self._usage.due_for_exploration(
                _MAX_EXPLORED if self._explores(request, now) else 0,
                (lambda name: not self._is_exhausted(name, now))
                if self._has_limits()
                else None,
            ),
        )
        reachable = self._reachable(drawn, request, now)
        if reachable:
            return reachable
        others = [
            up for up in self._upstreams if up.name not in request.excluded
        ]
        # If none is reachable, a network fault is more likely.
        reachable = self._reachable(others, request, now)
        return reachable or self._permitted(others, now)

    def _reachable(
        self,
        upstreams: Sequence[UpstreamRecord],
        request: PlacementRequest,
        now: Instant,
    ) -> list[UpstreamRecord]:
        stats = self._stats_by_upstream
        reachable = [
            up
            for up in upstreams
            if up.name not in request.excluded
            and not stats[up.name].is_unreachable(now)
        ]
        return self._permitted(reachable, now)

    def _permitted(
        self,
        upstreams: list[UpstreamRecord],
        now: Instant,
    ) -> list[UpstreamRecord]:
        """Return those of `upstreams` whose limits permit a request now."""
        limits = self.limits
        divisor = self._limit_divisor
        if self.warmup.is_active:
            upstreams = self.warmup.permitted(
                upstreams, divisor, self.random, now
            )
        if not limits.by_upstream:
            return upstreams
        if divisor == 1:
            return [up for up in upstreams if limits.has_token(up, now)]
        return [
            up
            for up in upstreams
            if limits.has_turn(up, divisor, self.random, now)
        ]

    def _has_limits(self) -> bool:
        return self.warmup.is_active or bool(self.limits.by_upstream)

    def _is_exhausted(self, name: UpstreamName, now: Instant) -> bool:
        return self.limits.is_exhausted(name, now) or self.warmup.is_exhausted(
            name, now
        )

    def _refusal_without_candidates(
        self,
        request: PlacementRequest,
        now: Instant,
    ) -> PlacementRefusal:
        """Return the refusal of `request` if no upstream may get it.

        Load pattern: all upstreams that are left name limits or are cold.
        Requests return in the order of their refusals, at the rate of the
        limits together.
        """
        left = [up for up in self._upstreams if up.name not in request.excluded]
        wait_s, rate_per_s = self.limits.next_token(left, now)
        warm_s, warmup_per_s = self.warmup.next_token(left, now)
        wait_s = min(wait_s, warm_s)
        rate_per_s += warmup_per_s
        if not rate_per_s:
            return PlacementRefusal(RefusalReason.NO_UPSTREAM, 1.0)
        rate_per_s /= self._limit_divisor
        reserved_s = self._token_returns.reserve(
            rate_per_s, now, request.priority
        )
        return self._refuse_until(
            RefusalReason.RATE_LIMITED, max(wait_s, reserved_s)
        )

    def _best(
        self,
        candidates: Sequence[UpstreamRecord],
        request: PlacementRequest,
        now: Instant,
    ) -> UpstreamRecord:
        """Return the candidate with the least expected loss."""
        explores = self._explores(request, now)
        estimate = self.urgency.loss_estimate(
            request, self.mean_latency_s, self._sheds, explores, now
        )
        bonus = self._exploration_bonus() if explores else 0
        best, least = candidates[0], float('inf')
        for upstream in candidates:
            stats = self._stats_by_upstream[upstream.name]
            loss = estimate.at(upstream, stats)
            if bonus and stats.is_due_for_exploration(now):
                loss -= bonus
            # Break ties at random, so that VMs which fall back to their own
            # schedulers do not all choose the same upstream.
            loss += self.random.random() * MAX_TIE_BREAK_LOSS
            if loss < least:
                best, least = upstream, loss
        return best

    def _exploration_bonus(self) -> float:
        """Return the bonus of using an idle upstream.

        Load pattern: a few upstreams could carry the load. If only these
        were used, the others would be untested when those are lost.
        The more requests are unserved, the more doubtful upstreams are used.
        """
        bonus = _EXPLORATION_BONUS if self._is_underused() else 0
        count = len(self._recent_outcomes)
        if count < _MIN_WINDOW_OUTCOMES:
            return bonus
        excess = self._recent_unserved / count - _UNSERVED_SHARE_LOW
        excess_fraction = max(
            0,
            excess / (_UNSERVED_SHARE_HIGH - _UNSERVED_SHARE_LOW),
        )
        return bonus + _EXPLORATION_BONUS * min(
            _MAX_BONUS_FACTOR,
            excess_fraction,
        )

    def _refusal(
        self,
        request: PlacementRequest,
        best: UpstreamRecord,
        now: Instant,
    ) -> PlacementRefusal | None:
        """Return why the request must not be sent to `best`, else None."""
        if self._is_full(request, best, now):
            rate_per_s = self._drain_rate_per_s()
            wait_s = self._room_returns.reserve(
                rate_per_s, now, request.priority
            )
            return self._refuse_until(RefusalReason.OVERLOADED, wait_s)
        if self._is_held(request, now):
            return PlacementRefusal(
                RefusalReason.SHEDDING, self._hold_s(request)
            )
        if request.is_repeat and not self._spend_repeat(request, now):
            rate_per_s = self._repeat_rate_per_s(now)
            wait_s = self._repeat_returns.reserve(
                rate_per_s, now, request.priority
            )
            return self._refuse_until(RefusalReason.REPEAT_BUDGET, wait_s)
        return None

    def _is_full(
        self,
        request: PlacementRequest,
        best: UpstreamRecord,
        now: Instant,
    ) -> bool:
        """Return whether `best`, and so each upstream, has no room.

        Load pattern: more requests than the slots can process. Those that
        would be processed too late, or be shed, are not sent.
        """
        stats = self._stats_of(best.name)
        expected_latency_s = stats.expected_latency_s(best, self.mean_latency_s)
        must_wait = stats.in_flight >= best.slots
        max_queue = MAX_QUEUE_PER_SLOT
        if self.urgency.is_mixed(now):
            expected_latency_s += self.urgency.extra_work_s(request, now)
            is_late = expected_latency_s > request.target_left_s
            # All upstreams that seem well are worse, as they are full.
            is_suspected = (
                stats.belief.probability_at(now) > SUSPICION_THRESHOLD
            )
            max_queue = self.urgency.max_queue(
                request, is_suspected or (must_wait and is_late), now
            )
        too_late = expected_latency_s > request.left_s * _MAX_DEADLINE_FRACTION
        too_many = stats.in_flight >= best.slots * (1 + max_queue)
        return must_wait and (too_late or too_many)

    def _is_held(self, request: PlacementRequest, now: Instant) -> bool:
        """Return whether a request waits until the upstreams shed less.

        Load pattern: all upstreams shed half of what they are sent, for
        seconds. The last attempt of a request waits until they accept it or
        its time runs out. Earlier ones are sent, as nobody knows how long
        the shedding lasts.
        """
        is_last = request.is_repeat and request.is_last
        if not is_last or not self._sheds.is_shedding(now):
            return False
        return request.left_s > self.mean_latency_s * _LAST_CHANCE_LATENCIES

    def _hold_s(self, request: PlacementRequest) -> float:
        """Return how long a held attempt waits before it asks again.

        It asks at the latest while it can still be sent.
        """
        last_chance_s = self.mean_latency_s * _LAST_CHANCE_LATENCIES
        hold_s = _HOLD_S * (1 + self.random.random())
        return max(_MIN_WAIT_S, min(hold_s, request.left_s - last_chance_s))

    def _explores(self, request: PlacementRequest, now: Instant) -> bool:
        healthy_count = self._usage.healthy_count
        return self.urgency.explores(request, healthy_count, now)

    def _is_underused(self) -> bool:
        usage = self._usage
        return usage.used_healthy_count < usage.healthy_count * _MIN_USED_SHARE

    def _drain_rate_per_s(self) -> float:
        """Return the rate at which the slots of all upstreams become free."""
        rate_per_s = self._slot_count / self.mean_latency_s
        return max(_MIN_RETURNS_PER_S, min(rate_per_s, _MAX_RETURNS_PER_S))

    def _repeat_rate_per_s(self, now: Instant) -> float:
        """Return the rate at which the budget grows."""
        rate_per_s = self.repeats.ratio * self._requests.per_s(now)
        return max(_MIN_RETURNS_PER_S, rate_per_s)

    def _refuse_until(
        self,
        reason: RefusalReason,
        wait_s: float,
    ) -> PlacementRefusal:
        wait_s = max(_MIN_WAIT_S, wait_s)
        return PlacementRefusal(
            reason, wait_s * (1 + _WAIT_SPREAD * self.random.random())
        )

    def _start_attempt(
        self,
        request: PlacementRequest,
        upstream: UpstreamRecord,
        now: Instant,
    ) -> Placement:
        if not request.is_repeat:
            self._repeat_budget().deposit()
            self._requests.record(now)
        stats = self._stats_of(upstream.name)
        placement = Placement(
            upstream.name,
            stats.belief.probability_at(now),
            stats.in_flight,
            stats.belief.evidence_age_s_at(now),
            is_rate_limited=self.limits.limit_of(upstream) is not None,
        )
        self.limits.take(upstream.name, self._limit_divisor, now)
        self.warmup.take(upstream.name, self._limit_divisor, now)
        stats.in_flight += 1
        stats.last_used_at = now
        self._usage.refresh(upstream.name, now)
        expires_at = Instant(now + request.left_s + _MIN_WAIT_S)
        self._attempts[request.ticket] = _Attempt(
            upstream.name,
            now,
            expires_at,
            request,
        )
        self._pending_checks.append(
            (Instant(now + self._fast_failure_s()), request.ticket)
        )
        heappush(self._expirations, (expires_at, request.ticket))
        return placement

    def _process_timers(self, now: Instant) -> None:
        """Apply what follows from the passing of time alone."""
        self._forget_outcomes(now)
        while self._pending_checks and self._pending_checks[0][0] <= now:
            _, ticket = self._pending_checks.popleft()
            attempt = self._attempts.get(ticket)
            if attempt is not None:
                stats = self._stats_of(attempt.upstream)
                stats.belief.record_still_pending(attempt.sent_at, now)
                self._sheds.record(was_shed=False, now=now)
                self._usage.refresh(attempt.upstream, now)
        while self._expirations and self._expirations[0][0] <= now:
            # The VM that sent it may have stopped without reporting.
            self._end_attempt(heappop(self._expirations)[1])
        self._usage.advance(now)

    def _end_attempt(self, ticket: Ticket) -> _Attempt | None:
        attempt = self._attempts.pop(ticket, None)
        if attempt is not None:
            self._stats_of(attempt.upstream).in_flight -= 1
        return attempt

    def _spend_repeat(self, request: PlacementRequest, now: Instant) -> bool:
        budget = self._repeat_budget()
        mean_s = self.mean_latency_s
        if not self.urgency.may_spend(request, budget, mean_s, now):
            return False
        return budget.try_withdraw()

    def _repeat_budget(self) -> RetryBudget:
        if self._budget is None:
            self._budget = self.repeats.new_budget()
        return self._budget

    def _stats_of(self, upstream: UpstreamName) -> UpstreamStats:
        stats = self._stats_by_upstream.get(upstream)
        if stats is None:
            stats = UpstreamStats(Belief(self.model))
            self._stats_by_upstream[upstream] = stats
        return stats
