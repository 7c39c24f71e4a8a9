"""Rate limits of a team's accounts while a change of the team propagates."""

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

#: A team is split only as far as each account keeps this burst.
_MIN_ACCOUNT_BURST_TOKENS = 16
_MAX_ACCOUNTS_PER_TEAM = 4
#: How long a change is kept for accounts that are opened after it.
_CHANGE_RETENTION_S = 3600.0


def account_count(burst: float) -> int:
    """Return the number of accounts for a team with `burst` tokens.

    >>> [account_count(burst) for burst in (5, 40, 500)]
    [1, 2, 4]
    """
    return max(
        1, min(_MAX_ACCOUNTS_PER_TEAM, int(burst // _MIN_ACCOUNT_BURST_TOKENS))
    )


@dataclass(frozen=True, slots=True)
class Limits:
    """Rate and burst of one account."""

    rate: float
    burst: float

    @classmethod
    def of(cls, team: Team, index: int) -> 'Limits | None':
        """Return the limits of account `index`, or None if there is none."""
        count = account_count(team.burst)
        if index >= count:
            return None
        return cls(team.rate / count, team.burst / count)

    def minimum(self, other: 'Limits') -> 'Limits':
        """Return the lower rate and the lower burst of both limits."""
        return Limits(
            min(self.rate, other.rate),
            min(self.burst, other.burst),
        )


@dataclass(slots=True)
class TeamLimits:
    """The limits that an owner may apply now, per team and account.

    Owners learn of a change at different times, and a changed number of
    accounts moves rate from one owner to another. An increase therefore
    takes effect only after every owner has learned of the change or has
    stopped because its evidence is not fresh. A decrease takes effect at
    once.
    """

    node: Node
    _changes: dict[str, list[tuple[Instant, Team]]] = field(
        default_factory=dict,
    )

    def watch(self) -> None:
        """Track changes of teams in the node's replica."""
        self.node.watch(self._on_entries_changed)

    def effective(self, team_name: str, index: int) -> Limits | None:
        """Return the limits in effect, or None if the account cannot lend."""
        team = self.node.catalog.team(TeamName(team_name))
        limits = Limits.of(team, index) if team else None
        now = self.node.clock.now()
        for changed_at, previous in self._changes.get(team_name, ()):
            previous_limits = Limits.of(previous, index)
            if limits is None or now >= self._fence_end(changed_at):
                continue
            if previous_limits is None:
                return None
            limits = limits.minimum(previous_limits)
        return limits

    def created_at(self, team_name: str, index: int) -> Instant | None:
        """Return when an account that a change added may start to lend.

        Return None if no recent change added the account.
        """
        fence_ends = [
            self._fence_end(changed_at)
            for changed_at, previous in self._changes.get(team_name, ())
            if Limits.of(previous, index) is None
        ]
        return max(fence_ends, default=None)

    def _fence_end(self, changed_at: Instant) -> Instant:
        fence_s = self.node.policy.freshness_s * (1 + MAX_CLOCK_DRIFT)
        return Instant(changed_at + fence_s)

    def _on_entries_changed(self, changed: tuple[Entry, ...]) -> None:
        now = self.node.clock.now()
        for entry in changed:
            previous = _parse_team(self.node.replica.replaced.get(entry.key))
            if previous is not None:
                name = entry.key.removeprefix(Prefix.TEAMS.value)
                recent_changes = [
                    change
                    for change in self._changes.get(name, ())
                    if now - change[0] < _CHANGE_RETENTION_S
                ]
                self._changes[name] = [*recent_changes, (now, previous)]


def _parse_team(entry: Entry | None) -> Team | None:
    if entry is None or not entry.key.startswith(Prefix.TEAMS.value):
        return None
    try:
        found = parse_entry(entry.key, entry.value)
    except EntryError:
        return None
    return found if isinstance(found, Team) else None
