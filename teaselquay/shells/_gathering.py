"""Gathers the outcomes of one service's requests from all VMs.

For each service one VM, the first in rendezvous order, gathers. Gathering
is advice: two gatherers at a time do no harm, since each VM follows one at
a time and keeps the floor itself.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Callable, Coroutine, Mapping, TypeVar

from absl import logging

from teaselquay.decisions import (
    Capacity,
    DetectionPolicy,
    Detector,
    Instant,
    Quarantine,
    RouteName,
    Sample,
    ServiceName,
    UpstreamName,
    VmName,
)
from teaselquay.shells._node import Node
from teaselquay.shells._peers import (
    Answer,
    PeerLink,
    PeerTimeoutError,
    Question,
)

_CALL_TIMEOUT_S = 0.3
_PUSH_TRIES = 2
_PERMILLE = 1000
_MS_PER_S = 1000
#: How long a report counts for the load, and its sender for pushes.
_REPORTER_KEEP_S = 2.0
_TOLD_KEEP_S = 60.0
_LEAVING_KEEP_S = 60.0

_Key = TypeVar('_Key')
CapacityOf = Callable[[ServiceName], Capacity]


class PlainMessage:
    """Gives the fields of a message of this process by attribute."""

    def __init__(self, fields: Mapping[str, Any]) -> None:
        """Wrap `fields`."""
        self._fields = fields

    def __getattr__(self, name: str) -> Any:
        """Return a field; lists of fields are wrapped as well."""
        found = self._fields[name]
        if isinstance(found, list):
            return [
                PlainMessage(item) if isinstance(item, dict) else item
                for item in found
            ]
        return found


def in_flight_fields(
    counts: Mapping[UpstreamName, int],
) -> list[dict[str, Any]]:
    """Return attempts in flight as fields of a message."""
    return [
        {'upstream': name, 'count': count} for name, count in counts.items()
    ]


@dataclass(slots=True)
class _Report:
    """What one VM last reported."""

    heard: Instant
    in_flight: dict[UpstreamName, int]


@dataclass(slots=True)
class _Gathered:
    """What is known of one service."""

    detector: Detector
    quarantine: Quarantine = field(default_factory=Quarantine)
    by_vm: dict[VmName, _Report] = field(default_factory=dict)
    told: dict[VmName, Instant] = field(default_factory=dict)
    stopped: dict[bytes, Instant] = field(default_factory=dict)
    leaving: dict[UpstreamName, Instant] = field(default_factory=dict)

    def news(self) -> tuple[object, ...]:
        """Return what all VMs should hear of at once when it changes."""
        return (
            self.detector.ejected_upstreams(),
            frozenset(self.stopped),
            frozenset(self.leaving),
        )

    def take(self, reporter: VmName, report: Any, now: Instant) -> None:
        """Take over all of a report but its outcomes."""
        in_flight = {
            UpstreamName(item.upstream): item.count for item in report.inFlight
        }
        self.by_vm[reporter] = _Report(now, in_flight)
        self.told[reporter] = now
        for name in report.leaving:
            self.leaving[UpstreamName(name)] = now
        for crash in report.crashes:
            mark = bytes(crash.fingerprint)
            upstream = UpstreamName(crash.upstream)
            self.quarantine.record_crash(mark, upstream, now)
            if self.quarantine.is_quarantined(mark, now):
                self.stopped[mark] = now

    def forget(self, now: Instant) -> None:
        """Drop what is too old."""
        self.by_vm = {
            vm: report
            for vm, report in self.by_vm.items()
            if now - report.heard <= _REPORTER_KEEP_S
        }
        self.told = _younger(self.told, now, _TOLD_KEEP_S)
        self.leaving = _younger(self.leaving, now, _LEAVING_KEEP_S)
        keep_s = self.quarantine.policy.keep_s
        self.stopped = _younger(self.stopped, now, keep_s)

    def verdict_fields(
        self,
        service: ServiceName,
        reporter: VmName,
        now: Instant,
    ) -> dict[str, Any]:
        """Return the verdicts for `reporter` as fields of a message."""
        others: Counter[UpstreamName] = Counter()
        for vm, report in self.by_vm.items():
            if vm != reporter:
                others.update(report.in_flight)
        return {
            'service': service,
            'weights': self._weight_fields(now),
            'inFlight': in_flight_fields(others),
            'stopped': list(self.stopped),
            'leaving': list(self.leaving),
            'reporters': len(self.by_vm),
            'slow': [
                {'route': route, 'ms': int(slow_s * _MS_PER_S)}
                for route, slow_s in self.detector.slow_thresholds_s().items()
            ],
        }

    def _weight_fields(self, now: Instant) -> list[dict[str, Any]]:
        return [
            {
                'upstream': name,
                'permille': int(weight * _PERMILLE),
                'reason': self.detector.by_upstream[name].reason,
            }
            for name, weight in self.detector.weights(now).items()
        ]


class Gatherer:
    """Answers reports with verdicts, and pushes verdicts that changed."""

    def __init__(
        self,
        node: Node,
        link: PeerLink,
        policy: DetectionPolicy,
        capacity_of: CapacityOf,
    ) -> None:
        """Judge by `policy`, within the capacity of each service."""
        self._node = node
        self._link = link
        self._policy = policy
        self._capacity_of = capacity_of
        self._by_service: dict[ServiceName, _Gathered] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        link.on('report', self._on_report)

    def gather(self, reporter: VmName, report: Any) -> dict[str, Any]:
        """Return the verdicts for `reporter` after its report."""
        service = ServiceName(report.service)
        now = self._node.clock.now()
        gathered = self._gathered(service)
        before = gathered.news()
        gathered.take(reporter, report, now)
        gathered.forget(now)
        self._judge(service, gathered, reporter, report)
        if gathered.news() != before:
            self._push(service, gathered, reporter)
        return gathered.verdict_fields(service, reporter, now)

    def _gathered(self, service: ServiceName) -> _Gathered:
        gathered = self._by_service.get(service)
        if gathered is None:
            gathered = _Gathered(Detector(self._policy))
            self._by_service[service] = gathered
        return gathered

    def _judge(
        self,
        service: ServiceName,
        gathered: _Gathered,
        reporter: VmName,
        report: Any,
    ) -> None:
        now = self._node.clock.now()
        capacity = self._capacity_of(service)
        gathered.detector.observe(
            reporter,
            [_sample(item) for item in report.outcomes],
            now,
            capacity.unavailable,
        )
        gathered.detector.forget_missing(capacity.slots)
        for health in gathered.detector.decide(capacity, now):
            logging.info(
                'health: ejected %s of %s: %s',
                health.name,
                service,
                health.reason,
            )

    def _push(
        self,
        service: ServiceName,
        gathered: _Gathered,
        reporter: VmName,
    ) -> None:
        """Send verdicts to all that reported lately, without being asked."""
        now = self._node.clock.now()
        for vm in gathered.told:
            if vm not in {reporter, self._node.vm}:
                fields = gathered.verdict_fields(service, vm, now)
                self._spawn(self._push_to(vm, fields))

    async def _push_to(self, vm: VmName, fields: dict[str, Any]) -> None:
        address = self._node.peer_address(vm)
        if address is None:
            return
        for _ in range(_PUSH_TRIES):
            try:
                await self._link.call(
                    address,
                    'verdicts',
                    fields,
                    _CALL_TIMEOUT_S,
                )
            except PeerTimeoutError:
                continue
            return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_report(self, question: Question) -> Answer:
        fields = self.gather(question.sender, question.body)
        return Answer('verdicts', fields)


def _sample(item: Any) -> Sample:
    return Sample(
        UpstreamName(item.upstream),
        RouteName(item.route),
        item.failed,
        item.bucket,
        item.count,
    )


def _younger(
    instants: dict[_Key, Instant],
    now: Instant,
    most_age_s: float,
) -> dict[_Key, Instant]:
    return {
        key: instant
        for key, instant in instants.items()
        if now - instant <= most_age_s
    }
