"""The promises, checked against what callers and upstreams saw."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Callable, Iterable, Iterator

from soak._plan import RECOVER_S
from soak._records import Call, Record, Run, Span
from soak._standins import WARMUP_PER_S

#: Bounds that the users state, in seconds: a withdrawn key, a leaving
#: upstream, planned stops, and how long calm must last before they hold.
REVOKE_S = 5.0
DRAIN_S = 2.0
GRACE_S = 6.0
STABLE_S = 3.0
#: Rate and burst of the hot team, and what the users allow beyond them.
RATE = 20.0
BURST = 20.0
_WINDOW_S = 5.0
_OVERSHOOT = 0.1
_SLACK = 20
LIMIT_WINDOW_S = 4.0
#: Time in seconds after which an evacuated zone gets no more requests.
EVACUATE_S = 5.0
#: What a cold upstream may get in one second: a multiple of its rate, and a
#: number of requests in addition.
WARMUP_OVERSHOOT = 1.5
WARMUP_SLACK = 8
_WARMUP_WINDOW_S = 1.0
#: Time in seconds after which a rest that an upstream asked for binds, and the
#: requests that may arrive in it all the same.
_REST_SLACK_S = 0.5
_REST_ARRIVALS = 2
#: Limits of one process on the users' smallest VMs.
_MOST_MB = 200
_MOST_FILES = 4100
_PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
#: Time in which a fleet without faults serves again, and how much of it.
_SERVED_AT_THE_END = 0.9
_LAST_S = RECOVER_S / 3

Check = Callable[[Record], Iterator[str]]
CHECKS: dict[str, Check] = {}


@dataclass(frozen=True)
class Violation:
    """A promise that was broken."""

    promise: str
    what: str


def check(promise: str) -> Callable[[Check], Check]:
    """Register a check under the name of its promise."""

    def register(function: Check) -> Check:
        CHECKS[promise] = function
        return function

    return register


def violations(record: Record) -> list[Violation]:
    """Return everything that broke a promise."""
    return [
        Violation(promise, what)
        for promise, function in CHECKS.items()
        for what in function(record)
    ]


@check('once')
def _once(record: Record) -> Iterator[str]:
    runs = Counter(run.request for run in record.runs)
    for call in record.calls:
        if not call.kind.may_repeat and runs[call.request] > 1:
            yield f'{call.request} ran {runs[call.request]} times'


@check('not run')
def _not_run(record: Record) -> Iterator[str]:
    ran = {run.request for run in record.runs}
    for call in record.calls:
        if call.kind.may_repeat or call.request not in ran:
            continue
        if call.status in _PROMISES_NOT_RUN:
            yield f'{call.request} was answered {call.status}, and ran'


@check('own answers')
def _own_answers(record: Record) -> Iterator[str]:
    for call in record.calls:
        if call.status == 200 and not call.is_own_answer:
            yield f'{call.request} got the answer of another, or a part'


@check('known requests')
def _known_requests(record: Record) -> Iterator[str]:
    known = {call.request for call in record.calls}
    for run in record.runs:
        if run.request not in known:
            yield f'{run.request} ran, and nobody sent it'
        if run.carries_key:
            yield f'{run.request} carried its key to {run.upstream}'


@check('rate')
def _rate(record: Record) -> Iterator[str]:
    times = sorted(run.at_s for run in record.runs if run.team == 'hot')
    most = (RATE * _WINDOW_S + BURST) * (1 + _OVERSHOOT) + _SLACK
    first = 0
    for index, at_s in enumerate(times):
        while times[first] < at_s - _WINDOW_S:
            first += 1
        if index - first + 1 > most:
            yield f'{index - first + 1} runs of hot before {at_s:.2f} s'
            return


@check('limits')
def _limits(record: Record) -> Iterator[str]:
    for upstream, rate, span in record.limits:
        allowed = 1.5 * LIMIT_WINDOW_S * rate + 5
        times = sorted(
            run.at_s
            for run in record.runs
            if run.upstream == upstream
            and span.begin_s + STABLE_S <= run.at_s <= span.end_s
        )
        most = _most_in_window(times, LIMIT_WINDOW_S)
        if most > allowed:
            yield f'{most} runs at {upstream} of {allowed:g} in its limit'


def _most_in_window(times: list[float], window_s: float) -> int:
    """Return the most of the sorted `times` that lie in one window."""
    most, first = 0, 0
    for index, at_s in enumerate(times):
        while times[first] < at_s - window_s:
            first += 1
        most = max(most, index - first + 1)
    return most


@check('cold upstreams')
def _cold_upstreams(record: Record) -> Iterator[str]:
    allowed = WARMUP_PER_S * WARMUP_OVERSHOOT + WARMUP_SLACK
    for upstream, span in record.cold:
        times = sorted(
            run.at_s
            for run in record.runs
            if run.upstream == upstream and span.holds(run.at_s)
        )
        most = _most_in_window(times, _WARMUP_WINDOW_S)
        if most > allowed:
            yield f'{most} runs in a second at {upstream}, which was cold'


@check('evacuated zones')
def _evacuated_zones(record: Record) -> Iterator[str]:
    calls = {call.request: call for call in record.calls}
    for zone, span in record.evacuations:
        late = Span(span.begin_s + EVACUATE_S, span.end_s)
        runs = [
            run
            for run in record.runs
            if record.zones.get(run.upstream) == zone and late.holds(run.at_s)
        ]
        for run in runs:
            call = calls.get(run.request)
            if call and _is_calm(record, call.vm, span):
                yield f'{run.request} reached {run.upstream} in zone {zone}'


@check('rests')
def _rests(record: Record) -> Iterator[str]:
    vm_of = {call.request: call.vm for call in record.calls}
    arrivals: defaultdict[tuple[str, int | None], list[float]]
    arrivals = defaultdict(list)
    for each in (*record.runs, *record.rejections):
        arrivals[each.upstream, vm_of.get(each.request)].append(each.at_s)
    for rejection in record.rejections:
        vm = vm_of.get(rejection.request)
        rest = Span(rejection.at_s + _REST_SLACK_S, rejection.until_s)
        count = sum(map(rest.holds, arrivals[rejection.upstream, vm]))
        harmed = record.vm_harmed.get(vm or 0, ())
        if count > _REST_ARRIVALS and not _overlaps(rest, harmed):
            yield f'{count} requests of VM {vm} at {rejection.upstream}'


def _overlaps(span: Span, harmed: Iterable[Span]) -> bool:
    return any(
        harm.begin_s <= span.end_s and span.begin_s <= harm.end_s
        for harm in harmed
    )


@check('withdrawn keys')
def _withdrawn_keys(record: Record) -> Iterator[str]:
    for call in record.calls:
        since_s = record.revoked_s.get(call.key, record.ended_s)
        if call.status != 200 or call.sent_s <= since_s + REVOKE_S:
            continue
        if _is_calm(record, call.vm, Span(since_s, call.sent_s)):
            yield f'{call.request} was served {call.sent_s - since_s:.2f} s on'


@check('leaving upstreams')
def _leaving_upstreams(record: Record) -> Iterator[str]:
    by_request = {call.request: call for call in record.calls}
    for run in record.runs:
        spans = record.leaving_s.get(run.upstream, ())
        call = by_request.get(run.request)
        if call and any(_is_late(record, call, run, span) for span in spans):
            yield f'{run.request} reached {run.upstream}, which left'


def _is_late(record: Record, call: Call, run: Run, left: Span) -> bool:
    late = Span(left.begin_s + DRAIN_S, left.end_s)
    is_new = call.sent_s > left.begin_s and late.holds(run.at_s)
    return is_new and _is_calm(record, call.vm, left)


@check('planned stops')
def _planned_stops(record: Record) -> Iterator[str]:
    for vm, asked_s, ended_s, code in record.stops:
        if code != 0:
            yield f'VM {vm} ended with {code} after SIGTERM'
        if ended_s - asked_s > GRACE_S:
            yield f'VM {vm} took {ended_s - asked_s:.2f} s to stop'
        stop = Span(asked_s, ended_s)
        if _is_calm(record, vm, stop):
            for call in _cut_calls(record, vm, stop):
                yield f'{call.request} was cut by the stop of VM {vm}'


def _cut_calls(record: Record, vm: int, stop: Span) -> Iterator[Call]:
    """Yield the calls at `vm` from before its stop that it did not answer."""
    for call in record.calls:
        is_cut = call.status == 0 and not call.left and call.vm == vm
        if is_cut and call.sent_s < stop.begin_s and stop.holds(call.ended_s):
            yield call


@check('configuration')
def _configuration(record: Record) -> Iterator[str]:
    for (vm, start), versions in record.versions.items():
        if versions != sorted(versions):
            yield f'VM {vm} went back in its start {start}: {versions}'


@check('processes')
def _processes(record: Record) -> Iterator[str]:
    for vm, at_s, code in record.own_ends:
        yield f'VM {vm} ended by itself at {at_s:.2f} s with {code}'
    if record.most_mb > _MOST_MB:
        yield f'a process took {record.most_mb:.0f} MB'
    if record.most_files > _MOST_FILES:
        yield f'a process had {record.most_files} descriptors'


@check('recovery')
def _recovery(record: Record) -> Iterator[str]:
    begin_s = record.ended_s - _LAST_S
    last = [
        call
        for call in record.calls
        if call.sent_s >= begin_s and call.key == 'calm' and not call.left
    ]
    served = sum(call.status == 200 for call in last)
    if not last or served < len(last) * _SERVED_AT_THE_END:
        yield f'{served} of {len(last)} served after the last fault'


def _is_calm(record: Record, vm: int, span: Span) -> bool:
    """Return whether neither the store nor `vm` was harmed in `span`."""
    harmed = (*record.store_harmed, *record.vm_harmed.get(vm, ()))
    return not any(
        harm.begin_s <= span.end_s and span.begin_s <= harm.end_s + STABLE_S
        for harm in harmed
    )


def answered(calls: list[Call]) -> dict[str, int]:
    """Return how many calls ended in which way."""
    return dict(Counter(str(call.status or 'none') for call in calls))
