"""Lends tokens of the teams' accounts, and borrows them for callers."""

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
_RETRY_PAUSE_S = 0.05
#: Demand for which one loan takes spare tokens.
_SPARE_S = 0.5
_DEMAND_PERIOD_S = 0.25
_DEMAND_KEEP = 0.8
#: Requests a second below which a team's state is dropped.
_IDLE_DEMAND = 0.01
_MOST_TOKENS = 60000
_MS_PER_S = 1000
_MOST_WAIT_MS = 3_600_000
_EPOCH_SHIFT = 32
_SEPARATOR = '#'
_STATES_AT_ONCE = 100


class Admission(Enum):
    """Whether a request was counted against its team's rate."""

    ADMITTED = 'admitted'
    EXCEEDED = 'exceeded'
    UNAVAILABLE = 'unavailable'


class Lender:
    """Accounts of the partitions that this process owns."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        link: PeerLink,
    ) -> None:
        """Serve loans over `link`."""
        self._node = node
        self._ownership = ownership
        self._by_partition: dict[PartitionId, dict[str, Account]] = {}
        self._closed: dict[PartitionId, dict[str, Account]] = {}
        self._handed: dict[
            PartitionId,
            tuple[int, dict[str, AccountState]],
        ] = {}
        link.on('lend', self._on_lend)
        self._limits = TeamLimits(node)
        self._limits.watch()
        ownership.listen(self._on_tenure)
        ownership.keep(self)

    def lend(
        self,
        account_name: str,
        need: int,
        spare: int,
        settled: Iterable[LoanId],
    ) -> Loan | None:
        """Return a loan, or None if this process cannot lend now.

        It cannot if it is not the owner, or became it so recently that
        loans of the owner before may still be spent.
        """
        tenure = self._ownership.tenure(
            self._ownership.partition(account_name),
        )
        if tenure is None:
            return None
        now = self._node.clock.now()
        account = self._account(account_name, tenure)
        if account is None:
            return Loan(LoanId(0), 0, float(_MOST_WAIT_MS))
        for loan_id in settled:
            account.settle(loan_id, now)
        if account.may_have_prior_loans(now):
            return None
        if need == 0:
            return Loan(LoanId(0), 0)
        return account.lend(need, spare, now)

    def export_state(self, tenure: Tenure) -> list[dict[str, Any]]:
        """Return the accounts of a partition, as fields of messages."""
        now = self._node.clock.now()
        states = [
            _state_fields(name, account.state(now))
            for name, account in self._closed.pop(
                tenure.partition,
                {},
            ).items()
        ]
        return [
            {'accounts': states[first : first + _STATES_AT_ONCE]}
            for first in range(0, len(states), _STATES_AT_ONCE)
        ]

    def import_state(self, tenure: Tenure, parts: list[Any]) -> None:
        """Go on with the accounts in `parts`."""
        states = {
            item.account: AccountState(item.level, item.lent)
            for part in parts
            for item in part.accounts
        }
        self._handed[tenure.partition] = (tenure.claim.epoch, states)

    def _account(self, name: str, tenure: Tenure) -> Account | None:
        team_name, _, index = name.rpartition(_SEPARATOR)
        limits = self._limits.current(team_name, int(index))
        if limits is None:
            return None
        table = self._by_partition.setdefault(tenure.partition, {})
        account = table.get(name)
        if account is None:
            account = self._open(name, limits, tenure)
            table[name] = account
        now = self._node.clock.now()
        account.set_limits(limits.rate, limits.burst, now)
        return account

    def _open(self, name: str, limits: Limits, tenure: Tenure) -> Account:
        now = self._node.clock.now()
        loan_s = self._node.policy.loan_s
        first_id = tenure.claim.epoch << _EPOCH_SHIFT | 1
        rate, burst = limits.rate, limits.burst
        if tenure.claim.is_first:
            return self._open_first(name, limits)
        began = tenure.serving_from or now
        state = self._state_of(name, tenure)
        if state is None:
            return Account.open_without_state(
                rate, burst, loan_s, began, first_id
            )
        return Account.open_handed_over(
            rate,
            burst,
            loan_s,
            began,
            state,
            first_id,
        )

    def _open_first(self, name: str, limits: Limits) -> Account:
        rate, burst = limits.rate, limits.burst
        loan_s = self._node.policy.loan_s
        team_name, _, index = name.rpartition(_SEPARATOR)
        since = self._limits.opened(team_name, int(index))
        if since is not None:
            return Account.open_empty(rate, burst, loan_s, since)
        now = self._node.clock.now()
        return Account.open_first(rate, burst, loan_s, now)

    def _state_of(self, name: str, tenure: Tenure) -> AccountState | None:
        epoch, states = self._handed.get(tenure.partition, (0, {}))
        return states.get(name) if epoch == tenure.claim.epoch else None

    def _on_tenure(self, tenure: Tenure) -> None:
        if tenure.state is OwnerState.LOST:
            table = self._by_partition.pop(tenure.partition, {})
            self._closed[tenure.partition] = table
            self._handed.pop(tenure.partition, None)

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


def _state_fields(name: str, state: AccountState) -> dict[str, Any]:
    return {'account': name, 'level': state.level, 'lent': state.lent}


def _loan_fields(account: str, loan: Loan | None) -> dict[str, Any]:
    if loan is None:
        return {'account': account, 'isOwner': False}
    return {
        'account': account,
        'isOwner': True,
        'loanId': loan.loan_id,
        'amount': min(loan.amount, _MOST_TOKENS),
        'waitMs': int(min(loan.wait_s * _MS_PER_S, _MOST_WAIT_MS)),
    }


@dataclass(slots=True)
class _Stripe:
    """One account of a team, as a borrower sees it."""

    name: str
    partition: PartitionId
    wallet: BorrowedTokens = field(default_factory=BorrowedTokens)
    owner: VmName | None = None


@dataclass(slots=True)
class _TeamState:
    """Stripes and waiting requests of one team."""

    stripes: list[_Stripe]
    waiters: deque['asyncio.Future[Admission]'] = field(
        default_factory=deque,
    )
    asking: 'asyncio.Task[None] | None' = None
    #: Whether loans must be settled early, since the burst is small.
    settles: bool = False
    demand: float = 0.0
    arrivals: int = 0
    wait_s: float = 1.0

    def end_asking(self) -> None:
        """Refuse who still waits."""
        self.asking = None
        _refuse(self.waiters, Admission.UNAVAILABLE)
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
        """Borrow over `link`, or from `lender` in this process."""
        self._node = node
        self._ownership = ownership
        self._link = link
        self._lender = lender
        self._by_team: dict[TeamName, _TeamState] = {}

    def start(self, timers: TimerService) -> None:
        """Subscribe to `timers`."""
        timers.subscribe('settle', _SETTLE_PERIOD_S, self._settle_all)
        timers.subscribe(
            'demand',
            _DEMAND_PERIOD_S,
            self._measure_demand,
        )

    async def admit(self, team: TeamName, burst: float) -> Admission:
        """Return whether one request of `team` is within its rate."""
        state = self._state(team, burst)
        state.arrivals += 1
        if not state.waiters and self._spend(state):
            return Admission.ADMITTED
        waiter = asyncio.get_running_loop().create_future()
        state.waiters.append(waiter)
        if state.asking is None:
            state.asking = asyncio.create_task(self._ask(state))
        return await waiter

    def wait_s(self, team: TeamName) -> float:
        """Return after how many seconds the team is likely to get a token."""
        state = self._by_team.get(team)
        return state.wait_s if state else 1.0

    def _state(self, team: TeamName, burst: float) -> _TeamState:
        count = account_count(burst)
        state = self._by_team.get(team)
        if state is None or len(state.stripes) != count:
            waiting = state.waiters if state else deque()
            known = self._node.catalog.team(team)
            state = _TeamState(
                self._stripes(team, count),
                settles=known is not None and known.burst < known.rate,
            )
            _refuse(waiting, Admission.UNAVAILABLE)
            self._by_team[team] = state
        return state

    def _stripes(self, team: TeamName, count: int) -> list[_Stripe]:
        # Each VM begins with another stripe, so that all are used alike.
        first = stable_hash(self._node.vm, team) % count
        names = (
            f'{team}{_SEPARATOR}{(first + index) % count}'
            for index in range(count)
        )
        return [
            _Stripe(name, self._ownership.partition(name)) for name in names
        ]

    def _spend(self, state: _TeamState) -> bool:
        now = self._node.clock.now()
        return any(stripe.wallet.spend(now) for stripe in state.stripes)

    async def _ask(self, state: _TeamState) -> None:
        deadline = self._node.clock.now() + self._node.policy.loan_s
        try:
            while state.waiters:
                # Who joins during a round was not asked for on all stripes.
                asked_for = tuple(state.waiters)
                reached = await self._ask_stripes(state)
                self._serve(state)
                if reached:
                    _refuse(asked_for, Admission.EXCEEDED)
                elif self._node.clock.now() >= deadline:
                    _refuse(asked_for, Admission.UNAVAILABLE)
                else:
                    await asyncio.sleep(_RETRY_PAUSE_S)
                self._serve(state)
        finally:
            state.end_asking()

    async def _ask_stripes(self, state: _TeamState) -> bool:
        """Return whether the owners of all stripes gave an answer."""
        reached_all = True
        for stripe in state.stripes:
            if not state.waiters:
                break
            loan = await self._borrow(state, stripe)
            if loan is None:
                reached_all = False
                continue
            state.wait_s = loan.wait_s
            self._serve(state)
        return reached_all

    async def _borrow(
        self,
        state: _TeamState,
        stripe: _Stripe,
    ) -> Loan | None:
        asked = self._node.clock.now()
        need = len(state.waiters)
        spare = min(_MOST_TOKENS, int(state.demand * _SPARE_S))
        settled = stripe.wallet.pop_settled()
        owner = self._ownership.owner_of(stripe.partition)
        if owner == self._node.vm:
            loan = self._lender.lend(stripe.name, need, spare, settled)
        else:
            loan = await self._borrow_from(
                owner,
                _need_fields(stripe.name, need, spare, settled),
            )
        if loan is not None:
            loan_s = self._node.policy.loan_s
            length_s = loan_length_s(loan.amount, need, loan_s)
            stripe.wallet.add(loan, asked, length_s)
        return loan

    async def _borrow_from(
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

    def _serve(self, state: _TeamState) -> None:
        while state.waiters:
            if state.waiters[0].done():
                state.waiters.popleft()
                continue
            if not self._spend(state):
                return
            state.waiters.popleft().set_result(Admission.ADMITTED)

    async def _measure_demand(self) -> None:
        for team, state in tuple(self._by_team.items()):
            newest = state.arrivals / _DEMAND_PERIOD_S
            state.arrivals = 0
            state.demand *= _DEMAND_KEEP
            state.demand += (1 - _DEMAND_KEEP) * newest
            if state.demand < _IDLE_DEMAND and state.asking is None:
                # What is left of its loans expires at the owner.
                del self._by_team[team]

    async def _settle_all(self) -> None:
        """Tell the owners which loans are spent, one message to each."""
        needs_by_owner: dict[VmName, list[dict[str, Any]]] = {}
        for stripe, settled in self._settled():
            owner = self._ownership.owner_of(stripe.partition)
            if owner == self._node.vm:
                self._lender.lend(stripe.name, 0, 0, settled)
            elif owner is not None:
                need = _need_fields(stripe.name, 0, 0, settled)
                needs_by_owner.setdefault(owner, []).append(need)
        await asyncio.gather(
            *(
                self._settle_with(owner, needs)
                for owner, needs in needs_by_owner.items()
            ),
        )

    def _settled(self) -> Iterator[tuple[_Stripe, tuple[LoanId, ...]]]:
        for state in self._by_team.values():
            for stripe in state.stripes if state.settles else ():
                settled = stripe.wallet.pop_settled()
                if settled:
                    yield stripe, settled

    async def _settle_with(
        self,
        owner: VmName,
        needs: list[dict[str, Any]],
    ) -> None:
        # A lost settlement only keeps the loan counted until it expires.
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


def _refuse(
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
        'need': min(need, _MOST_TOKENS),
        'spare': spare,
        'settled': list(settled),
    }
