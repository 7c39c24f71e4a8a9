"""Buffering of a request body, so that it can be sent more than once."""

import asyncio
from enum import Enum
from typing import AsyncIterator, MutableMapping

from teaselquay.decisions import (
    ProblemKind,
    RefusedError,
    problem,
    refuse,
)
from teaselquay.gateway._body_memory import (
    SHORT_BYTES,
    SMALL_BYTES,
    BodyMemory,
    Claim,
)
from teaselquay.pipeline import BodyDroppedError, CallerGoneError, Exchange

#: Bytes of a streamed body that are held for retries. A longer one can be sent
#: to one upstream only.
_MAX_REPLAY_BYTES = 1 << 20
#: Bytes that are held of a body that is streamed.
_MAX_STREAMED_BYTES = 1 << 17
#: Retry-After of a body for which there was no room, in seconds.
_MEMORY_RETRY_S = 0.3
#: Bytes of a body that are sent at once.
_MAX_PART_BYTES = 1 << 15


class Retention(Enum):
    """Which parts of a request body are held after they have been sent."""

    #: All parts, so that the body can be sent any number of times.
    WHOLE = 'whole'
    #: All parts of a body up to the replay limit, none of a longer one.
    REPLAY = 'replay'


class RequestBody:
    """Reads the caller's body, then waits for the caller to disconnect.

    `caller_gone` is set at the disconnect, and `received_bytes` is the length
    of the body so far.
    """

    def __init__(
        self,
        exchange: Exchange,
        max_bytes: int,
        retention: Retention = Retention.WHOLE,
        memory: BodyMemory | None = None,
        max_wait_s: float | None = None,
    ) -> None:
        """Start reading the body of `exchange`, at most `max_bytes` long.

        What is held of it waits for at most `max_wait_s` seconds until it has
        room in `memory`.
        """
        self.caller_gone = asyncio.Event()
        self.is_complete = not exchange.has_body()
        self.received_bytes = 0
        self._exchange = exchange
        self._max_bytes = max_bytes
        self._retention = retention
        #: The bytes of the body from `_dropped_bytes` on.
        self._buffer = bytearray()
        self._dropped_bytes = 0
        self._memory = memory or BodyMemory()
        self._max_wait_s = max_wait_s
        self._claim: Claim | None = None
        self._error: Exception | None = None
        self._has_changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._task = asyncio.create_task(self._read())

    @property
    def can_replay(self) -> bool:
        """Return whether the body can still be sent from its start."""
        return not self._dropped_bytes

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the part of the body that is held."""
        return len(self._buffer)

    def close(self) -> None:
        """Stop reading, and drop the body."""
        self._task.cancel()
        self._drop_before(self.received_bytes)
        self._replace_claim(None)

    async def wait_for_room(self) -> None:
        """Wait until there is room for what is held of the body.

        Raises:
            CallerGoneError: the caller left before.
            RefusedError: there was no room in time.
        """
        while not self.is_complete and self._is_charged():
            if self._claim is not None:
                return
            await self._wait_for_change()

    async def wait_complete(self) -> None:
        """Wait until the whole body has been received.

        Raises:
            CallerGoneError: the caller left before the body was complete.
            RefusedError: the body exceeds its limit.
        """
        while not self.is_complete:
            await self._wait_for_change()

    def open(self) -> AsyncIterator[bytes]:
        """Return an iterator over the body from its start, as it arrives.

        It raises CallerGoneError if the caller leaves before the body is
        complete, RefusedError if the body exceeds its limit, and
        BodyDroppedError if another iterator has made parts be dropped that
        it has not yielded yet.

        Raises:
            BodyDroppedError: the start of the body is no longer held.
        """
        if not self.can_replay:
            raise BodyDroppedError
        return self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        position = 0
        while True:
            while position < self.received_bytes:
                part = self._held_from(position)
                position += len(part)
                if self._is_streamed():
                    self._drop_before(position)
                yield part
            if self.is_complete:
                return
            await self._wait_for_change()

    def _held_from(self, position: int) -> bytes:
        """Return a part of the body that begins at `position`.

        Raises:
            BodyDroppedError: it is no longer held.
        """
        begin = position - self._dropped_bytes
        if begin < 0:
            raise BodyDroppedError
        with memoryview(self._buffer) as held:
            return bytes(held[begin : begin + _MAX_PART_BYTES])

    async def _wait_for_change(self) -> None:
        if self._error is not None:
            raise self._error
        self._has_changed.clear()
        await self._has_changed.wait()

    def _is_streamed(self) -> bool:
        """Return whether parts are dropped once they have been read."""
        return (
            self._retention is Retention.REPLAY
            and self.received_bytes > _MAX_REPLAY_BYTES
        )

    def _drop_before(self, position: int) -> None:
        del self._buffer[: position - self._dropped_bytes]
        self._dropped_bytes = position
        self._has_room.set()
        if self._claim is not None and self._is_streamed():
            # Only what was received last is held from now on.
            self._claim.shrink(_MAX_STREAMED_BYTES)

    async def _read(self) -> None:
        while self._error is None:
            if not await self._claim_memory():
                return
            message = await self._exchange.receive()
            if message['type'] == 'http.disconnect':
                if not self.is_complete:
                    self._error = CallerGoneError()
                self.caller_gone.set()
                self._has_changed.set()
                return
            self._append_message(message)
            if self._is_streamed() and not self.is_complete:
                self._has_room.clear()
                await self._has_room.wait()

    async def _claim_memory(self) -> bool:
        """Claim the memory of the next part; return whether there is room.

        It is claimed before the part is read, for the whole body if its
        length is known, else in steps.
        """
        if self.is_complete or not self._is_charged():
            return True
        size = self._next_size()
        if self._claim is not None and size <= self._claim.size:
            return True
        claim = self._memory.try_claim(size)
        if claim is None:
            try:
                async with asyncio.timeout(self._max_wait_s):
                    claim = await self._memory.claim(size)
            except TimeoutError:
                self._error = no_memory('bodies')
                self._has_changed.set()
                return False
        self._replace_claim(claim)
        self._has_changed.set()
        return True

    def _is_charged(self) -> bool:
        """Return whether the next part is held for long.

        A body that is streamed is held up to the replay limit. It is charged
        only where the memory of the VM is bounded.
        """
        if self._retention is Retention.WHOLE:
            return True
        is_bounded = self._memory.account.room_bytes is not None
        return is_bounded and not self._dropped_bytes

    def _next_size(self) -> int:
        """Return the length that the body may have after the next part."""
        length = self._exchange.header(b'content-length')
        if length is not None:
            return self._held_size(int(length))
        if not self.received_bytes:
            return SMALL_BYTES
        if self.received_bytes + SMALL_BYTES <= SHORT_BYTES:
            return SHORT_BYTES
        return self._held_size(max(SHORT_BYTES + 1, self._max_bytes))

    def _held_size(self, length: int) -> int:
        """Return how much of `length` bytes is held at once."""
        if self._retention is Retention.WHOLE:
            return length
        return min(length, _MAX_REPLAY_BYTES)

    def _replace_claim(self, claim: Claim | None) -> None:
        if self._claim is not None:
            self._claim.release()
        self._claim = claim

    def _append_message(self, message: MutableMapping[str, object]) -> None:
        if self.is_complete:
            return
        part = message.get('body', b'')
        assert isinstance(part, bytes)
        if self.received_bytes + len(part) > self._max_bytes:
            self._error = _too_large(self._max_bytes)
        else:
            self._buffer += part
            self.received_bytes += len(part)
            self.is_complete = not message.get('more_body', False)
            self._exchange.body_complete = self.is_complete
        self._has_changed.set()


def no_memory(holders: str) -> RefusedError:
    """Return the refusal of a request whose memory `holders` take."""
    refusal = problem(ProblemKind.QUEUE_TIMEOUT)
    detail = f'other {holders} take the memory of this VM'
    refusal = refusal.with_detail(detail)
    return RefusedError(refusal.with_retry_after(_MEMORY_RETRY_S))


def _too_large(max_bytes: int) -> RefusedError:
    return refuse(
        ProblemKind.BODY_TOO_LARGE,
        f'the limit is {max_bytes} bytes',
    )
