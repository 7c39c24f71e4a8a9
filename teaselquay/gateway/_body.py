"""The body of a request, read once and sent as often as is needed."""

import asyncio
from typing import AsyncIterator

from teaselquay.decisions import ProblemKind, RefusedError, refuse
from teaselquay.pipeline import CallerGoneError, Exchange

#: Part of a body that is kept to send it again. What exceeds it is sent to
#: one upstream only.
_MOST_KEPT_BYTES = 1 << 20


class RequestBody:
    """Reads the caller's body, and then waits for the caller to leave."""

    def __init__(self, exchange: Exchange, most_bytes: int) -> None:
        """Read the body of `exchange`, of `most_bytes` at most."""
        self.caller_gone = asyncio.Event()
        self.is_complete = not exchange.has_body()
        self._exchange = exchange
        self._most_bytes = most_bytes
        self._parts: list[bytes] = []
        self._octets = 0
        self._dropped = 0
        self._error: Exception | None = None
        self._changed = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()
        self._task = asyncio.create_task(self._read())

    @property
    def can_replay(self) -> bool:
        """Return whether the body can be sent from its start."""
        return not self._dropped

    def close(self) -> None:
        """Read no more."""
        self._task.cancel()

    async def read_whole(self) -> bytes:
        """Return the whole body.

        Raises:
            CallerGoneError: the caller left before it was complete.
            RefusedError: it is too large.
        """
        return b''.join([part async for part in self.stream()])

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body from its start, as it comes.

        Raises:
            CallerGoneError: the caller left before it was complete.
            RefusedError: it is too large.
        """
        index = 0
        while True:
            while index < len(self._parts):
                part = self._parts[index]
                index += 1
                if self._octets > _MOST_KEPT_BYTES:
                    self._drop_before(index)
                yield part
            if self._error is not None:
                raise self._error
            if self.is_complete:
                return
            self._changed.clear()
            await self._changed.wait()

    def _drop_before(self, index: int) -> None:
        for position in range(self._dropped, index):
            self._parts[position] = b''
        self._dropped = index
        self._room.set()

    async def _read(self) -> None:
        while True:
            message = await self._exchange.receive()
            if message['type'] == 'http.disconnect':
                if not self.is_complete:
                    self._error = CallerGoneError()
                self.caller_gone.set()
                self._changed.set()
                return
            self._take(message)
            if self._octets > _MOST_KEPT_BYTES and not self.is_complete:
                self._room.clear()
                await self._room.wait()

    def _take(self, message: object) -> None:
        if self.is_complete:
            return
        part = message.get('body', b'')  # type: ignore[attr-defined]
        more = message.get('more_body', False)  # type: ignore[attr-defined]
        self._parts.append(part)
        self._octets += len(part)
        if self._octets > self._most_bytes:
            self._error = _too_large(self._most_bytes)
        elif not more:
            self.is_complete = True
            self._exchange.body_complete = True
        self._changed.set()


def _too_large(most_bytes: int) -> RefusedError:
    return refuse(
        ProblemKind.BODY_TOO_LARGE,
        f'the limit is {most_bytes} bytes',
    )
