"""Upstream health on one VM, from its own outcomes and fleet verdicts."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from teaselquay.decisions import (
    BalancePolicy,
    Capacity,
    DetectionPolicy,
    Detector,
    Instant,
    Load,
    RecentSuccesses,
    RouteName,
    Sample,
    Service,
    ServiceName,
    Upstream,
    UpstreamName,
    VmName,
    first_vm,
    weight_of,
)
from teaselquay.shells._gathering import (
    Gatherer,
    PlainMessage,
    in_flight_fields,
)
from teaselquay.shells._node import Node
from teaselquay.shells._peers import (
    Answer,
    PeerLink,
    PeerTimeoutError,
    Question,
)
from teaselquay.shells._settings import DetectionSettings
from teaselquay.shells._timers import TimerService
from teaselquay.shells._vmlist import VmList

_CALL_TIMEOUT_S = 0.3
_PERMILLE = 1000
_MS_PER_S = 1000
_MAX_VERDICT_AGE_S = 30.0
_IDLE_REPORT_INTERVAL_S = 1.0
_LEAVING_RETENTION_S = 60.0
#: Most reports that one VM sends per second, by size of the fleet.
_MAX_REPORTS_PER_S = 24
_MAX_REPORTS_PER_S_LARGE_FLEET = 6
_LOCAL_THRESHOLD_FACTOR = 1.5
_MAX_SAMPLES_PER_REPORT = 300
_MAX_OUTCOME_COUNT = 60000
_NEVER = Instant(float('-inf'))
_DEFAULT_SERVICE = Service()

_SampleKey = tuple[UpstreamName, RouteName, bool, int]


def detection_policy(
    settings: DetectionSettings,
    factor: float = 1,
) -> DetectionPolicy:
    """Return the policy in `settings` with its threshold times `factor`."""
    return DetectionPolicy(
        threshold=settings.threshold * factor,
        slow_octaves=settings.slow_octaves,
        eject_s=settings.eject_s,
        return_s=settings.return_s,
    )


@dataclass(slots=True)
class Verdict:
    """The last verdict on a service from its gatherer, and its arrival."""

    received_at: Instant = _NEVER
    weights: dict[UpstreamName, float] = field(default_factory=dict)
    reasons: dict[UpstreamName, str] = field(default_factory=dict)
    stopped: frozenset[bytes] = frozenset()
    leaving: frozenset[UpstreamName] = frozenset()
    reporters: int = 1
    slow_s: dict[RouteName, float] = field(default_factory=dict)

    @classmethod
    def from_message(cls, message: Any, now: Instant) -> 'Verdict':
        """Return the verdict in a gatherer's message."""
        return cls(
            received_at=now,
            weights={
                UpstreamName(item.upstream): item.permille / _PERMILLE
                for item in message.weights
            },
            reasons={
                UpstreamName(item.upstream): item.reason
                for item in message.weights
            },
            stopped=frozenset(bytes(mark) for mark in message.stopped),
            leaving=frozenset(map(UpstreamName, message.leaving)),
            reporters=max(1, message.reporters),
            slow_s={
                RouteName(item.route): item.ms / _MS_PER_S
                for item in message.slow
            },
        )


@dataclass(slots=True)
class ServiceView:
    """Health state of one service on one VM."""

    detector: Detector
    load: Load = field(default_factory=Load)
    verdict: Verdict = field(default_factory=Verdict)
    samples: Counter[_SampleKey] = field(default_factory=Counter)
    crashes: list[tuple[bytes, UpstreamName]] = field(default_factory=list)
    leaving: dict[UpstreamName, Instant] = field(default_factory=dict)
    reported: Instant = _NEVER

    def has_pending_report(self, now: Instant) -> bool:
        """Return whether there is data to report or the verdict is old."""
        if self.samples or self.load.own or self.crashes:
            return True
        return now - self.verdict.received_at >= _IDLE_REPORT_INTERVAL_S

    def is_urgent(self) -> bool:
        """Return whether the report holds failures or crashes."""
        return bool(self.crashes) or any(
            failed for _, _, failed, _ in self.samples
        )

    def drain_report(self, service: ServiceName) -> dict[str, Any]:
        """Return pending outcomes as message fields and clear them."""
        most_frequent = self.samples.most_common(_MAX_SAMPLES_PER_REPORT)
        crashes = self.crashes[:_MAX_SAMPLES_PER_REPORT]
        self.samples.clear()
        self.crashes.clear()
        return {
            'service': service,
            'outcomes': [
                _outcome_fields(key, count) for key, count in most_frequent
            ],
            'inFlight': in_flight_fields(self.load.own),
            'crashes': [
                {'fingerprint': mark, 'upstream': name}
                for mark, name in crashes
            ],
            'leaving': sorted(self.leaving),
        }


class Health:
    """Weights and state of the upstreams, as seen by this VM."""

    def __init__(self, node: Node, link: PeerLink, vm_list: VmList) -> None:
        """Report outcomes over `link` and gather reports of other VMs."""
        self._node = node
        self._link = link
        self._vm_list = vm_list
        self._views: dict[ServiceName, ServiceView] = {}
        self._balance = BalancePolicy()
        self._successes = RecentSuccesses()
        self._gatherers_live_vms: tuple[VmName, ...] = ()
        self._gatherers: dict[ServiceName, VmName] = {}
        settings = node.policy.detection
        self._policy = detection_policy(settings, _LOCAL_THRESHOLD_FACTOR)
        self._gatherer = Gatherer(
            node,
            link,
            detection_policy(settings),
            self.capacity,
        )
        link.on('verdicts', self._on_verdicts)

    def start(self, timers: TimerService) -> None:
        """Report periodically on `timers`."""
        period_s = self._node.policy.report_period_s
        timers.subscribe('report', period_s, self.report_all)

    def view(self, service: ServiceName) -> ServiceView:
        """Return the state of `service`; create it if missing."""
        view = self._views.get(service)
        if view is None:
            view = ServiceView(Detector(self._policy))
            self._views[service] = view
        return view

    def record(self, service: ServiceName, sample: Sample) -> None:
        """Record the outcome of one attempt of this VM."""
        view = self.view(service)
        key = (sample.upstream, sample.route, sample.failed, sample.bucket)
        view.samples[key] += 1
        now = self._node.clock.now()
        capacity = self.capacity(service)
        view.detector.observe(
            self._node.vm,
            (sample,),
            now,
            capacity.unavailable,
        )
        if sample.failed:
            view.detector.decide(capacity, now)

    def record_crash(
        self,
        service: ServiceName,
        fingerprint: bytes,
        upstream: UpstreamName,
    ) -> None:
        """Record that an upstream broke off while it ran a request.

        The crash is ignored if a request with the same fingerprint has
        recently succeeded.
        """
        if not self._successes.has(fingerprint, self._node.clock.now()):
            self.view(service).crashes.append((fingerprint, upstream))

    def record_success(self, fingerprint: bytes) -> None:
        """Record that a request received a complete response."""
        self._successes.add(fingerprint, self._node.clock.now())

    def is_stopped(self, service: ServiceName, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined after crashes."""
        return fingerprint in self.view(service).verdict.stopped

    def report_leaving(
        self,
        service: ServiceName,
        upstream: UpstreamName,
    ) -> None:
        """Record that an upstream announced that it is leaving."""
        self.view(service).leaving[upstream] = self._node.clock.now()

    def slow_threshold_s(
        self,
        service: ServiceName,
        route: RouteName,
    ) -> float | None:
        """Return the latency in seconds that counts as slow, or None."""
        view = self.view(service)
        fleet_slow_s = view.verdict.slow_s.get(route)
        return fleet_slow_s or view.detector.slow_threshold_s(route)

    def candidates(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams that may receive new requests."""
        leaving = self._leaving_upstreams(service)
        return [
            upstream
            for upstream in self._vm_list.upstreams(service)
            if not upstream.leaving and upstream.name not in leaving
        ]

    def weights(self, service: ServiceName) -> dict[UpstreamName, float]:
        """Return the weight of each upstream whose weight is not 1."""
        now = self._node.clock.now()
        view = self.view(service)
        fleet_weights = self._fresh_fleet_weights(view, now)
        own_weights = view.detector.weights(now)
        merged = {
            name: min(fleet_weights.get(name, 1.0), own_weights.get(name, 1.0))
            for name in fleet_weights | own_weights
        }
        merged = self._enforce_floor(service, merged, fleet_weights)
        for upstream in self._vm_list.upstreams(service):
            weight = weight_of(upstream, merged, self._balance, now)
            if weight < 1:
                merged[upstream.name] = weight
        return merged

    def capacity(self, service: ServiceName) -> Capacity:
        """Return the slots, the floor and the cold upstreams of `service`."""
        now = self._node.clock.now()
        candidates = self.candidates(service)
        service_entry = self._node.catalog.services.get(
            service, _DEFAULT_SERVICE
        )
        cold = frozenset(
            upstream.name
            for upstream in candidates
            if upstream.first_seen
            and now - upstream.first_seen < self._balance.warm_s
        )
        slots = {upstream.name: upstream.slots for upstream in candidates}
        return Capacity(slots, service_entry.floor, cold)

    def gatherer(self, service: ServiceName) -> VmName:
        """Return the VM that gathers reports on `service`."""
        live = self._node.live_vms()
        if live is not self._gatherers_live_vms:
            self._gatherers_live_vms = live
            self._gatherers.clear()
        gatherer_vm = self._gatherers.get(service)
        if gatherer_vm is None:
            gatherer_vm = first_vm(f'gatherer-{service}', live) or self._node.vm
            self._gatherers[service] = gatherer_vm
        return gatherer_vm

    async def report_all(self) -> None:
        """Update ejections and send the reports that are due."""
        now = self._node.clock.now()
        for service, view in self._views.items():
            capacity = self.capacity(service)
            view.detector.forget_missing(capacity.slots)
            view.detector.decide(capacity, now)
        await asyncio.gather(*map(self._report, self._services_due(now)))

    def _services_due(self, now: Instant) -> list[ServiceName]:
        """Return the services to report on, within the message budget.

        Services with failures come first, then the longest unreported.
        """
        pending = [
            (not view.is_urgent(), view.reported, name)
            for name, view in self._views.items()
            if view.has_pending_report(now)
        ]
        is_large = self._node.is_large_fleet()
        max_reports_per_s = (
            _MAX_REPORTS_PER_S_LARGE_FLEET if is_large else _MAX_REPORTS_PER_S
        )
        max_reports = max(
            1, int(max_reports_per_s * self._node.policy.report_period_s)
        )
        return [name for _, _, name in sorted(pending)[:max_reports]]

    async def _report(self, service: ServiceName) -> None:
        view = self.view(service)
        view.reported = self._node.clock.now()
        fields = view.drain_report(service)
        gatherer = self.gatherer(service)
        if gatherer == self._node.vm:
            verdicts = self._gatherer.gather(gatherer, PlainMessage(fields))
            self._apply_verdicts(service, PlainMessage(verdicts))
            return
        address = self._node.peer_address(gatherer)
        if address is None:
            return
        try:
            answer = await self._link.call(
                address,
                'report',
                fields,
                _CALL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return
        self._apply_verdicts(service, answer)

    def _on_verdicts(self, question: Question) -> Answer:
        service = ServiceName(question.body.service)
        if question.sender == self.gatherer(service):
            self._apply_verdicts(service, question.body)
        return Answer('ok', None)

    def _apply_verdicts(self, service: ServiceName, message: Any) -> None:
        view = self.view(service)
        view.load.others = {
            UpstreamName(item.upstream): item.count for item in message.inFlight
        }
        view.verdict = Verdict.from_message(message, self._node.clock.now())

    def _fresh_fleet_weights(
        self,
        view: ServiceView,
        now: Instant,
    ) -> dict[UpstreamName, float]:
        if now - view.verdict.received_at > _MAX_VERDICT_AGE_S:
            return {}
        return view.verdict.weights

    def _enforce_floor(
        self,
        service: ServiceName,
        merged: dict[UpstreamName, float],
        fleet_weights: dict[UpstreamName, float],
    ) -> dict[UpstreamName, float]:
        # The floor limits all ejections; those of the fleet are applied first.
        capacity = self.capacity(service)
        ejected: frozenset[UpstreamName] = frozenset()
        floored = dict(merged)
        ordered = sorted(
            merged, key=lambda upstream: fleet_weights.get(upstream, 1.0)
        )
        for name in ordered:
            if merged[name] > 0:
                continue
            if capacity.allows_ejection(name, ejected):
                ejected |= {name}
            else:
                floored[name] = self._balance.cold_weight
        return floored

    def _leaving_upstreams(self, service: ServiceName) -> set[UpstreamName]:
        now = self._node.clock.now()
        view = self.view(service)
        own = {
            name
            for name, received_at in view.leaving.items()
            if now - received_at <= _LEAVING_RETENTION_S
        }
        drained = map(UpstreamName, self._node.catalog.drains)
        return own.union(view.verdict.leaving, drained)


def _outcome_fields(key: _SampleKey, count: int) -> dict[str, Any]:
    upstream, route, failed, bucket = key
    return {
        'upstream': upstream,
        'route': route,
        'failed': failed,
        'bucket': bucket,
        'count': min(count, _MAX_OUTCOME_COUNT),
    }
