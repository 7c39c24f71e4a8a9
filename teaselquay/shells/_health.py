"""What one VM knows of the upstreams: its own outcomes and the verdicts."""

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
_VERDICT_KEEP_S = 30.0
_IDLE_REPORT_S = 1.0
_LEAVING_KEEP_S = 60.0
#: Reports that one VM sends in a second at most, by size of the fleet.
_REPORTS_S = 24
_REPORTS_LARGE_S = 6
_LOCAL_THRESHOLD_FACTOR = 1.5
_MOST_SAMPLES = 300
_MOST_COUNT = 60000
_NEVER = Instant(float('-inf'))
_DEFAULT_SERVICE = Service()

_SampleKey = tuple[UpstreamName, RouteName, bool, int]


def detection_policy(
    settings: DetectionSettings,
    factor: float = 1,
) -> DetectionPolicy:
    """Return the policy in checked settings, its threshold by `factor`."""
    return DetectionPolicy(
        threshold=settings.threshold * factor,
        slow_octaves=settings.slow_octaves,
        eject_s=settings.eject_s,
        return_s=settings.return_s,
    )


@dataclass(slots=True)
class Verdict:
    """What a VM was last told of a service, and when."""

    heard: Instant = _NEVER
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
            heard=now,
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
    """What one VM knows of a service."""

    detector: Detector
    load: Load = field(default_factory=Load)
    verdict: Verdict = field(default_factory=Verdict)
    samples: Counter[_SampleKey] = field(default_factory=Counter)
    crashes: list[tuple[bytes, UpstreamName]] = field(default_factory=list)
    leaving: dict[UpstreamName, Instant] = field(default_factory=dict)
    reported: Instant = _NEVER

    def has_news(self, now: Instant) -> bool:
        """Return whether there is something to report or to ask for."""
        if self.samples or self.load.own or self.crashes:
            return True
        return now - self.verdict.heard >= _IDLE_REPORT_S

    def is_urgent(self) -> bool:
        """Return whether others should hear of this soon."""
        return bool(self.crashes) or any(
            failed for _, _, failed, _ in self.samples
        )

    def take_report(self, service: ServiceName) -> dict[str, Any]:
        """Return what is to be reported as fields, and forget it."""
        chosen = self.samples.most_common(_MOST_SAMPLES)
        crashes = self.crashes[:_MOST_SAMPLES]
        self.samples.clear()
        self.crashes.clear()
        return {
            'service': service,
            'outcomes': [_outcome_fields(key, count) for key, count in chosen],
            'inFlight': in_flight_fields(self.load.own),
            'crashes': [
                {'fingerprint': mark, 'upstream': name}
                for mark, name in crashes
            ],
            'leaving': sorted(self.leaving),
        }


class Health:
    """Health of the upstreams, as far as this VM knows it."""

    def __init__(self, node: Node, link: PeerLink, vm_list: VmList) -> None:
        """Report over `link`, and gather what others report."""
        self._node = node
        self._link = link
        self._vm_list = vm_list
        self._by_service: dict[ServiceName, ServiceView] = {}
        self._balance = BalancePolicy()
        self._successes = RecentSuccesses()
        self._gatherers_of: tuple[VmName, ...] = ()
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
        """Subscribe to `timers`."""
        period_s = self._node.policy.report_period_s
        timers.subscribe('report', period_s, self.report_all)

    def view(self, service: ServiceName) -> ServiceView:
        """Return what this VM knows of `service`."""
        view = self._by_service.get(service)
        if view is None:
            view = ServiceView(Detector(self._policy))
            self._by_service[service] = view
        return view

    def record(self, service: ServiceName, sample: Sample) -> None:
        """Take over the outcome of one attempt of this VM."""
        view = self.view(service)
        key = (sample.upstream, sample.route, sample.failed, sample.bucket)
        view.samples[key] += 1
        now = self._node.clock.now()
        capacity = self.capacity(service)
        view.detector.observe(
            self._node.vm,
            (sample,),
            now,
            capacity.unable,
        )
        if sample.failed:
            view.detector.decide(capacity, now)

    def record_crash(
        self,
        service: ServiceName,
        fingerprint: bytes,
        upstream: UpstreamName,
    ) -> None:
        """Report that an upstream broke off while it ran a request."""
        if not self._successes.has(fingerprint, self._node.clock.now()):
            self.view(service).crashes.append((fingerprint, upstream))

    def record_success(self, fingerprint: bytes) -> None:
        """Note that a request was answered whole."""
        self._successes.add(fingerprint, self._node.clock.now())

    def is_stopped(self, service: ServiceName, fingerprint: bytes) -> bool:
        """Return whether a request has crashed too many upstreams."""
        return fingerprint in self.view(service).verdict.stopped

    def report_leaving(
        self,
        service: ServiceName,
        upstream: UpstreamName,
    ) -> None:
        """Report that an upstream itself said that it is leaving."""
        self.view(service).leaving[upstream] = self._node.clock.now()

    def slow_after_s(
        self,
        service: ServiceName,
        route: RouteName,
    ) -> float | None:
        """Return the latency that counts as slow, as far as it is known."""
        view = self.view(service)
        told = view.verdict.slow_s.get(route)
        return told or view.detector.slow_after_s(route)

    def candidates(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams that may get new work."""
        leaving = self._leaving(service)
        return [
            upstream
            for upstream in self._vm_list.upstreams(service)
            if not upstream.leaving and upstream.name not in leaving
        ]

    def weights(self, service: ServiceName) -> dict[UpstreamName, float]:
        """Return the weight of each candidate that is not 1."""
        now = self._node.clock.now()
        view = self.view(service)
        fleet = self._fleet_weights(view, now)
        own = view.detector.weights(now)
        merged = {
            name: min(fleet.get(name, 1.0), own.get(name, 1.0))
            for name in fleet | own
        }
        merged = self._keep_floor(service, merged, fleet)
        for upstream in self._vm_list.upstreams(service):
            weight = weight_of(upstream, merged, self._balance, now)
            if weight < 1:
                merged[upstream.name] = weight
        return merged

    def capacity(self, service: ServiceName) -> Capacity:
        """Return the slots of `service` and the floor."""
        now = self._node.clock.now()
        candidates = self.candidates(service)
        known = self._node.catalog.services.get(service, _DEFAULT_SERVICE)
        cold = frozenset(
            upstream.name
            for upstream in candidates
            if upstream.first_seen
            and now - upstream.first_seen < self._balance.warm_s
        )
        slots = {upstream.name: upstream.slots for upstream in candidates}
        return Capacity(slots, known.floor, cold)

    def gatherer(self, service: ServiceName) -> VmName:
        """Return the VM that gathers the reports of `service`."""
        live = self._node.live_vms()
        if live is not self._gatherers_of:
            self._gatherers_of = live
            self._gatherers.clear()
        found = self._gatherers.get(service)
        if found is None:
            found = first_vm(f'gatherer-{service}', live) or self._node.vm
            self._gatherers[service] = found
        return found

    async def report_all(self) -> None:
        """Report what happened since the last call."""
        now = self._node.clock.now()
        for service, view in self._by_service.items():
            capacity = self.capacity(service)
            view.detector.forget_missing(capacity.slots)
            view.detector.decide(capacity, now)
        await asyncio.gather(*map(self._report, self._due(now)))

    def _due(self, now: Instant) -> list[ServiceName]:
        """Return the services to report on, within the budget of messages.

        Failures go first, then what was not reported for longest.
        """
        waiting = [
            (not view.is_urgent(), view.reported, name)
            for name, view in self._by_service.items()
            if view.has_news(now)
        ]
        is_large = self._node.is_large_fleet()
        budget_s = _REPORTS_LARGE_S if is_large else _REPORTS_S
        most = max(1, int(budget_s * self._node.policy.report_period_s))
        return [name for _, _, name in sorted(waiting)[:most]]

    async def _report(self, service: ServiceName) -> None:
        view = self.view(service)
        view.reported = self._node.clock.now()
        fields = view.take_report(service)
        gatherer = self.gatherer(service)
        if gatherer == self._node.vm:
            verdicts = self._gatherer.gather(gatherer, PlainMessage(fields))
            self._take_verdicts(service, PlainMessage(verdicts))
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
        self._take_verdicts(service, answer)

    def _on_verdicts(self, question: Question) -> Answer:
        service = ServiceName(question.body.service)
        if question.sender == self.gatherer(service):
            self._take_verdicts(service, question.body)
        return Answer('ok', None)

    def _take_verdicts(self, service: ServiceName, message: Any) -> None:
        view = self.view(service)
        view.load.others = {
            UpstreamName(item.upstream): item.count for item in message.inFlight
        }
        view.verdict = Verdict.from_message(message, self._node.clock.now())

    def _fleet_weights(
        self,
        view: ServiceView,
        now: Instant,
    ) -> dict[UpstreamName, float]:
        if now - view.verdict.heard > _VERDICT_KEEP_S:
            return {}
        return view.verdict.weights

    def _keep_floor(
        self,
        service: ServiceName,
        merged: dict[UpstreamName, float],
        fleet: dict[UpstreamName, float],
    ) -> dict[UpstreamName, float]:
        # The fleet's ejections go first; own ones only as the floor allows.
        capacity = self.capacity(service)
        out: frozenset[UpstreamName] = frozenset()
        kept = dict(merged)
        ordered = sorted(merged, key=lambda up: fleet.get(up, 1.0))
        for name in ordered:
            if merged[name] > 0:
                continue
            if capacity.allows(name, out):
                out |= {name}
            else:
                kept[name] = self._balance.cold_weight
        return kept

    def _leaving(self, service: ServiceName) -> set[UpstreamName]:
        now = self._node.clock.now()
        view = self.view(service)
        own = {
            name
            for name, heard in view.leaving.items()
            if now - heard <= _LEAVING_KEEP_S
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
        'count': min(count, _MOST_COUNT),
    }
