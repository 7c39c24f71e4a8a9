"""Delegate quota and placement decisions to a coordinator VM.

The coordinator of a team or service is the first VM in rendezvous order that
answers. It keeps soft state only: a successor starts from the state that was
replicated to it so far. If no coordinator answers, the VM decides on its own.
"""

from dataclasses import dataclass, field, replace
from math import ceil, isfinite
from random import Random
from typing import Any, Callable

from teaselquay.configuration import TeamRule, UpstreamRecord
from teaselquay.coordination import (
    Admission,
    HeldThresholds,
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    QuotaLedger,
    SUSPICION_THRESHOLD,
    RefusalReason,
    RepeatPolicy,
    ServiceScheduler,
    Ticket,
    UnusedUpstream,
    WarmupLimits,
    WarmupPolicy,
)
from teaselquay.decisions import (
    Instant,
    RetryBudget,
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
    AttemptResult,
    attempt_fields,
    parse_attempt,
    parse_placement,
    parse_placement_request,
    placement_fields,
    placement_request_fields,
)
from teaselquay.fleet._limit_exchange import LimitExchange
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

#: Timeout of a call to a coordinator in seconds: many round trips between
#: zones, and below what a caller notices. A busy coordinator that answers late
#: knows more than a successor.
_CALL_TIMEOUT_S = 0.08
#: Coordinators that are called before a VM decides on its own.
_MAX_COORDINATORS_CALLED = 2
_HEARTBEAT_PERIOD_S = 0.5
#: Period in seconds at which unused upstreams are looked for, and how many of
#: them a log line describes.
_UNUSED_PERIOD_S = 1.0
_MAX_LOGGED_UNUSED = 12
#: Share of the fleet from which a coordinator must hear to spend its whole
#: budget of retries.
_MIN_MAJORITY_SHARE = 0.5
#: Wait of a request for which no coordinator answered, in seconds.
_ALONE_WAIT_S = 0.3
#: VMs per quota coordinator. At 108 requests per second from each VM, a
#: coordinator answers 4,000 calls per second.
_VMS_PER_QUOTA_GROUP = 40
#: Period in seconds at which a coordinator replicates its token bucket levels
#: to its successors. If it fails, tokens granted since the last message may be
#: granted twice: a tenth of a second of a rate, where the users allow half a
#: second in five.
_LEVELS_PERIOD_S = 0.1
#: Teams per levels message, which keeps it at a few kilobytes.
_MAX_LEVELS_PER_MESSAGE = 200
#: How long a successor relies on the share of the fleet that a coordinator
#: reported, in seconds: five messages.
_REACHED_SHARE_TTL_S = 0.5
_PERMILLE = 1000
#: Messages carry levels in hundredths of a token.
_CENTITOKENS = 100
#: Successors that receive failures in addition to the coordinator.
_SUCCESSOR_COUNT = 2
_TICKET_BITS = 63
_REPLICATED_OUTCOMES = frozenset(
    (Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.UNREACHABLE),
)


@dataclass(slots=True)
class Coordinators:
    """Call remote coordinators, and act as coordinator for other VMs.

    `is_serving` returns whether this VM accepts calls as a coordinator.
    """

    vm: VmName
    link: PeerLink
    directory: Directory
    state: FleetState
    clock: Clock
    random: Random
    journal: Journal
    repeat_policy: RepeatPolicy
    quotas: QuotaLedger = field(default_factory=QuotaLedger)
    is_serving: Callable[[], bool] = lambda: True
    _schedulers: dict[ServiceName, ServiceScheduler] = field(
        default_factory=dict,
    )
    _fallback_quotas: QuotaLedger = field(default_factory=QuotaLedger)
    #: Budgets of retries while no coordinator answers.
    _own_budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    #: Largest share of the fleet that another coordinator reaches.
    _reached_share: float = 0.0
    _reached_share_until: Instant = Instant(0.0)
    _limit_exchange: LimitExchange = field(init=False)
    _thresholds: HeldThresholds = field(default_factory=HeldThresholds)

    def __post_init__(self) -> None:
        """Create the exchange of limits."""
        self._limit_exchange = LimitExchange(
            self.vm,
            self.link,
            self.directory,
            self.clock,
            self.journal,
            self._schedulers,
            self.scheduler,
        )

    def start(self, timers: TimerService) -> None:
        """Register the message handlers and periodic tasks."""
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
        self._limit_exchange.start(timers)
        self.state.subscribe(self._apply_state)
        timers.subscribe('beat', _HEARTBEAT_PERIOD_S, self._send_heartbeats)
        timers.subscribe('unused', _UNUSED_PERIOD_S, self._log_unused)
        timers.subscribe('levels', _LEVELS_PERIOD_S, self._send_levels)

    def new_ticket(self) -> Ticket:
        """Return a random ticket that identifies a new attempt."""
        return Ticket(self.random.getrandbits(_TICKET_BITS))

    async def admit(self, team: TeamRule, max_wait_s: float) -> Admission:
        """Return whether a request of `team` is admitted.

        An admitted request waits for at most `max_wait_s` seconds.
        """
        if team.rate <= 0:
            return Admission(is_admitted=True, wait_s=0)
        subject = self._quota_subject(team.name)
        fields = {'team': team.name, 'maxWaitMs': int(max_wait_s * MS_PER_S)}
        for vm in self._callable_coordinators(subject):
            if vm == self.vm:
                return self._admit_as_coordinator(team, max_wait_s)
            answer = await self._call(vm, 'admit', fields)
            if answer is not None and answer.isKnown:
                return Admission(answer.isAdmitted, answer.waitMs / MS_PER_S)
        # Without a coordinator, a VM grants an equal share of the rate.
        share = 1 / self.directory.vm_count()
        now = self.clock.now()
        admission = self._fallback_quotas.admit(
            team.name, team.rate * share, 1, now, max_wait_s
        )
        self._log_quota(team, share, admission, is_alone=True)
        return admission

    async def place(
        self,
        service: ServiceName,
        request: PlacementRequest,
    ) -> Placement | PlacementRefusal:
        """Return an upstream for `request`, or the reason for refusing it."""
        fields = placement_request_fields(service, request)
        for vm in self._callable_coordinators(f'service-{service}'):
            if vm == self.vm:
                return self._place_itself(service, request, is_alone=False)
            answer = await self._call(vm, 'place', fields)
            if answer is not None and answer.refusal != 'unavailable':
                placed = parse_placement(answer, vm)
                self._thresholds.record(
                    service, placed.least_urgent, self.clock.now()
                )
                self._tell_unknown_limit(service, placed)
                return placed
        least_urgent, age_s = self._thresholds.least_urgent(
            service, self.clock.now()
        )
        self.journal.emit(
            Event.PLACED_LOCALLY,
            service=service,
            ticket=request.ticket,
            priority=request.priority,
            least_urgent=least_urgent,
            threshold_age_s=round(age_s, 3),
        )
        return self._place_itself(service, request, is_alone=True)

    def report_attempt(self, result: AttemptResult) -> None:
        """Record an attempt, and report it to the coordinator.

        Failures, and what the upstream says of itself, are also sent to its
        successors, so that they survive a change of coordinator. That it
        leaves is reported with each attempt, which tells coordinators that
        have placed without knowing it.
        """
        result = replace(
            result,
            leaving_start_ms=self.state.leaving_start_ms(result.upstream),
        )
        self._record_attempt(result, self.vm)
        subject = f'service-{result.service}'
        ranked = self.directory.coordinators_for(subject, self.clock.now())
        recipients = 1
        if result.outcome in _REPLICATED_OUTCOMES or _has_statement(result):
            recipients += _SUCCESSOR_COUNT
        for vm in ranked[:recipients]:
            self._send(vm, 'finished', attempt_fields(result))

    def record_leaving(self, upstream: UpstreamRecord) -> None:
        """Record an answer of `upstream` that says that it leaves."""
        self.state.record_leaving(
            upstream.name, upstream.started_ms, self.clock.now(), self.vm
        )

    def report_refusal(self, service: ServiceName) -> None:
        """Report a request that was refused without asking for a placement."""
        now = self.clock.now()
        self.scheduler(service).record_refusal(now)
        no_upstream = UpstreamName('')
        result = AttemptResult(
            service,
            Ticket(0),
            no_upstream,
            Outcome.REFUSED,
            0,
        )
        for vm in self.directory.coordinators_for(
            f'service-{service}',
            now,
        )[:1]:
            self._send(vm, 'finished', attempt_fields(result))

    def announce(self, is_serving: bool) -> None:
        """Notify all VMs that this one is serving or leaving."""
        resolved = map(self.directory.address, self.directory.others())
        addresses = [address for address in resolved if address is not None]
        self.link.send_to_all(addresses, 'notice', {'isServing': is_serving})

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services for which this VM has a scheduler."""
        return tuple(self._schedulers)

    def scheduler(self, service: ServiceName) -> ServiceScheduler:
        """Return the local scheduler of `service`, creating it if needed."""
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self.new_scheduler(service, self.random)
            self._schedulers[service] = scheduler
        return scheduler

    def new_scheduler(
        self, service: ServiceName, random: Random
    ) -> ServiceScheduler:
        """Return a scheduler of `service` that is not kept."""
        scheduler = ServiceScheduler(
            random,
            repeats=self.repeat_policy,
            warmup=WarmupLimits(self.state.cold),
        )
        self._configure_warmup(service, scheduler)
        return scheduler

    def _configure_warmup(
        self, service: ServiceName, scheduler: ServiceScheduler
    ) -> None:
        rule = self.state.service_rule(service)
        if rule is not None:
            scheduler.warmup.configure(WarmupPolicy.from_rule(rule))

    def _quota_subject(self, team: TeamName) -> str:
        """Return the hash subject of the quota group of `team`.

        Teams of one group share a coordinator. Every VM sends heartbeats to
        the coordinator of each group, so the number of groups is kept as low
        as the load permits.
        """
        return f'quota-{stable_hash(team) % self._quota_groups()}'

    def _quota_groups(self) -> int:
        return 1 + self.directory.vm_count() // _VMS_PER_QUOTA_GROUP

    def _place_itself(
        self,
        service: ServiceName,
        request: PlacementRequest,
        is_alone: bool,
    ) -> Placement | PlacementRefusal:
        """Place a request of this VM on its own schedule.

        Load pattern: no VM reaches a coordinator while many attempts fail.
        Each has its share of the budget of retries and hedges, so that all
        together stay within it. What the last coordinator admitted holds for
        some seconds.
        """
        least_urgent, _ = self._thresholds.least_urgent(
            service, self.clock.now()
        )
        if request.priority > least_urgent and (is_alone or self._is_parted()):
            return PlacementRefusal(
                RefusalReason.OVERLOADED,
                _ALONE_WAIT_S,
                self.vm,
                least_urgent,
            )
        budget = self._own_budgets.get(service)
        if budget is None:
            policy = self.repeat_policy
            capacity = max(1, policy.capacity / self.directory.vm_count())
            budget = RetryBudget(policy.ratio, 0, capacity)
            self._own_budgets[service] = budget
        if not request.is_repeat:
            budget.deposit()
        elif is_alone or self._is_parted():
            if not budget.try_withdraw():
                return PlacementRefusal(
                    RefusalReason.REPEAT_BUDGET, _ALONE_WAIT_S, self.vm
                )
        divisor = self.directory.vm_count() if is_alone else 1
        return self._schedule(service, request, divisor)

    def _tell_unknown_limit(
        self,
        service: ServiceName,
        placed: Placement | PlacementRefusal,
    ) -> None:
        """Tell a coordinator a limit that it does not know.

        Load pattern: a coordinator and its successors are lost at once. The
        VMs that have seen answers of an upstream know its limit.
        """
        if isinstance(placed, Placement) and not placed.is_rate_limited:
            self._limit_exchange.tell(
                placed.placed_by, service, placed.upstream
            )

    def _is_parted(self) -> bool:
        """Return whether this VM hears from less than half of the fleet."""
        share = self.directory.reachable_share(self.clock.now())
        return share < _MIN_MAJORITY_SHARE

    def _callable_coordinators(self, subject: str) -> list[VmName]:
        ranked = self.directory.coordinators_for(subject, self.clock.now())
        return ranked[:_MAX_COORDINATORS_CALLED]

    def _admit_as_coordinator(
        self,
        team: TeamRule,
        max_wait_s: float,
    ) -> Admission:
        now = self.clock.now()
        share = self.directory.reachable_share(now)
        if now < self._reached_share_until:
            share = max(share, self._reached_share)
        admission = self.quotas.admit(
            team.name, team.rate * share, team.burst, now, max_wait_s
        )
        self._log_quota(team, share, admission, is_alone=False)
        return admission

    def _log_quota(
        self,
        team: TeamRule,
        share: float,
        admission: Admission,
        is_alone: bool,
    ) -> None:
        if not admission.is_admitted:
            self.journal.emit(
                Event.QUOTA_EXCEEDED,
                team=team.name,
                rate=team.rate,
                burst=team.burst,
                heard_share=round(share, 3),
                is_alone=is_alone,
                wait_s=round(admission.wait_s, 3),
            )

    def _schedule(
        self,
        service: ServiceName,
        request: PlacementRequest,
        limit_divisor: int = 1,
    ) -> Placement | PlacementRefusal:
        scheduler = self.scheduler(service)
        now = self.clock.now()
        placed = scheduler.place(
            request,
            self.state.usable(service),
            now,
            limit_divisor,
        )
        least_urgent = scheduler.urgency.least_urgent(now)
        return replace(placed, placed_by=self.vm, least_urgent=least_urgent)

    def _record_attempt(self, result: AttemptResult, reporter: VmName) -> None:
        scheduler = self.scheduler(result.service)
        now = self.clock.now()
        suspicion_before = scheduler.in_spell(result.upstream, now)
        scheduler.finish(
            result.ticket,
            result.upstream,
            result.outcome,
            result.latency_s,
            now,
            reporter,
            result.fingerprint,
        )
        if result.rate_statement is not None:
            change = scheduler.record_statement(
                result.upstream, result.rate_statement, result.latency_s, now
            )
            self._limit_exchange.log_change(
                result.service, result.upstream, change, reporter
            )
        if result.leaving_start_ms is not None:
            self.state.record_leaving(
                result.upstream, result.leaving_start_ms, now, reporter
            )
        suspicion_after = scheduler.in_spell(result.upstream, now)
        if suspicion_before < SUSPICION_THRESHOLD <= suspicion_after:
            self.journal.emit(
                Event.UPSTREAM_SUSPECTED,
                upstream=result.upstream,
                service=result.service,
                outcome=result.outcome.value,
                told_by=reporter,
                before=round(suspicion_before, 3),
                after=round(suspicion_after, 3),
            )

    async def _call(self, vm: VmName, kind: str, fields: Any) -> Any | None:
        address = self.directory.address(vm)
        if address is None:
            return None
        try:
            answer = await self.link.call(
                address,
                kind,
                fields,
                _CALL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            self.directory.record_timeout(vm, kind, self.clock.now())
            return None
        self.directory.record_contact(vm, self.clock.now())
        return answer

    def _send(self, vm: VmName, kind: str, fields: Any) -> None:
        address = self.directory.address(vm)
        if address is not None and vm != self.vm:
            self.link.send(address, kind, fields)

    async def _send_heartbeats(self) -> None:
        """Send a heartbeat to each quota coordinator."""
        table = self.state.table
        if table is None:
            return
        subjects: set[str] = set()
        for team in table.configuration.teams_by_name:
            subjects.add(self._quota_subject(team))
            if len(subjects) == self._quota_groups():
                break
        now = self.clock.now()
        targets = {
            vm
            for subject in subjects
            for vm in self.directory.coordinators_for(subject, now)[:1]
        }
        for vm in targets:
            self._send(vm, 'beat', None)

    async def _send_levels(self) -> None:
        """Replicate token bucket levels to the possible successors."""
        now = self.clock.now()
        levels_by_vm: dict[VmName, list[dict[str, Any]]] = {}
        levels = self.quotas.recent_levels(_MAX_LEVELS_PER_MESSAGE, now)
        for team, level in levels.items():
            entry = {
                'team': team,
                'centi': int(level * _CENTITOKENS),
            }
            for vm in self.directory.coordinators_for(
                self._quota_subject(team),
                now,
            ):
                levels_by_vm.setdefault(vm, []).append(entry)
        share = self.directory.reachable_share(now)
        for vm, entries in levels_by_vm.items():
            self._send(
                vm,
                'levels',
                {
                    'levels': entries,
                    'reachedPermille': int(share * _PERMILLE),
                },
            )

    async def _log_unused(self) -> None:
        """Log why upstreams are unused while many requests are unserved."""
        now = self.clock.now()
        for service, scheduler in self._schedulers.items():
            ranked = self.directory.coordinators_for(f'service-{service}', now)
            if ranked[:1] != [self.vm] or not scheduler.is_losing(now):
                continue
            unused = scheduler.unused_upstreams(now)
            if unused:
                self.journal.emit(
                    Event.UPSTREAMS_UNUSED,
                    service=service,
                    count=len(unused),
                    usable=len(self.state.usable(service)),
                    upstreams=[
                        _unused_fields(item)
                        for item in unused[:_MAX_LOGGED_UNUSED]
                    ],
                )

    def _on_levels(self, question: Question) -> None:
        self._record_contact(question)
        now = self.clock.now()
        # A successor that hears from a coordinator is in the same part of
        # the network, though few VMs send their heartbeats to it.
        share = question.body.reachedPermille / _PERMILLE
        if share >= self._reached_share or now >= self._reached_share_until:
            self._reached_share = share
            self._reached_share_until = Instant(now + _REACHED_SHARE_TTL_S)
        for entry in question.body.levels:
            team = TeamName(entry.team)
            self.quotas.merge_level(team, entry.centi / _CENTITOKENS, now)

    def _on_admit(self, question: Question) -> Answer:
        self._record_contact(question)
        table = self.state.table
        team = None
        if table is not None and self.is_serving():
            teams = table.configuration.teams_by_name
            team = teams.get(TeamName(question.body.team))
        if team is None:
            return Answer('admitted', {'isKnown': False})
        max_wait_s = question.body.maxWaitMs / MS_PER_S
        admission = self._admit_as_coordinator(team, max_wait_s)
        return Answer(
            'admitted',
            {
                'isKnown': True,
                'isAdmitted': admission.is_admitted,
                'waitMs': ceil(admission.wait_s * MS_PER_S),
            },
        )

    def _on_place(self, question: Question) -> Answer:
        self._record_contact(question)
        if self.state.table is None or not self.is_serving():
            return Answer('placed', {'refusal': 'unavailable'})
        request = parse_placement_request(question.body)
        service = ServiceName(question.body.service)
        placed = self._schedule(service, request)
        return Answer('placed', placement_fields(placed))

    def _on_finished(self, question: Question) -> None:
        self._record_contact(question)
        result = parse_attempt(question.body)
        if result.outcome is Outcome.REFUSED:
            scheduler = self.scheduler(result.service)
            scheduler.record_refusal(self.clock.now())
        else:
            self._record_attempt(result, question.sender)

    def _on_notice(self, question: Question) -> None:
        self._record_contact(question)
        self.directory.record_serving(question.sender, question.body.isServing)

    def _on_beat(self, question: Question) -> None:
        self._record_contact(question)

    def _record_contact(self, question: Question) -> None:
        self.directory.record_contact(question.sender, self.clock.now())

    def _apply_state(self) -> None:
        records = tuple(self.state.upstreams_by_name.values())
        now = self.clock.now()
        for service, scheduler in self._schedulers.items():
            scheduler.forget_missing(records, now)
            self._configure_warmup(service, scheduler)


def _has_statement(result: AttemptResult) -> bool:
    """Return whether the upstream leaves, or names a limit."""
    statement = result.rate_statement
    names_limit = statement is not None and statement.rate is not None
    return names_limit or result.leaving_start_ms is not None


def _unused_fields(unused: UnusedUpstream) -> dict[str, object]:
    """Return the log fields that describe `unused`."""
    failed_s_ago = unused.failed_s_ago
    return {
        'upstream': unused.name,
        'in_spell': round(unused.in_spell, 3),
        'unused_s': round(unused.unused_s, 2),
        'failed_s_ago': (
            round(failed_s_ago, 2) if isfinite(failed_s_ago) else None
        ),
        'is_unreachable': unused.is_unreachable,
    }
