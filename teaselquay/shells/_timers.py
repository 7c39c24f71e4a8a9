"""A timer service that parts subscribe to."""

import asyncio
import sys
from random import Random
from typing import Awaitable, Callable

from absl import logging

Callback = Callable[[], Awaitable[None]]
#: Takes the name of a timer and how late it fired, in seconds.
LateListener = Callable[[str, float], None]

_JITTER = 0.1


class TimerService:
    """Calls each subscriber again and again, one call at a time.

    A call that raises is logged, and the next one comes as usual.
    """

    def __init__(self, random: Random) -> None:
        """Start without subscribers."""
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._late_listeners: list[LateListener] = []

    def on_fired(self, listener: LateListener) -> None:
        """Call `listener` whenever a timer fires."""
        self._late_listeners.append(listener)

    def subscribe(self, name: str, period_s: float, call: Callback) -> None:
        """Call `call` about every `period_s` seconds, first at once."""
        self.subscribe_some(name, period_s, call, sys.maxsize)

    def subscribe_some(
        self,
        name: str,
        period_s: float,
        call: Callback,
        times: int,
    ) -> None:
        """Call `call` as `subscribe` does, but only so many times."""
        task = asyncio.create_task(
            self._repeat(name, period_s, call, times),
            name=f'timer-{name}',
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Call nobody any more."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _repeat(
        self,
        name: str,
        period_s: float,
        call: Callback,
        times: int,
    ) -> None:
        for _ in range(times):
            try:
                await call()
            except Exception:
                logging.exception('timer: %s failed', name)
            spread = 1 + self._random.uniform(-_JITTER, _JITTER)
            await self._sleep(name, period_s * spread)

    async def _sleep(self, name: str, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + pause_s
        await asyncio.sleep(pause_s)
        late_s = loop.time() - due
        for listener in self._late_listeners:
            listener(name, late_s)
