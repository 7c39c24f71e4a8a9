"""Memory for the request bodies that a VM holds whole."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from teaselquay.serving import Account, Use

#: Bodies up to this length do not wait behind others.
_TINY_BYTES = 1 << 12
#: Bodies up to this length never wait behind longer ones, in bytes.
SMALL_BYTES = 1 << 16
#: What a small body costs for each byte. It is put together from parts, and
#: the allocator keeps the places of these: 82 bodies of 65 KB cost 10.4 MB.
_SMALL_COST = 2
#: Bodies up to this length are short, in bytes.
SHORT_BYTES = 1 << 20


@dataclass(slots=True)
class _Pool:
    """An amount of memory that is granted in the order of the requests."""

    capacity_bytes: int
    account: Account
    use: Use = Use.BODIES
    cost: int = 1
    used_bytes: int = 0
    waiters: deque[tuple[int, 'asyncio.Future[None]']] = field(
        default_factory=deque
    )

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes fit; any size fits into an empty pool.

        Short bodies have no bound but that of the account, if it has one:
        closing other connections would make no room in a pool of their own.
        """
        is_bounded = self.account.room_bytes is not None
        if self.use is Use.LONG_BODIES or not is_bounded:
            if self.used_bytes and self.used_bytes + size > self.capacity_bytes:
                return False
        return self.account.has_room(size * self.cost, self.use)

    def add(self, size: int) -> None:
        """Count `size` more bytes; fewer if it is negative."""
        self.used_bytes += size
        self.account.add(self.use, size * self.cost)

    async def wait_for(self, size: int) -> None:
        """Wait until `size` bytes are granted."""
        waiter = (size, asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        try:
            await waiter[1]
        except asyncio.CancelledError:
            if not waiter[1].cancelled():
                self.add(-size)
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            self.grant_waiters()
            raise

    def grant_waiters(self) -> None:
        """Grant what fits, in order."""
        while self.waiters and self.has_room(self.waiters[0][0]):
            size, granted = self.waiters.popleft()
            if not granted.done():
                self.add(size)
                granted.set_result(None)


@dataclass(slots=True)
class Claim:
    """Memory that was granted to one body."""

    size: int
    _pool: _Pool
    _memory: 'BodyMemory'

    def release(self) -> None:
        """Return the memory; later calls do nothing."""
        self.shrink(0)

    def shrink(self, size: int) -> None:
        """Return what exceeds `size` bytes."""
        if size < self.size:
            self._pool.add(size - self.size)
            self.size = size
            self._memory.grant_waiters()


def _keep_all(_: int) -> None:
    """Make no room."""


@dataclass(slots=True)
class BodyMemory:
    """Bounds the sum of the request bodies that are held.

    Load pattern: several callers send bodies of tens of megabytes at once.
    What finds no room is left in the socket, and takes its turn. Short bodies
    have a pool of their own, so that they do not wait behind long ones. All
    pools share the room of `account`.
    """

    account: Account = field(default_factory=Account)
    #: Closes connections of clients until so many bytes will be free.
    make_room: Callable[[int], None] = _keep_all
    small: _Pool = field(init=False)
    short: _Pool = field(init=False)
    long: _Pool = field(init=False)

    def __post_init__(self) -> None:
        """Begin with empty pools."""
        self.small = _Pool(16 << 20, self.account, cost=_SMALL_COST)
        self.short = _Pool(32 << 20, self.account)
        self.long = _Pool(64 << 20, self.account, Use.LONG_BODIES)

    def try_claim(self, size: int) -> Claim | None:
        """Return the claim of a body of `size` bytes if there is room."""
        pool = self._pool_for(size)
        if pool.waiters and size > _TINY_BYTES:
            return None
        if not pool.has_room(size):
            return None
        pool.add(size)
        return Claim(size, pool, self)

    async def claim(self, size: int) -> Claim:
        """Return the claim of a body of `size` bytes once there is room."""
        claim = self.try_claim(size)
        if claim is not None:
            return claim
        pool = self._pool_for(size)
        self.make_room(size * pool.cost)
        await pool.wait_for(size)
        return Claim(size, pool, self)

    def grant_waiters(self) -> None:
        """Grant what fits, to short bodies first."""
        for pool in (self.small, self.short, self.long):
            if pool.waiters:
                pool.grant_waiters()

    def awaited_bytes(self) -> int:
        """Return the size of the first short body that waits, or 0."""
        for pool in (self.small, self.short):
            if pool.waiters:
                return pool.waiters[0][0] * pool.cost
        return 0

    def _pool_for(self, size: int) -> _Pool:
        if size <= SMALL_BYTES:
            return self.small
        return self.short if size <= SHORT_BYTES else self.long
