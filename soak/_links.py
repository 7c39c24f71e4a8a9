"""Loopback proxies through which all traffic of a VM goes."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tests.standins.listener import Listener

_CHUNK_BYTES = 1 << 16
#: What a dripping link passes at once, and its pause in seconds.
_DRIP_BYTES = 64
_DRIP_PAUSE_S = 0.01


@dataclass
class TcpLink(Listener):
    """Passes connections on to `target`, unless told to harm them."""

    target: tuple[str, int]
    delay_s: float = 0.0
    #: Nothing passes, and nothing is closed.
    is_silent: bool = False
    #: What the target sends does not pass.
    drops_back: bool = False
    drips: bool = False
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _severed: set[asyncio.StreamWriter] = field(default_factory=set)

    def close(self) -> None:
        """Listen no more, and reset what is open."""
        super().close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def sever(self) -> None:
        """Pass nothing more on the open connections, and close none."""
        self._severed |= self._writers

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass one connection on."""
        try:
            there = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, there[1]}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pump(reader, there[1], is_back=False),
                self._pump(there[0], writer, is_back=True),
            )
        except OSError:
            # A reset passes to the other side.
            for open_writer in both:
                open_writer.transport.abort()
        finally:
            self._forget(both)

    def _forget(self, both: set[asyncio.StreamWriter]) -> None:
        self._writers -= both
        self._severed -= both
        for writer in both:
            writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        while part := await reader.read(_CHUNK_BYTES):
            while self.is_silent:
                await asyncio.sleep(_DRIP_PAUSE_S)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if is_back and self.drops_back or writer in self._severed:
                continue
            await self._write(writer, part)
        writer.close()

    async def _write(self, writer: asyncio.StreamWriter, part: bytes) -> None:
        step = _DRIP_BYTES if self.drips else len(part)
        for begin in range(0, len(part), step):
            writer.write(part[begin : begin + step])
            await writer.drain()
            if self.drips:
                await asyncio.sleep(_DRIP_PAUSE_S)


class PeerLink(asyncio.DatagramProtocol):
    """Passes datagrams on to one VM, and its answers back."""

    def __init__(self, target: tuple[str, int], random: Random) -> None:
        """Lose nothing yet."""
        self.port = 0
        self.loss = 0.0
        self._target = target
        self._random = random
        self._backs: dict[Any, asyncio.DatagramTransport] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=('127.0.0.1', 0),
        )
        self._transport = opened[0]
        self.port = self._transport.get_extra_info('sockname')[1]

    def close(self) -> None:
        """Pass nothing any more."""
        for transport in (self._transport, *self._backs.values()):
            if transport is not None:
                transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on, by chance."""
        if self._random.random() >= self.loss:
            asyncio.ensure_future(self._pass(data, addr))

    async def _pass(self, data: bytes, addr: Any) -> None:
        back = self._backs.get(addr)
        if back is None:
            loop = asyncio.get_running_loop()
            back, _ = await loop.create_datagram_endpoint(
                lambda: _Back(self, addr),
                remote_addr=self._target,
            )
            self._backs[addr] = back
        back.sendto(data)

    def answer(self, data: bytes, addr: Any) -> None:
        """Pass an answer back, by chance."""
        is_lost = self._random.random() < self.loss
        if self._transport is not None and not is_lost:
            self._transport.sendto(data, addr)


class _Back(asyncio.DatagramProtocol):
    """The way back of one asker's datagrams."""

    def __init__(self, link: PeerLink, addr: Any) -> None:
        self._link = link
        self._addr = addr

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._link.answer(data, self._addr)
