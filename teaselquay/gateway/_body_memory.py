"""Memory for the request bodies that a VM holds whole."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

#: Bodies up to this length are held without a claim, in bytes. It is what the
#: server of callers buffers of each body anyway.
FREE_BYTES = 1 << 16
#: Bodies up to this length are short, in bytes.
SHORT_BYTES = 1 << 20


@dataclass(slots=True)
class _Pool:
    """An amount of memory that is granted in the order of the requests."""

    capacity_bytes: int
    used_bytes: int = 0
    waiters: deque[tuple[int, 'asyncio.Future[None]']] = field(
        default_factory=deque
    )

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes fit; any size fits into an empty pool."""
        return (
            not self.used_bytes or self.used_bytes + size <= self.capacity_bytes
        )

    async def wait_for(self, size: int) -> None:
        """Wait until `size` bytes are granted."""
        waiter = (size, asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        try:
            await waiter[1]
        except asyncio.CancelledError:
            if not waiter[1].cancelled():
                self.used_bytes -= size
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            self.grant_waiters()
            raise

    def grant_waiters(self) -> None:
        """Grant what fits, in order."""
        while self.waiters and self.has_room(self.waiters[0][0]):
            size, granted = self.waiters.popleft()
            if not granted.done():
                self.used_bytes += size
                granted.set_result(None)


@dataclass(slots=True)
class Claim:
    """Memory that was granted to one body."""

    size: int
    _pool: _Pool

    def release(self) -> None:
        """Return the memory; later calls do nothing."""
        self._pool.used_bytes -= self.size
        self.size = 0
        self._pool.grant_waiters()


@dataclass(slots=True)
class BodyMemory:
    """Bounds the sum of the request bodies that are held.

    Load pattern: several callers send bodies of tens of megabytes at once.
    What finds no room is left in the socket, and takes its turn. Short bodies
    have a pool of their own, so that they do not wait behind long ones.
    """

    short: _Pool = field(default_factory=lambda: _Pool(32 << 20))
    long: _Pool = field(default_factory=lambda: _Pool(64 << 20))

    async def claim(self, size: int) -> Claim:
        """Return the claim of a body of `size` bytes once there is room."""
        pool = self.short if size <= SHORT_BYTES else self.long
        if pool.waiters or not pool.has_room(size):
            await pool.wait_for(size)
        else:
            pool.used_bytes += size
        return Claim(size, pool)
