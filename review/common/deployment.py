"""A small deployment: the store, back ends, and machines of the program."""

import asyncio
import json
import time
from contextlib import asynccontextmanager

from fleet import make_machines
from standins import BackEnd, Fleet, Store

HOST = 'booking.example'
KEY = 'key-of-plumber'
TENANT = 'plumber'
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 67_108_864,
    'header-timeout': '3000ms',
    'idle-timeout': '15000ms',
}
ZONES = ('zone-a', 'zone-b', 'zone-c')


def route(prefix, kind, service, timeout='5000ms'):
    """Return a route as the operator writes it."""
    return {
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout': timeout,
        'target-latency': '1500ms',
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'public': False,
    }


def configuration(rate=500, burst=500, version=7):
    """Return a configuration with one route of each kind."""
    service = {
        'health-path': '/health',
        'max-conns': 390,
        'protocol': 'h1',
        'tls': False,
    }
    return {
        'version': version,
        'routes': {
            'r-read': route('/slots/', 'idempotent', 'slotboard'),
            'r-book': route('/book/', 'non_idempotent', 'bookdesk'),
            'r-scan': route('/scan/', 'upload', 'scanvault'),
        },
        'services': {
            name: service for name in ('slotboard', 'bookdesk', 'scanvault')
        },
        'limits': LIMITS,
        'tenants': {
            TENANT: {
                'api-keys': [KEY],
                'priority': 0,
                'rate-per-s': rate,
                'burst': burst,
            },
        },
    }


class Deployment:
    """Everything that takes part in a case."""

    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.began_s = time.monotonic()
        self.fleet = Fleet(self.store, self.now)
        self.back_ends = []
        self.machines = []

    def now(self):
        """Return the seconds since the deployment began."""
        return time.monotonic() - self.began_s

    @property
    def runs(self):
        """Return what the back ends began to work on."""
        return self.fleet.runs

    async def open(self, machines, servers, **config):
        """Start `servers` back ends by service, and the machines."""
        await self.store.listen('127.0.0.1')
        document = json.dumps(configuration(**config)).encode()
        await self.store.put('op/config', document)
        for service, count in servers.items():
            for index in range(count):
                name = f'i-{service}-{index}'
                zone = ZONES[index % len(ZONES)]
                back_end = BackEnd(name, service, zone, self.fleet)
                await back_end.start('127.0.0.1')
                self.back_ends.append(back_end)
        self.machines = make_machines(machines, self.store, self.folder)
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await machine.wait_until_ready()

    async def close(self):
        """End everything that was started."""
        for machine in self.machines:
            await machine.kill()
        for back_end in self.back_ends:
            back_end.end()
        self.store.cut()


@asynccontextmanager
async def deployment(folder, machines=3, servers=None, settle_s=4.0, **config):
    """Open a deployment, and let it settle."""
    opened = Deployment(folder)
    try:
        await opened.open(machines, servers or {'bookdesk': 6}, **config)
        await asyncio.sleep(settle_s)
        yield opened
    finally:
        await opened.close()
