"""Exchange what VMs know of the limits that upstreams name."""

from dataclasses import dataclass
from itertools import islice
from typing import Any, Callable, Iterable, Mapping

from teaselquay.coordination import (
    LimitChange,
    LimitShare,
    RateStatement,
    ServiceScheduler,
)
from teaselquay.decisions import ServiceName, UpstreamName, VmName
from teaselquay.events import Event, Journal
from teaselquay.fleet._directory import Directory
from teaselquay.shells import Clock, PeerLink, Question, TimerService

#: Period in seconds at which a coordinator and its successors tell each other.
#: What two of them grant within one period counts only afterwards.
_EXCHANGE_PERIOD_S = 0.2
#: Limits per message, which keeps it at some kilobytes.
_MAX_LIMITS_PER_MESSAGE = 100
_MS_PER_S = 1000
_EVENTS_BY_CHANGE = {
    LimitChange.STARTED: Event.LIMIT_STARTED,
    LimitChange.CHANGED: Event.LIMIT_CHANGED,
    LimitChange.ENDED: Event.LIMIT_ENDED,
}


@dataclass(slots=True)
class LimitExchange:
    """Tell the possible coordinators of a service the limits of upstreams.

    `schedulers` are those of this VM, and `scheduler` returns one of them,
    which it creates if needed.
    """

    vm: VmName
    link: PeerLink
    directory: Directory
    clock: Clock
    journal: Journal
    schedulers: Mapping[ServiceName, ServiceScheduler]
    scheduler: Callable[[ServiceName], ServiceScheduler]

    def start(self, timers: TimerService) -> None:
        """Register the message handler and the periodic task."""
        self.link.on('limits', self._on_limits)
        timers.subscribe('limits', _EXCHANGE_PERIOD_S, self._tell_successors)

    def log_change(
        self,
        service: ServiceName,
        upstream: UpstreamName,
        change: LimitChange,
        told_by: VmName,
    ) -> None:
        """Log that a limit began, changed or ended, if it did."""
        event = _EVENTS_BY_CHANGE.get(change)
        if event is None:
            return
        limit = self.scheduler(service).limits.by_upstream[upstream]
        self.journal.emit(
            event,
            service=service,
            upstream=upstream,
            rate=limit.statement.rate,
            granted=limit.granted,
            since_s=round(self.clock.now() - limit.since, 3),
            told_by=told_by,
        )

    def tell(
        self,
        vm: VmName,
        service: ServiceName,
        upstream: UpstreamName,
    ) -> None:
        """Tell `vm` the limit of `upstream`, if this VM knows of one."""
        scheduler = self.scheduler(service)
        share = scheduler.limits.share_of(upstream, self.clock.now())
        if share is not None:
            self._send(vm, service, [share])

    async def _tell_successors(self) -> None:
        """Tell the other possible coordinators of each service."""
        now = self.clock.now()
        for service, scheduler in self.schedulers.items():
            if not scheduler.limits.by_upstream:
                continue
            candidates = self.directory.coordinators_for(
                f'service-{service}', now
            )
            if self.vm not in candidates:
                continue
            for vm in candidates:
                if vm != self.vm:
                    self._send(vm, service, scheduler.limits.shares(now))

    def _on_limits(self, question: Question) -> None:
        now = self.clock.now()
        self.directory.record_contact(question.sender, now)
        service = ServiceName(question.body.service)
        limits = self.scheduler(service).limits
        outdated: list[LimitShare] = []
        for entry in question.body.limits:
            share = _parse_share(entry)
            if limits.is_outdated(share, now):
                ended = limits.by_upstream[share.upstream]
                age_s = now - ended.heard_at
                outdated.append(
                    share._replace(statement=ended.statement, age_s=age_s)
                )
            change = limits.merge(question.sender, share, now)
            self.log_change(service, share.upstream, change, question.sender)
        self._send(question.sender, service, outdated)

    def _send(
        self,
        vm: VmName,
        service: ServiceName,
        shares: Iterable[LimitShare],
    ) -> None:
        address = self.directory.address(vm)
        remaining = iter(shares)
        while address is not None:
            batch = list(islice(remaining, _MAX_LIMITS_PER_MESSAGE))
            if not batch:
                return
            fields = {
                'service': service,
                'limits': list(map(_share_fields, batch)),
            }
            self.link.send(address, 'limits', fields)


def _share_fields(share: LimitShare) -> dict[str, Any]:
    rate = share.statement.rate
    return {
        'upstream': share.upstream,
        'startedMs': share.statement.started_ms,
        'isLimited': rate is not None,
        'rate': rate or 0,
        'ageMs': int(share.age_s * _MS_PER_S),
        'granted': share.granted,
    }


def _parse_share(entry: Any) -> LimitShare:
    rate = entry.rate if entry.isLimited else None
    return LimitShare(
        UpstreamName(entry.upstream),
        RateStatement(rate, entry.startedMs),
        entry.ageMs / _MS_PER_S,
        entry.granted,
    )
