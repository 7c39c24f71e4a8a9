"""Stand-ins of the platform's store, of back ends and of clients.

They speak HTTP/1.1 on loopback addresses, and use the standard library only.
"""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from hashlib import sha256
from urllib.parse import parse_qs, urlsplit

QUEUE = 24
PAGE = 500
HEARTBEAT_S = 1.5
CRASH_S = 2.0
#: Bytes of a body that a client writes at once.
PIECE_BYTES = 65_536
#: Longest head that a stand-in reads.
LIMIT = 1 << 20


class Broken(Exception):
    """The other side closed the connection or sent no HTTP."""


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first: str
    headers: dict
    body: bytes = b''


async def read_head(reader):
    """Return the message whose head comes next."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise Broken('no head') from error
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first, headers)


async def read_body(reader, message):
    """Read the body of `message`, by its length or in chunks."""
    try:
        if message.headers.get('transfer-encoding', '').lower() == 'chunked':
            parts = []
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(part[:-2])
            message.body = b''.join(parts)
        else:
            length = int(message.headers.get('content-length', 0))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise Broken('the body is incomplete') from error
    return message


def answer(status, headers, body=b''):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Listener:
    """A server of HTTP/1.1 on one loopback address."""

    def __init__(self):
        self.address = ('', 0)
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        """Listen on `host`, at a free port unless one is given."""
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=LIMIT
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def cut(self):
        """Listen no more, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve one request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Listener):
    """The platform's key-value store, of which the program uses three calls."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.events = []
        self.is_down = False
        self._changed = asyncio.Condition()

    async def put(self, key, value):
        """Write `value` as the operator or a back end does."""
        self.revision += 1
        created = self.items.get(key, {}).get('created-rev', self.revision)
        item = {
            'key': key,
            'value': b64encode(value).decode(),
            'rev': self.revision,
            'created-rev': created,
            'lease-id': 0,
        }
        self.items[key] = item
        await self._tell(item)

    async def remove(self, key):
        """Remove `key`."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'rev': self.revision, 'deleted': True}
            await self._tell(event)

    async def _tell(self, event):
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def serve(self, reader, writer):
        """Answer one call, or close the connection while the store is down."""
        request = await read_body(reader, await read_head(reader))
        method, target, _ = request.first.split()
        if self.is_down:
            raise Broken('down')
        status, document = await self._perform(method, target, request.body)
        if self.is_down:
            raise Broken('down')
        text = json.dumps(document).encode()
        headers = {'Content-Type': 'application/json'}
        writer.write(answer(status, headers, text))
        await writer.drain()
        return True

    async def _perform(self, method, target, body):
        split = urlsplit(target)
        query = {name: got[0] for name, got in parse_qs(split.query).items()}
        if split.path == '/kv-range':
            return '200 OK', self._range(query)
        if split.path == '/kv-watch':
            return await self._watch(query)
        if split.path == '/kv-txn' and method == 'POST':
            return await self._commit(json.loads(body))
        return '404 Not Found', {}

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return {
            'items': found[:PAGE],
            'has-more': len(found) > PAGE,
            'at-rev': self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('prefix', '')
        if after > self.revision:
            return '410 Gone', {}

        def found():
            return [
                event
                for event in self.events
                if event['rev'] > after and event['key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query['wait-ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(found)
        except TimeoutError:
            pass
        return '200 OK', {'events': found(), 'at-rev': self.revision}

    async def _commit(self, body):
        stale = [
            row
            for row in body.get('expect', ())
            if self.items.get(row['key'], {}).get('rev', 0) != row['rev']
        ]
        if stale:
            items = [
                self.items[row['key']]
                for row in body['expect']
                if row['key'] in self.items
            ]
            return '412 Precondition Failed', {'items': items}
        for write in body.get('writes', ()):
            await self.put(write['key'], b64decode(write['value']))
        for key in body.get('remove', ()):
            await self.remove(key)
        return '200 OK', {'rev': self.revision}


@dataclass
class Run:
    """One request that a back end began to work on."""

    request: str
    server: str
    method: str
    target: str
    tenant: str
    length: int
    digest: str
    at_s: float
    machine: str = ''


@dataclass
class Fleet:
    """What all back ends of a case share."""

    store: Store
    now: object
    runs: list = field(default_factory=list)
    notes: list = field(default_factory=list)


class BackEnd(Listener):
    """A back end with slots, a queue, and entries in the store."""

    def __init__(self, name, service, zone, fleet, capacity=6, work_s=0.05):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.fleet = fleet
        self.capacity = capacity
        self.work_s = work_s
        self.state = 'ready'
        #: Whether all answers say that this back end leaves.
        self.says_leaving = False
        #: Part of a path; a request with it crashes this back end.
        self.crash_path = ''
        self.crashes = 0
        self.born_ms = 0
        self.sequence = 0
        self._slots = asyncio.Semaphore(capacity)
        self._queued = 0
        self._beating = None
        self._restarting = None

    async def start(self, host, port=0):
        """Listen, and register in the store."""
        await self.listen(host, port)
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self._slots = asyncio.Semaphore(self.capacity)
        self._queued = 0
        self._beating = asyncio.create_task(self._beat())

    def stop(self):
        """End without a word, as a crash does."""
        if self._beating is not None:
            self._beating.cancel()
        self.cut()

    def end(self):
        """End for good."""
        if self._restarting is not None:
            self._restarting.cancel()
        self.stop()

    async def write_entry(self):
        """Write what this back end says of itself."""
        self.sequence += 1
        host, port = self.address
        document = {
            'address': f'{host}:{port}',
            'born': self.born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'capacity': self.capacity,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmup-left': '0ms',
            },
        }
        if not self.fleet.store.is_down:
            value = json.dumps(document).encode()
            await self.fleet.store.put(f'servers/{self.name}', value)

    async def _beat(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _crash(self):
        self.crashes += 1
        self.stop()
        host, port = self.address
        self._restarting = asyncio.create_task(self._restart(host, port))

    async def _restart(self, host, port):
        await asyncio.sleep(CRASH_S)
        await self.start(host, port)

    async def serve(self, reader, writer):
        """Answer one request."""
        request = await read_head(reader)
        began_s = time.monotonic()
        await read_body(reader, request)
        method, target, _ = request.first.split()
        fields = request.headers
        if method == 'GET' and target == '/health':
            status = '200 OK' if self.state == 'ready' else '503 Draining'
            writer.write(answer(status, {'X-Instance-Id': self.name}))
            return True
        echo = {'X-Request-Id': fields.get('x-request-id', '')}
        if self.says_leaving:
            echo['Server-Leaving'] = '1'
        if fields.get('x-expect-instance', self.name) != self.name:
            echo['X-Instance-Id'] = self.name
            writer.write(answer('421 Misdirected Request', echo))
            return True
        if not echo['X-Request-Id']:
            writer.write(answer('400 No Id', {'X-Not-Executed': '1'}))
            return True
        if self._slots.locked() and self._queued >= QUEUE:
            echo['X-Not-Executed'] = '1'
            writer.write(answer('503 Full', echo))
            return True
        deadline_s = began_s + int(fields.get('x-deadline-ms', 60_000)) / 1000
        self._queued += 1
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                await self._slots.acquire()
        except TimeoutError:
            echo['X-Not-Executed'] = '1'
            writer.write(answer('503 Too Late', echo))
            return True
        finally:
            self._queued -= 1
        slots = self._slots
        try:
            return await self._work(request, echo, writer, deadline_s)
        finally:
            slots.release()

    async def _work(self, request, echo, writer, deadline_s):
        method, target, _ = request.first.split()
        run = Run(
            echo['X-Request-Id'],
            self.name,
            method,
            target,
            request.headers.get('x-tenant', ''),
            len(request.body),
            sha256(request.body).hexdigest(),
            self.fleet.now(),
        )
        self.fleet.runs.append(run)
        if self.crash_path and self.crash_path in target:
            self._crash()
            raise Broken('crashed')
        left_s = deadline_s - time.monotonic()
        await asyncio.sleep(max(0, min(self.work_s, left_s)))
        echo['X-Response-Stamp'] = f'{self.name}.{run.request}'
        if left_s < self.work_s:
            writer.write(answer('504 Deadline', echo))
        else:
            writer.write(answer('200 OK', echo, stamp_body(run)))
        await writer.drain()
        return True


def stamp_body(run):
    """Return the body that a back end answers to `run`."""
    return json.dumps({'ran': run.request, 'bytes': run.length}).encode()


@dataclass
class Call:
    """One attempt of a client, and how it ended."""

    request: str
    machine: str
    method: str
    target: str
    length: int
    digest: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''


class Client:
    """A client that keeps one connection to one machine."""

    def __init__(self, machine, now):
        self.machine = machine
        self.now = now
        self.calls = []
        self._streams = None

    async def call(
        self,
        request,
        method,
        target,
        host,
        key,
        body=b'',
        is_chunked=False,
        deadline_s=5.0,
        bytes_per_s=0,
    ):
        """Send one request, and return the call with its answer.

        The body is sent no faster than `bytes_per_s`, unless that is 0.
        """
        call = Call(
            request,
            self.machine.name,
            method,
            target,
            len(body),
            sha256(body).hexdigest(),
            self.now(),
        )
        self.calls.append(call)
        try:
            async with asyncio.timeout(deadline_s):
                await self._send(call, host, key, body, is_chunked, bytes_per_s)
                await self._receive(call)
        except (TimeoutError, OSError, Broken):
            self.close()
        call.ended_s = self.now()
        return call

    async def _send(self, call, host, key, body, is_chunked, bytes_per_s):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                *self.machine.front, limit=LIMIT
            )
        writer = self._streams[1]
        lines = [
            f'{call.method} {call.target} HTTP/1.1',
            f'Host: {host}',
            f'X-Request-Id: {call.request}',
            'X-Deadline-Ms: 5000',
            f'X-Key: {key}',
        ]
        if is_chunked:
            lines.append('Transfer-Encoding: chunked')
        elif body:
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        began_s = time.monotonic()
        for begin in range(0, len(body), PIECE_BYTES):
            part = body[begin : begin + PIECE_BYTES]
            if is_chunked:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            writer.write(part)
            await writer.drain()
            if bytes_per_s:
                due_s = began_s + begin / bytes_per_s
                await asyncio.sleep(max(0, due_s - time.monotonic()))
        if is_chunked:
            writer.write(b'0\r\n\r\n')

    async def _receive(self, call):
        got = await read_head(self._streams[0])
        call.headers = got.headers
        await read_body(self._streams[0], got)
        call.status = int(got.first.split()[1])
        call.body = got.body
        if 'close' in got.headers.get('connection', '').lower():
            self.close()

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
