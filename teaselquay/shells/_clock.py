"""Monotonic and wall clocks."""

import time
from typing import Protocol

from teaselquay.decisions import Instant, WallTime


class Clock(Protocol):
    """The source of time, which tests replace."""

    def now(self) -> Instant:
        """Return the seconds of a monotonic clock."""

    def wall(self) -> WallTime:
        """Return the wall-clock time in seconds since the epoch."""


class SystemClock:
    """The clock of the operating system.

    The monotonic clock includes time in which the machine is suspended, so
    that a resumed process at once sees its evidence as stale.
    """

    def now(self) -> Instant:
        """Return the seconds since boot, including suspended time."""
        return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> WallTime:
        """Return the wall-clock time in seconds since the epoch."""
        return WallTime(time.time())
