"""Bounds on what the clients of a process use, and closing of connections."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Callable, Iterable, Protocol

from teaselquay.serving._account import Account

#: Deferred work that is done in one iteration of the event loop. One piece
#: parses a few thousand chunks, or starts a pipelined request.
_TURNS_PER_ITERATION = 4
#: More than what lacks is freed, as a part of the room, since connections are
#: sorted each time.
_SPARE_SHARE = 1 / 16
#: Time after which connections are looked through again if none was found
#: that may be closed, in seconds.
_SCAN_PAUSE_S = 0.05
_DEFAULT_HEADER_TIMEOUT_S = 3.0


class Connection(Protocol):
    """A connection of a client, as far as bounds concern it."""

    def closing_rank(self, now: float) -> tuple[int, float] | None:
        """Return the order in which to close it, or None to keep it."""

    def is_new(self, now: float) -> bool:
        """Return whether it was accepted just now and has sent nothing."""

    def held_bytes(self) -> int:
        """Return the memory that closing it frees."""

    def close_early(self, reason: str) -> None:
        """Close it, whatever it is doing."""

    def expired_reason(self, now: float) -> str | None:
        """Return why its time is over, or None."""


class Turns:
    """Deferred work of connections, a little in each iteration of the loop.

    Load pattern: hundreds of connections send chunks of one byte, or very many
    pipelined requests. Other requests are served in between.
    """

    def __init__(self) -> None:
        """Begin without work."""
        self._callbacks: deque[Callable[[], None]] = deque()

    def add(self, callback: Callable[[], None]) -> None:
        """Call `callback` when its turn has come."""
        if not self._callbacks:
            asyncio.get_running_loop().call_soon(self._run)
        self._callbacks.append(callback)

    def _run(self) -> None:
        for _ in range(min(_TURNS_PER_ITERATION, len(self._callbacks))):
            self._callbacks.popleft()()
        if self._callbacks:
            asyncio.get_running_loop().call_soon(self._run)


@dataclass(slots=True, eq=False)
class ClientGroup:
    """The connections at the addresses of one server."""

    clients: 'Clients'
    #: Most connections, None if they are not bounded.
    max_connections: int | None = None
    #: Whether requests are served although the account has no room.
    is_reserved: bool = False
    #: Connections in the order in which they were accepted.
    connections: dict[Connection, None] = field(default_factory=dict)

    def admit(self, connection: Connection) -> bool:
        """Add a connection; return whether it may stay."""
        self.connections[connection] = None
        most = self.max_connections
        if most is None or len(self.connections) <= most:
            return True
        now = asyncio.get_running_loop().time()
        others = (each for each in self.connections if each is not connection)
        ranked = _ranked(others, now)
        if not ranked:
            self.clients.count_closed('descriptors')
            return False
        min(ranked, key=_rank_of)[1].close_early('descriptors')
        return True

    def discard(self, connection: Connection) -> None:
        """Remove a connection that was lost."""
        self.connections.pop(connection, None)

    def sweep(self) -> None:
        """Close the connections whose time is over."""
        now = asyncio.get_running_loop().time()
        for connection in tuple(self.connections):
            reason = connection.expired_reason(now)
            if reason is not None:
                connection.close_early(reason)


@dataclass(slots=True, eq=False)
class Clients:
    """All connections of clients, and the account of what they use."""

    account: Account = field(default_factory=Account)
    header_timeout_s: float = _DEFAULT_HEADER_TIMEOUT_S
    turns: Turns = field(default_factory=Turns)
    groups: list[ClientGroup] = field(default_factory=list)
    #: Connections closed since the last sweep, by reason.
    recently_closed: Counter[str] = field(default_factory=Counter)
    _scan_after: float = 0.0

    def group(
        self,
        max_connections: int | None = None,
        is_reserved: bool = False,
    ) -> ClientGroup:
        """Return a new group of connections."""
        group = ClientGroup(self, max_connections, is_reserved)
        self.groups.append(group)
        return group

    def reserve(self, size: int) -> bool:
        """Return whether `size` bytes fit, after making room if need be."""
        if self.account.has_room(size):
            return True
        self.make_room(size)
        return self.account.has_room(size)

    def make_room(self, size: int) -> None:
        """Close connections until so many bytes will be free.

        Idle connections and incomplete heads are closed first, then responses
        that are not read, then requests whose body is incomplete.
        """
        missing_bytes = self.account.missing_bytes(size)
        now = asyncio.get_running_loop().time()
        if missing_bytes <= 0 or now < self._scan_after:
            return
        assert self.account.room_bytes is not None
        missing_bytes += int(self.account.room_bytes * _SPARE_SHARE)
        ranked = _ranked(self._holders(now), now)
        ranked.sort(key=_rank_of)
        for _, connection in ranked:
            if missing_bytes <= 0:
                return
            missing_bytes -= connection.held_bytes()
            connection.close_early('memory')
        self._scan_after = now + _SCAN_PAUSE_S

    def count_closed(self, reason: str) -> None:
        """Count a connection that was closed, or a refused request."""
        self.account.count_closed(reason)
        self.recently_closed[reason] += 1

    def take_recently_closed(self) -> Counter[str]:
        """Return the connections closed since the last call, by reason."""
        taken = self.recently_closed
        self.recently_closed = Counter()
        return taken

    def _holders(self, now: float) -> list[Connection]:
        """Return the connections whose closing may free memory.

        New connections that have sent nothing hold little, and are not closed
        before their request can be refused.
        """
        return [
            connection
            for group in self.groups
            if not group.is_reserved
            for connection in group.connections
            if not connection.is_new(now)
        ]


_Ranked = tuple[tuple[int, float], Connection]


def _ranked(connections: Iterable[Connection], now: float) -> list[_Ranked]:
    """Return the connections that may be closed with their ranks."""
    pairs = ((each.closing_rank(now), each) for each in connections)
    return [(rank, each) for rank, each in pairs if rank is not None]


def _rank_of(ranked: _Ranked) -> tuple[int, float]:
    return ranked[0]
