"""Assembles and runs one VM of the gateway."""

import asyncio
import signal
import socket
from random import Random, SystemRandom

from prometheus_client import generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route as Path

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Incarnation
from teaselquay.events import Event, Journal
from teaselquay.fleet import (
    Decoder,
    FleetMember,
    SharedStore,
    Surroundings,
)
from teaselquay.gateway._app import GatewayApp
from teaselquay.gateway._collector import FleetCollector
from teaselquay.gateway._dialect import Dialect
from teaselquay.gateway._parts import GatewayParts
from teaselquay.gateway._settings import GatewaySettings
from teaselquay.serving import SignalFreeServer, bind, build_server
from teaselquay.shells import (
    Address,
    Codec,
    ConnectionPool,
    DatagramLink,
    Metrics,
    SystemClock,
    TimerService,
)

_READY_PERIOD_S = 0.5
_ANNOUNCE_PERIOD_S = 1.0
#: Times that a VM announces itself, since datagrams are lost.
_ANNOUNCEMENTS = 3
#: A VM that heard of nobody for so long takes itself out of rotation.
_ISOLATED_S = 2.5
#: Parts of the grace period: until then new requests are taken after
#: SIGTERM, since balancers need two seconds to notice; until then open ones
#: may end.
_ACCEPT_PART = 0.4
_END_PART = 0.93
#: Shortest time to stay after SIGTERM in seconds, for callers on the way.
_LEAST_STAY_S = 2.2
_POLL_S = 0.05
#: A timer that fires so late is logged, in seconds: callers notice it.
_LOOP_LATE_S = 0.1
#: Idle time before a configuration says more, in seconds.
_FIRST_IDLE_S = 15.0
#: Idle time beyond what callers are told, so that the caller closes first.
_IDLE_MARGIN_S = 1.0


class GatewayProcess:
    """All parts of one VM, and its life from start to stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: SharedStore,
        decoder: Decoder,
        journal: Journal,
        fleet_key: bytes,
    ) -> None:
        """Assemble the parts without starting them."""
        random: Random = SystemRandom()
        clock = SystemClock()
        incarnation = Incarnation(journal.incarnation)
        self._journal = journal
        self._settings = settings
        self._link = DatagramLink(settings.vm, incarnation, Codec(fleet_key))
        self._timers = TimerService(random)
        host, port = settings.peer
        own = VmRecord(settings.vm, f'{host}:{port}', settings.zone)
        self._member = FleetMember.from_config(
            own,
            Surroundings(self._link, clock, random, journal),
            store,
            decoder,
            settings.repeat_policy(),
            settings.seeds,
        )
        self._directory = self._member.directory
        self._parts = GatewayParts(
            settings=settings,
            dialect=dialect,
            state=self._member.state,
            replication=self._member.replication,
            coordinators=self._member.coordinators,
            pool=ConnectionPool(),
            metrics=Metrics(),
            journal=journal,
            clock=clock,
            random=random,
        )
        self._parts.metrics.registry.register(
            FleetCollector(self._member, self._link, clock),
        )
        self._timers.on_fired(self._timer_fired)
        self._callers = build_server(GatewayApp(self._parts), _FIRST_IDLE_S)
        self._was_ready = False
        self._member.state.subscribe(self._apply_limits)

    def is_ready(self) -> bool:
        """Return whether this VM should get new callers."""
        parts = self._parts
        if parts.is_stopping or parts.state.table is None:
            return False
        return not self._is_isolated()

    def _is_announced(self) -> bool:
        """Return whether the others know that this VM serves.

        It coordinates nothing before, as they would ask it by turns.
        """
        return self._was_ready and self.is_ready()

    def reload(self, settings: GatewaySettings) -> None:
        """Take over settings that may change while the process runs."""
        self._settings = settings
        self._parts.settings = settings
        self._directory.seeds = settings.seeds
        self._journal.emit(Event.RELOADED, zone=settings.zone)

    async def run(self) -> None:
        """Serve until SIGTERM, and end within the grace period.

        Raises:
            OSError: an address cannot be bound.
        """
        stop = _stop_signal()
        await self._link.open(self._settings.peer)
        control = build_server(self._control_app(), _FIRST_IDLE_S)
        settings = self._settings
        serving = asyncio.gather(
            self._callers.serve([_bound(settings.callers)]),
            control.serve([_bound(settings.ready), _bound(settings.metrics)]),
        )
        self._start_parts()
        await stop.wait()
        await self._drain()
        _end(self._callers, control)
        await serving
        self._close()

    def _close(self) -> None:
        self._timers.stop()
        self._link.close()
        self._parts.pool.close()
        self._journal.emit(Event.STOPPED)

    def _start_parts(self) -> None:
        self._member.coordinators.is_serving = self._is_announced
        # After a loss of all VMs, each waits for the first to coordinate.
        self._member.state.subscribe(self._update_ready)
        self._member.start(self._timers)
        self._timers.subscribe('ready', _READY_PERIOD_S, self._follow_ready)
        self._journal.emit(Event.STARTED, zone=self._settings.zone)

    async def _drain(self) -> None:
        """Tell everyone, and wait for open requests."""
        parts = self._parts
        began = parts.clock.now()
        grace_s = self._settings.grace_s
        parts.is_stopping = True
        self._journal.emit(Event.STOPPING, open_requests=self._open())
        parts.coordinators.announce(is_serving=False)
        while True:
            elapsed_s = parts.clock.now() - began
            if elapsed_s >= grace_s * _ACCEPT_PART:
                parts.is_closed = True
            if elapsed_s >= grace_s * _END_PART:
                return
            if elapsed_s >= _LEAST_STAY_S and not self._open():
                return
            await asyncio.sleep(_POLL_S)

    def _open(self) -> int:
        return len(self._callers.server_state.tasks)

    def _is_isolated(self) -> bool:
        silent_s = self._parts.clock.now() - self._directory.last_contact
        return bool(self._directory.others()) and silent_s > _ISOLATED_S

    def _timer_fired(self, name: str, late_s: float) -> None:
        self._parts.metrics.loop_late_s.observe(max(0, late_s))
        if late_s >= _LOOP_LATE_S:
            self._journal.emit(
                Event.LOOP_LATE,
                timer=name,
                late_s=round(late_s, 3),
            )

    async def _follow_ready(self) -> None:
        self._update_ready()

    def _update_ready(self) -> None:
        is_ready = self.is_ready()
        if is_ready == self._was_ready:
            return
        self._was_ready = is_ready
        self._journal.emit(
            Event.READY_CHANGED,
            is_ready=is_ready,
            has_configuration=self._parts.state.table is not None,
            is_isolated=self._is_isolated(),
        )
        if is_ready:
            self._timers.subscribe_some(
                'announce',
                _ANNOUNCE_PERIOD_S,
                self._announce,
                _ANNOUNCEMENTS,
            )

    async def _announce(self) -> None:
        if self.is_ready():
            self._parts.coordinators.announce(is_serving=True)

    def _apply_limits(self) -> None:
        table = self._parts.state.table
        if table is None:
            return
        limits = table.configuration.limits
        idle_s = limits.idle_timeout_s + _IDLE_MARGIN_S
        if idle_s == self._callers.config.timeout_keep_alive:
            return
        self._callers.config.timeout_keep_alive = idle_s  # type: ignore
        for connection in self._callers.server_state.connections:
            connection.timeout_keep_alive = idle_s  # type: ignore

    def _control_app(self) -> Starlette:
        async def ready(_: Request) -> Response:
            status = 200 if self.is_ready() else 503
            return PlainTextResponse('', status)

        async def metrics(_: Request) -> Response:
            return Response(generate_latest(self._parts.metrics.registry))

        return Starlette(
            routes=[Path('/ready', ready), Path('/metrics', metrics)],
        )


def _stop_signal() -> asyncio.Event:
    """Return an event that is set once the process is asked to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


def _end(*servers: SignalFreeServer) -> None:
    for server in servers:
        server.should_exit = True
        server.force_exit = True


def _bound(address: Address) -> socket.socket:
    return bind(f'{address.host}:{address.port}')
