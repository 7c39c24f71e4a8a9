"""Remote calls between the VMs of a fleet over UDP."""

import asyncio
from dataclasses import dataclass
from functools import lru_cache
from itertools import count
from typing import Any, Callable, Iterable, NamedTuple, Protocol, cast

from absl import logging

from teaselquay.decisions import Incarnation, VmName
from teaselquay.shells._messages import Codec, Fields, MessageError

#: Bit of the call number that marks a message as an answer.
_ANSWER_BIT = 1 << 63
#: Size of the cache of parsed addresses. It exceeds the number of VMs and
#: upstreams of a fleet, since each request reads the addresses of its service.
_ADDRESS_CACHE_SIZE = 16_384


_MAX_PORT = 65_535


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address that `text` states as `host:port`.

        Raises:
            ValueError: the port is not a number up to 65535.

        >>> Address.parse('127.0.0.1:80')
        Address(host='127.0.0.1', port=80)
        """
        return _parse_address(text)


@lru_cache(_ADDRESS_CACHE_SIZE)
def _parse_address(text: str) -> Address:
    host, _, digits = text.rpartition(':')
    port = int(digits)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return Address(host, port)


class Answer(NamedTuple):
    """Kind and fields of a message to be sent, often an answer."""

    kind: str
    fields: Fields | None


@dataclass(frozen=True, slots=True)
class Question:
    """A message received from a peer."""

    sender: VmName
    incarnation: Incarnation
    body: Any


Handler = Callable[[Question], Answer | None]


class PeerTimeoutError(Exception):
    """A peer did not answer in time; it may have executed the call."""


class PeerLink(Protocol):
    """Sends calls to peers and answers theirs.

    `messages` and `octets` count what was sent and received.
    """

    messages: int
    octets: int

    def on(self, kind: str, handler: Handler) -> None:
        """Register `handler` for messages of `kind`."""

    async def call(
        self,
        address: Address,
        kind: str,
        fields: Fields,
        timeout_s: float,
    ) -> Any:
        """Call the peer at `address` and return the body of its answer.

        Raises:
            PeerTimeoutError: no answer came in time.
        """

    def send(
        self,
        address: Address,
        kind: str,
        fields: Fields | None,
    ) -> None:
        """Send a message without waiting for an answer; it may be lost."""

    def send_to_all(
        self,
        addresses: Iterable[Address],
        kind: str,
        fields: Fields | None,
    ) -> int:
        """Send one message to all `addresses`; each copy may be lost.

        Return the length of the message in bytes.
        """


class DatagramLink(asyncio.DatagramProtocol):
    """A peer link over UDP.

    `messages` and `octets` count what was sent and received.
    """

    def __init__(
        self,
        vm: VmName,
        incarnation: Incarnation,
        codec: Codec,
    ) -> None:
        """Create a link; `open` binds it to an address."""
        self.messages = 0
        self.octets = 0
        self._vm = vm
        self._incarnation = incarnation
        self._codec = codec
        self._call_numbers = count(1)
        self._handlers: dict[str, Handler] = {}
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind to `address`.

        Raises:
            OSError: the address is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=address,
        )

    def close(self) -> None:
        """Close the socket; later messages are discarded."""
        if self._transport is not None:
            self._transport.close()

    def on(self, kind: str, handler: Handler) -> None:
        """Register `handler` for messages of `kind`."""
        self._handlers[kind] = handler

    async def call(
        self,
        address: Address,
        kind: str,
        fields: Fields,
        timeout_s: float,
    ) -> Any:
        """Call the peer at `address` and return the body of its answer.

        Raises:
            PeerTimeoutError: no answer came in time.
        """
        number = next(self._call_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        self._send(address, number, Answer(kind, fields))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise PeerTimeoutError(f'{address} did not answer') from error
        finally:
            self._pending.pop(number, None)

    def send(
        self,
        address: Address,
        kind: str,
        fields: Fields | None,
    ) -> None:
        """Send a message without waiting for an answer; it may be lost."""
        self._send(address, next(self._call_numbers), Answer(kind, fields))

    def send_to_all(
        self,
        addresses: Iterable[Address],
        kind: str,
        fields: Fields | None,
    ) -> int:
        """Send one message to all `addresses`; each copy may be lost."""
        datagram = self._encode(next(self._call_numbers), Answer(kind, fields))
        for address in addresses:
            self._send_datagram(address, datagram)
        return len(datagram)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; the call that caused it times out."""

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Dispatch a request to its handler, or an answer to its caller."""
        self.messages += 1
        self.octets += len(data)
        try:
            message = self._codec.decode(data)
        except MessageError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                'peers: discarded a datagram: %s',
                10,
                error,
            )
            return
        if message.call & _ANSWER_BIT:
            self._deliver_answer(message)
        else:
            self._handle_request(message, Address(*addr[:2]))

    def _deliver_answer(self, message: Any) -> None:
        future = self._pending.pop(message.call ^ _ANSWER_BIT, None)
        if future is not None and not future.done():
            future.set_result(getattr(message, message.which()))

    def _handle_request(self, message: Any, address: Address) -> None:
        kind = str(message.which())
        handler = self._handlers.get(kind)
        if handler is None:
            return
        question = Question(
            VmName(message.sender),
            Incarnation(message.incarnation),
            getattr(message, kind),
        )
        try:
            answer = handler(question)
        except Exception:
            logging.exception('peers: a message of kind %s failed', kind)
            return
        if answer is not None:
            self._send(address, message.call | _ANSWER_BIT, answer)

    def _send(self, address: Address, number: int, answer: Answer) -> None:
        self._send_datagram(address, self._encode(number, answer))

    def _encode(self, number: int, message: Answer) -> bytes:
        return self._codec.encode(
            self._vm,
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
