"""Account of the memory and descriptors that clients use. No I/O, no clock.

Load patterns: crowds that send heads of very many fields, bodies that do not
end, or pipelined requests, and crowds that do not read their responses.
"""

from dataclasses import dataclass, field
from enum import Enum

#: Cost of a connection without a request: its transport, protocol and parser.
#: 614 connections that had sent 15 KB each cost 14 MB.
CONNECTION_BYTES = 8192
#: Cost of a parsed field beside its bytes: a tuple, two objects and the places
#: of these in lists. 3,900 fields of four bytes cost 130 to 180 bytes each.
_FIELD_BYTES = 180
#: Cost of a request beside its head and body: its task and its state. 82
#: requests whose bodies had not come cost 5 KB each.
_REQUEST_BYTES = 8192
#: A head is held as it was received and as fields.
_HEAD_COPIES = 2
#: Part of the free memory that clients may use. The rest is for peers, the
#: store, readiness, and what the allocator cannot reuse: 1.5 times the charge
#: was resident with unread responses.
_CLIENT_SHARE = 1 / 2
#: Part of the clients' memory that remains for short requests while a long
#: body is held.
_SHORT_SHARE = 1 / 4
#: Least free memory, as a part of all, if the idle process uses more.
_MIN_FREE_SHARE = 1 / 16
#: Descriptors that are reserved for files.
_FILE_DESCRIPTORS = 200
#: Parts of the descriptors for sockets.
_PEER_SHARE = 1 / 8
_CONTROL_SHARE = 1 / 16
#: Fewest connections that are accepted at an address.
_MIN_CONNECTIONS = 8


class Use(Enum):
    """What memory of the account is used for."""

    CONNECTIONS = 'connections'
    HEADS = 'heads'
    BODIES = 'bodies'
    LONG_BODIES = 'long-bodies'
    RESPONSES = 'responses'
    PIPELINED = 'pipelined'


def head_cost(head: bytes | bytearray) -> int:
    r"""Return the memory that a head takes once it is parsed, in bytes.

    >>> head_cost(b'GET / HTTP/1.1\r\na:\r\nb:\r\n\r\n')
    8964
    """
    fields = head.count(b'\r\n') * _FIELD_BYTES
    return _REQUEST_BYTES + len(head) * _HEAD_COPIES + fields


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Most connections at the addresses; None if they are not bounded."""

    callers: int | None = None
    control: int | None = None

    @classmethod
    def from_descriptors(cls, max_descriptors: int) -> 'ConnectionBounds':
        """Return the bounds of a process with `max_descriptors`.

        A request may need a connection to an upstream beside that of its
        caller, so callers get half of what peers, the store and readiness
        leave.

        >>> ConnectionBounds.from_descriptors(1535)
        ConnectionBounds(callers=543, control=83)
        >>> ConnectionBounds.from_descriptors(0)
        ConnectionBounds(callers=None, control=None)
        """
        if not max_descriptors:
            return cls()
        sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
        control = int(sockets * _CONTROL_SHARE)
        rest = sockets - control - int(sockets * _PEER_SHARE)
        return cls(
            max(_MIN_CONNECTIONS, rest // 2),
            max(_MIN_CONNECTIONS, control),
        )


@dataclass(slots=True)
class Account:
    """Memory that clients use, by kind, and the room for it.

    >>> account = Account(memory_bytes=152_000_000)
    >>> account.measure(52_000_000)
    >>> account.room_bytes
    50000000
    >>> account.has_room(80_000_000, Use.LONG_BODIES)
    True
    >>> account.add(Use.LONG_BODIES, 67_000_000)
    >>> account.has_room(12_000_000), account.has_room(13_000_000)
    (True, False)
    >>> account.has_room(1, Use.LONG_BODIES)
    False
    """

    #: Memory of the VM; 0 if it is not bounded.
    memory_bytes: int = 0
    #: What clients may use together; None if it is not bounded.
    room_bytes: int | None = None
    used_bytes: int = 0
    long_bytes: int = 0
    bytes_by_use: dict[Use, int] = field(
        default_factory=lambda: dict.fromkeys(Use, 0),
    )
    #: Connections closed and requests refused, by reason.
    closed_by_reason: dict[str, int] = field(default_factory=dict)
    _peak_bytes: int = 0
    #: Resident memory of the process before it served any client.
    _idle_bytes: int = 0

    def measure(self, resident_bytes: int) -> None:
        """Derive the room from the resident memory of the process.

        The allocator does not return all that clients used, so their peak is
        deducted to find what the process itself needs.
        """
        if not self.memory_bytes:
            return
        self._idle_bytes = self._idle_bytes or resident_bytes
        own_bytes = max(self._idle_bytes, resident_bytes - self._peak_bytes)
        free_bytes = max(
            self.memory_bytes - own_bytes,
            int(self.memory_bytes * _MIN_FREE_SHARE),
        )
        self.room_bytes = int(free_bytes * _CLIENT_SHARE)

    def add(self, use: Use, size: int) -> None:
        """Count `size` more bytes; fewer if it is negative."""
        self.bytes_by_use[use] += size
        self.used_bytes += size
        if use is Use.LONG_BODIES:
            self.long_bytes += size
        self._peak_bytes = max(self._peak_bytes, self.used_bytes)

    def has_room(self, size: int, use: Use = Use.HEADS) -> bool:
        """Return whether `size` more bytes fit; one long body always does."""
        if self.room_bytes is None:
            return True
        if use is Use.LONG_BODIES:
            return (
                not self.long_bytes or self.used_bytes + size <= self.room_bytes
            )
        return self.missing_bytes(size) <= 0

    def missing_bytes(self, size: int = 0) -> int:
        """Return how many bytes lack until `size` more short ones fit."""
        if self.room_bytes is None:
            return -size
        room_bytes = max(
            self.room_bytes - self.long_bytes,
            int(self.room_bytes * _SHORT_SHARE),
        )
        return self.used_bytes - self.long_bytes + size - room_bytes

    def count_closed(self, reason: str) -> None:
        """Count a connection that was closed, or a refusal."""
        self.closed_by_reason[reason] = self.closed_by_reason.get(reason, 0) + 1
