"""What the priorities of a service's requests change in their placement."""

from dataclasses import dataclass, field, replace

from teaselquay.coordination._explorers import ExplorerChoice
from teaselquay.coordination._losses import LossEstimate
from teaselquay.coordination._placement import (
    ALL_PRIORITIES,
    FAILURE_OUTCOMES,
    Outcome,
    PlacementRequest,
)
from teaselquay.coordination._queue_room import QueueRoom
from teaselquay.coordination._repeat_reserve import RepeatReserve
from teaselquay.coordination._served_shares import ServedShares
from teaselquay.coordination._shedding import ShedMonitor
from teaselquay.decisions import Instant, RetryBudget

#: Time in seconds for which a service counts as mixed after requests of two
#: priorities.
_MIXED_S = 30.0
_NO_PRIORITY = -1
#: Weight of a request in the mean of the expected work.
_WORK_WEIGHT = 0.05
#: Gain of an explorer's evidence about an upstream. It outweighs the doubt that
#: grows while nothing is known, and is below the loss at a suspected one.
_EVIDENCE_GAIN = 0.2
#: Fraction of its expected work for which a repeat must have time: work varies
#: by about as much again, so that most repeats with less time are too late.
_MIN_WORK_FRACTION = 0.5
#: Fraction of its capacity below which the budget of repeats is short. With
#: more, no repeat is refused because of an estimate, which may be wrong.
_SHORT_BUDGET_FRACTION = 0.5


@dataclass(slots=True)
class Urgency:
    """Rules that hold while requests of several priorities share a service.

    Load pattern: capacity does not suffice for all requests. While all
    requests of a service have one priority, no rule changes a decision.
    """

    shares: ServedShares = field(default_factory=ServedShares)
    room: QueueRoom = field(default_factory=QueueRoom)
    reserve: RepeatReserve = field(default_factory=RepeatReserve)
    explorers: ExplorerChoice = field(default_factory=ExplorerChoice)
    _last_priority: int = _NO_PRIORITY
    _most_urgent: int = 0
    _mixed_until: Instant = Instant(0.0)
    #: Running mean of the expected work of requests.
    _mean_work_s: float = 0.0

    def rank(
        self,
        request: PlacementRequest,
        now: Instant,
    ) -> PlacementRequest:
        """Count `request`, and return it with its effective priority.

        Requests of a starved priority are as urgent as the most urgent ones.
        """
        priority = request.priority
        if priority != self._last_priority:
            if self._last_priority != _NO_PRIORITY:
                self._note_mixed(priority, now)
            self._last_priority = priority
        if not self.is_mixed(now):
            return request
        if request.work_s:
            previous_s = self._mean_work_s or request.work_s
            change_s = _WORK_WEIGHT * (request.work_s - previous_s)
            self._mean_work_s = previous_s + change_s
        self.explorers.record(request.may_repeat, priority, now)
        if self.shares.is_starved(priority):
            return replace(request, priority=self._most_urgent)
        return request

    def is_mixed(self, now: Instant) -> bool:
        """Return whether requests of several priorities came recently."""
        return now < self._mixed_until

    def explores(
        self,
        request: PlacementRequest,
        healthy_count: int,
        now: Instant,
    ) -> bool:
        """Return whether `request` may try doubtful upstreams."""
        if not self.is_mixed(now):
            return True
        return self.explorers.includes(
            request.may_repeat, request.priority, healthy_count, now
        )

    def loss_estimate(
        self,
        request: PlacementRequest,
        mean_s: float,
        sheds: ShedMonitor,
        explores: bool,
        now: Instant,
    ) -> LossEstimate:
        """Return the losses of `request` at the upstreams it may go to.

        Load pattern: all upstreams shed a share of what they are sent. The
        one that shed last is then no worse than others, and better than one
        that fails most requests.
        """
        estimate = LossEstimate(request, mean_s, now)
        if not self.is_mixed(now):
            return estimate
        estimate.extra_work_s = self.extra_work_s(request, now)
        estimate.max_queue_per_slot = self.room.per_slot(request.priority, now)
        if sheds.is_shedding(now):
            estimate.shed_loss = 0
        if explores:
            estimate.evidence_gain = _EVIDENCE_GAIN
        return estimate

    def extra_work_s(
        self,
        request: PlacementRequest,
        now: Instant,
    ) -> float:
        """Return by how much the request's work exceeds the service's mean.

        The mean latency of the service is no measure, as it includes queues.
        """
        if not request.work_s or not self.is_mixed(now):
            return 0
        return request.work_s - self._mean_work_s

    def max_queue(
        self,
        request: PlacementRequest,
        lacks_room: bool,
        now: Instant,
    ) -> float:
        """Return the queue length per slot that is open to `request`.

        `lacks_room` is as in `QueueRoom`.
        """
        self.room.record(request.priority, lacks_room, now)
        return self.room.per_slot(request.priority, now)

    def least_urgent(self, now: Instant) -> int:
        """Return the least urgent priority that is admitted now."""
        if not self.is_mixed(now):
            return ALL_PRIORITIES
        return self.room.least_urgent(now)

    def may_spend(
        self,
        request: PlacementRequest,
        budget: RetryBudget,
        mean_s: float,
        now: Instant,
    ) -> bool:
        """Return whether `request` may take a repeat from `budget`.

        One that cannot complete in time may not while the budget is short.
        """
        if not self.is_mixed(now):
            return True
        work_s = request.work_s or mean_s
        is_short = budget.balance < budget.max_balance * _SHORT_BUDGET_FRACTION
        if is_short and request.left_s < work_s * _MIN_WORK_FRACTION:
            return False
        self.reserve.record(request.priority, now)
        kept = self.reserve.kept(request.priority, budget.max_balance, now)
        return budget.balance - kept >= 1

    def record_refusal(
        self,
        request: PlacementRequest,
        wait_s: float,
        now: Instant,
    ) -> None:
        """Record a refusal, after which an answer takes at least `wait_s`."""
        if self.is_mixed(now) and wait_s > request.left_s:
            self.shares.record(request.priority, is_served=False, now=now)

    def record_end(
        self,
        request: PlacementRequest,
        outcome: Outcome,
        now: Instant,
    ) -> None:
        """Record the outcome of an attempt if the request ends with it."""
        if not self.is_mixed(now):
            return
        is_served = outcome is Outcome.SERVED
        has_run = outcome in FAILURE_OUTCOMES and not request.may_repeat
        is_given_up = outcome is Outcome.SHED and request.is_last
        if is_served or has_run or is_given_up:
            self.shares.record(request.priority, is_served, now)

    def _note_mixed(self, priority: int, now: Instant) -> None:
        urgent = min(priority, self._last_priority)
        if self.is_mixed(now):
            urgent = min(urgent, self._most_urgent)
        self._most_urgent = urgent
        self._mixed_until = Instant(now + _MIXED_S)
