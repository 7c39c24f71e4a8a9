"""Assembly, startup and graceful shutdown of one VM of the gateway."""

import asyncio
import resource
import signal
import socket
from pathlib import Path
from random import Random, SystemRandom

from prometheus_client import generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route as HttpRoute

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Incarnation, Instant
from teaselquay.events import Event, Journal
from teaselquay.fleet import (
    Decoder,
    FleetMember,
    RuntimeContext,
    SharedStore,
)
from teaselquay.gateway._app import GatewayApp
from teaselquay.gateway._collector import FleetCollector
from teaselquay.gateway._dialect import HeaderNames
from teaselquay.gateway._parts import GatewayParts
from teaselquay.gateway._preview import PreviewEndpoint
from teaselquay.gateway._settings import GatewaySettings
from teaselquay.serving import (
    ConnectionBounds,
    SignalFreeServer,
    bind,
    build_server,
)
from teaselquay.shells import (
    Address,
    Codec,
    ConnectionPool,
    DatagramLink,
    Metrics,
    SystemClock,
    TimerService,
)

_READY_CHECK_PERIOD_S = 0.5
_MEMORY_CHECK_PERIOD_S = 0.25
#: Field of /proc/self/statm with the resident pages.
_RESIDENT_FIELD = 1
#: Reasons to close connections that are not logged.
_ORDINARY_CLOSES = frozenset(('idle',))
_ANNOUNCE_PERIOD_S = 1.0
#: Number of announcements of a VM, since datagrams can be lost.
_ANNOUNCEMENT_COUNT = 3
#: A VM that received nothing from its peers for so long reports not ready.
_ISOLATED_AFTER_S = 2.5
#: Fractions of the grace period after SIGTERM. New requests are accepted until
#: the first, since load balancers need two seconds to notice; open requests
#: may finish until the second.
_ACCEPT_FRACTION = 0.4
_DRAIN_FRACTION = 0.93
#: Shortest drain after SIGTERM, for requests that are already on the way.
_MIN_DRAIN_S = 2.2
_DRAIN_POLL_PERIOD_S = 0.05
#: Longest time in which requests that are ended by a stop are answered.
_MAX_FLUSH_S = 0.1
_FLUSH_POLL_PERIOD_S = 0.01
#: Timers that fire this late are logged, since callers notice the delay.
_LATE_TIMER_S = 0.1
_SEED_BITS = 128
#: Keep-alive timeout until a configuration sets it.
_INITIAL_KEEP_ALIVE_S = 15.0
#: Added to the advertised idle timeout, so that the caller closes first.
_KEEP_ALIVE_MARGIN_S = 1.0


class GatewayProcess:
    """The components of one VM, from startup to shutdown."""

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        store: SharedStore,
        decoder: Decoder,
        journal: Journal,
        fleet_key: bytes,
    ) -> None:
        """Assemble the components without starting them."""
        # Seeded once, since each number of the system's own generator costs
        # a system call, and a placement draws dozens.
        random = Random(SystemRandom().getrandbits(_SEED_BITS))
        clock = SystemClock()
        incarnation = Incarnation(journal.incarnation)
        self._journal = journal
        self._settings = settings
        self._link = DatagramLink(settings.vm, incarnation, Codec(fleet_key))
        self._timers = TimerService(random)
        host, port = settings.peer
        own_record = VmRecord(
            settings.vm, f'{host}:{port}', settings.zone, settings.capacity
        )
        self._member = FleetMember.from_config(
            own_record,
            RuntimeContext(self._link, clock, random, journal),
            store,
            decoder,
            settings.repeat_policy(),
            settings.seeds,
        )
        self._directory = self._member.directory
        self._member.coordinators.quotas.slack = settings.quota_slack
        self._parts = GatewayParts(
            settings=settings,
            header_names=header_names,
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
            FleetCollector(
                self._member,
                self._link,
                clock,
                self._parts.resting,
                self._parts.clients,
            ),
        )
        self._timers.on_fired(self._timer_fired)
        self._bounds = ConnectionBounds.from_descriptors(
            settings.max_descriptors
        )
        self._caller_server = build_server(
            GatewayApp(self._parts),
            _INITIAL_KEEP_ALIVE_S,
            self._parts.clients.group(self._bounds.callers),
        )
        self._was_ready = False
        self._member.state.subscribe(self._apply_limits)

    def is_ready(self) -> bool:
        """Return whether load balancers should send new callers to this VM."""
        parts = self._parts
        if parts.is_stopping or parts.state.table is None:
            return False
        return not self._is_isolated()

    def _is_known_to_serve(self) -> bool:
        """Return whether peers have been told that this VM serves.

        It coordinates nothing before, because peers would alternate between
        it and another coordinator.
        """
        return self._was_ready and self.is_ready()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply settings that may change while the process runs."""
        self._settings = settings
        self._parts.settings = settings
        self._directory.seeds = settings.seeds
        self._journal.emit(Event.RELOADED, zone=settings.zone)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop within the grace period.

        Raises:
            OSError: an address cannot be bound.
        """
        stop_event = _stop_signal()
        await self._link.open(self._settings.peer)
        control_server = build_server(
            self._control_app(),
            _INITIAL_KEEP_ALIVE_S,
            self._parts.clients.group(self._bounds.control, is_reserved=True),
        )
        settings = self._settings
        serving = asyncio.gather(
            self._caller_server.serve([_bind_address(settings.callers)]),
            control_server.serve(
                [_bind_address(settings.ready), _bind_address(settings.metrics)]
            ),
        )
        self._start_parts()
        await stop_event.wait()
        await self._drain()
        _stop_servers(self._caller_server, control_server)
        await serving
        self._close()

    def _close(self) -> None:
        self._timers.stop()
        self._link.close()
        self._parts.pool.close()
        self._journal.emit(Event.STOPPED)

    def _start_parts(self) -> None:
        self._member.coordinators.is_serving = self._is_known_to_serve
        # After a loss of all VMs, each one waits for the first to
        # coordinate, so readiness follows each change of the state at once.
        self._member.state.subscribe(self._update_ready)
        self._member.start(self._timers)
        self._timers.subscribe(
            'ready', _READY_CHECK_PERIOD_S, self._check_ready
        )
        self._parts.clients.account.measure(_resident_bytes())
        self._timers.subscribe(
            'memory', _MEMORY_CHECK_PERIOD_S, self._check_memory
        )
        self._journal.emit(Event.STARTED, zone=self._settings.zone)

    async def _drain(self) -> None:
        """Announce the stop to peers and wait for open requests to finish."""
        parts = self._parts
        began = parts.clock.now()
        grace_s = self._settings.grace_s
        parts.is_stopping = True
        parts.open_until = Instant(began + grace_s * _DRAIN_FRACTION)
        self._journal.emit(
            Event.STOPPING, open_requests=self._open_request_count()
        )
        parts.coordinators.announce(is_serving=False)
        while True:
            elapsed_s = parts.clock.now() - began
            if elapsed_s >= grace_s * _DRAIN_FRACTION:
                await self._end_open_requests()
                return
            parts.open_requests.end_too_late()
            is_idle = elapsed_s >= _MIN_DRAIN_S and not (
                self._open_request_count()
            )
            if is_idle and parts.is_closed:
                return
            if elapsed_s >= grace_s * _ACCEPT_FRACTION:
                # Requests that were just read are answered before the end.
                parts.is_closed = True
            await asyncio.sleep(_DRAIN_POLL_PERIOD_S)

    async def _end_open_requests(self) -> None:
        """Answer the open requests, whatever they wait for."""
        clock = self._parts.clock
        ends_at = clock.now() + _MAX_FLUSH_S
        self._parts.open_requests.end_all()
        while self._open_request_count() and clock.now() < ends_at:
            await asyncio.sleep(_FLUSH_POLL_PERIOD_S)

    def _open_request_count(self) -> int:
        return len(self._caller_server.server_state.tasks)

    def _is_isolated(self) -> bool:
        silence_s = self._parts.clock.now() - self._directory.last_contact
        return bool(self._directory.others()) and silence_s > _ISOLATED_AFTER_S

    def _timer_fired(self, name: str, late_s: float) -> None:
        self._parts.metrics.loop_late_s.observe(max(0, late_s))
        if late_s >= _LATE_TIMER_S:
            self._journal.emit(
                Event.LOOP_LATE,
                timer=name,
                late_s=round(late_s, 3),
            )

    async def _check_ready(self) -> None:
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
                _ANNOUNCEMENT_COUNT,
            )

    async def _check_memory(self) -> None:
        """Measure the process, and make room for bodies that wait."""
        clients = self._parts.clients
        bodies = self._parts.body_memory
        clients.account.measure(_resident_bytes())
        clients.make_room(bodies.awaited_bytes())
        bodies.grant_waiters()
        for reason, count in clients.take_recently_closed().items():
            if reason not in _ORDINARY_CLOSES:
                self._journal.emit(
                    Event.CLIENTS_CLOSED,
                    reason=reason,
                    connections=count,
                    used_bytes=clients.account.used_bytes,
                    room_bytes=clients.account.room_bytes,
                )

    async def _announce(self) -> None:
        if self.is_ready():
            self._parts.coordinators.announce(is_serving=True)

    def _apply_limits(self) -> None:
        table = self._parts.state.table
        if table is None:
            return
        limits = table.configuration.limits
        idle_s = limits.idle_timeout_s + _KEEP_ALIVE_MARGIN_S
        self._caller_server.config.timeout_keep_alive = idle_s  # type: ignore
        self._parts.clients.header_timeout_s = limits.header_timeout_s

    def _control_app(self) -> Starlette:
        async def ready(_: Request) -> Response:
            status = 200 if self.is_ready() else 503
            return PlainTextResponse('', status)

        async def metrics(_: Request) -> Response:
            return Response(generate_latest(self._parts.metrics.registry))

        return Starlette(
            routes=[
                HttpRoute('/ready', ready),
                HttpRoute('/metrics', metrics),
                HttpRoute('/placement', PreviewEndpoint(self._parts).respond),
            ],
        )


def _resident_bytes() -> int:
    """Return the resident memory of this process."""
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[_RESIDENT_FIELD]) * resource.getpagesize()


def _stop_signal() -> asyncio.Event:
    """Return an event that is set once the process is asked to stop."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    return stop_event


def _stop_servers(*servers: SignalFreeServer) -> None:
    for server in servers:
        server.should_exit = True
        server.force_exit = True


def _bind_address(address: Address) -> socket.socket:
    return bind(f'{address.host}:{address.port}')
