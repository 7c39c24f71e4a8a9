"""Links between machines: a proxy for datagrams in front of each one."""

import asyncio
from typing import Any

_Where = tuple[str, int]


class Links:
    """Passes datagrams between machines, except those that are cut off.

    The proxy of a machine has an address of its own, which the store's
    stand-in tells in place of the machine's.
    """

    def __init__(self) -> None:
        """Begin without a cut."""
        self.cut: set[_Where] = set()

    async def add(self, machine: _Where, proxy: _Where) -> None:
        """Open the proxy of a machine."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: _Front(self, machine), local_addr=proxy
        )

    def is_open(self, one: _Where, other: _Where) -> bool:
        """Return whether two machines reach each other."""
        return one not in self.cut and other not in self.cut


class _Front(asyncio.DatagramProtocol):
    """Receives what is sent to a machine."""

    def __init__(self, links: Links, machine: _Where) -> None:
        self._links = links
        self._machine = machine
        self._backs: dict[_Where, _Back] = {}
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on, on a socket of its sender."""
        sender = (addr[0], addr[1])
        if not self._links.is_open(sender, self._machine):
            return
        back = self._backs.get(sender)
        if back is None:
            back = _Back(self, self._links, sender, self._machine)
            self._backs[sender] = back
        back.send(data)


class _Back(asyncio.DatagramProtocol):
    """Passes on what one machine sends to another, and the answers."""

    def __init__(
        self, front: _Front, links: Links, sender: _Where, machine: _Where
    ) -> None:
        self._front = front
        self._links = links
        self._sender = sender
        self._machine = machine
        self._waiting: list[bytes] = []
        self._transport: Any = None
        loop = asyncio.get_running_loop()
        self._opening = loop.create_task(
            loop.create_datagram_endpoint(
                lambda: self, local_addr=('127.0.0.1', 0)
            )
        )

    def connection_made(self, transport: Any) -> None:
        """Send what waits."""
        self._transport = transport
        for data in self._waiting:
            transport.sendto(data, self._machine)
        self._waiting.clear()

    def send(self, data: bytes) -> None:
        """Send a datagram to the machine."""
        if self._transport is None:
            self._waiting.append(data)
        else:
            self._transport.sendto(data, self._machine)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Return an answer to the sender."""
        if self._links.is_open(self._sender, self._machine):
            self._front.transport.sendto(data, self._sender)
