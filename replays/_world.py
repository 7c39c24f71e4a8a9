"""A service in virtual time: callers, upstreams, and one coordinator."""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Callable

from replays._patterns import Kind, Pattern, Window
from replays._policies import AS_EQUALS, Policy
from teaselquay.configuration import UpstreamRecord, UpstreamState
from teaselquay.coordination import (
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RateStatement,
    RepeatPolicy,
    ServiceScheduler,
    Ticket,
    WaitingRoom,
)
from teaselquay.coordination._served_shares import ServedShares
from teaselquay.decisions import (
    Instant,
    ServiceName,
    UpstreamName,
    ZoneName,
)

_ZONES = 'abcde'
_WORK_SPREAD = 0.5
_ERROR_SHARE = 0.012
_FAST_S = 0.004
_SPELL_S = 3.0
_BETWEEN_S = 7.0
_SPELL_FAILURES = 0.9
_SLOW_SHARE = 3
_BUDGET_WINDOW_S = 10.0
_BUDGET_WINDOW = 10
_LIMIT_WINDOW_S = 4.0
#: Time in seconds in which a limit that was just named need not be kept.
_LIMIT_GRACE_S = 3.0
_MAX_LIMIT = 5
#: Requests of a team below which its served share says little.
_MIN_TEAM_REQUESTS = 40


@dataclass(slots=True)
class Tally:
    """What became of the requests of one kind or team."""

    total: int = 0
    in_time: int = 0
    late: int = 0
    waits_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Return the share of requests that got an answer."""
        return (self.in_time + self.late) / max(1, self.total)

    def credit(self, late_worth: float) -> float:
        """Return the credit earned, as a share of what was owed."""
        return (self.in_time + late_worth * self.late) / max(1, self.total)

    def wait_p99_s(self) -> float:
        """Return the 99th percentile of the time spent waiting, unsent."""
        waits = sorted(self.waits_s)
        return waits[int(len(waits) * 0.99)] if waits else 0


@dataclass(slots=True)
class Report:
    """What became of the requests of a replay."""

    total: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    waits_s: list[float] = field(default_factory=list)
    sends_by_upstream: dict[UpstreamName, int] = field(default_factory=dict)
    repeats_at: list[float] = field(default_factory=list)
    #: Sends to upstreams of another zone than that of the request.
    remote_sends: int = 0
    #: Sends to each upstream while it names a limit, and this limit.
    limited_at: dict[UpstreamName, list[float]] = field(default_factory=dict)
    limits: dict[UpstreamName, float] = field(default_factory=dict)
    kinds: dict[str, Tally] = field(default_factory=dict)
    teams: dict[int, Tally] = field(default_factory=dict)
    kinds_by_second: dict[tuple[str, int], Tally] = field(default_factory=dict)

    def kinds_at(self, window: Window) -> dict[str, Tally]:
        """Return the tallies of the requests that arrived in `window`."""
        found: dict[str, Tally] = {}
        for (name, second), tally in self.kinds_by_second.items():
            if window.holds(second):
                sum_of = found.setdefault(name, Tally())
                sum_of.total += tally.total
                sum_of.in_time += tally.in_time
                sum_of.late += tally.late
        return found

    def most_requests(self) -> int:
        """Return the largest number of requests in a window of the budget."""
        by_second: dict[int, int] = {}
        for (_, second), tally in self.kinds_by_second.items():
            by_second[second] = by_second.get(second, 0) + tally.total
        return max(
            sum(by_second.get(begin + at, 0) for at in range(_BUDGET_WINDOW))
            for begin in by_second
        )

    def worst_team_share(self) -> float:
        """Return the smallest served share of a team with some requests."""
        return min(
            tally.served_share
            for tally in self.teams.values()
            if tally.total >= _MIN_TEAM_REQUESTS
        )

    def worth(self, kinds: tuple[Kind, ...], late_worth: float) -> float:
        """Return the credit of all kinds by their worth, as a share."""
        owed = earned = 0.0
        for kind in kinds:
            tally = self.kinds[kind.name]
            owed += kind.worth * tally.total
            earned += kind.worth * tally.total * tally.credit(late_worth)
        return earned / owed

    @property
    def remote_share(self) -> float:
        """Return the share of sends to another zone."""
        return self.remote_sends / sum(self.sends_by_upstream.values())

    @property
    def served_share(self) -> float:
        """Return the share of requests that got an answer."""
        return (self.in_time + self.late) / self.total

    def credit(self, late_worth: float) -> float:
        """Return the credit earned, as a share of what was owed."""
        return (self.in_time + late_worth * self.late) / self.total

    def wait_p99_s(self) -> float:
        """Return the 99th percentile of the time spent waiting, unsent."""
        waits = sorted(self.waits_s)
        return waits[int(len(waits) * 0.99)] if waits else 0

    def most_repeats(self) -> int:
        """Return the largest number of repeats in a window of the budget."""
        most = begin = 0
        for end, at in enumerate(self.repeats_at):
            while self.repeats_at[begin] < at - _BUDGET_WINDOW_S:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def worst_limit(self) -> float:
        """Return the largest share of what a limit allows that was sent.

        Four seconds of one and a half times the rate are allowed, and five
        requests.
        """
        worst = 0.0
        for name, times in self.limited_at.items():
            most = begin = 0
            for end, at in enumerate(times):
                while times[begin] < at - _LIMIT_WINDOW_S:
                    begin += 1
                most = max(most, end - begin + 1)
            allowed = 1.5 * _LIMIT_WINDOW_S * self.limits[name] + 5
            worst = max(worst, most / allowed)
        return worst

    def unevenness(self) -> float:
        """Return how many times the mean the busiest upstream was sent."""
        sends = self.sends_by_upstream.values()
        return max(sends) * len(sends) / sum(sends)


@dataclass(slots=True)
class _Upstream:
    record: UpstreamRecord
    spells: list[tuple[float, float]]
    is_slow: bool
    index: int
    busy: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass(slots=True)
class _Request:
    arrived: float
    zone: ZoneName
    kind: Kind
    tallies: tuple[Tally, ...]
    attempts: int = 0
    waited_s: float = 0.0
    tried: set[UpstreamName] = field(default_factory=set)
    has_run: bool = False


class _UnusedShares(ServedShares):
    def is_starved(self, priority: int) -> bool:
        return False


class World:
    """Plays one pattern; `place` and `can_wait` are what is compared."""

    def __init__(
        self,
        pattern: Pattern,
        seed: int,
        can_wait: bool = True,
        is_random: bool = False,
        policy: Policy = AS_EQUALS,
        coordinators: int = 1,
        lost_at_s: float | None = None,
    ) -> None:
        """Draw the upstreams and their spells from `seed`.

        Without `can_wait`, a refused request is not placed again. With
        `is_random`, upstreams are chosen at random. `policy` says which
        requests precede others. At `lost_at_s` the coordinators are replaced
        by successors that know nothing.
        """
        self.report = Report()
        self._pattern = pattern
        self._can_wait = can_wait
        self._is_random = is_random
        self._policy = policy
        self._kinds = pattern.all_kinds
        self._most_urgent = min(kind.priority for kind in self._kinds)
        self._team_weights = [1 / (1 + team) for team in range(pattern.teams)]
        self._random = Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._tickets = count(1)
        self._upstreams = {
            upstream.record.name: upstream
            for upstream in map(self._new_upstream, range(pattern.upstreams))
        }
        self._records = tuple(
            upstream.record for upstream in self._upstreams.values()
        )
        self._waiting = WaitingRoom(max_requests=100_000, max_bytes=1 << 40)
        self._schedulers = [
            self._new_scheduler(seed + 1 + index)
            for index in range(coordinators)
        ]
        if lost_at_s is not None:
            self._at(lost_at_s, lambda: self._replace_coordinators(seed))

    def play(self) -> Report:
        """Play the pattern to its end."""
        self._next_arrival()
        while self._events:
            self._now, _, action = heappop(self._events)
            action()
        return self.report

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heappush(self._events, (self._now + delay_s, next(self._order), action))

    def _new_scheduler(self, seed: int) -> ServiceScheduler:
        pattern = self._pattern
        scheduler = ServiceScheduler(
            Random(seed),
            repeats=RepeatPolicy(
                pattern.repeat_ratio * 3 / 4, pattern.repeat_slack / 3
            ),
        )
        if not self._policy.has_guard:
            scheduler.urgency.shares = _UnusedShares()
        return scheduler

    def _replace_coordinators(self, seed: int) -> None:
        count = len(self._schedulers)
        self._schedulers = [
            self._new_scheduler(seed - 1 - index) for index in range(count)
        ]

    def _scheduler(self, request: _Request) -> ServiceScheduler:
        """Return the coordinator that the VMs of the request's zone ask."""
        return self._schedulers[ord(request.zone) % len(self._schedulers)]

    def _new_upstream(self, index: int) -> _Upstream:
        record = UpstreamRecord(
            name=UpstreamName(f'up-{index}'),
            service=ServiceName('service'),
            address=f'127.0.0.1:{index + 1}',
            zone=ZoneName(_ZONES[index % len(_ZONES)]),
            slots=self._pattern.slots,
            state=UpstreamState.READY,
        )
        spells = []
        at = self._random.uniform(-_BETWEEN_S, _BETWEEN_S)
        while self._pattern.has_spells and at < 2 * self._pattern.length_s:
            end = at + self._random.expovariate(1 / _SPELL_S)
            spells.append((at, end))
            at = end + self._random.expovariate(1 / _BETWEEN_S)
        return _Upstream(record, spells, index % _SLOW_SHARE == 0, index)

    def _next_arrival(self) -> None:
        pattern = self._pattern
        rate = sum(self._rates())
        weights = self._weights_of_teams()
        rate *= sum(weights) / sum(self._team_weights)
        for burst in pattern.bursts:
            if burst.holds(self._now):
                rate *= burst.strength
        delay_s = self._random.expovariate(rate)
        if self._now + delay_s < pattern.length_s:
            self._at(delay_s, self._arrive)

    def _arrive(self) -> None:
        self._next_arrival()
        self.report.total += 1
        zone = ZoneName(
            self._random.choices(_ZONES, self._pattern.zone_weights)[0]
        )
        kind = self._kinds[0]
        if len(self._kinds) > 1:
            kind = self._random.choices(self._kinds, self._rates())[0]
        team = 0
        if self._pattern.teams > 1:
            weights = self._weights_of_teams()
            team = self._random.choices(range(len(weights)), weights)[0]
        report = self.report
        tallies = (
            report.kinds.setdefault(kind.name, Tally()),
            report.teams.setdefault(team, Tally()),
            report.kinds_by_second.setdefault(
                (kind.name, int(self._now)), Tally()
            ),
        )
        for tally in tallies:
            tally.total += 1
        self._try(_Request(self._now, zone, kind, tallies))

    def _rates(self) -> list[float]:
        """Return the present rates of the kinds."""
        flood = 1.0
        for window in self._pattern.floods:
            if window.holds(self._now):
                flood *= window.strength
        return [
            kind.requests_per_s
            * (flood if kind.priority == self._most_urgent else 1)
            for kind in self._kinds
        ]

    def _weights_of_teams(self) -> list[float]:
        weights = list(self._team_weights)
        for window in self._pattern.hot_team:
            if window.holds(self._now):
                weights[0] *= window.strength
        return weights

    def _try(self, request: _Request) -> None:
        pattern = self._pattern
        elapsed_s = self._now - request.arrived
        kind = request.kind
        left_s = kind.deadline_s - elapsed_s
        ticket = Ticket(next(self._tickets))
        may_repeat = (
            kind.is_idempotent and request.attempts + 1 < pattern.max_attempts
        )
        placed = self._scheduler(request).place(
            PlacementRequest(
                ticket=ticket,
                zone=request.zone,
                may_repeat=may_repeat,
                left_s=left_s,
                target_left_s=kind.target_s - elapsed_s,
                octets=pattern.octets,
                is_repeat=request.attempts > 0,
                is_last=request.attempts + 1 >= pattern.max_attempts,
                excluded=frozenset(request.tried),
                priority=self._policy.rank(kind, left_s),
                work_s=kind.work_s if self._policy.knows_work else 0,
            ),
            self._records,
            Instant(self._now),
        )
        if isinstance(placed, PlacementRefusal):
            self._wait_or_refuse(request, placed, left_s)
            return
        self._send(request, ticket, placed)

    def _wait_or_refuse(
        self,
        request: _Request,
        placed: PlacementRefusal,
        left_s: float,
    ) -> None:
        pause_s = None
        if self._can_wait:
            pause_s = self._waiting.pause_s(
                placed, left_s, self._scheduler(request).mean_latency_s
            )
        if pause_s is None:
            self._end(request, request.has_run)
            return
        request.waited_s += pause_s
        self._at(pause_s, lambda: self._try(request))

    def _end(self, request: _Request, has_failed: bool) -> None:
        self.report.failed += has_failed
        self.report.refused += not has_failed
        self._record_wait(request)

    def _record_wait(self, request: _Request) -> None:
        self.report.waits_s.append(request.waited_s)
        for tally in request.tallies:
            tally.waits_s.append(request.waited_s)

    def _send(
        self,
        request: _Request,
        ticket: Ticket,
        placed: Placement,
    ) -> None:
        name = placed.upstream
        if self._is_random:
            name = self._random.choice(self._records).name
        report = self.report
        sends = report.sends_by_upstream
        sends[name] = sends.get(name, 0) + 1
        is_remote = self._upstreams[name].record.zone != request.zone
        report.remote_sends += is_remote
        if request.attempts:
            report.repeats_at.append(self._now)
        request.attempts += 1
        request.tried.add(name)
        upstream = self._upstreams[name]
        began = self._now
        self._count_limited(upstream)

        def finish(outcome: Outcome) -> None:
            scheduler = self._scheduler(request)
            scheduler.finish(
                ticket,
                name,
                outcome,
                self._now - began,
                Instant(self._now),
            )
            scheduler.record_statement(
                name,
                RateStatement(self._limit(upstream, self._now)),
                self._now - began,
                Instant(self._now),
            )
            self._finish(request, outcome)

        outcome = self._immediate_outcome(upstream)
        if outcome is not None:
            self._at(_FAST_S, lambda: finish(outcome))
            return
        if upstream.busy < upstream.record.slots:
            self._work(upstream, request.kind, finish)
        else:
            upstream.queue.append(
                lambda: self._work(upstream, request.kind, finish)
            )

    def _limit(self, upstream: _Upstream, now: float) -> float | None:
        """Return the limit that an upstream names at `now`, if any."""
        limited_count = sum(
            window.strength * len(self._upstreams)
            for window in self._pattern.limits
            if window.holds(now)
        )
        if upstream.index >= limited_count:
            return None
        return 1.0 + upstream.index % _MAX_LIMIT

    def _count_limited(self, upstream: _Upstream) -> None:
        limit = self._limit(upstream, self._now)
        named_for = self._limit(upstream, self._now - _LIMIT_GRACE_S)
        if limit is not None and named_for is not None:
            name = upstream.record.name
            self.report.limits[name] = limit
            self.report.limited_at.setdefault(name, []).append(self._now)

    def _immediate_outcome(self, upstream: _Upstream) -> Outcome | None:
        for shed in self._pattern.sheds:
            is_shed = self._random.random() < shed.strength
            if shed.holds(self._now) and is_shed:
                return Outcome.SHED
        if len(upstream.queue) >= self._pattern.queue:
            return Outcome.SHED
        in_spell = any(
            begin <= self._now < end for begin, end in upstream.spells
        )
        if in_spell and self._random.random() < _SPELL_FAILURES:
            return Outcome.FAILED
        return None

    def _work(
        self,
        upstream: _Upstream,
        kind: Kind,
        finish: Callable[[Outcome], None],
    ) -> None:
        upstream.busy += 1
        median = kind.work_s / 1.13
        for change in self._pattern.work_changes:
            if change.holds(self._now):
                median *= change.strength
        work_s = median * self._random.lognormvariate(0, _WORK_SPREAD)
        for slow in self._pattern.slow:
            if upstream.is_slow and slow.holds(self._now):
                work_s *= slow.strength
        fails = self._random.random() < _ERROR_SHARE

        def end() -> None:
            upstream.busy -= 1
            if upstream.queue:
                upstream.queue.popleft()()
            finish(Outcome.FAILED if fails else Outcome.SERVED)

        self._at(work_s, end)

    def _finish(self, request: _Request, outcome: Outcome) -> None:
        elapsed_s = self._now - request.arrived
        if outcome is Outcome.SERVED:
            in_time = elapsed_s <= request.kind.target_s
            is_served = elapsed_s <= request.kind.deadline_s
            self.report.in_time += in_time
            self.report.late += is_served and not in_time
            self.report.failed += not is_served
            for tally in request.tallies:
                tally.in_time += in_time
                tally.late += is_served and not in_time
            self._record_wait(request)
            return
        request.has_run = request.has_run or outcome is Outcome.FAILED
        may_run_again = request.kind.is_idempotent or not request.has_run
        has_attempts = request.attempts < self._pattern.max_attempts
        if may_run_again and has_attempts:
            self._try(request)
        else:
            self._end(request, request.has_run)
