"""Callers that keep their connections, come again, and note what they saw."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Callable, Sequence

from soak._records import Call, Kind, Record
from soak._standins import body_of
from soak._vms import SoakVm
from tests.support.gateway import read_whole

#: Pause between the calls of one caller, in seconds, at most.
_PAUSE_S = 0.2
#: Pause of a caller that was cut off, and longest wait for an answer.
_AGAIN_S = 0.1
_PATIENCE_S = 8.0
#: Share of callers that leave early, and after how many seconds.
_LEAVES = 0.02
_LEAVES_S = 0.05
_UPLOAD_BYTES = 30_000
#: Length of one in so many bookings, which is not held for free.
_LONG_BYTES = 1_500_000
_LONG_EVERY = 40
_WEIGHTS = {Kind.READ: 5, Kind.BOOK: 5, Kind.LOAD: 1}


@dataclass
class Caller:
    """One caller with one connection, to any VM."""

    name: str
    key: str
    random: Random
    record: Record
    now: Callable[[], float]
    _count: int = 0

    async def run(self, vms: Sequence[SoakVm]) -> None:
        """Call until cancelled."""
        while True:
            vm = self.random.choice(vms)
            try:
                await self._use_connection(vm)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(_AGAIN_S)

    async def _use_connection(self, vm: SoakVm) -> None:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            vm.callers.port,
        )
        try:
            while await self._call(vm, reader, writer):
                pause_s = 0 if self.key == 'hot' else _PAUSE_S
                await asyncio.sleep(self.random.uniform(0.01, 0.02 + pause_s))
        finally:
            writer.close()

    async def _call(
        self,
        vm: SoakVm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Return whether the connection can be used again.

        Raises:
            IncompleteReadError: the connection ended without an answer.
        """
        self._count += 1
        kind = self.random.choices(
            list(_WEIGHTS),
            weights=list(_WEIGHTS.values()),
        )[0]
        request = f'{self.name}-{self._count}'
        call = Call(request, kind, self.key, vm.index, self.now())
        self.record.calls.append(call)
        body = b'' if kind is Kind.READ else self._body(kind)
        call.left = self.random.random() < _LEAVES
        patience_s = _LEAVES_S if call.left else _PATIENCE_S
        try:
            async with asyncio.timeout(patience_s):
                writer.write(self._head(call, len(body)) + body)
                status, headers, answer = await read_whole(reader)
        except TimeoutError:
            call.left = True
            return False
        finally:
            call.ended_s = self.now()
        call.status = status
        call.is_own_answer = answer == body_of(request, body)
        return_s = float(headers.get('retry-after', 0))
        await asyncio.sleep(return_s)
        return 'close' not in headers.get('connection', '')

    def _body(self, kind: Kind) -> bytes:
        length = _UPLOAD_BYTES if kind is Kind.LOAD else 10
        if kind is Kind.BOOK and not self._count % _LONG_EVERY:
            length = _LONG_BYTES
        return self.random.randbytes(length)

    def _head(self, call: Call, length: int) -> bytes:
        method = 'GET' if call.kind is Kind.READ else 'POST'
        lines = [
            f'{method} /{call.kind.value}/1 HTTP/1.1',
            'host: soak.example',
            f'x-request-id: {call.request}',
            f'x-key: {call.key}',
            'x-deadline-ms: 5000',
            f'content-length: {length}',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'
