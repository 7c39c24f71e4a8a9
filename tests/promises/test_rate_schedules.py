"""Any order of loans, payments, waits and takeovers keeps the rate."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

import pytest

from teaselquay.decisions import (
    Account,
    BorrowedTokens,
    Instant,
    Loan,
    loan_length_s,
)
from tests.support.rates import most_over_admitted

RATE = 10.0
BURST = 12.0
LOAN_S = 1.0
BORROWERS = 4


class AccountSchedules(RuleBasedStateMachine):
    """One account, several borrowers, and owners that come and go."""

    def __init__(self) -> None:
        """Start with an account that nobody has lent from."""
        super().__init__()
        self.now = 100.0
        self.account = Account.open_first(RATE, BURST, LOAN_S, self._instant())
        self.wallets = [BorrowedTokens() for _ in range(BORROWERS)]
        self.on_the_way: list[tuple[int, Loan, float, float]] = []
        self.admitted: list[float] = []

    @rule(seconds=st.floats(0.001, 1.5))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule(
        who=st.integers(0, BORROWERS - 1),
        need=st.integers(1, 12),
        spare=st.integers(0, 200),
        is_late=st.booleans(),
    )
    def borrow(self, who: int, need: int, spare: int, is_late: bool) -> None:
        """Ask for tokens; the answer may come later."""
        loan = self.account.lend(need, spare, self._instant())
        length_s = loan_length_s(loan.amount, need, LOAN_S)
        if is_late:
            self.on_the_way.append((who, loan, self.now, length_s))
        else:
            self.wallets[who].add(loan, self._instant(), length_s)

    @rule()
    def deliver(self) -> None:
        """Deliver what is on the way."""
        for who, loan, asked, length_s in self.on_the_way:
            self.wallets[who].add(loan, Instant(asked), length_s)
        self.on_the_way.clear()

    @rule(who=st.integers(0, BORROWERS - 1), most=st.integers(1, 30))
    def spend(self, who: int, most: int) -> None:
        """Admit requests with what the wallet holds."""
        for _ in range(most):
            if not self.wallets[who].spend(self._instant()):
                return
            self.admitted.append(self.now)

    @rule(who=st.integers(0, BORROWERS - 1))
    def settle(self, who: int) -> None:
        """Tell the owner which loans are spent."""
        for loan_id in self.wallets[who].pop_settled():
            self.account.settle(loan_id, self._instant())

    @rule()
    def replace_owner(self) -> None:
        """Let an owner take over that knows nothing."""
        self.account = Account.open_without_state(
            RATE,
            BURST,
            LOAN_S,
            self._instant(),
            self.account._next_id + 1,
        )

    @rule()
    def hand_over(self) -> None:
        """Let an owner take over that was told the state."""
        self.account = Account.open_handed_over(
            RATE,
            BURST,
            LOAN_S,
            self._instant(),
            self.account.state(self._instant()),
            self.account._next_id + 1,
        )

    @invariant()
    def no_window_is_exceeded(self) -> None:
        """Check all windows at once."""
        assert most_over_admitted(self.admitted, RATE, BURST) == 0

    def _instant(self) -> Instant:
        return Instant(self.now)


AccountSchedules.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)


@pytest.mark.promise
class TestAccountSchedules(AccountSchedules.TestCase):
    """Run the schedules."""
