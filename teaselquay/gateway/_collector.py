"""Metrics that are read from the components of a VM at each scrape."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Iterable, Protocol

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from teaselquay.coordination import SUSPICION_THRESHOLD, RestingUpstreams
from teaselquay.fleet import FleetMember
from teaselquay.serving import Clients
from teaselquay.shells import Clock

#: Routes with a time series of their own. The others share one, which bounds
#: the memory and the load on the metrics backend of a long list of routes.
_MAX_LABELED_ROUTES = 200
_OTHER_LABEL = 'other'
_SERVICE_LABELS = ('service',)


@dataclass(slots=True)
class RouteLabels:
    """Labels of routes, bounded in number.

    >>> labels = RouteLabels(max_routes=1)
    >>> labels.label_for('a'), labels.label_for('b'), labels.label_for('a')
    ('a', 'other', 'a')
    """

    max_routes: int = _MAX_LABELED_ROUTES
    _labeled: set[str] = field(default_factory=set)

    def label_for(self, route: str) -> str:
        """Return `route`, or the shared label once the bound is reached."""
        if route in self._labeled:
            return route
        if len(self._labeled) >= self.max_routes:
            return _OTHER_LABEL
        self._labeled.add(route)
        return route


class LinkCounters(Protocol):
    """Counters of the messages and bytes that a link sent and received."""

    messages: int
    octets: int


@dataclass(frozen=True, slots=True, eq=False)
class FleetCollector:
    """Prometheus collector of a VM's view of the fleet."""

    member: FleetMember
    link: LinkCounters
    clock: Clock
    resting: RestingUpstreams
    clients: Clients

    def collect(self) -> Iterable[Metric]:
        """Yield the metrics with their current values."""
        yield self._version()
        yield self._age()
        yield self._store_calls()
        yield CounterMetricFamily(
            'teaselquay_peer_messages',
            'Messages sent to and received from peers.',
            self.link.messages,
        )
        yield CounterMetricFamily(
            'teaselquay_peer_bytes',
            'Bytes sent to and received from peers.',
            self.link.octets,
        )
        yield from self._services()
        yield from (self._leaving(), self._resting(), self._cold())
        yield from (self._evacuated(), *self._limits(), *self._clients())

    def _version(self) -> Metric:
        table = self.member.state.table
        return GaugeMetricFamily(
            'teaselquay_configuration_version',
            'Version in force, 0 before any.',
            table.configuration.version if table else 0,
        )

    def _age(self) -> Metric:
        return GaugeMetricFamily(
            'teaselquay_configuration_age_seconds',
            'Age of the evidence that the configuration is current.',
            self.member.replication.age_s(),
        )

    def _store_calls(self) -> Metric:
        metric = CounterMetricFamily(
            'teaselquay_store_calls',
            'Calls to the store by kind and result.',
            labels=('kind', 'result'),
        )
        calls = self.member.replication.store.calls_by_result
        for labels, count in calls.items():
            metric.add_metric(labels, count)
        return metric

    def _services(self) -> Iterable[Metric]:
        usable_metric = GaugeMetricFamily(
            'teaselquay_upstreams',
            'Upstreams that take new work.',
            labels=_SERVICE_LABELS,
        )
        suspected_metric = GaugeMetricFamily(
            'teaselquay_suspected_slots',
            'Slots of upstreams that are more likely than not in a spell.',
            labels=_SERVICE_LABELS,
        )
        budget_metric = GaugeMetricFamily(
            'teaselquay_second_sends_left',
            'Second sends that the coordinator on this VM may still allow.',
            labels=_SERVICE_LABELS,
        )
        now = self.clock.now()
        coordinators = self.member.coordinators
        for service in coordinators.services():
            scheduler = coordinators.scheduler(service)
            upstreams = self.member.state.usable(service)
            slots = sum(
                upstream.slots
                for upstream in upstreams
                if scheduler.in_spell(upstream.name, now) > SUSPICION_THRESHOLD
            )
            usable_metric.add_metric((service,), len(upstreams))
            suspected_metric.add_metric((service,), slots)
            budget_metric.add_metric((service,), scheduler.second_sends_left())
        return usable_metric, suspected_metric, budget_metric

    def _leaving(self) -> Metric:
        metric = GaugeMetricFamily(
            'teaselquay_leaving_upstreams',
            'Listed upstreams that said in an answer that they leave.',
            labels=_SERVICE_LABELS,
        )
        state = self.member.state
        counts = Counter(
            record.service
            for record in state.upstreams_by_name.values()
            if state.is_leaving(record)
        )
        for service in self.member.coordinators.services():
            metric.add_metric([service], counts[service])
        return metric

    def _resting(self) -> Metric:
        metric = GaugeMetricFamily(
            'teaselquay_resting_upstreams',
            'Upstreams that asked this VM for rest.',
            labels=_SERVICE_LABELS,
        )
        names = self.resting.names(self.clock.now())
        for service in self.member.coordinators.services():
            listed = self.member.state.usable(service)
            count = sum(record.name in names for record in listed)
            metric.add_metric([service], count)
        return metric

    def _cold(self) -> Metric:
        metric = GaugeMetricFamily(
            'teaselquay_cold_upstreams',
            'Usable upstreams that are warming up, or may be.',
            labels=_SERVICE_LABELS,
        )
        state = self.member.state
        now = self.clock.now()
        for service in self.member.coordinators.services():
            listed = state.usable(service)
            count = sum(state.cold.includes(up.name, now) for up in listed)
            metric.add_metric([service], count)
        return metric

    def _evacuated(self) -> Metric:
        return GaugeMetricFamily(
            'teaselquay_evacuated_zones',
            'Zones whose upstreams get no new requests.',
            len(self.member.state.evacuated_zones),
        )

    def _limits(self) -> Iterable[Metric]:
        limited_metric = GaugeMetricFamily(
            'teaselquay_limited_upstreams',
            'Upstreams that name a limit, as this VM knows it.',
            labels=_SERVICE_LABELS,
        )
        rate_metric = GaugeMetricFamily(
            'teaselquay_limited_rate',
            'Requests per second that these upstreams take together.',
            labels=_SERVICE_LABELS,
        )
        placed_metric = CounterMetricFamily(
            'teaselquay_limited_sends',
            'Requests that this VM placed on upstreams that name a limit.',
            labels=_SERVICE_LABELS,
        )
        coordinators = self.member.coordinators
        for service in coordinators.services():
            limits = coordinators.scheduler(service).limits
            rates = [
                limit.rate
                for upstream in self.member.state.usable(service)
                if (limit := limits.limit_of(upstream)) is not None
            ]
            limited_metric.add_metric([service], len(rates))
            rate_metric.add_metric([service], sum(rates))
            placed_metric.add_metric([service], limits.granted)
        return limited_metric, rate_metric, placed_metric

    def _clients(self) -> Iterable[Metric]:
        account = self.clients.account
        used_metric = GaugeMetricFamily(
            'teaselquay_client_memory_bytes',
            'Memory that clients use, by kind.',
            labels=('kind',),
        )
        for use, size in account.bytes_by_use.items():
            used_metric.add_metric([use.value], size)
        yield used_metric
        yield GaugeMetricFamily(
            'teaselquay_client_memory_room_bytes',
            'Memory that clients may use together, 0 if it is not bounded.',
            account.room_bytes or 0,
        )
        yield GaugeMetricFamily(
            'teaselquay_client_connections',
            'Open connections of clients.',
            sum(len(group.connections) for group in self.clients.groups),
        )
        closed_metric = CounterMetricFamily(
            'teaselquay_clients_closed',
            'Connections closed and requests refused, by reason.',
            labels=('reason',),
        )
        for reason, count in account.closed_by_reason.items():
            closed_metric.add_metric([reason], count)
        yield closed_metric
