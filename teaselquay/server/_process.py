"""Assembles and runs the server process of one VM."""

import asyncio
import contextlib
import signal
import time
from dataclasses import dataclass
from random import SystemRandom

import uvicorn
from absl import logging

from teaselquay.decisions import (
    Incarnation,
    Vm,
    VmName,
    ZoneName,
    drain_name,
)
from teaselquay.pipeline import Parts, Pipeline, ServiceQueues
from teaselquay.server._admin import Admin
from teaselquay.serving import bind, build_server
from teaselquay.shells import (
    Address,
    Borrower,
    Codec,
    ConnectionPool,
    DatagramLink,
    EtcdStore,
    Health,
    IdempotencyClient,
    IdempotencyOwner,
    Lender,
    Membership,
    Node,
    NodeMetrics,
    Ownership,
    Settings,
    Synchroniser,
    SystemClock,
    TimerService,
    Tracer,
    VmList,
)

_GAUGE_UPDATE_PERIOD_S = 1.0
_DRAIN_CHECK_PERIOD_S = 0.5
_REQUEST_POLL_PERIOD_S = 0.05
_KEEP_ALIVE_TIMEOUT_S = 75
_VM_LIST_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Process:
    """The components of one server process."""

    settings: Settings
    node: Node
    link: DatagramLink
    store: EtcdStore
    timers: TimerService
    sync: Synchroniser
    ownership: Ownership
    lender: Lender
    borrower: Borrower
    once: IdempotencyOwner
    vm_list: VmList
    health: Health
    membership: Membership
    parts: Parts
    metrics: NodeMetrics
    shutting_down: bool = False

    @classmethod
    def from_config(cls, settings: Settings) -> 'Process':
        """Return a process configured by `settings`, not yet started."""
        random = SystemRandom()
        incarnation = Incarnation(time.time_ns() // 1000)
        vm = VmName(settings.vm)
        node = Node.from_config(
            vm,
            ZoneName(settings.zone),
            incarnation,
            settings.policy,
            SystemClock(),
            random,
        )
        codec = Codec(settings.security.fleet_secret.encode())
        link = DatagramLink(vm, incarnation, codec)
        store = EtcdStore(
            [Address.parse(text) for text in settings.platform.store],
            settings.vm,
            settings.platform.store_timeout_s,
        )
        sync = Synchroniser(node, link, store)
        ownership = Ownership(node, store, sync, link)
        lender = Lender(node, ownership, link)
        borrower = Borrower(node, ownership, link, lender)
        once = IdempotencyOwner(node, ownership, link)
        vm_list = VmList(node, Address.parse(settings.platform.vm_list))
        health = Health(node, link, vm_list)
        vm_record = Vm(
            peer=settings.peer_address,
            admin=settings.listen.admin,
            zone=settings.zone,
            incarnation=incarnation,
        )
        metrics = NodeMetrics()
        parts = Parts(
            node=node,
            borrower=borrower,
            once=IdempotencyClient(node, ownership, link, once),
            health=health,
            pool=ConnectionPool(),
            metrics=metrics,
            tracer=Tracer(settings.vm, settings.telemetry, random),
            queues=ServiceQueues(node, health),
        )
        parts.budget.share = settings.policy.retry_share
        return cls(
            settings=settings,
            node=node,
            link=link,
            store=store,
            timers=TimerService(random),
            sync=sync,
            ownership=ownership,
            lender=lender,
            borrower=borrower,
            once=once,
            vm_list=vm_list,
            health=health,
            membership=Membership(node, store, sync, vm_list, vm_record),
            parts=parts,
            metrics=metrics,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT arrives, then drain and return.

        Raises:
            OSError: an address cannot be bound.
        """
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        await self.link.open(Address.parse(self.settings.listen.peer))
        data_server = build_server(Pipeline(self.parts), _KEEP_ALIVE_TIMEOUT_S)
        admin_server = build_server(Admin(self).app, _KEEP_ALIVE_TIMEOUT_S)
        data_socket = bind(self.settings.listen.data)
        admin_socket = bind(self.settings.listen.admin)
        await self._start_components()
        server_tasks = [
            asyncio.create_task(data_server.serve([data_socket])),
            asyncio.create_task(admin_server.serve([admin_socket])),
        ]
        logging.info('server: %s is serving', self.settings.vm)
        await stop_requested.wait()
        await self._drain(data_server)
        admin_server.should_exit = True
        await asyncio.gather(*server_tasks)
        self._close()

    async def _start_components(self) -> None:
        self.vm_list.start(self.timers)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_VM_LIST_TIMEOUT_S):
                await self.vm_list.known.wait()
        self.sync.start(self.timers)
        self.membership.start(self.timers)
        self.ownership.start(self.timers)
        self.borrower.start(self.timers)
        self.health.start(self.timers)
        self.timers.subscribe(
            'gauges', _GAUGE_UPDATE_PERIOD_S, self._update_gauges
        )
        self.timers.subscribe(
            'drain', _DRAIN_CHECK_PERIOD_S, self._apply_drain_entry
        )

    async def _apply_drain_entry(self) -> None:
        """Drain or resume this VM as an operator's drain entry requests."""
        drain_key = drain_name(self.node.vm)
        is_drained = drain_key in self.node.catalog.drains
        if is_drained and not self.node.stopping:
            logging.info(
                "server: %s is draining at an operator's request", self.node.vm
            )
            self.node.stop()
            await self.membership.announce_draining()
            await self.ownership.release_all()
        elif self.node.stopping and not is_drained and not self.shutting_down:
            logging.info('server: %s has rejoined the fleet', self.node.vm)
            self.node.resume()
            await self.membership.announce_up()

    async def _drain(self, data_server: uvicorn.Server) -> None:
        """Release all partitions, then wait for open requests to finish.

        Requests that are open `stop_s` after `drain_s` are aborted.
        """
        logging.info('server: %s is draining', self.settings.vm)
        self.shutting_down = True
        self.node.stop()
        await self.membership.announce_draining()
        await self.ownership.release_all()
        await asyncio.sleep(self.settings.policy.drain_s)
        data_server.should_exit = True
        deadline = self.node.clock.now() + self.settings.policy.stop_s
        while data_server.server_state.tasks:
            if self.node.clock.now() >= deadline:
                logging.error('server: requests were cut at the deadline')
                data_server.force_exit = True
                break
            await asyncio.sleep(_REQUEST_POLL_PERIOD_S)
        await self.membership.announce_gone()

    def _close(self) -> None:
        self.timers.stop()
        self.link.close()
        self.store.close()
        self.parts.pool.close()
        self.parts.tracer.close()
        logging.info('server: %s has stopped', self.settings.vm)

    async def _update_gauges(self) -> None:
        metrics = self.metrics
        now = self.node.clock.now()
        metrics.freshness_s.set(now - self.node.freshness.instant(now))
        metrics.revision.set(self.node.replica.revision)
        metrics.faults.set(len(self.node.catalog.faults))
        metrics.partitions.set(len(self.ownership.owned()))
        metrics.store_calls.set(self.store.calls)
        metrics.peer_octets.set(self.link.octets)
