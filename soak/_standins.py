"""The store and the upstreams of a soak, which fail when they are told to."""

import asyncio
import json
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random
from typing import Any, Callable

from soak._records import Rejection, Run
from teaselquay.platform._decoding import VM_KEY_PREFIX
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support.gateway import Received, ScriptedUpstream, answer

_SLOW_S = 0.4
_TOO_MANY = 429
#: Work of one request, in seconds, and of one while an upstream hangs.
_WORK_S = (0.02, 0.15)
_HANG_S = 2.0
_SPELL_FAILS = 0.9
#: How long an upstream is cold, in seconds, and the requests per second that
#: it takes meanwhile: over a quarter of what a warm one processes, as on the
#: users' servers.
WARMUP_S = 3.0
WARMUP_PER_S = 20.0


@dataclass
class SoakStore(PlatformStoreStandIn):
    """A store with the faults of the platform's, for as long as they last."""

    era: int | None = 0
    is_down: bool = False
    is_slow: bool = False
    loses: bool = False
    refuses: bool = False
    #: Where the other VMs reach a VM, by its own address.
    peers: dict[str, str] = field(default_factory=dict)

    async def put(self, key: str, value: bytes) -> int:
        """Write a value; VMs are listed behind the links of the soak."""
        if key.startswith(VM_KEY_PREFIX):
            document = json.loads(value)
            document['peer'] = self.peers[document['peer']]
            value = json.dumps(document).encode()
        return await super().put(key, value)

    def compact(self) -> None:
        """Forget the history."""
        self.compacted = self.revision
        self.events.clear()

    async def _perform(
        self,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> tuple[int, Any]:
        if self.is_down:
            raise ConnectionError
        if self.refuses:
            return _TOO_MANY, None
        if self.is_slow:
            await asyncio.sleep(_SLOW_S)
        done = await super()._perform(path, query, body)
        if self.is_down or self.loses:
            raise ConnectionError
        return done


def body_of(request: str, body: bytes) -> bytes:
    """Return the only right answer to a request."""
    return sha256(request.encode() + body).hexdigest().encode()


@dataclass
class SoakUpstream:
    """An upstream that notes what it runs."""

    name: str
    service: str
    random: Random
    note: Callable[[Run], None]
    reject: Callable[[Rejection], None]
    now: Callable[[], float]
    is_in_spell: bool = False
    hangs: bool = False
    #: Requests per second that it names as its limit; 0 names none.
    limit: float = 0
    #: Seconds of rest that it asks for as it turns requests away; 0 if it
    #: takes them.
    rest_s: float = 0
    #: Whether its answers say that it leaves.
    is_leaving: bool = False
    zone: str = 'a'
    #: How much longer it says that it is cold, in seconds.
    warmup_left_s: float = 0
    started_ms: int = 1
    sequence: int = 0
    state: str = 'ready'
    server: ScriptedUpstream = field(init=False)

    def __post_init__(self) -> None:
        """Serve nothing yet."""
        self.server = ScriptedUpstream(self._serve)

    def entry(self) -> bytes:
        """Return what this upstream writes next to the store."""
        self.sequence += 1
        document = {
            'address': f'127.0.0.1:{self.server.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'capacity': 6,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmup-left': f'{self.warmup_left_s}s',
            },
            'born': self.started_ms,
        }
        return json.dumps(document).encode()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        if received.headers.get('x-expect-instance') != self.name:
            writer.write(answer(received, status='421 Misdirected'))
            return
        request = received.headers.get('x-request-id', '')
        if self.rest_s:
            await self._turn_away(reader, writer, received)
            return
        team = received.headers.get('x-tenant', '')
        carries_key = 'x-key' in received.headers
        self.note(Run(request, self.name, team, self.now(), carries_key))
        body = await reader.readexactly(
            int(received.headers.get('content-length', 0)),
        )
        if self.is_in_spell and self.random.random() < _SPELL_FAILS:
            writer.write(self._stamped(received, b'', '500 Failed'))
            return
        work_s = _HANG_S if self.hangs else self.random.uniform(*_WORK_S)
        await asyncio.sleep(work_s)
        writer.write(self._stamped(received, body_of(request, body), '200 OK'))

    async def _turn_away(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        received: Received,
    ) -> None:
        request = received.headers.get('x-request-id', '')
        now = self.now()
        self.reject(Rejection(request, self.name, now, now + self.rest_s))
        length = int(received.headers.get('content-length', 0))
        await reader.readexactly(length)
        fields = {'x_not_executed': '1', 'retry_after': str(self.rest_s)}
        writer.write(answer(received, b'', '503 Busy', **fields))

    def _stamped(self, received: Received, body: bytes, status: str) -> bytes:
        return answer(
            received,
            body,
            status,
            x_response_stamp=self.name,
            server_limit=str(self.limit) if self.limit else '',
            server_leaving='1' if self.is_leaving else '',
        )


def configuration(version: int, keys: dict[str, str], limit_s: int) -> bytes:
    """Return a configuration of three routes; `keys` are by team."""
    routes = {
        kind: {
            'host': 'soak.example',
            'prefix': f'/{kind}/',
            'kind': wire_kind,
            'timeout': f'{limit_s}s',
            'target-latency': '1s',
            'service': service,
            'max-attempts': 2,
            'public': False,
        }
        for kind, wire_kind, service in (
            ('read', 'idempotent', 's'),
            ('book', 'non_idempotent', 's'),
            ('load', 'upload', 'u'),
        )
    }
    services = {
        'health-path': '/health',
        'max-conns': 100,
        'warmup': f'{WARMUP_S}s',
        'warmup-per-s': WARMUP_PER_S,
    }
    document = {
        'version': version,
        'routes': routes,
        'services': {'s': services, 'u': services},
        'limits': {'idle-timeout': '15s', 'max-body-bytes': 1 << 22},
        'tenants': {
            team: {
                'api-keys': [key],
                'rate-per-s': 20 if team == 'hot' else 500,
                'burst': 20 if team == 'hot' else 500,
            }
            for team, key in keys.items()
        },
    }
    return json.dumps(document).encode()
