"""Budgets that keep retries and hedges a small share of all requests."""

from dataclasses import dataclass

#: Extra attempts that one VM may save up.
_MOST_SAVED = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Allows one extra attempt for every `1 / share` requests.

    Each VM, or each coordinator of a service, keeps its own budget; as each
    is a share of the requests counted there, all of them together are the
    same share of the fleet's requests.

    >>> budget = RetryBudget(share=0.5, saved=0)
    >>> budget.take()
    False
    >>> budget.earn(); budget.earn()
    >>> budget.take(), budget.take()
    (True, False)
    """

    share: float = 0.1
    saved: float = 3.0
    most_saved: float = _MOST_SAVED

    def earn(self) -> None:
        """Count one request of a caller."""
        self.saved = min(self.most_saved, self.saved + self.share)

    def take(self) -> bool:
        """Return whether one extra attempt is allowed, and count it."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
