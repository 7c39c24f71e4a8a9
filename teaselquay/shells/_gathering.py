"""Gathers the request outcomes of each service from all VMs.

For each service, the VM that ranks first in rendezvous hashing gathers.
Verdicts are advisory: two gatherers at the same time do no harm, since
each VM follows one at a time and enforces the floor itself.
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
_PUSH_ATTEMPTS = 2
_PERMILLE = 1000
_MS_PER_S = 1000
#: How long a report counts for the load, and its sender as a reporter.
_REPORT_MAX_AGE_S = 2.0
#: How long a VM receives pushed verdicts after its last report.
_RECIPIENT_RETENTION_S = 60.0
_LEAVING_RETENTION_S = 60.0

_Key = TypeVar('_Key')
CapacityOf = Callable[[ServiceName], Capacity]


class PlainMessage:
    """Attribute access to the fields of a message within this process."""

    def __init__(self, fields: Mapping[str, Any]) -> None:
        """Wrap `fields`."""
        self._fields = fields

    def __getattr__(self, name: str) -> Any:
        """Return a field; dicts in a list are wrapped as well."""
        value = self._fields[name]
        if isinstance(value, list):
            return [
                PlainMessage(item) if isinstance(item, dict) else item
                for item in value
            ]
        return value


def in_flight_fields(
    counts: Mapping[UpstreamName, int],
) -> list[dict[str, Any]]:
    """Return the attempts in flight as the fields of messages."""
    return [
        {'upstream': name, 'count': count} for name, count in counts.items()
    ]


@dataclass(slots=True)
class _Report:
    """The attempts in flight that one VM last reported."""

    received_at: Instant
    in_flight: dict[UpstreamName, int]


@dataclass(slots=True)
class _ServiceState:
    """What the gatherer knows of one service."""

    detector: Detector
    quarantine: Quarantine = field(default_factory=Quarantine)
    last_reports: dict[VmName, _Report] = field(default_factory=dict)
    reported_at: dict[VmName, Instant] = field(default_factory=dict)
    stopped: dict[bytes, Instant] = field(default_factory=dict)
    leaving: dict[UpstreamName, Instant] = field(default_factory=dict)

    def urgent_state(self) -> tuple[object, ...]:
        """Return the state whose changes are pushed to all VMs at once."""
        return (
            self.detector.ejected_upstreams(),
            frozenset(self.stopped),
            frozenset(self.leaving),
        )

    def record_report(
        self, reporter: VmName, report: Any, now: Instant
    ) -> None:
        """Record everything in a report except its outcomes."""
        in_flight = {
            UpstreamName(item.upstream): item.count for item in report.inFlight
        }
        self.last_reports[reporter] = _Report(now, in_flight)
        self.reported_at[reporter] = now
        for name in report.leaving:
            self.leaving[UpstreamName(name)] = now
        for crash in report.crashes:
            fingerprint = bytes(crash.fingerprint)
            upstream = UpstreamName(crash.upstream)
            self.quarantine.record_crash(fingerprint, upstream, now)
            if self.quarantine.is_quarantined(fingerprint, now):
                self.stopped[fingerprint] = now

    def drop_expired(self, now: Instant) -> None:
        """Drop entries that have expired."""
        self.last_reports = {
            vm: report
            for vm, report in self.last_reports.items()
            if now - report.received_at <= _REPORT_MAX_AGE_S
        }
        self.reported_at = _without_expired(
            self.reported_at, now, _RECIPIENT_RETENTION_S
        )
        self.leaving = _without_expired(self.leaving, now, _LEAVING_RETENTION_S)
        keep_s = self.quarantine.policy.keep_s
        self.stopped = _without_expired(self.stopped, now, keep_s)

    def verdict_fields(
        self,
        service: ServiceName,
        reporter: VmName,
        now: Instant,
    ) -> dict[str, Any]:
        """Return the verdicts for `reporter` as the fields of a message."""
        others: Counter[UpstreamName] = Counter()
        for vm, report in self.last_reports.items():
            if vm != reporter:
                others.update(report.in_flight)
        return {
            'service': service,
            'weights': self._weight_fields(now),
            'inFlight': in_flight_fields(others),
            'stopped': list(self.stopped),
            'leaving': list(self.leaving),
            'reporters': len(self.last_reports),
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
    """Answers reports with verdicts and pushes changed verdicts."""

    def __init__(
        self,
        node: Node,
        link: PeerLink,
        policy: DetectionPolicy,
        capacity_of: CapacityOf,
    ) -> None:
        """Detect by `policy`, within the capacity of each service."""
        self._node = node
        self._link = link
        self._policy = policy
        self._capacity_of = capacity_of
        self._states: dict[ServiceName, _ServiceState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        link.on('report', self._on_report)

    def gather(self, reporter: VmName, report: Any) -> dict[str, Any]:
        """Process a report and return the verdicts for `reporter`."""
        service = ServiceName(report.service)
        now = self._node.clock.now()
        state = self._state_of(service)
        state_before = state.urgent_state()
        state.record_report(reporter, report, now)
        state.drop_expired(now)
        self._update_detector(service, state, reporter, report)
        if state.urgent_state() != state_before:
            self._push(service, state, reporter)
        return state.verdict_fields(service, reporter, now)

    def _state_of(self, service: ServiceName) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = _ServiceState(Detector(self._policy))
            self._states[service] = state
        return state

    def _update_detector(
        self,
        service: ServiceName,
        state: _ServiceState,
        reporter: VmName,
        report: Any,
    ) -> None:
        now = self._node.clock.now()
        capacity = self._capacity_of(service)
        state.detector.observe(
            reporter,
            [_parse_sample(item) for item in report.outcomes],
            now,
            capacity.unavailable,
        )
        state.detector.forget_missing(capacity.slots)
        for health in state.detector.decide(capacity, now):
            logging.info(
                'health: ejected %s of %s: %s',
                health.name,
                service,
                health.reason,
            )

    def _push(
        self,
        service: ServiceName,
        state: _ServiceState,
        reporter: VmName,
    ) -> None:
        """Push verdicts to all other VMs that reported recently."""
        now = self._node.clock.now()
        for vm in state.reported_at:
            if vm not in {reporter, self._node.vm}:
                fields = state.verdict_fields(service, vm, now)
                self._spawn(self._push_to(vm, fields))

    async def _push_to(self, vm: VmName, fields: dict[str, Any]) -> None:
        address = self._node.peer_address(vm)
        if address is None:
            return
        for _ in range(_PUSH_ATTEMPTS):
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

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_report(self, question: Question) -> Answer:
        fields = self.gather(question.sender, question.body)
        return Answer('verdicts', fields)


def _parse_sample(item: Any) -> Sample:
    return Sample(
        UpstreamName(item.upstream),
        RouteName(item.route),
        item.failed,
        item.bucket,
        item.count,
    )


def _without_expired(
    instants: dict[_Key, Instant],
    now: Instant,
    max_age_s: float,
) -> dict[_Key, Instant]:
    return {
        key: instant
        for key, instant in instants.items()
        if now - instant <= max_age_s
    }
