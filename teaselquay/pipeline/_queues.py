"""Waiting lines before the services, shared fairly among teams."""

import asyncio
from math import ceil

from teaselquay.decisions import FairQueue, Instant, ServiceName, TeamName
from teaselquay.shells import Health, Node

#: Attempts in flight for each slot, so that slots do not wait for work.
_FILL = 1.5
_LEAST_LIMIT = 2


class ServiceQueues:
    """One fair queue for each service."""

    def __init__(self, node: Node, health: Health) -> None:
        """Limit each queue by what `health` knows of the service."""
        self._node = node
        self._health = health
        self._by_service: dict[
            ServiceName,
            FairQueue[asyncio.Future[None]],
        ] = {}

    async def enter(
        self,
        service: ServiceName,
        team: TeamName,
        deadline: Instant,
    ) -> bool:
        """Return whether a place was free before `deadline`."""
        queue = self._queue(service)
        waiter = asyncio.get_running_loop().create_future()
        if queue.enter(team, waiter):
            return True
        try:
            async with asyncio.timeout(deadline - self._node.clock.now()):
                await waiter
        except TimeoutError:
            return self._gave_up_too_late(service, team, waiter)
        except asyncio.CancelledError:
            if self._gave_up_too_late(service, team, waiter):
                self.leave(service, team)
            raise
        return True

    def leave(self, service: ServiceName, team: TeamName) -> None:
        """Free a place, for the next in line."""
        queue = self._queue(service)
        self._wake(queue.leave(team))
        while queue.waiting():
            waiter = queue.admit_next()
            if waiter is None:
                return
            self._wake(waiter)

    def _gave_up_too_late(
        self,
        service: ServiceName,
        team: TeamName,
        waiter: 'asyncio.Future[None]',
    ) -> bool:
        return not self._queue(service).cancel(team, waiter)

    def _queue(
        self,
        service: ServiceName,
    ) -> FairQueue['asyncio.Future[None]']:
        queue = self._by_service.get(service)
        if queue is None:
            queue = FairQueue(limit=_LEAST_LIMIT)
            self._by_service[service] = queue
        queue.limit = self._limit(service)
        return queue

    def _limit(self, service: ServiceName) -> int:
        view = self._health.view(service)
        slots = sum(up.slots for up in self._health.candidates(service))
        places = _FILL * slots
        share = ceil(places / view.verdict.reporters)
        free = int(places) - sum(view.load.others.values())
        return max(_LEAST_LIMIT, share, free)

    def _wake(self, waiter: 'asyncio.Future[None] | None') -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
