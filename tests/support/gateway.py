"""One VM of the gateway in this process, before scripted upstreams."""

import asyncio
import socket
from dataclasses import dataclass, field
from random import Random
from typing import Awaitable, Callable

from teaselquay.configuration import (
    FleetConfiguration,
    RouteKind,
    RouteRule,
    RoutingTable,
    ServiceRule,
    TeamRule,
    UpstreamRecord,
    UpstreamState,
    VmRecord,
    WeightedService,
)
from teaselquay.coordination import RepeatPolicy
from teaselquay.decisions import (
    Incarnation,
    RouteName,
    ServiceName,
    TeamName,
    UpstreamName,
    VmName,
    ZoneName,
)
from teaselquay.events import Journal
from teaselquay.fleet import FleetMember, Surroundings
from teaselquay.gateway import Dialect, GatewaySettings
from teaselquay.gateway._app import GatewayApp
from teaselquay.gateway._parts import GatewayParts
from teaselquay.serving import build_server
from teaselquay.shells import (
    Address,
    Codec,
    ConnectionPool,
    DatagramLink,
    Metrics,
    SystemClock,
)
from tests.standins.listener import Listener

VM = VmName('vm-1')
ZONE = ZoneName('a')
SERVICE = ServiceName('slots')
KEY = 'key-of-acme-0123456789'
Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, 'Received'],
    Awaitable[None],
]


@dataclass
class Received:
    """One request as an upstream got it."""

    line: str
    headers: dict[str, str]
    body: bytes = b''


@dataclass
class ScriptedUpstream(Listener):
    """An upstream whose connections are handled by the test's function.

    The handler gets each request whose head has come.
    """

    handler: Handler
    received: list[Received] = field(default_factory=list)
    connections: int = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Hand the requests of one connection to the handler."""
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                received = _parse(head.decode('latin-1'))
                self.received.append(received)
                await self.handler(reader, writer, received)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _parse(head: str) -> Received:
    line, *rest = head.strip().split('\r\n')
    pairs = [row.split(': ', 1) for row in rest]
    return Received(line, {name.lower(): text for name, text in pairs})


def answer(
    received: Received,
    body: bytes = b'ok',
    status: str = '200 OK',
    **extra: str,
) -> bytes:
    """Return a stamped answer to `received`, without empty fields."""
    fields = {
        'content-length': str(len(body)),
        'x-answer-stamp': 'stamp',
        'x-request-id': received.headers.get('x-request-id', ''),
        **{name.replace('_', '-'): text for name, text in extra.items()},
    }
    lines = [f'HTTP/1.1 {status}']
    lines.extend(f'{name}: {text}' for name, text in fields.items() if text)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def replies(
    body: bytes = b'ok', status: str = '200 OK', **extra: str
) -> Handler:
    """Return a handler that reads the body and answers."""

    async def handle(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        length = int(received.headers.get('content-length', 0))
        received.body = await reader.readexactly(length)
        writer.write(answer(received, body, status, **extra))

    return handle


def configuration(
    kind: RouteKind = RouteKind.IDEMPOTENT,
    timeout_s: float = 2.0,
    rate: float = 0,
    **route_fields: object,
) -> FleetConfiguration:
    """Return a configuration of one route and one team."""
    route = RouteRule(
        name=RouteName('route'),
        host='slots.example',
        prefix='/slots/',
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=timeout_s / 2,
        targets=(WeightedService(SERVICE, 1),),
        **route_fields,  # type: ignore[arg-type]
    )
    team = TeamRule(TeamName('acme'), (KEY,), rate, rate)
    return FleetConfiguration(
        version=7,
        routes_by_name={route.name: route},
        services_by_name={SERVICE: ServiceRule(SERVICE)},
        teams_by_name={team.name: team},
    )


def record(name: str, port: int, **fields: object) -> UpstreamRecord:
    """Return the record of an upstream on loopback."""
    return UpstreamRecord(
        name=UpstreamName(name),
        service=SERVICE,
        address=f'127.0.0.1:{port}',
        zone=ZONE,
        slots=6,
        state=UpstreamState.READY,
        **fields,  # type: ignore[arg-type]
    )


class Gateway:
    """One VM that coordinates alone."""

    def __init__(self, config: FleetConfiguration) -> None:
        """Serve `config` without upstreams."""
        self.lines: list[bytes] = []
        journal = Journal('vm-1', 1, SystemClock().wall, self.lines.append)
        clock = SystemClock()
        random = Random(7)
        link = DatagramLink(VM, Incarnation(1), Codec(b'secret'))
        member = FleetMember.from_config(
            VmRecord(VM, '127.0.0.1:1', ZONE),
            Surroundings(link, clock, random, journal),
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            RepeatPolicy(),
        )
        member.state.table = RoutingTable.from_config(config)
        nowhere = Address('127.0.0.1', 1)
        settings = GatewaySettings(
            vm=VM,
            zone=ZONE,
            callers=nowhere,
            ready=nowhere,
            metrics=nowhere,
            peer=nowhere,
            seeds=(),
            grace_s=1,
            repeat_ratio=0.2,
            repeat_slack=20,
        )
        self.parts = GatewayParts(
            settings=settings,
            dialect=Dialect(),
            state=member.state,
            replication=member.replication,
            coordinators=member.coordinators,
            pool=ConnectionPool(),
            metrics=Metrics(),
            journal=journal,
            clock=clock,
            random=random,
        )
        self._server = build_server(GatewayApp(self.parts), 15)
        self._socket = socket.create_server(('127.0.0.1', 0))
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Serve callers."""
        self._task = asyncio.create_task(self._server.serve([self._socket]))

    async def stop(self) -> None:
        """End at once."""
        self._server.should_exit = True
        self._server.force_exit = True
        self.parts.pool.close()
        if self._task is not None:
            await self._task

    def use(self, *upstreams: UpstreamRecord) -> None:
        """Use `upstreams` for the service."""
        self.parts.state.upstreams_by_name = {up.name: up for up in upstreams}
        self.parts.state._index()

    async def ask(
        self,
        method: str = 'GET',
        path: str = '/slots/1',
        body: bytes = b'',
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, header fields and body of one request."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(request_head(method, path, len(body), **headers) + body)
        try:
            return await read_whole(reader)
        finally:
            writer.close()


def request_head(
    method: str,
    path: str,
    length: int,
    **headers: str,
) -> bytes:
    """Return the head of a request with the team's key."""
    fields = {
        'host': 'slots.example',
        'x-request-id': 'request-1',
        'x-api-key': KEY,
        'content-length': str(length),
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in fields.items() if text)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


async def read_whole(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return one answer with a length.

    Raises:
        IncompleteReadError: the connection ended before the answer did.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.strip().split('\r\n')
    pairs = [row.split(': ', 1) for row in rest]
    headers = {name.lower(): text for name, text in pairs}
    body = await reader.readexactly(int(headers['content-length']))
    return int(line.split()[1]), headers, body


def run_with(
    config: FleetConfiguration,
    handlers: list[Handler],
    test: Callable[[Gateway, list[ScriptedUpstream]], Awaitable[None]],
) -> None:
    """Run `test` with a gateway and one upstream for each handler."""

    async def main() -> None:
        gateway = Gateway(config)
        upstreams = [ScriptedUpstream(handler) for handler in handlers]
        for upstream in upstreams:
            await upstream.start()
        gateway.use(
            *(
                record(f'up-{index}', upstream.port)
                for index, upstream in enumerate(upstreams)
            ),
        )
        gateway.start()
        try:
            await test(gateway, upstreams)
        finally:
            await gateway.stop()
            for upstream in upstreams:
                upstream.close()

    asyncio.run(main())
