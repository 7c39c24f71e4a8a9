"""Request queues of the services, shared fairly among teams."""

import asyncio
from math import ceil

from teaselquay.decisions import FairQueue, Instant, ServiceName, TeamName
from teaselquay.shells import Health, Node

#: Attempts in flight per slot of an upstream: more than one, so that a slot
#: is not idle until the next request arrives.
_ATTEMPTS_PER_SLOT = 1.5
_MIN_LIMIT = 2


class ServiceQueues:
    """One fair queue for each service."""

    def __init__(self, node: Node, health: Health) -> None:
        """Limit each queue by the slots and the load that `health` knows."""
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
        """Wait for capacity; return whether it was granted by `deadline`."""
        queue = self._queue(service)
        waiter = asyncio.get_running_loop().create_future()
        if queue.enter(team, waiter):
            return True
        try:
            async with asyncio.timeout(deadline - self._node.clock.now()):
                await waiter
        except TimeoutError:
            return self._is_already_admitted(service, team, waiter)
        except asyncio.CancelledError:
            if self._is_already_admitted(service, team, waiter):
                self.leave(service, team)
            raise
        return True

    def leave(self, service: ServiceName, team: TeamName) -> None:
        """Free the capacity of one request, and admit waiting requests."""
        queue = self._queue(service)
        self._wake(queue.leave(team))
        while queue.waiting():
            waiter = queue.admit_next()
            if waiter is None:
                return
            self._wake(waiter)

    def _is_already_admitted(
        self,
        service: ServiceName,
        team: TeamName,
        waiter: 'asyncio.Future[None]',
    ) -> bool:
        """Stop waiting; return whether the request was admitted before."""
        return not self._queue(service).cancel(team, waiter)

    def _queue(
        self,
        service: ServiceName,
    ) -> FairQueue['asyncio.Future[None]']:
        queue = self._by_service.get(service)
        if queue is None:
            queue = FairQueue(limit=_MIN_LIMIT)
            self._by_service[service] = queue
        queue.limit = self._limit(service)
        return queue

    def _limit(self, service: ServiceName) -> int:
        view = self._health.view(service)
        slots = sum(up.slots for up in self._health.candidates(service))
        max_in_flight = _ATTEMPTS_PER_SLOT * slots
        even_share = ceil(max_in_flight / view.verdict.reporters)
        free = int(max_in_flight) - sum(view.load.others.values())
        return max(_MIN_LIMIT, even_share, free)

    def _wake(self, waiter: 'asyncio.Future[None] | None') -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
