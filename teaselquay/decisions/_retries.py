"""Retry budgets, which limit retries and hedges to a share of requests."""

from dataclasses import dataclass

#: Maximum number of extra attempts that one VM can accumulate.
_MAX_BALANCE_ATTEMPTS = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Allows one extra attempt for every `1 / share` requests.

    Each VM, or each coordinator of a service, has its own budget. As each
    budget is a share of the requests counted there, all of them together
    are the same share of the fleet's requests.

    >>> budget = RetryBudget(share=0.5, balance=0)
    >>> budget.try_withdraw()
    False
    >>> budget.deposit(); budget.deposit()
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    share: float = 0.1
    balance: float = 3.0
    max_balance: float = _MAX_BALANCE_ATTEMPTS

    def deposit(self) -> None:
        """Add the share that one request of a caller contributes."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Withdraw one extra attempt; return whether the balance allows it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
