"""Objects that all requests of one process share."""

from dataclasses import dataclass, field
from random import Random

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination import (
    RestingUpstreams,
    RouteWork,
    WaitingRoom,
    may_begin,
)
from teaselquay.decisions import Instant, ServiceName, UpstreamName
from teaselquay.events import Event, Journal
from teaselquay.fleet import Coordinators, FleetState, Replication
from teaselquay.gateway._body_memory import BodyMemory
from teaselquay.gateway._collector import RouteLabels
from teaselquay.gateway._dialect import HeaderNames
from teaselquay.gateway._open_requests import OpenRequests
from teaselquay.gateway._reuse import IdleLimits
from teaselquay.gateway._settings import GatewaySettings
from teaselquay.serving import Account, Clients
from teaselquay.shells import Address, Clock, ConnectionPool, Metrics

#: How long a VM avoids an upstream after a failure to connect, in seconds.
_UNREACHABLE_COOLDOWN_S = 3.0
#: Assumed size of an answer while no measurement exists, in bytes.
_INITIAL_ANSWER_BYTES = 5000


@dataclass(slots=True)
class UnreachableUpstreams:
    """Upstreams that this VM recently failed to connect to."""

    _until: dict[UpstreamName, Instant] = field(default_factory=dict)

    def add(self, name: UpstreamName, now: Instant) -> None:
        """Avoid `name` for the next few seconds."""
        self._until[name] = Instant(now + _UNREACHABLE_COOLDOWN_S)

    def names(self, now: Instant) -> frozenset[UpstreamName]:
        """Return the upstreams to avoid at `now`."""
        self._until = {
            name: until for name, until in self._until.items() if now < until
        }
        return frozenset(self._until)


@dataclass(slots=True)
class GatewayParts:
    """The state, connections and settings that requests share."""

    settings: GatewaySettings
    header_names: HeaderNames
    state: FleetState
    replication: Replication
    coordinators: Coordinators
    pool: ConnectionPool
    metrics: Metrics
    journal: Journal
    clock: Clock
    random: Random
    unreachable: UnreachableUpstreams = field(
        default_factory=UnreachableUpstreams
    )
    idle_limits: IdleLimits = field(default_factory=IdleLimits)
    routes: RouteLabels = field(default_factory=RouteLabels)
    #: Typical size of an answer in bytes.
    answer_bytes: int = _INITIAL_ANSWER_BYTES
    #: Requests that wait until upstreams accept them.
    waiting: WaitingRoom = field(default_factory=WaitingRoom)
    route_work: RouteWork = field(default_factory=RouteWork)
    is_stopping: bool = False
    #: Time at which open requests are cut, once the process is stopping.
    open_until: Instant = Instant(float('inf'))
    #: Whether requests are refused because the process ends soon.
    is_closed: bool = False
    open_requests: OpenRequests = field(default_factory=OpenRequests)
    #: The connections of callers and the account of what they use.
    clients: Clients = field(init=False)
    body_memory: BodyMemory = field(init=False)
    resting: RestingUpstreams = field(init=False)

    def __post_init__(self) -> None:
        """Begin without an upstream that rests and without callers."""
        self.resting = RestingUpstreams(self.random)
        self.clients = Clients(Account(self.settings.memory_bytes))
        self.body_memory = BodyMemory(
            self.clients.account, self.clients.make_room
        )

    def may_send(self, upstream: UpstreamName) -> bool:
        """Return whether this VM may send new requests to `upstream`."""
        now = self.clock.now()
        is_usable = self.state.is_usable(upstream)
        return is_usable and not self.resting.includes(upstream, now)

    def record_rest(self, upstream: UpstreamRecord, rest_s: float) -> None:
        """Record an answer of `upstream` that asks for seconds of rest."""
        if self.resting.record(upstream.name, rest_s, self.clock.now()):
            self.journal.emit(
                Event.REST_STARTED,
                upstream=upstream.name,
                service=upstream.service,
                rest_s=rest_s,
            )

    def resting_names(self, service: ServiceName) -> frozenset[UpstreamName]:
        """Return the upstreams of `service` that rest."""
        names = self.resting.names(self.clock.now())
        if not names:
            return names
        listed = {record.name for record in self.state.usable(service)}
        return names & listed

    def rest_left_s(self, service: ServiceName) -> float | None:
        """Return the seconds until a resting upstream of `service` is usable.

        Return None if none rests.
        """
        names = (record.name for record in self.state.usable(service))
        return self.resting.left_s(names, self.clock.now())

    def may_begin(
        self,
        service: ServiceName,
        deadline: Instant,
        queued_rounds: int = 0,
    ) -> bool:
        """Return whether a request may be sent now, given a stop of this VM.

        `queued_rounds` is as in `coordination.may_begin`. Work of `service`
        that is slower than what has ended so far counts by its age.
        """
        if not self.is_stopping:
            return True
        now = self.clock.now()
        latency_s = max(
            self.coordinators.scheduler(service).latency.likely_s(),
            self.open_requests.oldest_attempt_s(service, now),
        )
        return may_begin(
            now, self.open_until, deadline, latency_s, queued_rounds
        )

    def connected(
        self,
        service: ServiceName,
        max_idle_s: float,
    ) -> frozenset[UpstreamName]:
        """Return the usable upstreams with a pooled connection.

        Connections that were idle for over `max_idle_s` do not count.
        """
        now = self.clock.now()
        return frozenset(
            record.name
            for record in self.state.usable(service)
            if self.pool.has(Address.parse(record.address), now, max_idle_s)
        )

    def drop_connections(self, upstream: UpstreamRecord) -> None:
        """Close the idle connections to `upstream`."""
        self.pool.drop(Address.parse(upstream.address))
