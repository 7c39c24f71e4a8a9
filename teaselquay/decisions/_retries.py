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

    >>> budget = RetryBudget(share=0.5, balance=0)
    >>> budget.try_withdraw()
    False
    >>> budget.deposit(); budget.deposit()
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    share: float = 0.1
    balance: float = 3.0
    most_saved: float = _MOST_SAVED

    def deposit(self) -> None:
        """Count one request of a caller."""
        self.balance = min(self.most_saved, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Return whether one extra attempt is allowed, and count it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
