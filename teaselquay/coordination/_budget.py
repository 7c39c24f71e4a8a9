"""The budget of second sends of a whole service."""

from dataclasses import dataclass

from teaselquay.decisions import RetryBudget


@dataclass(frozen=True, slots=True)
class RepeatPolicy:
    """Second sends allowed: a share of all requests, and a stock.

    Both are parts of the fleet's limits (ratio of requests and slack in a
    window), so that a change of coordinator within a window stays inside.
    """

    ratio: float = 0.15
    stock: float = 20.0

    def new_budget(self) -> RetryBudget:
        """Return a budget that begins with half of the stock."""
        return RetryBudget(self.ratio, self.stock / 2, self.stock)
