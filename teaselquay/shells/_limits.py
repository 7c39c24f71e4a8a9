"""Limits of the accounts of one team, while a change of it spreads."""

from dataclasses import dataclass, field

from teaselquay.decisions import (
    MAX_CLOCK_DRIFT,
    Entry,
    EntryError,
    Instant,
    Prefix,
    Team,
    TeamName,
    parse_entry,
)
from teaselquay.shells._node import Node

#: Tokens of burst that one account of a team should have at least.
_LEAST_BURST = 16
_MOST_ACCOUNTS = 4
#: How long a change is remembered for accounts that open later.
_KEEP_S = 3600.0


def account_count(burst: float) -> int:
    """Return into how many accounts a team's rate and burst are split.

    >>> [account_count(burst) for burst in (5, 40, 500)]
    [1, 2, 4]
    """
    return max(1, min(_MOST_ACCOUNTS, int(burst // _LEAST_BURST)))


@dataclass(frozen=True, slots=True)
class Limits:
    """Rate and burst of one account."""

    rate: float
    burst: float

    @classmethod
    def of(cls, team: Team, index: int) -> 'Limits | None':
        """Return the limits of the account with `index`, if there is one."""
        count = account_count(team.burst)
        if index >= count:
            return None
        return cls(team.rate / count, team.burst / count)

    def lower(self, other: 'Limits') -> 'Limits':
        """Return the lower of each limit."""
        return Limits(
            min(self.rate, other.rate),
            min(self.burst, other.burst),
        )


@dataclass(slots=True)
class TeamLimits:
    """Gives the limits that an owner may use right now.

    Owners learn of a change at different times, and another number of
    accounts moves rate from one owner to another. So what grows is held
    back until every owner has learned of the change or has stopped for
    want of fresh evidence; what shrinks holds at once.
    """

    node: Node
    _changes: dict[str, list[tuple[Instant, Team]]] = field(
        default_factory=dict,
    )

    def watch(self) -> None:
        """Follow the changes of the node's replica."""
        self.node.watch(self._on_changes)

    def current(self, team_name: str, index: int) -> Limits | None:
        """Return the limits of an account, or None if it must not lend."""
        team = self.node.catalog.team(TeamName(team_name))
        limits = Limits.of(team, index) if team else None
        now = self.node.clock.now()
        for seen, before in self._changes.get(team_name, ()):
            old = Limits.of(before, index)
            if limits is None or now >= self._fence_end(seen):
                continue
            if old is None:
                return None
            limits = limits.lower(old)
        return limits

    def opened(self, team_name: str, index: int) -> Instant | None:
        """Return since when an account exists, if a change brought it."""
        ends = [
            self._fence_end(seen)
            for seen, before in self._changes.get(team_name, ())
            if Limits.of(before, index) is None
        ]
        return max(ends, default=None)

    def _fence_end(self, seen: Instant) -> Instant:
        fence_s = self.node.policy.freshness_s * (1 + MAX_CLOCK_DRIFT)
        return Instant(seen + fence_s)

    def _on_changes(self, changed: tuple[Entry, ...]) -> None:
        now = self.node.clock.now()
        for entry in changed:
            before = _team_in(self.node.replica.replaced.get(entry.key))
            if before is not None:
                name = entry.key.removeprefix(Prefix.TEAMS.value)
                recent = [
                    change
                    for change in self._changes.get(name, ())
                    if now - change[0] < _KEEP_S
                ]
                self._changes[name] = [*recent, (now, before)]


def _team_in(entry: Entry | None) -> Team | None:
    if entry is None or not entry.key.startswith(Prefix.TEAMS.value):
        return None
    try:
        found = parse_entry(entry.key, entry.value)
    except EntryError:
        return None
    return found if isinstance(found, Team) else None
