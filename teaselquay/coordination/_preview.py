"""Preview of a placement that leaves its scheduler unchanged."""

from dataclasses import dataclass
from enum import Enum
from typing import Mapping, Sequence

from teaselquay.configuration import UpstreamRecord
from teaselquay.coordination._copying import copy_fields
from teaselquay.coordination._placement import (
    Placement,
    PlacementRefusal,
    PlacementRequest,
)
from teaselquay.coordination._scheduling import ServiceScheduler
from teaselquay.decisions import Instant, UpstreamName


class Omission(Enum):
    """Why an upstream is not compared with others for a request."""

    ZONE_EVACUATED = 'zone-evacuated'
    DRAINING = 'draining'
    LEAVING = 'leaving'
    RESTING = 'resting'
    #: The VM that asks recently failed to connect to it.
    UNREACHABLE_HERE = 'unreachable-here'
    #: Several VMs recently failed to connect to it.
    UNREACHABLE = 'unreachable'
    COLD_WITHOUT_TOKEN = 'cold-without-token'
    RATE_LIMIT = 'rate-limit'
    #: It is not in the sample of a service with many upstreams.
    NOT_DRAWN = 'not-drawn'


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that is compared, and the scheduler's estimates of it.

    `evidence_age_s` is None while nothing is known. `loss` is before the
    random part that breaks ties.
    """

    upstream: UpstreamRecord
    in_flight: int
    in_spell: float
    evidence_age_s: float | None
    expected_latency_s: float
    loss: float


@dataclass(frozen=True, slots=True)
class PlacementPreview:
    """The result that a placement would have, and what it is based on.

    The candidates are in the order of their losses. `priority` is the
    effective one.
    """

    decision: Placement | PlacementRefusal
    priority: int
    candidates: Sequence[Candidate]
    omissions: Mapping[UpstreamName, Omission]


class _Trial(ServiceScheduler):
    """A copy of a scheduler that keeps what its placement compares."""

    __slots__ = ('compared', 'priority')

    compared: list[Candidate]
    priority: int

    def _best(
        self,
        candidates: Sequence[UpstreamRecord],
        request: PlacementRequest,
        explores: bool,
        now: Instant,
    ) -> UpstreamRecord:
        self.priority = request.priority
        estimate = self.urgency.loss_estimate(
            request, self.mean_latency_s, self._sheds, explores, now
        )
        bonus = self._exploration_bonus() if explores else 0
        for upstream in candidates:
            stats = self._stats_of(upstream.name)
            loss = estimate.at(upstream, stats)
            if stats.is_due_for_exploration(now):
                loss -= bonus
            latency_s = stats.expected_latency_s(upstream, self.mean_latency_s)
            belief = stats.belief
            self.compared.append(
                Candidate(
                    upstream,
                    stats.in_flight,
                    belief.probability_at(now),
                    belief.evidence_age_s_at(now) if belief.as_of else None,
                    latency_s + estimate.extra_work_s,
                    loss,
                )
            )
        return super()._best(candidates, request, explores, now)

    def omission(
        self,
        upstream: UpstreamRecord,
        now: Instant,
    ) -> Omission:
        """Return why `upstream` was not compared."""
        name = upstream.name
        if self._stats_of(name).is_unreachable(now):
            return Omission.UNREACHABLE
        if self.warmup.is_exhausted(name, now):
            return Omission.COLD_WITHOUT_TOKEN
        if not self.limits.has_token(upstream, now):
            return Omission.RATE_LIMIT
        return Omission.NOT_DRAWN


def preview_placement(
    scheduler: ServiceScheduler,
    request: PlacementRequest,
    upstreams: Sequence[UpstreamRecord],
    now: Instant,
) -> PlacementPreview:
    """Return what `scheduler.place` would return now, and why.

    It is placed with a copy of the scheduler and its random generator, so
    that no token, budget, count or number is taken. The omissions do not
    include the upstreams that the request itself excludes.
    """
    trial: _Trial = copy_fields(scheduler, _Trial, {})
    trial.compared = []
    trial.priority = request.priority
    decision = trial.place(request, upstreams, now)
    known = {candidate.upstream.name for candidate in trial.compared}
    known |= request.excluded
    return PlacementPreview(
        decision,
        trial.priority,
        sorted(trial.compared, key=lambda candidate: candidate.loss),
        {
            upstream.name: trial.omission(upstream, now)
            for upstream in upstreams
            if upstream.name not in known
        },
    )
