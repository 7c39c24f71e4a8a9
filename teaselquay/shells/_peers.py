"""Calls between the VMs of one fleet, by datagram."""

import asyncio
from dataclasses import dataclass
from functools import lru_cache
from itertools import count
from typing import Any, Callable, Iterable, NamedTuple, Protocol, cast

from absl import logging

from teaselquay.decisions import Incarnation, VmName
from teaselquay.shells._messages import Codec, Fields, MessageError

#: Set in the number of a call that answers another.
_ANSWER_BIT = 1 << 63
#: Addresses whose parsed form is kept: some more than a fleet's VMs and
#: upstreams are, since each request looks at those of its service.
_MOST_ADDRESSES = 16_384


class Address(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address in `text`, such as `127.0.0.1:80`.

        >>> Address.parse('127.0.0.1:80')
        Address(host='127.0.0.1', port=80)
        """
        return _parse_address(text)


@lru_cache(_MOST_ADDRESSES)
def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class Answer(NamedTuple):
    """The kind and the fields of an answer."""

    kind: str
    fields: Fields | None


@dataclass(frozen=True, slots=True)
class Question:
    """A message from a peer."""

    sender: VmName
    incarnation: Incarnation
    body: Any


Handler = Callable[[Question], Answer | None]


class PeerTimeoutError(Exception):
    """A peer did not answer in time; whether it acted is unknown."""


class PeerLink(Protocol):
    """Calls peers and answers their calls."""

    messages: int
    octets: int

    def on(self, kind: str, handler: Handler) -> None:
        """Answer messages of `kind` by `handler`."""

    async def call(
        self,
        address: Address,
        kind: str,
        fields: Fields,
        timeout_s: float,
    ) -> Any:
        """Return the body of the answer.

        Raises:
            PeerTimeoutError: no answer came in time.
        """

    def send(
        self,
        address: Address,
        kind: str,
        fields: Fields | None,
    ) -> None:
        """Send a message that is not answered, and may be lost."""

    def send_to_all(
        self,
        addresses: Iterable[Address],
        kind: str,
        fields: Fields | None,
    ) -> int:
        """Send the same message to many, each of which may miss it.

        Returns its length in bytes.
        """


class DatagramLink(asyncio.DatagramProtocol):
    """A peer link over UDP.

    `messages` and `octets` count what was sent and received.
    """

    def __init__(
        self,
        me: VmName,
        incarnation: Incarnation,
        codec: Codec,
    ) -> None:
        """Make a link that is not open yet."""
        self.messages = 0
        self.octets = 0
        self._me = me
        self._incarnation = incarnation
        self._codec = codec
        self._calls = count(1)
        self._handlers: dict[str, Handler] = {}
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind to `address`.

        Raises:
            OSError: the address is taken.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=address,
        )

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._transport is not None:
            self._transport.close()

    def on(self, kind: str, handler: Handler) -> None:
        """Answer messages of `kind` by `handler`."""
        self._handlers[kind] = handler

    async def call(
        self,
        address: Address,
        kind: str,
        fields: Fields,
        timeout_s: float,
    ) -> Any:
        """Return the body of the answer.

        Raises:
            PeerTimeoutError: no answer came in time.
        """
        number = next(self._calls)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._send(address, number, Answer(kind, fields))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise PeerTimeoutError(f'{address} did not answer') from error
        finally:
            self._waiting.pop(number, None)

    def send(
        self,
        address: Address,
        kind: str,
        fields: Fields | None,
    ) -> None:
        """Send a message that is not answered, and may be lost."""
        self._send(address, next(self._calls), Answer(kind, fields))

    def send_to_all(
        self,
        addresses: Iterable[Address],
        kind: str,
        fields: Fields | None,
    ) -> int:
        """Send the same message to many, each of which may miss it."""
        datagram = self._encode(next(self._calls), Answer(kind, fields))
        for address in addresses:
            self._send_datagram(address, datagram)
        return len(datagram)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals: the caller's timeout tells."""

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Answer a question, or hand an answer to who waits for it."""
        self.messages += 1
        self.octets += len(data)
        try:
            message = self._codec.decode(data)
        except MessageError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                'peers: dropped a datagram: %s',
                10,
                error,
            )
            return
        if message.call & _ANSWER_BIT:
            self._take_answer(message)
        else:
            self._answer(message, Address(*addr[:2]))

    def _take_answer(self, message: Any) -> None:
        future = self._waiting.pop(message.call ^ _ANSWER_BIT, None)
        if future is not None and not future.done():
            future.set_result(getattr(message, message.which()))

    def _answer(self, message: Any, address: Address) -> None:
        kind = str(message.which())
        handler = self._handlers.get(kind)
        if handler is None:
            return
        question = Question(
            VmName(message.sender),
            Incarnation(message.incarnation),
            getattr(message, kind),
        )
        answer = handler(question)
        if answer is not None:
            self._send(address, message.call | _ANSWER_BIT, answer)

    def _send(self, address: Address, number: int, answer: Answer) -> None:
        self._send_datagram(address, self._encode(number, answer))

    def _encode(self, number: int, message: Answer) -> bytes:
        return self._codec.encode(
            self._me,
            self._incarnation,
            number,
            message.kind,
            message.fields,
        )

    def _send_datagram(self, address: Address, datagram: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self.messages += 1
        self.octets += len(datagram)
        self._transport.sendto(datagram, address)
