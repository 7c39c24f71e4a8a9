"""Fair queueing of a service's concurrency among teams."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from teaselquay.decisions._ids import TeamName

Waiter = TypeVar('Waiter')


@dataclass(slots=True)
class FairQueue(Generic[Waiter]):
    """Admits up to `limit` requests and queues the others by team.

    A free slot goes to the waiting team with the fewest running requests;
    ties go to the team whose last admission is the oldest.

    >>> queue = FairQueue(limit=1)
    >>> queue.enter(TeamName('a'), 'a1'), queue.enter(TeamName('a'), 'a2')
    (True, False)
    >>> queue.enter(TeamName('b'), 'b1')
    False
    >>> queue.leave(TeamName('a'))
    'b1'
    """

    limit: int
    running: int = 0
    _running_by_team: dict[TeamName, int] = field(default_factory=dict)
    _waiting: 'OrderedDict[TeamName, deque[Waiter]]' = field(
        default_factory=OrderedDict,
    )
    _admissions: int = 0
    _last_admission: dict[TeamName, int] = field(default_factory=dict)

    def enter(self, team: TeamName, waiter: Waiter) -> bool:
        """Admit the request and return True, or queue it and return False."""
        if self.running < self.limit and not self._waiting:
            self._admit(team)
            return True
        self._waiting.setdefault(team, deque()).append(waiter)
        return False

    def leave(self, team: TeamName) -> Waiter | None:
        """End a running request and return the next admitted waiter, if any."""
        self.running -= 1
        remaining = self._running_by_team.get(team, 1) - 1
        if remaining:
            self._running_by_team[team] = remaining
        else:
            self._running_by_team.pop(team, None)
        return self.admit_next()

    def admit_next(self) -> Waiter | None:
        """Admit and return the next waiter, or None without a free slot."""
        if self.running >= self.limit or not self._waiting:
            return None
        team = min(self._waiting, key=self._admission_order)
        queue = self._waiting[team]
        waiter = queue.popleft()
        if not queue:
            del self._waiting[team]
        self._admit(team)
        return waiter

    def cancel(self, team: TeamName, waiter: Waiter) -> bool:
        """Remove `waiter` and return whether it was still waiting."""
        queue = self._waiting.get(team)
        if queue is None or waiter not in queue:
            return False
        queue.remove(waiter)
        if not queue:
            del self._waiting[team]
        return True

    def waiting(self) -> int:
        """Return how many requests are waiting."""
        return sum(len(queue) for queue in self._waiting.values())

    def _admission_order(self, team: TeamName) -> tuple[int, int]:
        running = self._running_by_team.get(team, 0)
        return running, self._last_admission.get(team, 0)

    def _admit(self, team: TeamName) -> None:
        self._admissions += 1
        self._last_admission[team] = self._admissions
        self.running += 1
        before = self._running_by_team.get(team, 0)
        self._running_by_team[team] = before + 1
