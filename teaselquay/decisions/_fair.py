"""Fair shares of a service's concurrency among teams."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from teaselquay.decisions._ids import TeamName

Waiter = TypeVar('Waiter')


@dataclass(slots=True)
class FairQueue(Generic[Waiter]):
    """Admits up to `limit` requests and queues the others by team.

    A free place goes to the waiting team with the fewest running requests,
    and among equals to the team that was served longest ago.

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
    _turn: int = 0
    _last_turn: dict[TeamName, int] = field(default_factory=dict)

    def enter(self, team: TeamName, waiter: Waiter) -> bool:
        """Return whether the request runs now; otherwise it waits."""
        if self.running < self.limit and not self._waiting:
            self._start(team)
            return True
        self._waiting.setdefault(team, deque()).append(waiter)
        return False

    def leave(self, team: TeamName) -> Waiter | None:
        """End a running request; return the waiter that runs instead."""
        self.running -= 1
        left = self._running_by_team.get(team, 1) - 1
        if left:
            self._running_by_team[team] = left
        else:
            self._running_by_team.pop(team, None)
        return self.admit_next()

    def admit_next(self) -> Waiter | None:
        """Return the next waiter if there is room for it."""
        if self.running >= self.limit or not self._waiting:
            return None
        team = min(self._waiting, key=self._precedence)
        queue = self._waiting[team]
        waiter = queue.popleft()
        if not queue:
            del self._waiting[team]
        self._start(team)
        return waiter

    def cancel(self, team: TeamName, waiter: Waiter) -> bool:
        """Return whether `waiter` was still waiting, and drop it."""
        queue = self._waiting.get(team)
        if queue is None or waiter not in queue:
            return False
        queue.remove(waiter)
        if not queue:
            del self._waiting[team]
        return True

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._waiting.values())

    def _precedence(self, team: TeamName) -> tuple[int, int]:
        running = self._running_by_team.get(team, 0)
        return running, self._last_turn.get(team, 0)

    def _start(self, team: TeamName) -> None:
        self._turn += 1
        self._last_turn[team] = self._turn
        self.running += 1
        held = self._running_by_team.get(team, 0)
        self._running_by_team[team] = held + 1
