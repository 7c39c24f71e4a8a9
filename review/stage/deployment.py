"""A deployment on loopback addresses: store, servers and machines."""

import asyncio
import json
import os
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any, Awaitable, Callable

from stage.links import Links
from stage.machines import Machine
from stage.record import Record
from stage.servers import Server, Work
from stage.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
_VMS = 'teaselquay/vms/'


def free_ports(number: int) -> list[int]:
    """Return ports that are free for TCP and UDP on all loopback addresses."""
    ports: list[int] = []
    held = []
    while len(ports) < number:
        tcp = socket.socket()
        tcp.bind(('0.0.0.0', 0))
        port = tcp.getsockname()[1]
        held.append(tcp)
        udp = socket.socket(type=socket.SOCK_DGRAM)
        try:
            udp.bind(('0.0.0.0', port))
        except OSError:
            continue
        finally:
            udp.close()
        ports.append(port)
    for tcp in held:
        tcp.close()
    return ports


def route(service: str, kind: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'host': 'app.example',
        'prefix': prefix,
        'kind': kind,
        'timeout': '8000ms',
        'target-latency': '1500ms',
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'public': False,
        **more,
    }


class Deployment:
    """Everything that a script starts, and how it ends."""

    def __init__(self, folder: Path) -> None:
        """Start nothing yet."""
        self.record = Record()
        self.store = Store()
        self.links = Links()
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self._folder = folder
        self._store_port, self._server_port, *self._ports = free_ports(6)
        self._proxies: dict[str, str] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start('127.0.0.1', self._store_port)

    async def configure(
        self,
        routes: dict[str, Any],
        tenants: dict[str, Any] | None = None,
    ) -> None:
        """Write the configuration as the operator does."""
        self._version += 3
        names = {
            name for item in routes.values() for name in (item.get('service'),)
        }
        document = {
            'version': self._version,
            'routes': routes,
            'services': {
                name: {'health-path': '/health', 'max-conns': 390}
                for name in names
            },
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 67108864,
                'header-timeout': '3000ms',
                'idle-timeout': '15000ms',
            },
        }
        if tenants:
            document['tenants'] = tenants
        await self.store.put('op/config', json.dumps(document).encode())
        self.record.add('configuration written', version=self._version)

    async def add_servers(
        self, service: str, number: int, work: Work, slots: int = 6
    ) -> None:
        """Start servers of a service."""
        for _ in range(number):
            index = len(self.servers) + 1
            server = Server(
                name=f'i-{index:04x}',
                service=service,
                zone='abc'[index % 3],
                host=f'127.0.3.{index}',
                port=self._server_port,
                store=self.store,
                record=self.record,
                work=work,
                slots=slots,
            )
            self.servers.append(server)
            self._tasks.append(await server.start())

    async def add_machines(
        self, number: int, has_links: bool = False, **limits: Any
    ) -> None:
        """Start machines, and wait until they are ready."""
        if has_links:
            self.store.rewrite = self._tell_proxy
        for _ in range(number):
            index = len(self.machines) + 1
            machine = Machine(
                index,
                'abc'[index % 3],
                self._ports,
                f'127.0.0.1:{self._store_port}',
                self._folder,
                self.record,
                **limits,
            )
            self.machines.append(machine)
            if has_links:
                where = (machine.host, machine.peer)
                proxy = (f'127.0.2.{index}', machine.peer)
                self._proxies[f'{where[0]}:{where[1]}'] = (
                    f'{proxy[0]}:{proxy[1]}'
                )
                await self.links.add(where, proxy)
            await machine.start()
        await asyncio.gather(
            *(machine.wait_until_ready() for machine in self.machines)
        )

    async def end(self) -> None:
        """End all processes."""
        # Tasks of connections end with the loop, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(machine.kill() for machine in self.machines))

    def _tell_proxy(self, key: str, value: bytes) -> bytes:
        if not key.startswith(_VMS):
            return value
        document = json.loads(value)
        document['peer'] = self._proxies[document['peer']]
        return json.dumps(document).encode()


def play(
    folder: Path, story: Callable[[Deployment, bool], Awaitable[bool]]
) -> None:
    """Play a story, and exit as a case does.

    The story returns whether the rule was broken.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(asyncio.run(_play(folder, story, has_trouble)))


async def _play(
    folder: Path,
    story: Callable[[Deployment, bool], Awaitable[bool]],
    has_trouble: bool,
) -> int:
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name))
        try:
            async with asyncio.timeout(110):
                is_broken = await story(deployment, has_trouble)
        except Exception as error:
            deployment.record.add('the case could not run', reason=repr(error))
            print('the case could not run:', repr(error))
            for machine in deployment.machines:
                tail = machine.log.read_text().splitlines()[-3:]
                print(machine.name, *tail, sep='\n  ')
            return NOT_RUN
        finally:
            await deployment.end()
            deployment.record.write(folder / 'record.txt')
            if os.environ.get('KEEP_LOGS'):
                for machine in deployment.machines:
                    target = Path(os.environ['KEEP_LOGS']) / machine.log.name
                    target.write_bytes(machine.log.read_bytes())
        print('the rule was broken' if is_broken else 'the rule held')
        return BROKEN if is_broken else HELD
