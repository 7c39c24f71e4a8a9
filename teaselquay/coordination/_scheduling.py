"""Placement of a service's requests on its upstreams.

One VM places all requests of a service while it can be reached, so that it
knows the load of every upstream and hears of each failure first. Every VM
holds the same scheduler and falls back to its own.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Sequence

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._belief import Belief, SpellModel
from teaselquay.coordination._budget import RepeatPolicy
from teaselquay.coordination._knowledge import Knowledge
from teaselquay.coordination._losses import MOST_DRAWN_LOSS, expected_loss
from teaselquay.coordination._placement import (
    FAILURES,
    NOBODY,
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
    Ticket,
)
from teaselquay.decisions import (
    Instant,
    Quarantine,
    QuarantinePolicy,
    RecentSuccesses,
    RetryBudget,
    UpstreamName,
    VmName,
)


#: A failure is quick if it came in this part of the usual time; a request
#: that is not answered by then was not failed at once.
_QUICK_PART = 0.15
_LEAST_QUICK_S = 0.03
#: Time of a request before any was measured, in seconds.
_FIRST_GUESS_S = 0.5
#: Weight of a new latency in the running mean.
_LATENCY_WEIGHT = 0.05
#: Share of the time left that the wait and the work may be expected to take.
_MOST_OF_TIME_LEFT = 0.9
#: How long an upstream that shed a request is taken as full.
_SHED_S = 0.3
#: Upstreams that a request may crash before it is stopped.
_MOST_CRASHES = 3
#: An upstream's queue in multiples of its slots, beyond which it sheds.
_QUEUE_FACTOR = 3.0
#: Gain of using an upstream that has no work. It outweighs the risk of one
#: that has not failed for some seconds, so that all of these take part at any
#: time: whoever is lost next, most upstreams that are well had work.
_UNUSED_GAIN = 0.3
#: Upstreams that are less likely than that in a spell seem well, and this
#: share of them is kept in use. The users ask for seven tenths.
_PLAUSIBLE = 0.35
_USED_SHARE = 0.8
#: Shares of requests that are not served between which the gain grows, up
#: to a multiple. The second is what the users allow.
_UNSERVED_LOW = 0.05
_UNSERVED_HIGH = 0.1
_MOST_UNUSED_GAINS = 2.5
#: The time that is looked back on, in seconds, and its fewest requests.
_UNSERVED_S = 2.0
_LEAST_COUNTED = 10
#: Least time that a refused caller is told to wait, in seconds.
_LEAST_WAIT_S = 0.25


@dataclass(slots=True)
class _Flight:
    upstream: UpstreamName
    began: Instant
    expires: Instant


def _new_quarantine() -> Quarantine:
    return Quarantine(QuarantinePolicy(crashes=_MOST_CRASHES))


@dataclass(slots=True)
class ServiceScheduler:
    """Load, beliefs and budgets of one service."""

    random: Random
    model: SpellModel = SpellModel()
    repeats: RepeatPolicy = RepeatPolicy()
    quarantine: Quarantine = field(default_factory=_new_quarantine)
    successes: RecentSuccesses = field(default_factory=RecentSuccesses)
    mean_s: float = _FIRST_GUESS_S
    _budget: RetryBudget | None = None
    _known: dict[UpstreamName, Knowledge] = field(default_factory=dict)
    _flights: dict[Ticket, _Flight] = field(default_factory=dict)
    _outlasting: deque[tuple[Instant, Ticket]] = field(default_factory=deque)
    _ended: deque[tuple[Instant, bool]] = field(default_factory=deque)
    _expiring: list[tuple[Instant, Ticket]] = field(default_factory=list)

    def place(
        self,
        request: PlacementRequest,
        upstreams: Sequence[UpstreamRecord],
        now: Instant,
    ) -> Placement | PlacementRefusal:
        """Return where `request` goes, and count it there."""
        self._settle(now)
        self._forget_earlier_starts(upstreams)
        if self.quarantine.is_quarantined(request.fingerprint, now):
            return PlacementRefusal(
                RefusalReason.QUARANTINED,
                self.quarantine.policy.keep_s,
            )
        able = self._able(request, upstreams, now)
        if not able:
            return PlacementRefusal(RefusalReason.NO_UPSTREAM, 1.0)
        gain = self._unused_gain(upstreams, now)
        best = min(able, key=lambda up: self._loss(request, up, gain, now))
        refusal = self._refusal(request, best, now)
        if refusal is not None:
            return refusal
        return self._begin(request, best, now)

    def finish(
        self,
        ticket: Ticket,
        upstream: UpstreamName,
        outcome: Outcome,
        latency_s: float,
        now: Instant,
        vm: VmName = NOBODY,
        fingerprint: bytes = b'',
    ) -> None:
        """Take in how an attempt ended, here or as another VM tells."""
        self._release(ticket)
        if outcome is not Outcome.CANCELLED:
            self._ended.append((now, outcome is Outcome.SERVED))
        self._learn(upstream, outcome, latency_s, now, vm)
        if outcome is Outcome.SERVED:
            self.successes.add(fingerprint, now)
        elif outcome is Outcome.BROKEN and fingerprint:
            if not self.successes.has(fingerprint, now):
                self.quarantine.record_crash(fingerprint, upstream, now)

    def refused(self, now: Instant) -> None:
        """Count a request that was refused before placement."""
        self._ended.append((now, False))

    def in_spell(self, upstream: UpstreamName, now: Instant) -> float:
        """Return the probability that `upstream` is in a spell."""
        return self._of(upstream).belief.at(now)

    def second_sends_left(self) -> float:
        """Return how many second sends the budget holds."""
        return self._repeat_budget().balance

    def in_flight(self, upstream: UpstreamName) -> int:
        """Return the attempts at `upstream` that have not ended."""
        return self._of(upstream).in_flight

    def forget_missing(self, upstreams: Sequence[UpstreamRecord]) -> None:
        """Forget upstreams that are not among `upstreams`."""
        kept = {up.name for up in upstreams}
        self._known = {
            name: known
            for name, known in self._known.items()
            if name in kept or known.in_flight
        }

    def _forget_earlier_starts(
        self,
        upstreams: Sequence[UpstreamRecord],
    ) -> None:
        """Forget what an upstream did before it started again."""
        for upstream in upstreams:
            known = self._of(upstream.name)
            if known.started_ms != upstream.started_ms:
                self._known[upstream.name] = Knowledge(
                    Belief(self.model),
                    upstream.started_ms,
                    known.in_flight,
                )

    def _learn(
        self,
        upstream: UpstreamName,
        outcome: Outcome,
        latency_s: float,
        now: Instant,
        vm: VmName,
    ) -> None:
        known = self._of(upstream)
        began = Instant(now - latency_s)
        if outcome in FAILURES:
            is_quick = latency_s < self._quick_s()
            is_plain = outcome is Outcome.FAILED
            known.belief.failed(now, is_quick or not is_plain)
        elif outcome is Outcome.SERVED:
            known.belief.succeeded(began, now)
            known.unreachable.clear()
            self._learn_latency(known, latency_s)
        elif outcome is Outcome.SHED:
            known.shed_until = Instant(now + _SHED_S)
        elif outcome is Outcome.UNREACHABLE:
            known.unreachable[vm] = now

    def _quick_s(self) -> float:
        return max(_LEAST_QUICK_S, self.mean_s * _QUICK_PART)

    def _learn_latency(self, known: Knowledge, latency_s: float) -> None:
        ratio = latency_s / self.mean_s
        known.slowness += 2 * _LATENCY_WEIGHT * (ratio - known.slowness)
        self.mean_s += _LATENCY_WEIGHT * (latency_s - self.mean_s)

    def _able(
        self,
        request: PlacementRequest,
        upstreams: Sequence[UpstreamRecord],
        now: Instant,
    ) -> list[UpstreamRecord]:
        others = [up for up in upstreams if up.name not in request.excluded]
        reachable = [
            up for up in others if not self._of(up.name).is_unreachable(now)
        ]
        # If none can be reached, the paths are at fault more likely.
        return reachable or others

    def _loss(
        self,
        request: PlacementRequest,
        upstream: UpstreamRecord,
        unused_gain: float,
        now: Instant,
    ) -> float:
        known = self._of(upstream.name)
        loss = expected_loss(request, upstream, known, self.mean_s, now)
        if known.is_worth_a_try(now):
            loss -= unused_gain
        # Equal upstreams are drawn by chance, which matters on fallback.
        return loss + self.random.random() * MOST_DRAWN_LOSS

    def _unused_gain(
        self,
        upstreams: Sequence[UpstreamRecord],
        now: Instant,
    ) -> float:
        """Return the gain of using an upstream that had no work.

        Load pattern: few upstreams could carry the load. Were only these
        used, losses elsewhere would find the others untried; the more
        requests are not served, the more of the doubtful ones are used.
        """
        known = [self._of(up.name) for up in upstreams]
        plausible = [item for item in known if item.belief.at(now) < _PLAUSIBLE]
        used = sum(item.is_used(now) for item in plausible)
        gain = _UNUSED_GAIN
        if used >= len(plausible) * _USED_SHARE:
            gain = 0
        count = len(self._ended)
        if count < _LEAST_COUNTED:
            return gain
        unserved = sum(1 for _, is_served in self._ended if not is_served)
        above = unserved / count - _UNSERVED_LOW
        part = max(0, above / (_UNSERVED_HIGH - _UNSERVED_LOW))
        return gain + _UNUSED_GAIN * min(_MOST_UNUSED_GAINS, part)

    def _refusal(
        self,
        request: PlacementRequest,
        best: UpstreamRecord,
        now: Instant,
    ) -> PlacementRefusal | None:
        """Return why the request should not be sent even to `best`.

        Load pattern: more work than the slots carry. A request whose turn
        would come too late is refused while its caller can still wait.
        """
        known = self._of(best.name)
        expected_s = known.expected_s(best, self.mean_s)
        must_wait = known.in_flight >= best.slots
        too_late = expected_s > request.left_s * _MOST_OF_TIME_LEFT
        too_many = known.in_flight >= best.slots * (1 + _QUEUE_FACTOR)
        if must_wait and (too_late or too_many):
            wait_s = max(_LEAST_WAIT_S, expected_s - self.mean_s)
            spread = 1 + self.random.random()
            return PlacementRefusal(
                RefusalReason.OVERLOADED,
                wait_s * spread,
            )
        if request.is_repeat and not self._spend_repeat():
            return PlacementRefusal(
                RefusalReason.REPEAT_BUDGET,
                _LEAST_WAIT_S * (1 + self.random.random()),
            )
        return None

    def _begin(
        self,
        request: PlacementRequest,
        upstream: UpstreamRecord,
        now: Instant,
    ) -> Placement:
        if not request.is_repeat:
            self._repeat_budget().deposit()
        known = self._of(upstream.name)
        placement = Placement(
            upstream.name,
            known.belief.at(now),
            known.in_flight,
            known.belief.age_at(now),
        )
        known.in_flight += 1
        known.last_used = now
        expires = Instant(now + request.left_s + _LEAST_WAIT_S)
        self._flights[request.ticket] = _Flight(upstream.name, now, expires)
        self._outlasting.append(
            (Instant(now + self._quick_s()), request.ticket)
        )
        heappush(self._expiring, (expires, request.ticket))
        return placement

    def _settle(self, now: Instant) -> None:
        """Take in what time alone shows."""
        while self._ended and now - self._ended[0][0] > _UNSERVED_S:
            self._ended.popleft()
        while self._outlasting and self._outlasting[0][0] <= now:
            _, ticket = self._outlasting.popleft()
            flight = self._flights.get(ticket)
            if flight is not None:
                known = self._of(flight.upstream)
                known.belief.outlasted(flight.began, now)
        while self._expiring and self._expiring[0][0] <= now:
            # The VM that sent it may be gone without a word.
            self._release(heappop(self._expiring)[1])

    def _release(self, ticket: Ticket) -> None:
        flight = self._flights.pop(ticket, None)
        if flight is not None:
            self._of(flight.upstream).in_flight -= 1

    def _spend_repeat(self) -> bool:
        return self._repeat_budget().try_withdraw()

    def _repeat_budget(self) -> RetryBudget:
        if self._budget is None:
            self._budget = self.repeats.new_budget()
        return self._budget

    def _of(self, upstream: UpstreamName) -> Knowledge:
        known = self._known.get(upstream)
        if known is None:
            known = Knowledge(Belief(self.model))
            self._known[upstream] = known
        return known
