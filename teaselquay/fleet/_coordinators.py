"""Asks the coordinator of a team or a service, or decides alone.

The coordinator is the first VM in rendezvous order that answers. It keeps
soft state only: whoever comes next starts with what it was told so far.
"""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Callable

from teaselquay.configuration import TeamRule
from teaselquay.coordination import (
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    QuotaLedger,
    SUSPECTED,
    RepeatPolicy,
    ServiceScheduler,
    Ticket,
)
from teaselquay.decisions import (
    ServiceName,
    TeamName,
    UpstreamName,
    VmName,
    stable_hash,
)
from teaselquay.events import Event, Journal
from teaselquay.fleet._directory import Directory
from teaselquay.fleet._exchanges import (
    MS_PER_S,
    Finished,
    finished_fields,
    parse_finished,
    parse_place,
    parse_placed,
    place_fields,
    placed_fields,
)
from teaselquay.fleet._state import FleetState
from teaselquay.shells import (
    Answer,
    Clock,
    Handler,
    PeerLink,
    PeerTimeoutError,
    Question,
    TimerService,
)

#: Time for a coordinator's answer in seconds: some round trips between
#: zones, and well below what a caller notices.
_ASK_TIMEOUT_S = 0.04
#: Coordinators that are asked before a VM decides alone.
_MOST_ASKED = 2
_BEAT_PERIOD_S = 0.5
#: One coordinator of quotas serves so many VMs: at 108 requests a second
#: from each, it answers 4,000 questions a second.
_VMS_PER_QUOTA_GROUP = 40
#: How often a coordinator tells its successors what is left of rates. What
#: was granted since may be granted twice if it is lost: a tenth of a second
#: of a rate, where the users allow half a second in five.
_LEVELS_PERIOD_S = 0.1
#: Teams that one such message holds, some kilobytes.
_MOST_LEVELS = 200
_CENTI = 100
#: Coordinators that one VM sends beats to at most.
_MOST_BEATS = 16
#: Successors that hear of failures beside the coordinator.
_SUCCESSORS = 2
_TICKET_BITS = 63
_TOLD_TO_SUCCESSORS = frozenset(
    (Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.UNREACHABLE),
)


@dataclass(slots=True)
class Coordinators:
    """Coordinates for other VMs, and asks theirs."""

    vm: VmName
    link: PeerLink
    directory: Directory
    state: FleetState
    clock: Clock
    random: Random
    journal: Journal
    repeats: RepeatPolicy
    quotas: QuotaLedger = field(default_factory=QuotaLedger)
    is_serving: Callable[[], bool] = lambda: True
    _schedulers: dict[ServiceName, ServiceScheduler] = field(
        default_factory=dict,
    )
    _alone: QuotaLedger = field(default_factory=QuotaLedger)

    def start(self, timers: TimerService) -> None:
        """Answer other VMs, and subscribe to `timers`."""
        handlers_by_kind: dict[str, Handler] = {
            'admit': self._on_admit,
            'place': self._on_place,
            'finished': self._on_finished,
            'notice': self._on_notice,
            'beat': self._on_beat,
            'levels': self._on_levels,
        }
        for kind, handler in handlers_by_kind.items():
            self.link.on(kind, handler)
        self.state.subscribe(self._forget_missing)
        timers.subscribe('beat', _BEAT_PERIOD_S, self._beat)
        timers.subscribe('levels', _LEVELS_PERIOD_S, self._tell_levels)

    def new_ticket(self) -> Ticket:
        """Return the number of a new attempt."""
        return Ticket(self.random.getrandbits(_TICKET_BITS))

    async def admit(self, team: TeamRule) -> float:
        """Return 0 if a request of `team` is admitted, else a wait."""
        if team.rate <= 0:
            return 0
        subject = self._quota_subject(team.name)
        fields = {'team': team.name}
        for vm in self._asked(subject):
            if vm == self.vm:
                return self._admit(team)
            answer = await self._ask(vm, 'admit', fields)
            if answer is not None and answer.isKnown:
                return answer.waitMs / MS_PER_S
        # Alone, a VM grants its even share of the rate.
        share = 1 / self.directory.known_count()
        now = self.clock.now()
        wait_s = self._alone.admit(team.name, team.rate * share, 1, now)
        self._log_quota(team, share, wait_s, is_alone=True)
        return wait_s

    async def place(
        self,
        service: ServiceName,
        request: PlacementRequest,
    ) -> Placement | PlacementRefusal:
        """Return where `request` should be sent."""
        fields = place_fields(service, request)
        for vm in self._asked(f'service-{service}'):
            if vm == self.vm:
                return self._place(service, request)
            answer = await self._ask(vm, 'place', fields)
            if answer is not None and answer.refusal != 'unavailable':
                return parse_placed(answer, vm)
        self.journal.emit(
            Event.PLACED_LOCALLY,
            service=service,
            ticket=request.ticket,
        )
        return self._place(service, request)

    def finish(self, finished: Finished) -> None:
        """Tell the coordinator how an attempt ended.

        Failures also go to its successors, which then know of them.
        """
        self._finish(finished, self.vm)
        subject = f'service-{finished.service}'
        ranked = self.directory.ranked(subject, self.clock.now())
        most = 1
        if finished.outcome in _TOLD_TO_SUCCESSORS:
            most += _SUCCESSORS
        for vm in ranked[:most]:
            self._tell(vm, 'finished', finished_fields(finished))

    def refused(self, service: ServiceName) -> None:
        """Tell the coordinator that a request was refused before it."""
        now = self.clock.now()
        self.scheduler(service).refused(now)
        nothing = UpstreamName('')
        finished = Finished(service, Ticket(0), nothing, Outcome.REFUSED, 0)
        for vm in self.directory.ranked(f'service-{service}', now)[:1]:
            self._tell(vm, 'finished', finished_fields(finished))

    def announce(self, is_serving: bool) -> None:
        """Tell all VMs that this one serves, or leaves."""
        for vm in self.directory.others():
            self._tell(vm, 'notice', {'isServing': is_serving})

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that this VM knows something of."""
        return tuple(self._schedulers)

    def scheduler(self, service: ServiceName) -> ServiceScheduler:
        """Return this VM's own scheduler of `service`."""
        found = self._schedulers.get(service)
        if found is None:
            found = ServiceScheduler(self.random, repeats=self.repeats)
            self._schedulers[service] = found
        return found

    def _quota_subject(self, team: TeamName) -> str:
        """Return the group of teams that share a coordinator.

        Every VM sends beats to every group's coordinator, so that groups
        are as few as their load allows.
        """
        groups = 1 + self.directory.known_count() // _VMS_PER_QUOTA_GROUP
        return f'quota-{stable_hash(team) % groups}'

    def _asked(self, subject: str) -> list[VmName]:
        ranked = self.directory.ranked(subject, self.clock.now())
        return ranked[:_MOST_ASKED]

    def _admit(self, team: TeamRule) -> float:
        now = self.clock.now()
        share = self.directory.heard_share(now)
        rate = team.rate * share
        wait_s = self.quotas.admit(team.name, rate, team.burst, now)
        self._log_quota(team, share, wait_s, is_alone=False)
        return wait_s

    def _log_quota(
        self,
        team: TeamRule,
        share: float,
        wait_s: float,
        is_alone: bool,
    ) -> None:
        if wait_s > 0:
            self.journal.emit(
                Event.QUOTA_EXCEEDED,
                team=team.name,
                rate=team.rate,
                burst=team.burst,
                heard_share=round(share, 3),
                is_alone=is_alone,
                wait_s=round(wait_s, 3),
            )

    def _place(
        self,
        service: ServiceName,
        request: PlacementRequest,
    ) -> Placement | PlacementRefusal:
        placed = self.scheduler(service).place(
            request,
            self.state.usable(service),
            self.clock.now(),
        )
        return replace(placed, placed_by=self.vm)

    def _finish(self, finished: Finished, vm: VmName) -> None:
        scheduler = self.scheduler(finished.service)
        now = self.clock.now()
        before = scheduler.in_spell(finished.upstream, now)
        scheduler.finish(
            finished.ticket,
            finished.upstream,
            finished.outcome,
            finished.latency_s,
            now,
            vm,
            finished.fingerprint,
        )
        after = scheduler.in_spell(finished.upstream, now)
        if before < SUSPECTED <= after:
            self.journal.emit(
                Event.UPSTREAM_SUSPECTED,
                upstream=finished.upstream,
                service=finished.service,
                outcome=finished.outcome.value,
                told_by=vm,
                before=round(before, 3),
                after=round(after, 3),
            )

    async def _ask(self, vm: VmName, kind: str, fields: Any) -> Any | None:
        address = self.directory.address(vm)
        if address is None:
            return None
        try:
            answer = await self.link.call(address, kind, fields, _ASK_TIMEOUT_S)
        except PeerTimeoutError:
            self.directory.timed_out(vm, kind, self.clock.now())
            return None
        self.directory.heard(vm, self.clock.now())
        return answer

    def _tell(self, vm: VmName, kind: str, fields: Any) -> None:
        address = self.directory.address(vm)
        if address is not None and vm != self.vm:
            self.link.send(address, kind, fields)

    async def _beat(self) -> None:
        """Let the coordinators know that this VM can be heard."""
        table = self.state.table
        if table is None:
            return
        now = self.clock.now()
        targets: set[VmName] = set()
        for team in table.configuration.teams_by_name:
            subject = self._quota_subject(team)
            targets.update(self.directory.ranked(subject, now)[:1])
            if len(targets) >= _MOST_BEATS:
                break
        for vm in targets:
            self._tell(vm, 'beat', None)

    async def _tell_levels(self) -> None:
        """Let who may coordinate next know what is left of rates."""
        now = self.clock.now()
        levels_by_vm: dict[VmName, list[dict[str, Any]]] = {}
        levels = self.quotas.recent_levels(_MOST_LEVELS, now)
        for team, level in levels.items():
            told = {'team': team, 'centi': max(0, int(level * _CENTI))}
            for vm in self.directory.ranked(self._quota_subject(team), now):
                levels_by_vm.setdefault(vm, []).append(told)
        for vm, told_levels in levels_by_vm.items():
            self._tell(vm, 'levels', {'levels': told_levels})

    def _on_levels(self, question: Question) -> None:
        self._heard(question)
        now = self.clock.now()
        for told in question.body.levels:
            team = TeamName(told.team)
            self.quotas.learn(team, told.centi / _CENTI, now)

    def _on_admit(self, question: Question) -> Answer:
        self._heard(question)
        table = self.state.table
        team = None
        if table is not None and self.is_serving():
            teams = table.configuration.teams_by_name
            team = teams.get(TeamName(question.body.team))
        if team is None:
            return Answer('admitted', {'isKnown': False})
        wait_ms = int(self._admit(team) * MS_PER_S)
        return Answer('admitted', {'isKnown': True, 'waitMs': wait_ms})

    def _on_place(self, question: Question) -> Answer:
        self._heard(question)
        if self.state.table is None or not self.is_serving():
            return Answer('placed', {'refusal': 'unavailable'})
        request = parse_place(question.body)
        service = ServiceName(question.body.service)
        placed = self._place(service, request)
        return Answer('placed', placed_fields(placed))

    def _on_finished(self, question: Question) -> None:
        self._heard(question)
        finished = parse_finished(question.body)
        if finished.outcome is Outcome.REFUSED:
            scheduler = self.scheduler(finished.service)
            scheduler.refused(self.clock.now())
        else:
            self._finish(finished, question.sender)

    def _on_notice(self, question: Question) -> None:
        self._heard(question)
        self.directory.noticed(question.sender, question.body.isServing)

    def _on_beat(self, question: Question) -> None:
        self._heard(question)

    def _heard(self, question: Question) -> None:
        self.directory.heard(question.sender, self.clock.now())

    def _forget_missing(self) -> None:
        records = tuple(self.state.upstreams_by_name.values())
        for scheduler in self._schedulers.values():
            scheduler.forget_missing(records)
