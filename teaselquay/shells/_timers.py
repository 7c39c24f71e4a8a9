"""Periodic callbacks on the event loop."""

import asyncio
import sys
from random import Random
from typing import Awaitable, Callable

from absl import logging

Callback = Callable[[], Awaitable[None]]
#: Called with the name of a timer and its delay in seconds.
LateListener = Callable[[str, float], None]

_JITTER_RATIO = 0.1


class TimerService:
    """Calls each subscriber periodically, one call at a time.

    An exception in a call is logged, and the timer continues.
    """

    def __init__(self, random: Random) -> None:
        """Create a service that varies periods by `random`."""
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._late_listeners: list[LateListener] = []

    def on_fired(self, listener: LateListener) -> None:
        """Call `listener` with the delay whenever a timer fires."""
        self._late_listeners.append(listener)

    def subscribe(self, name: str, period_s: float, callback: Callback) -> None:
        """Call `callback` at once, then about every `period_s` seconds."""
        self.subscribe_some(name, period_s, callback, sys.maxsize)

    def subscribe_some(
        self,
        name: str,
        period_s: float,
        callback: Callback,
        times: int,
    ) -> None:
        """Call `callback` as `subscribe` does, but only `times` times."""
        task = asyncio.create_task(
            self._repeat(name, period_s, callback, times),
            name=f'timer-{name}',
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all timers."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _repeat(
        self,
        name: str,
        period_s: float,
        callback: Callback,
        times: int,
    ) -> None:
        for _ in range(times):
            try:
                await callback()
            except Exception:
                logging.exception('timer: %s failed', name)
            jitter_factor = 1 + self._random.uniform(
                -_JITTER_RATIO, _JITTER_RATIO
            )
            await self._sleep_and_report(name, period_s * jitter_factor)

    async def _sleep_and_report(self, name: str, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + pause_s
        await asyncio.sleep(pause_s)
        late_s = loop.time() - due
        for listener in self._late_listeners:
            listener(name, late_s)
