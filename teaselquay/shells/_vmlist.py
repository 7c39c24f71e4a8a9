"""Polls the platform's list of live and leaving VMs."""

import asyncio
import json
from typing import Any, Callable

from absl import logging

from teaselquay.decisions import (
    Instant,
    ServiceName,
    Upstream,
    UpstreamName,
    VmName,
    ZoneName,
)
from teaselquay.shells._http import (
    MAX_DOCUMENT_BYTES,
    ExchangeError,
    HttpConnection,
)
from teaselquay.shells._node import Node
from teaselquay.shells._peers import Address
from teaselquay.shells._timers import TimerService

_TIMEOUT_S = 1.0
_STATUS_OK = 200
_ENTRY_ROLE = 'entry'
_LEAVING_STATE = 'leaving'
_READ_ERRORS = (ExchangeError, TimeoutError, ValueError, KeyError)

ListListener = Callable[[], None]


class VmList:
    """Upstreams by service, as listed by the platform.

    While the list cannot be read, the last one read remains in effect.
    `known` is set once the list was read.
    """

    def __init__(self, node: Node, address: Address) -> None:
        """Poll the list at `address`."""
        self._node = node
        self._address = address
        self._revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._first_seen: dict[str, Instant] = {}
        self._by_service: dict[ServiceName, tuple[Upstream, ...]] = {}
        self.known = asyncio.Event()

    def start(self, timers: TimerService) -> None:
        """Read the list periodically, as scheduled by `timers`."""
        timers.subscribe(
            'vm-list',
            self._node.policy.list_period_s,
            self.read,
        )

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the listed upstreams of `service`."""
        return self._by_service.get(service, ())

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that have upstreams."""
        return tuple(self._by_service)

    def is_listed(self, vm: VmName) -> bool:
        """Return whether `vm` is on the list."""
        return vm in self._items

    async def read(self) -> None:
        """Read and apply the changes of the list since the last read."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                answer = await self._fetch()
        except _READ_ERRORS:
            logging.log_every_n_seconds(
                logging.WARNING,
                'vm-list: the platform list cannot be read',
                10,
            )
            return
        if answer['revision'] != self._revision:
            self._apply(answer)
        self.known.set()

    async def _fetch(self) -> dict[str, Any]:
        connection = await HttpConnection.open(self._address, _TIMEOUT_S)
        try:
            connection.begin('GET')
            path = f'/v1/vms?since={self._revision}'
            request = f'GET {path} HTTP/1.1\r\nHost: vm-list\r\n\r\n'
            await connection.write(request.encode())
            head = await connection.read_head()
            body = await connection.read_whole_body(MAX_DOCUMENT_BYTES)
        finally:
            connection.close()
        if head.status != _STATUS_OK:
            raise ValueError(f'status {head.status}')
        return json.loads(body)

    def _apply(self, answer: dict[str, Any]) -> None:
        is_first = self._revision == 0
        self._revision = answer['revision']
        for item in answer['vms']:
            self._items[item['name']] = item
        for name in answer['removed']:
            self._items.pop(name, None)
            self._first_seen.pop(name, None)
        now = self._node.clock.now()
        for name in self._items:
            # VMs on the first list started earlier, so they need no warm-up.
            seen = Instant(0.0) if is_first else now
            self._first_seen.setdefault(name, seen)
        self._index_services()

    def _index_services(self) -> None:
        by_service: dict[ServiceName, list[Upstream]] = {}
        peers: dict[VmName, Address] = {}
        for name, item in sorted(self._items.items()):
            if item['role'] == _ENTRY_ROLE:
                peers[VmName(name)] = Address.parse(item['address'])
                continue
            service = ServiceName(item['service'])
            by_service.setdefault(service, []).append(
                self._parse_upstream(name, item),
            )
        self._by_service = {
            service: tuple(upstreams)
            for service, upstreams in by_service.items()
        }
        peers.pop(self._node.vm, None)
        self._node.listed_peers = peers

    def _parse_upstream(self, name: str, item: dict[str, Any]) -> Upstream:
        return Upstream(
            name=UpstreamName(name),
            address=item['address'],
            zone=ZoneName(item['zone']),
            slots=int(item['slots']),
            leaving=item['state'] == _LEAVING_STATE,
            first_seen=self._first_seen[name],
        )
