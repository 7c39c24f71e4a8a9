"""Budget of retries and hedges of one service."""

from dataclasses import dataclass

from teaselquay.decisions import RetryBudget


@dataclass(frozen=True, slots=True)
class RepeatPolicy:
    """Limits of the repeat budget: a share of all requests and a capacity.

    Both are fractions of the fleet's limits (ratio of requests and slack in a
    window), so that a change of coordinator within a window exceeds neither.
    """

    ratio: float = 0.15
    capacity: float = 20.0

    def new_budget(self) -> RetryBudget:
        """Return a new budget that holds half of its capacity."""
        return RetryBudget(self.ratio, self.capacity / 2, self.capacity)
