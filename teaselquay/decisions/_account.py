"""Token bucket of one team, lent to VMs in portions that expire.

The owner of an account is the only source of tokens. It counts the tokens
that it lent for as long as they can still be spent, so that at any instant

    level + lent <= burst

and the tokens spent in any window are at most `rate * window + burst`.
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NewType

from teaselquay.decisions._ids import Instant

#: Number of a loan, unique for one owner of one account.
LoanId = NewType('LoanId', int)

#: Upper bound of the relative difference in rate of the clocks of two VMs.
MAX_CLOCK_DRIFT = 0.001
#: A loan includes at most this fraction (1/n) of the level left after `need`
#: as spare tokens.
_SPARE_LEVEL_DIVISOR = 4
#: A loan without spare tokens lasts this fraction (1/n) of the usual time.
_SHORT_LOAN_DIVISOR = 4


def loan_length_s(amount: int, need: int, loan_s: float) -> float:
    """Return how long a loan of `amount` can be spent, in seconds.

    A loan without spare tokens is spent on arrival, so it need not count
    for longer than its reply may be under way.
    """
    return loan_s if amount > need else loan_s / _SHORT_LOAN_DIVISOR


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens that a borrower may spend.

    An `amount` of 0 is a refusal; `wait_s` is then the time until the next
    token.
    """

    loan_id: LoanId
    amount: int
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AccountState:
    """Free and lent tokens of an account, passed on to its next owner."""

    level: float
    lent: float


@dataclass(slots=True)
class Account:
    """Token bucket of one team at its owner.

    `loan_s` is how long a loan with spare tokens can be spent. The borrower
    counts from when it sent its request, the owner from when the request
    arrived.
    """

    rate: float
    burst: float
    loan_s: float
    level: float = 0.0
    _updated: Instant = Instant(0.0)
    _prior_loans_end: Instant = Instant(0.0)
    _next_id: int = 1
    _lent: float = 0.0
    _by_id: dict[LoanId, float] = field(default_factory=dict)
    _expiries: list[tuple[Instant, LoanId]] = field(default_factory=list)

    @classmethod
    def open_without_state(
        cls,
        rate: float,
        burst: float,
        loan_s: float,
        now: Instant,
        first_id: int = 1,
    ) -> 'Account':
        """Return an account that assumes that all tokens are lent.

        The previous owner may have lent a whole burst just before.
        """
        account = cls(rate, burst, loan_s, _updated=now, _next_id=first_id)
        account._prior_loans_end = Instant(now + loan_s)
        account._add_loan(now, burst, loan_s)
        return account

    @classmethod
    def open_handed_over(
        cls,
        rate: float,
        burst: float,
        loan_s: float,
        now: Instant,
        state: 'AccountState',
        first_id: int = 1,
    ) -> 'Account':
        """Return an account that continues `state` of the previous owner."""
        account = cls(rate, burst, loan_s, _updated=now, _next_id=first_id)
        account._add_loan(now, state.lent, loan_s)
        account.level = min(state.level, account._room())
        return account

    @classmethod
    def open_first(
        cls,
        rate: float,
        burst: float,
        loan_s: float,
        now: Instant,
    ) -> 'Account':
        """Return a full account, from which no owner can have lent before."""
        return cls(rate, burst, loan_s, level=burst, _updated=now)

    @classmethod
    def open_empty(
        cls,
        rate: float,
        burst: float,
        loan_s: float,
        since: Instant,
    ) -> 'Account':
        """Return an account that is empty at `since` and refills from then.

        Used when changed limits give a team another number of accounts: the
        team may have spent its burst from the accounts replaced.
        """
        return cls(rate, burst, loan_s, _updated=since)

    def may_have_prior_loans(self, now: Instant) -> bool:
        """Return whether loans of the previous owner may still be spent."""
        return now < self._prior_loans_end

    @property
    def lent(self) -> float:
        """Return the tokens that borrowers may still spend."""
        return self._lent

    def state(self, now: Instant) -> 'AccountState':
        """Return the state that the next owner continues from."""
        self._refill(now)
        return AccountState(self.level, self._lent)

    def set_limits(self, rate: float, burst: float, now: Instant) -> None:
        """Apply a changed rate and burst from `now` on."""
        if (rate, burst) != (self.rate, self.burst):
            self._refill(now)
            self.rate = rate
            self.burst = burst
            self.level = min(self.level, self._room())

    def lend(self, need: int, spare: int, now: Instant) -> Loan:
        """Return a loan of 0 to `need + spare` tokens."""
        self._refill(now)
        free = int(self.level)
        granted_spare = min(spare, max(0, free - need) // _SPARE_LEVEL_DIVISOR)
        amount = min(free, need + granted_spare)
        if amount <= 0:
            return Loan(LoanId(0), 0, self._wait_s())
        self.level -= amount
        length_s = loan_length_s(amount, need, self.loan_s)
        return Loan(self._add_loan(now, amount, length_s), amount)

    def settle(self, loan_id: LoanId, now: Instant) -> None:
        """Stop counting a loan from which nothing can be spent any more.

        Settling a loan twice, or one of another owner, changes nothing.
        """
        self._refill(now)
        self._lent = max(0.0, self._lent - self._by_id.pop(loan_id, 0.0))

    def _wait_s(self) -> float:
        shortfall = max(0.0, 1.0 - self.level)
        return shortfall / self.rate if self.rate > 0 else float('inf')

    def _room(self) -> float:
        return max(0.0, self.burst - self._lent)

    def _refill(self, now: Instant) -> None:
        # Loans expire one at a time, in order, so that the level never
        # refills room that was still lent at that time.
        while self._expiries and self._expiries[0][0] <= now:
            expiry, loan_id = heappop(self._expiries)
            self._fill_until(expiry)
            self._lent = max(0.0, self._lent - self._by_id.pop(loan_id, 0.0))
        self._fill_until(now)

    def _fill_until(self, instant: Instant) -> None:
        # The drift bound keeps a fast clock from exceeding the team's rate.
        elapsed = max(0.0, instant - self._updated) * (1 - MAX_CLOCK_DRIFT)
        refilled = self.level + elapsed * self.rate
        self.level = max(0.0, min(refilled, self._room()))
        self._updated = max(self._updated, instant)

    def _add_loan(
        self,
        now: Instant,
        amount: float,
        length_s: float,
    ) -> LoanId:
        loan_id = LoanId(self._next_id)
        self._next_id += 1
        self._by_id[loan_id] = amount
        heappush(self._expiries, (Instant(now + length_s), loan_id))
        self._lent += amount
        return loan_id


@dataclass(slots=True)
class BorrowedTokens:
    """Tokens of one account that a VM has borrowed and may spend."""

    _loans: list[tuple[Instant, LoanId, int]] = field(default_factory=list)
    _spent_loans: list[LoanId] = field(default_factory=list)

    def add(self, loan: Loan, requested: Instant, length_s: float) -> None:
        """Add a loan of `length_s` that was requested at `requested`.

        It expires earlier by the drift bound, in case the local clock is
        slow.
        """
        if loan.amount > 0:
            expiry = Instant(requested + length_s * (1 - MAX_CLOCK_DRIFT))
            heappush(self._loans, (expiry, loan.loan_id, loan.amount))

    def spend(self, now: Instant) -> bool:
        """Spend one token and return True, or return False if none is left."""
        while self._loans and self._loans[0][0] <= now:
            heappop(self._loans)
        if not self._loans:
            return False
        expiry, loan_id, amount = heappop(self._loans)
        if amount > 1:
            heappush(self._loans, (expiry, loan_id, amount - 1))
        else:
            self._spent_loans.append(loan_id)
        return True

    def pop_settled(self) -> tuple[LoanId, ...]:
        """Return and remove the loans spent whole since the last call."""
        settled = tuple(self._spent_loans)
        self._spent_loans.clear()
        return settled
