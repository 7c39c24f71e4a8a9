"""Lends rate-limit tokens of team accounts, and borrows them for requests.

A team's rate and burst are split into accounts, the stripes, each kept by
the owner of the partition that the account's name hashes to.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Iterable, Iterator

from teaselquay.decisions import (
    Account,
    AccountState,
    BorrowedTokens,
    Loan,
    LoanId,
    OwnerState,
    PartitionId,
    TeamName,
    Tenure,
    VmName,
    loan_length_s,
    stable_hash,
)
from teaselquay.shells._limits import Limits, TeamLimits, account_count
from teaselquay.shells._node import Node
from teaselquay.shells._ownership import Ownership
from teaselquay.shells._peers import (
    Answer,
    PeerLink,
    PeerTimeoutError,
    Question,
)
from teaselquay.shells._timers import TimerService

_CALL_TIMEOUT_S = 0.25
_SETTLE_PERIOD_S = 0.05
_RETRY_DELAY_S = 0.05
#: How much expected demand one loan covers with spare tokens.
_SPARE_DEMAND_S = 0.5
_DEMAND_PERIOD_S = 0.25
#: Share of the previous estimate in the moving average of demand.
_DEMAND_DECAY = 0.8
#: Demand in requests per second below which a team's state is dropped.
_IDLE_DEMAND_PER_S = 0.01
_MAX_TOKENS = 60000
_MS_PER_S = 1000
_MAX_WAIT_MS = 3_600_000
_EPOCH_SHIFT_BITS = 32
_STRIPE_SEPARATOR = '#'
_MAX_STATES_PER_MESSAGE = 100


class Admission(Enum):
    """Whether a request was admitted under its team's rate limit."""

    ADMITTED = 'admitted'
    EXCEEDED = 'exceeded'
    UNAVAILABLE = 'unavailable'


class Lender:
    """Lends from the accounts in the partitions that this process owns."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        link: PeerLink,
    ) -> None:
        """Answer loan requests over `link`."""
        self._node = node
        self._ownership = ownership
        self._accounts: dict[PartitionId, dict[str, Account]] = {}
        self._closed_accounts: dict[PartitionId, dict[str, Account]] = {}
        self._imported_states: dict[
            PartitionId,
            tuple[int, dict[str, AccountState]],
        ] = {}
        link.on('lend', self._on_lend)
        self._limits = TeamLimits(node)
        self._limits.watch()
        ownership.add_listener(self._on_tenure_changed)
        ownership.add_state_handler(self)

    def lend(
        self,
        account_name: str,
        need: int,
        spare: int,
        settled: Iterable[LoanId],
    ) -> Loan | None:
        """Return a loan, or None if this process cannot lend now.

        A process cannot lend while it does not own the partition, or while
        tokens that the previous owner lent may still be spent.
        """
        tenure = self._ownership.tenure(
            self._ownership.partition(account_name),
        )
        if tenure is None:
            return None
        now = self._node.clock.now()
        account = self._account_for(account_name, tenure)
        if account is None:
            return Loan(LoanId(0), 0, float(_MAX_WAIT_MS))
        for loan_id in settled:
            account.settle(loan_id, now)
        if account.may_have_prior_loans(now):
            return None
        if need == 0:
            return Loan(LoanId(0), 0)
        return account.lend(need, spare, now)

    def export_state(self, tenure: Tenure) -> list[dict[str, Any]]:
        """Return the accounts of a partition as the fields of messages."""
        now = self._node.clock.now()
        states = [
            _account_state_fields(name, account.state(now))
            for name, account in self._closed_accounts.pop(
                tenure.partition,
                {},
            ).items()
        ]
        return [
            {'accounts': states[first : first + _MAX_STATES_PER_MESSAGE]}
            for first in range(0, len(states), _MAX_STATES_PER_MESSAGE)
        ]

    def import_state(self, tenure: Tenure, parts: list[Any]) -> None:
        """Keep the account states in `parts` for when accounts open."""
        states = {
            item.account: AccountState(item.level, item.lent)
            for part in parts
            for item in part.accounts
        }
        self._imported_states[tenure.partition] = (tenure.claim.epoch, states)

    def _account_for(self, name: str, tenure: Tenure) -> Account | None:
        team_name, _, index = name.rpartition(_STRIPE_SEPARATOR)
        limits = self._limits.effective(team_name, int(index))
        if limits is None:
            return None
        table = self._accounts.setdefault(tenure.partition, {})
        account = table.get(name)
        if account is None:
            account = self._open_account(name, limits, tenure)
            table[name] = account
        now = self._node.clock.now()
        account.set_limits(limits.rate, limits.burst, now)
        return account

    def _open_account(
        self, name: str, limits: Limits, tenure: Tenure
    ) -> Account:
        now = self._node.clock.now()
        loan_s = self._node.policy.loan_s
        first_id = tenure.claim.epoch << _EPOCH_SHIFT_BITS | 1
        rate, burst = limits.rate, limits.burst
        if tenure.claim.is_first:
            return self._open_first_account(name, limits)
        opened_at = tenure.serving_from or now
        state = self._imported_state(name, tenure)
        if state is None:
            return Account.open_without_state(
                rate, burst, loan_s, opened_at, first_id
            )
        return Account.open_handed_over(
            rate,
            burst,
            loan_s,
            opened_at,
            state,
            first_id,
        )

    def _open_first_account(self, name: str, limits: Limits) -> Account:
        rate, burst = limits.rate, limits.burst
        loan_s = self._node.policy.loan_s
        team_name, _, index = name.rpartition(_STRIPE_SEPARATOR)
        created_at = self._limits.created_at(team_name, int(index))
        if created_at is not None:
            return Account.open_empty(rate, burst, loan_s, created_at)
        now = self._node.clock.now()
        return Account.open_first(rate, burst, loan_s, now)

    def _imported_state(self, name: str, tenure: Tenure) -> AccountState | None:
        epoch, states = self._imported_states.get(tenure.partition, (0, {}))
        return states.get(name) if epoch == tenure.claim.epoch else None

    def _on_tenure_changed(self, tenure: Tenure) -> None:
        if tenure.state is OwnerState.LOST:
            table = self._accounts.pop(tenure.partition, {})
            self._closed_accounts[tenure.partition] = table
            self._imported_states.pop(tenure.partition, None)

    def _on_lend(self, question: Question) -> Answer:
        loans = []
        for item in question.body.needs:
            loan = self.lend(
                item.account,
                item.need,
                item.spare,
                list(item.settled),
            )
            loans.append(_loan_fields(item.account, loan))
        return Answer('lent', {'loans': loans})


def _account_state_fields(name: str, state: AccountState) -> dict[str, Any]:
    return {'account': name, 'level': state.level, 'lent': state.lent}


def _loan_fields(account: str, loan: Loan | None) -> dict[str, Any]:
    if loan is None:
        return {'account': account, 'isOwner': False}
    return {
        'account': account,
        'isOwner': True,
        'loanId': loan.loan_id,
        'amount': min(loan.amount, _MAX_TOKENS),
        'waitMs': int(min(loan.wait_s * _MS_PER_S, _MAX_WAIT_MS)),
    }


@dataclass(slots=True)
class _Stripe:
    """One account of a team, as seen by a borrower."""

    name: str
    partition: PartitionId
    wallet: BorrowedTokens = field(default_factory=BorrowedTokens)
    owner: VmName | None = None


@dataclass(slots=True)
class _TeamState:
    """Stripes, demand and waiting requests of one team."""

    stripes: list[_Stripe]
    waiters: deque['asyncio.Future[Admission]'] = field(
        default_factory=deque,
    )
    borrowing_task: 'asyncio.Task[None] | None' = None
    #: Whether spent loans are settled before they expire. True if the burst
    #: is smaller than one second of the rate.
    settles_early: bool = False
    demand: float = 0.0
    arrivals: int = 0
    wait_s: float = 1.0

    def stop_borrowing(self) -> None:
        """Mark borrowing as stopped and refuse the remaining waiters."""
        self.borrowing_task = None
        _resolve(self.waiters, Admission.UNAVAILABLE)
        self.waiters.clear()


class Borrower:
    """Admits requests with tokens that it borrows from the owners."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        link: PeerLink,
        lender: Lender,
    ) -> None:
        """Borrow over `link`, or from `lender` if this process is owner."""
        self._node = node
        self._ownership = ownership
        self._link = link
        self._lender = lender
        self._by_team: dict[TeamName, _TeamState] = {}

    def start(self, timers: TimerService) -> None:
        """Run settlement and demand measurement periodically."""
        timers.subscribe('settle', _SETTLE_PERIOD_S, self._settle_all)
        timers.subscribe(
            'demand',
            _DEMAND_PERIOD_S,
            self._measure_demand,
        )

    async def admit(self, team: TeamName, burst: float) -> Admission:
        """Wait for a token of `team` and return whether there was one."""
        state = self._team_state(team, burst)
        state.arrivals += 1
        if not state.waiters and self._spend_token(state):
            return Admission.ADMITTED
        waiter = asyncio.get_running_loop().create_future()
        state.waiters.append(waiter)
        if state.borrowing_task is None:
            state.borrowing_task = asyncio.create_task(
                self._run_borrowing(state)
            )
        return await waiter

    def wait_s(self, team: TeamName) -> float:
        """Return the expected wait in seconds for a token of `team`."""
        state = self._by_team.get(team)
        return state.wait_s if state else 1.0

    def _team_state(self, team: TeamName, burst: float) -> _TeamState:
        count = account_count(burst)
        state = self._by_team.get(team)
        if state is None or len(state.stripes) != count:
            waiting = state.waiters if state else deque()
            known = self._node.catalog.team(team)
            state = _TeamState(
                self._stripes(team, count),
                settles_early=known is not None and known.burst < known.rate,
            )
            _resolve(waiting, Admission.UNAVAILABLE)
            self._by_team[team] = state
        return state

    def _stripes(self, team: TeamName, count: int) -> list[_Stripe]:
        # VMs start with different stripes, which balances the load.
        first = stable_hash(self._node.vm, team) % count
        names = (
            f'{team}{_STRIPE_SEPARATOR}{(first + index) % count}'
            for index in range(count)
        )
        return [
            _Stripe(name, self._ownership.partition(name)) for name in names
        ]

    def _spend_token(self, state: _TeamState) -> bool:
        now = self._node.clock.now()
        return any(stripe.wallet.spend(now) for stripe in state.stripes)

    async def _run_borrowing(self, state: _TeamState) -> None:
        deadline = self._node.clock.now() + self._node.policy.loan_s
        try:
            while state.waiters:
                # Requests that arrive during a round were not included in
                # the requests to all stripes, so they wait for the next one.
                waiting_before = tuple(state.waiters)
                all_answered = await self._borrow_from_all_stripes(state)
                self._admit_waiters(state)
                if all_answered:
                    _resolve(waiting_before, Admission.EXCEEDED)
                elif self._node.clock.now() >= deadline:
                    _resolve(waiting_before, Admission.UNAVAILABLE)
                else:
                    await asyncio.sleep(_RETRY_DELAY_S)
                self._admit_waiters(state)
        finally:
            state.stop_borrowing()

    async def _borrow_from_all_stripes(self, state: _TeamState) -> bool:
        """Borrow from each stripe and return whether all owners answered."""
        has_all_answers = True
        for stripe in state.stripes:
            if not state.waiters:
                break
            loan = await self._borrow_for_stripe(state, stripe)
            if loan is None:
                has_all_answers = False
                continue
            state.wait_s = loan.wait_s
            self._admit_waiters(state)
        return has_all_answers

    async def _borrow_for_stripe(
        self,
        state: _TeamState,
        stripe: _Stripe,
    ) -> Loan | None:
        requested_at = self._node.clock.now()
        need = len(state.waiters)
        spare = min(_MAX_TOKENS, int(state.demand * _SPARE_DEMAND_S))
        settled = stripe.wallet.pop_settled()
        owner = self._ownership.owner_of(stripe.partition)
        if owner == self._node.vm:
            loan = self._lender.lend(stripe.name, need, spare, settled)
        else:
            loan = await self._request_loan(
                owner,
                _need_fields(stripe.name, need, spare, settled),
            )
        if loan is not None:
            loan_s = self._node.policy.loan_s
            length_s = loan_length_s(loan.amount, need, loan_s)
            stripe.wallet.add(loan, requested_at, length_s)
        return loan

    async def _request_loan(
        self,
        owner: VmName | None,
        need: dict[str, Any],
    ) -> Loan | None:
        address = self._node.peer_address(owner) if owner else None
        if address is None:
            return None
        try:
            lent = await self._link.call(
                address,
                'lend',
                {'needs': [need]},
                _CALL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return None
        loan = lent.loans[0]
        if not loan.isOwner:
            return None
        wait_s = loan.waitMs / _MS_PER_S
        return Loan(LoanId(loan.loanId), loan.amount, wait_s)

    def _admit_waiters(self, state: _TeamState) -> None:
        while state.waiters:
            if state.waiters[0].done():
                state.waiters.popleft()
                continue
            if not self._spend_token(state):
                return
            state.waiters.popleft().set_result(Admission.ADMITTED)

    async def _measure_demand(self) -> None:
        for team, state in tuple(self._by_team.items()):
            arrivals_per_s = state.arrivals / _DEMAND_PERIOD_S
            state.arrivals = 0
            state.demand *= _DEMAND_DECAY
            state.demand += (1 - _DEMAND_DECAY) * arrivals_per_s
            if (
                state.demand < _IDLE_DEMAND_PER_S
                and state.borrowing_task is None
            ):
                # Unspent loans expire at the owner.
                del self._by_team[team]

    async def _settle_all(self) -> None:
        """Report settled loans, in one message to each owner."""
        needs_by_owner: dict[VmName, list[dict[str, Any]]] = {}
        for stripe, settled in self._settled_loans():
            owner = self._ownership.owner_of(stripe.partition)
            if owner == self._node.vm:
                self._lender.lend(stripe.name, 0, 0, settled)
            elif owner is not None:
                need = _need_fields(stripe.name, 0, 0, settled)
                needs_by_owner.setdefault(owner, []).append(need)
        await asyncio.gather(
            *(
                self._send_settlements(owner, needs)
                for owner, needs in needs_by_owner.items()
            ),
        )

    def _settled_loans(self) -> Iterator[tuple[_Stripe, tuple[LoanId, ...]]]:
        for state in self._by_team.values():
            for stripe in state.stripes if state.settles_early else ():
                settled = stripe.wallet.pop_settled()
                if settled:
                    yield stripe, settled

    async def _send_settlements(
        self,
        owner: VmName,
        needs: list[dict[str, Any]],
    ) -> None:
        # Without a settlement, the loan is counted until it expires.
        address = self._node.peer_address(owner)
        if address is None:
            return
        try:
            await self._link.call(
                address,
                'lend',
                {'needs': needs},
                _CALL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return


def _resolve(
    waiters: Iterable['asyncio.Future[Admission]'],
    admission: Admission,
) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(admission)


def _need_fields(
    account: str,
    need: int,
    spare: int,
    settled: Iterable[LoanId],
) -> dict[str, Any]:
    return {
        'account': account,
        'need': min(need, _MAX_TOKENS),
        'spare': spare,
        'settled': list(settled),
    }
