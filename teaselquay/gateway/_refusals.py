"""Problems returned to callers when no upstream gave an answer."""

from teaselquay.coordination import Outcome, PlacementRefusal, RefusalReason
from teaselquay.decisions import Problem, ProblemKind, Run, problem
from teaselquay.gateway._call import CallResult

_DECLINED_OUTCOMES = frozenset(
    (
        Outcome.SHED,
        Outcome.MISDIRECTED,
        Outcome.UNREACHABLE,
        Outcome.CANCELLED,
    )
)
_KINDS_BY_REASON = {
    RefusalReason.NO_UPSTREAM: ProblemKind.NO_UPSTREAM,
    RefusalReason.OVERLOADED: ProblemKind.QUEUE_TIMEOUT,
    RefusalReason.SHEDDING: ProblemKind.QUEUE_TIMEOUT,
    RefusalReason.REPEAT_BUDGET: ProblemKind.QUEUE_TIMEOUT,
    RefusalReason.RATE_LIMITED: ProblemKind.QUEUE_TIMEOUT,
    RefusalReason.RESTING: ProblemKind.QUEUE_TIMEOUT,
    RefusalReason.QUARANTINED: ProblemKind.REQUEST_QUARANTINED,
    RefusalReason.STOPPING: ProblemKind.STOPPING,
}
#: Retry-After of a request that no upstream accepted, in seconds.
RETRY_AFTER_S = 0.3
#: Retry-After of a VM that is stopping, in seconds. It is short because the
#: retry goes to another VM.
STOPPING_RETRY_S = 0.05


def attempt_problem(
    result: CallResult, may_have_run: bool, retry_after_s: float
) -> Problem:
    """Return the problem of a request whose last attempt failed.

    `retry_after_s` is for requests that no upstream took.
    """
    if result.outcome in _DECLINED_OUTCOMES and not may_have_run:
        refusal = problem(ProblemKind.CONNECT_FAILED)
        return refusal.with_detail(result.reason).with_retry_after(
            retry_after_s
        )
    refusal = problem(ProblemKind.UPSTREAM_FAILED)
    return refusal.with_detail(result.reason).with_run(Run.UNKNOWN)


def placement_problem(placed: PlacementRefusal, may_have_run: bool) -> Problem:
    """Return the problem of a request whose placement was refused."""
    if may_have_run:
        refusal = problem(ProblemKind.UPSTREAM_FAILED)
        return refusal.with_detail(placed.reason.value).with_run(Run.UNKNOWN)
    refusal = problem(_KINDS_BY_REASON[placed.reason])
    return refusal.with_retry_after(placed.retry_after_s)


def stopping_problem(may_have_run: bool) -> Problem:
    """Return the problem of a request that the VM ends as it stops."""
    if may_have_run:
        return problem(ProblemKind.STOPPED_UNFINISHED)
    refusal = problem(ProblemKind.STOPPING)
    return refusal.with_retry_after(STOPPING_RETRY_S)


def deadline_problem(may_have_run: bool) -> Problem:
    """Return the problem of a request whose deadline has passed."""
    refusal = problem(ProblemKind.DEADLINE_EXCEEDED)
    return refusal.with_run(Run.UNKNOWN if may_have_run else Run.NOT_RUN)
