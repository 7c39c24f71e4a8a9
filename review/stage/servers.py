"""Stand-in of a server, as PROTOCOL.md tells of it."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Awaitable, Callable

from stage.http import Message, head_of, read_body, read_head
from stage.record import Record
from stage.store import Store

HEARTBEAT_S = 1.5
_QUEUE = 24
#: Writes the answer to a request that the server works on.
Work = Callable[['Server', Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Server:
    """One server with slots, a short queue and a heartbeat in the store."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    store: Store
    record: Record
    work: Work
    slots: int = 6
    sequence: int = 0
    state: str = 'ready'
    _busy: int = 0
    _waiting: int = 0
    born_ms: int = 1_700_000_000_000
    crashes: int = 0
    _free: asyncio.Condition = field(default_factory=asyncio.Condition)
    _listener: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)
    _is_up: bool = True

    async def start(self) -> 'asyncio.Task[None]':
        """Listen, and return the task that writes to the store."""
        await self._listen()
        return asyncio.create_task(self._beat())

    async def crash(self, down_s: float) -> None:
        """End all at once, and start again with another id."""
        assert self._listener is not None
        self._is_up = False
        self._listener.close()
        for writer in tuple(self._open):
            writer.transport.abort()
        old = self.name
        self.record.add('crashes', server=old)
        await asyncio.sleep(down_s)
        self.crashes += 1
        self.born_ms += int(self.record.now() * 1000)
        self.name = f'{old.partition(".")[0]}.{self.crashes}'
        self.sequence = 0
        await self._listen()
        self._is_up = True
        await self.write_entry()
        # Its entry goes after three heartbeats of silence.
        await asyncio.sleep(max(0, 3 * HEARTBEAT_S - down_s))
        await self.store.remove(f'servers/{old}')

    async def _listen(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def write_entry(self) -> None:
        """Write to the store what the server says of itself."""
        self.sequence += 1
        document = {
            'address': f'{self.host}:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'capacity': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmup-left': '0ms',
            },
            'born': self.born_ms,
        }
        await self.store.put(
            f'servers/{self.name}', json.dumps(document).encode()
        )

    async def _beat(self) -> None:
        while True:
            if self._is_up:
                await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await self._take(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._open.discard(writer)

    async def _take(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = request.fields.get('x-request-id', '')
        await read_body(reader, request)
        if request.first.split()[1] == '/health':
            writer.write(
                head_of(
                    'HTTP/1.1 200 OK',
                    {'X-Instance-Id': self.name, 'Content-Length': '0'},
                )
            )
            return
        if request.fields.get('x-expect-instance', self.name) != self.name:
            self.decline(request, writer, '421 Misdirected Request')
            return
        if self._waiting >= _QUEUE:
            self.record.add('rejected', request=name, server=self.name)
            self.decline(request, writer, '503 Service Unavailable')
            return
        self._waiting += 1
        async with self._free:
            await self._free.wait_for(lambda: self._busy < self.slots)
            self._waiting -= 1
            self._busy += 1
        # Most servers drop a request when its connection closes.
        working = asyncio.create_task(self._run(request, writer))
        closing = asyncio.create_task(_closed(reader, working))
        try:
            await asyncio.wait(
                (working, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if not working.done():
                working.cancel()
                self.record.add('dropped', request=name, server=self.name)
                raise ConnectionResetError
            await working
        finally:
            closing.cancel()
            async with self._free:
                self._busy -= 1
                self._free.notify()

    async def _run(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        name = request.fields.get('x-request-id', '')
        tenant = request.fields.get('x-tenant', '')
        self.record.add(
            'runs',
            request=name,
            server=self.name,
            tenant=tenant,
            line=request.first,
        )
        await self.work(self, request, writer)
        self.record.add('ran', request=name, server=self.name)

    def fields(self, request: Message, **more: str) -> dict[str, str]:
        """Return the fields of an answer to a request that ran."""
        return {
            'X-Request-Id': request.fields.get('x-request-id', ''),
            'X-Response-Stamp': f'stamp.{self.name}',
            **more,
        }

    def decline(
        self, request: Message, writer: asyncio.StreamWriter, status: str
    ) -> None:
        """Answer that the request was not run."""
        fields = {
            'X-Request-Id': request.fields.get('x-request-id', ''),
            'X-Not-Executed': '1',
            'Content-Length': '0',
        }
        writer.write(head_of(f'HTTP/1.1 {status}', fields))


async def _closed(
    reader: asyncio.StreamReader, working: 'asyncio.Task[None]'
) -> None:
    """Return when the connection is closed while the server works."""
    while not reader.at_eof() and reader.exception() is None:
        if working.done():
            await asyncio.sleep(60)
        await asyncio.sleep(0.02)


def answer_after(work_s: float, size: int = 200) -> Work:
    """Return work of so many seconds, whose answer has `size` bytes."""

    async def work(
        server: Server, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(work_s)
        fields = server.fields(request, **{'Content-Length': str(size)})
        writer.write(head_of('HTTP/1.1 200 OK', fields) + b'x' * size)
        await writer.drain()

    return work
