"""Starts stand-ins and VMs as separate processes, and ends them."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any, Iterator

from tests.support.ports import free_ports
from tests.support.relay import UdpRelay

TOKEN = 'operator-token'
SECRET = 'a secret of the whole fleet'
_ROOT = Path(__file__).resolve().parents[2]
_START_S = 20.0


@dataclass
class Reply:
    """One answer of a simple HTTP client."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def request(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 10.0,
) -> Reply:
    """Send one request on a connection of its own."""
    connection = http.client.HTTPConnection(
        '127.0.0.1',
        port,
        timeout=timeout_s,
    )
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Reply(
            answer.status,
            {name.lower(): value for name, value in answer.getheaders()},
            answer.read(),
        )
    finally:
        connection.close()


def wait_for(check: Any, timeout_s: float = _START_S, what: str = '') -> Any:
    """Return the first true result of `check`, or fail."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            found = check()
        except OSError:
            found = None
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f'{what or check} did not happen in {timeout_s} s')


@dataclass
class VmProcess:
    """One VM of the fleet."""

    name: str
    zone: str
    data: int
    admin: int
    peer: int
    real_peer: int
    file: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        log = self.file.with_suffix('.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'teaselquay', 'serve', str(self.file)],
            cwd=_ROOT,
            stderr=log,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def stop(self, timeout_s: float = 30.0) -> int:
        """Ask the process to stop and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout_s)

    def is_ready(self) -> bool:
        """Return whether the VM says that it is ready."""
        return request(self.admin, 'GET', '/ready').status == 200

    def log(self) -> str:
        """Return what the process logged."""
        return self.file.with_suffix('.log').read_text()


@dataclass
class Fleet:
    """Stand-ins and VMs."""

    folder: Path
    store: int
    vm_list: int
    upstream_ports: dict[str, int]
    vms: list[VmProcess]
    policy: dict[str, Any] = field(default_factory=dict)
    _standins: list[subprocess.Popen[bytes]] = field(default_factory=list)

    @classmethod
    def create(
        cls,
        folder: Path,
        vms: int,
        services: dict[str, int],
        zones: tuple[str, ...] = ('a', 'b'),
        policy: dict[str, Any] | None = None,
        peer_relay: dict[str, int] | None = None,
    ) -> 'Fleet':
        """Write the settings of a fleet that is not started."""
        total = sum(services.values())
        ports = free_ports(2 + total + 3 * vms)
        store, vm_list = ports[:2]
        upstreams = {}
        for service, count in services.items():
            for index in range(count):
                name = f'{service}-{index + 1}'
                upstreams[name] = ports[2 + len(upstreams)]
        fleet = cls(folder, store, vm_list, upstreams, [], policy or {})
        rest = ports[2 + total :]
        for index in range(vms):
            data, admin, peer = rest[3 * index : 3 * index + 3]
            fleet.add_vm(
                f'vm-{index + 1}',
                zones[index % len(zones)],
                (data, admin, peer),
                (peer_relay or {}).get(f'vm-{index + 1}'),
            )
        return fleet

    def add_vm(
        self,
        name: str,
        zone: str,
        ports: tuple[int, int, int] | None = None,
        relay: int | None = None,
    ) -> VmProcess:
        """Write the settings of one more VM."""
        data, admin, peer = ports or free_ports(3)
        file = self.folder / f'{name}.json'
        listen = {
            'data': f'127.0.0.1:{data}',
            'admin': f'127.0.0.1:{admin}',
            'peer': f'127.0.0.1:{peer}',
        }
        if relay:
            listen['peer_advertised'] = f'127.0.0.1:{relay}'
        settings = {
            'vm': name,
            'zone': zone,
            'listen': listen,
            'platform': {
                'store': [f'127.0.0.1:{self.store}'],
                'vm_list': f'127.0.0.1:{self.vm_list}',
                'store_timeout_s': 0.5,
            },
            'security': {
                'fleet_secret': SECRET,
                'operator_token_sha256': sha256(
                    TOKEN.encode(),
                ).hexdigest(),
            },
            'policy': {'partitions': 32, **self.policy},
        }
        file.write_text(json.dumps(settings, indent=2))
        vm = VmProcess(
            name,
            zone,
            data,
            admin,
            relay or peer,
            peer,
            file,
        )
        self.vms.append(vm)
        return vm

    def start(self) -> None:
        """Start everything and wait until all VMs are ready."""
        self._spawn('store', '--port', str(self.store))
        self._spawn('vm_list', '--port', str(self.vm_list))
        by_service: dict[str, list[str]] = {}
        for name, port in self.upstream_ports.items():
            service = name.rpartition('-')[0]
            args = by_service.setdefault(service, [])
            args.extend(('--port', str(port)))
        for service, args in by_service.items():
            self._spawn('upstream', '--prefix', f'{service}-', *args)
        for port in (self.store, self.vm_list):
            wait_for(
                lambda port=port: request(port, 'GET', '/_control/counts'),
                what=f'stand-in on {port}',
            )
        self.list_vms()
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            wait_for(vm.is_ready, what=f'{vm.name} ready')

    def wait_owned(self, timeout_s: float = 20.0) -> None:
        """Wait until every partition has an owner that serves."""
        wait_for(self._all_owned, timeout_s, 'all partitions owned')

    def list_vms(self) -> None:
        """Put all VMs and upstreams on the platform's list."""
        items: dict[str, Any] = {
            vm.name: {
                'role': 'entry',
                'address': f'127.0.0.1:{vm.peer}',
                'zone': vm.zone,
                'state': 'live',
            }
            for vm in self.vms
        }
        for index, (name, port) in enumerate(self.upstream_ports.items()):
            items[name] = {
                'role': 'upstream',
                'service': name.rpartition('-')[0],
                'address': f'127.0.0.1:{port}',
                'zone': 'ab'[index % 2],
                'state': 'live',
                'slots': 6,
            }
        self.control(self.vm_list, 'vms', items)

    def control(self, port: int, what: str, document: Any) -> Any:
        """Change a stand-in."""
        reply = request(
            port,
            'POST',
            f'/_control/{what}',
            body=json.dumps(document).encode(),
        )
        assert reply.status == 200, reply
        return reply.json()

    def faults(self, target: str, **faults: Any) -> None:
        """Set faults of the store, the list or an upstream by name."""
        ports = {'store': self.store, 'vm_list': self.vm_list}
        port = ports.get(target) or self.upstream_ports[target]
        self.control(port, 'faults', faults)

    def counts(self, target: str) -> dict[str, int]:
        """Return what a stand-in counted."""
        ports = {'store': self.store, 'vm_list': self.vm_list}
        port = ports.get(target) or self.upstream_ports[target]
        return request(port, 'GET', '/_control/counts').json()

    def ran(self) -> list[dict[str, Any]]:
        """Return what all upstreams ran."""
        found = []
        for name, port in self.upstream_ports.items():
            for item in request(port, 'GET', '/_control/ran').json():
                found.append({**item, 'upstream': name})
        return found

    def ctl(self, command: str, vm: VmProcess | None = None) -> Reply:
        """Run a command of the operators' language."""
        return request(
            (vm or self.vms[0]).admin,
            'POST',
            '/v1/command',
            headers={'Authorization': f'Bearer {TOKEN}'},
            body=json.dumps({'command': command}).encode(),
            timeout_s=30,
        )

    def do(self, command: str, vm: VmProcess | None = None) -> Any:
        """Run a command that must succeed."""
        reply = self.ctl(command, vm)
        assert reply.status == 200, (command, reply.body)
        return reply.json()

    def grant(self, team: str, rate: float, burst: float) -> str:
        """Make a team and return a key of it."""
        self.do(f'team {team} set rate={rate} burst={burst}')
        return self.do(f'key grant {team}')['key']

    def end(self) -> None:
        """Kill what is still running."""
        running = [vm.process for vm in self.vms if vm.process]
        for process in (*running, *self._standins):
            if process.poll() is None:
                process.kill()
            process.wait()

    def _spawn(self, name: str, *args: str) -> None:
        log = (self.folder / f'{name}.log').open('ab')
        self._standins.append(
            subprocess.Popen(
                [sys.executable, '-m', f'tests.standins.{name}', *args],
                cwd=_ROOT,
                stderr=log,
                env={**os.environ},
            ),
        )

    def _all_owned(self) -> bool:
        live = [
            vm for vm in self.vms if vm.process and vm.process.poll() is None
        ]
        serving = 0
        for vm in live:
            rows = self.do(f'show vm {vm.name}', vm)['rows']
            serving += rows[0]['serving_partitions']
        return serving >= self.policy.get('partitions', 32)


@contextmanager
def running_fleet(
    relay: UdpRelay | None = None,
    **options: Any,
) -> Iterator[Fleet]:
    """Yield a started fleet, whose peers talk through `relay`; end it."""
    if relay is not None:
        options['peer_relay'] = relay.ports
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet.create(Path(folder), **options)
        if relay is not None:
            ports = {vm.name: vm.real_peer for vm in fleet.vms}
            relay.real_ports.update(ports)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.end()


def auth(key: str, **more: str) -> dict[str, str]:
    """Return header fields that present `key`."""
    return {'Authorization': f'Bearer {key}', **more}
