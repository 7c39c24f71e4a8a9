"""The budget of second sends of a whole service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RepeatPolicy:
    """Second sends allowed: a share of all requests, and a stock.

    Both are parts of the fleet's limits (ratio of requests and slack in a
    window), so that a change of coordinator within a window stays inside.
    """

    ratio: float = 0.15
    stock: float = 20.0


@dataclass(slots=True)
class RepeatBudget:
    """Counts what requests earn and second sends spend.

    >>> budget = RepeatBudget(RepeatPolicy(ratio=0.5, stock=1), saved=0)
    >>> budget.earn(); budget.earn()
    >>> budget.take(), budget.take()
    (True, False)
    """

    policy: RepeatPolicy
    saved: float = -1.0

    def __post_init__(self) -> None:
        """Begin with half of the stock unless told otherwise."""
        if self.saved < 0:
            self.saved = self.policy.stock / 2

    def earn(self) -> None:
        """Count a request."""
        self.saved = min(self.policy.stock, self.saved + self.policy.ratio)

    def take(self) -> bool:
        """Return whether one second send is allowed, and count it."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
