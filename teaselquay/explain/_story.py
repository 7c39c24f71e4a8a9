"""Selects the log lines that explain one request, or a VM at one time.

This module reads no files. It turns log lines into an `Explanation`.
"""

from dataclasses import dataclass, field
from typing import Iterable

from teaselquay.events import Event
from teaselquay.explain._lines import LogLine

#: Age up to which the state of a VM may have affected a request. An upstream
#: that failed stays suspected for about 10 s.
_STATE_LOOKBACK_S = 12.0
#: Time after the end of a request in which lines are still related to it, such
#: as upstreams that were suspected because it failed.
_AFTER_REQUEST_S = 0.5
#: Lines on an exceeded quota of the team are relevant within this time before
#: or after the start of the request.
_QUOTA_WINDOW_S = 2.0

_VM_STATE_EVENTS = frozenset(
    event.value
    for event in (
        Event.STARTED,
        Event.STOPPING,
        Event.STOPPED,
        Event.READY_CHANGED,
        Event.RELOADED,
        Event.SETTINGS_REJECTED,
        Event.STORE_LOST,
        Event.STORE_REGAINED,
        Event.READER_CHANGED,
        Event.HISTORY_LOST,
        Event.CONFIGURATION_APPLIED,
    )
)
_OUTCOME_EVENTS = frozenset(
    event.value
    for event in (
        Event.REQUEST_REFUSED,
        Event.REQUEST_FAILED,
        Event.REQUEST_LATE,
        Event.REQUEST_ABANDONED,
    )
)
_PEER_EVENTS = frozenset((Event.PEER_LOST.value, Event.PEER_REGAINED.value))
#: Events that report the same state of a VM as another event, which stands
#: for all of them.
_STATE_BY_EVENT = {
    Event.STORE_REGAINED.value: Event.STORE_LOST.value,
    Event.HISTORY_LOST.value: Event.STORE_LOST.value,
}
_UPSTREAM = 'upstream'
_PEER = 'peer'


@dataclass(slots=True)
class Explanation:
    """Lines in order of time, and notes on what the logs do not contain.

    `began` is in seconds since the epoch.
    """

    title: str
    began: float
    lines: list[LogLine] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RequestExplainer:
    """Collects the lines of one request and the lines that explain them.

    `began` and `ended` are in seconds since the epoch.
    """

    request_id: str
    own_lines: list[LogLine]
    began: float
    ended: float
    upstreams: frozenset[str]
    teams: frozenset[str]
    #: The VMs that served the request or decided about it.
    vms: frozenset[str]
    _context: list[LogLine] = field(default_factory=list)
    _configuration_by_vm: dict[str, LogLine] = field(default_factory=dict)
    _suppressed_count: int = 0

    @classmethod
    def from_lines(
        cls,
        request_id: str,
        lines: Iterable[LogLine],
    ) -> 'RequestExplainer':
        """Return an explainer with the lines of the request among `lines`."""
        own_lines = [line for line in lines if line.request_id == request_id]
        return cls(
            request_id,
            own_lines,
            began=min((line.began for line in own_lines), default=0),
            ended=max((line.time for line in own_lines), default=0),
            upstreams=_field_values(own_lines, _UPSTREAM),
            teams=_field_values(own_lines, 'team'),
            vms=_field_values(own_lines, 'placed_by')
            | {line.vm for line in own_lines},
        )

    def search_terms(self) -> tuple[str, ...]:
        """Return texts, at least one of which is in each relevant line."""
        return tuple(sorted(self.upstreams | self.teams | self.vms))

    def add_context(self, line: LogLine) -> None:
        """Add a line of another origin, if it helps to explain the request."""
        if line.request_id or line.time > self.ended + _AFTER_REQUEST_S:
            self._count_suppressed(line)
        elif line.event == Event.CONFIGURATION_APPLIED.value:
            self._record_configuration(line)
        elif self._is_relevant(line):
            self._context.append(line)

    def finish(self, unreadable: int) -> Explanation:
        """Return the explanation, without the `unreadable` lines."""
        lines = [
            *self.own_lines,
            *self._context,
            *self._configuration_by_vm.values(),
        ]
        lines.sort(key=lambda line: line.time)
        return Explanation(
            f'request {self.request_id}',
            self.began,
            lines,
            [*self._missing_notes(), *_unreadable_notes(unreadable)],
        )

    def _record_configuration(self, line: LogLine) -> None:
        """Store the last configuration line of each VM before the request."""
        if line.vm not in self.vms or line.time > self.began:
            return
        previous = self._configuration_by_vm.get(line.vm)
        if previous is None or previous.time < line.time:
            self._configuration_by_vm[line.vm] = line

    def _is_relevant(self, line: LogLine) -> bool:
        if line.event == Event.QUOTA_EXCEEDED.value:
            is_near = abs(line.time - self.began) < _QUOTA_WINDOW_S
            return is_near and line.fields.get('team') in self.teams
        if (
            line.time < self.began - _STATE_LOOKBACK_S
            or line.vm not in self.vms
        ):
            # The state of other VMs did not affect the request.
            return False
        if line.area == _UPSTREAM:
            return line.fields.get(_UPSTREAM) in self.upstreams
        return line.event in _VM_STATE_EVENTS or line.event in _PEER_EVENTS

    def _count_suppressed(self, line: LogLine) -> None:
        """Count the lines that the VMs of the request suppressed after it."""
        since_s = line.time - self.ended
        if line.vm in self.vms and 0 <= since_s < _STATE_LOOKBACK_S:
            self._suppressed_count += int(line.fields.get('suppressed', 0))

    def _missing_notes(self) -> list[str]:
        if not self.own_lines:
            return [
                'no line names the request: it was served in time, was not'
                ' logged because of the rate limit on log lines, or was'
                ' received by a VM whose log is missing',
            ]
        missing = []
        if not any(line.event in _OUTCOME_EVENTS for line in self.own_lines):
            missing.append(
                'no line reports the result of the request: it was served in'
                ' time, or the caller received an error response of an'
                ' upstream',
            )
        if self._suppressed_count:
            missing.append(
                f'{self._suppressed_count} lines were left out because of the'
                ' rate limit on log lines, by the same VMs at about that time',
            )
        vms_without_configuration = sorted(
            self.vms - self._configuration_by_vm.keys()
        )
        if vms_without_configuration:
            names = ', '.join(vms_without_configuration)
            missing.append(
                f'no line shows the configuration in force on {names}'
            )
        return missing


def _field_values(lines: Iterable[LogLine], name: str) -> frozenset[str]:
    values = (line.fields.get(name) for line in lines)
    return frozenset(str(value) for value in values if value)


@dataclass(slots=True)
class VmExplainer:
    """Collects the last lines on the state of one VM at one time.

    `at` is in seconds since the epoch.
    """

    vm: str
    at: float
    #: Lines within this time of `at` are all included.
    around_s: float
    _latest_by_subject: dict[str, LogLine] = field(default_factory=dict)
    _lines_around: list[LogLine] = field(default_factory=list)
    _earliest_time: float = float('inf')

    def search_terms(self) -> tuple[str, ...]:
        """Return texts, one of which is in each line of the VM."""
        return (f'"vm":"{self.vm}"',)

    def add(self, line: LogLine) -> None:
        """Add a line, unless it is of another VM."""
        if line.vm != self.vm:
            return
        self._earliest_time = min(self._earliest_time, line.time)
        if abs(line.time - self.at) <= self.around_s:
            self._lines_around.append(line)
        elif line.time < self.at and not line.request_id:
            self._keep_latest(line)

    def finish(self, unreadable: int) -> Explanation:
        """Return the explanation, without the `unreadable` lines."""
        lines = [*self._latest_by_subject.values(), *self._lines_around]
        lines.sort(key=lambda line: line.time)
        missing = list(_unreadable_notes(unreadable))
        if self._earliest_time > self.at:
            missing.insert(0, f'no line of {self.vm} from before that time')
        return Explanation(f'{self.vm} at {self.at}', self.at, lines, missing)

    def _keep_latest(self, line: LogLine) -> None:
        """Store the line, if it is the latest about its subject."""
        if line.event in _VM_STATE_EVENTS:
            subject = _STATE_BY_EVENT.get(line.event, line.event)
        elif line.area in {_UPSTREAM, _PEER}:
            subject = f'{line.area} {line.fields.get(line.area)}'
        else:
            return
        previous = self._latest_by_subject.get(subject)
        if previous is None or previous.time <= line.time:
            self._latest_by_subject[subject] = line


def _unreadable_notes(count: int) -> Iterable[str]:
    if count:
        yield f'{count} lines could not be read, and may be truncated'
