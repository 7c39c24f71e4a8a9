"""Metrics that are read from the parts of a VM when they are asked for."""

from dataclasses import dataclass, field
from typing import Iterable, Protocol

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from teaselquay.coordination import SUSPICION_THRESHOLD
from teaselquay.fleet import FleetMember
from teaselquay.shells import Clock

#: Routes with series of their own; the others share one, so that a long
#: list of routes costs neither memory nor the store of metrics much.
_MOST_ROUTES = 200
_OTHER = 'other'


@dataclass(slots=True)
class RouteLabels:
    """Labels of routes, of which there are a bounded number.

    >>> labels = RouteLabels(most=1)
    >>> labels.of('a'), labels.of('b'), labels.of('a')
    ('a', 'other', 'a')
    """

    most: int = _MOST_ROUTES
    _known: set[str] = field(default_factory=set)

    def of(self, route: str) -> str:
        """Return the label for `route`."""
        if route in self._known:
            return route
        if len(self._known) >= self.most:
            return _OTHER
        self._known.add(route)
        return route


class Traffic(Protocol):
    """Counts what a link has sent and received."""

    messages: int
    octets: int


@dataclass(frozen=True, slots=True, eq=False)
class FleetCollector:
    """Yields what a VM knows of the fleet, as of the moment it is asked."""

    member: FleetMember
    link: Traffic
    clock: Clock

    def collect(self) -> Iterable[Metric]:
        """Yield the metrics."""
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
        known = GaugeMetricFamily(
            'teaselquay_upstreams',
            'Upstreams that take new work.',
            labels=('service',),
        )
        suspected = GaugeMetricFamily(
            'teaselquay_suspected_slots',
            'Slots of upstreams that are more likely than not in a spell.',
            labels=('service',),
        )
        budget = GaugeMetricFamily(
            'teaselquay_second_sends_left',
            'Second sends that the coordinator on this VM may still allow.',
            labels=('service',),
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
            known.add_metric((service,), len(upstreams))
            suspected.add_metric((service,), slots)
            budget.add_metric((service,), scheduler.second_sends_left())
        return known, suspected, budget
