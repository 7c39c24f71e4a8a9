"""Assembles and runs one VM's process."""

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
    Lender,
    Membership,
    NodeMetrics,
    Node,
    OnceClient,
    OnceOwner,
    Ownership,
    Settings,
    Synchroniser,
    SystemClock,
    TimerService,
    Tracer,
    VmList,
)

_GAUGE_PERIOD_S = 1.0
_DRAIN_PERIOD_S = 0.5
_READY_POLL_S = 0.05
_KEEP_ALIVE_S = 75
_LIST_WAIT_S = 2.0


@dataclass(slots=True)
class Process:
    """All parts of one process."""

    settings: Settings
    node: Node
    link: DatagramLink
    store: EtcdStore
    timers: TimerService
    sync: Synchroniser
    ownership: Ownership
    lender: Lender
    borrower: Borrower
    once: OnceOwner
    vm_list: VmList
    health: Health
    membership: Membership
    parts: Parts
    metrics: NodeMetrics
    ending: bool = False

    @classmethod
    def from_config(cls, settings: Settings) -> 'Process':
        """Return the parts that `settings` describe, not yet started."""
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
        once = OnceOwner(node, ownership, link)
        vm_list = VmList(node, Address.parse(settings.platform.vm_list))
        health = Health(node, link, vm_list)
        own = Vm(
            peer=settings.peer_address,
            admin=settings.listen.admin,
            zone=settings.zone,
            incarnation=incarnation,
        )
        metrics = NodeMetrics()
        parts = Parts(
            node=node,
            borrower=borrower,
            once=OnceClient(node, ownership, link, once),
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
            membership=Membership(node, store, sync, vm_list, own),
            parts=parts,
            metrics=metrics,
        )

    async def run(self) -> None:
        """Serve until a signal asks to stop, then drain and end.

        Raises:
            OSError: an address cannot be bound.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self.link.open(Address.parse(self.settings.listen.peer))
        data = build_server(Pipeline(self.parts), _KEEP_ALIVE_S)
        admin = build_server(Admin(self).app, _KEEP_ALIVE_S)
        data_socket = bind(self.settings.listen.data)
        admin_socket = bind(self.settings.listen.admin)
        await self._start_parts()
        serving = [
            asyncio.create_task(data.serve([data_socket])),
            asyncio.create_task(admin.serve([admin_socket])),
        ]
        logging.info('server: %s serves', self.settings.vm)
        await stop.wait()
        await self._drain(data)
        admin.should_exit = True
        await asyncio.gather(*serving)
        self._close()

    async def _start_parts(self) -> None:
        self.vm_list.start(self.timers)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LIST_WAIT_S):
                await self.vm_list.known.wait()
        self.sync.start(self.timers)
        self.membership.start(self.timers)
        self.ownership.start(self.timers)
        self.borrower.start(self.timers)
        self.health.start(self.timers)
        self.timers.subscribe('gauges', _GAUGE_PERIOD_S, self._set_gauges)
        self.timers.subscribe('drain', _DRAIN_PERIOD_S, self._follow_mark)

    async def _follow_mark(self) -> None:
        """Drain or resume as an operator has marked this VM."""
        mark = drain_name(self.node.vm)
        is_marked = mark in self.node.catalog.drains
        if is_marked and not self.node.stopping:
            logging.info('server: %s drains for an operator', self.node.vm)
            self.node.stop()
            await self.membership.announce_draining()
            await self.ownership.release_all()
        elif self.node.stopping and not is_marked and not self.ending:
            logging.info('server: %s takes part again', self.node.vm)
            self.node.resume()
            await self.membership.announce_up()

    async def _drain(self, data: uvicorn.Server) -> None:
        """Hand over what this VM owns, then let requests end."""
        logging.info('server: %s drains', self.settings.vm)
        self.ending = True
        self.node.stop()
        await self.membership.announce_draining()
        await self.ownership.release_all()
        await asyncio.sleep(self.settings.policy.drain_s)
        data.should_exit = True
        deadline = self.node.clock.now() + self.settings.policy.stop_s
        while data.server_state.tasks:
            if self.node.clock.now() >= deadline:
                logging.error('server: requests were cut at the deadline')
                data.force_exit = True
                break
            await asyncio.sleep(_READY_POLL_S)
        await self.membership.announce_gone()

    def _close(self) -> None:
        self.timers.stop()
        self.link.close()
        self.store.close()
        self.parts.pool.close()
        self.parts.tracer.close()
        logging.info('server: %s ended', self.settings.vm)

    async def _set_gauges(self) -> None:
        metrics = self.metrics
        now = self.node.clock.now()
        metrics.freshness_s.set(now - self.node.freshness.instant(now))
        metrics.revision.set(self.node.replica.revision)
        metrics.faults.set(len(self.node.catalog.faults))
        metrics.partitions.set(len(self.ownership.owned()))
        metrics.store_calls.set(self.store.calls)
        metrics.peer_octets.set(self.link.octets)
