"""Problem documents for refusals, with whether the request ran."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Mapping


class Run(Enum):
    """Whether a refused request ran at an upstream."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ProblemKind(Enum):
    """Stable names of the refusals, the last part of a problem's type URI."""

    BAD_REQUEST = 'bad-request'
    HEAD_TOO_LARGE = 'head-too-large'
    KEY_MISSING = 'key-missing'
    KEY_DOUBLED = 'key-doubled'
    KEY_UNKNOWN = 'key-unknown'
    KEY_MISPLACED = 'key-misplaced'
    ROUTE_UNKNOWN = 'route-unknown'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    BODY_TOO_LARGE = 'body-too-large'
    RATE_EXCEEDED = 'rate-exceeded'
    RATE_UNAVAILABLE = 'rate-unavailable'
    STALE_CONFIGURATION = 'stale-configuration'
    STOPPING = 'stopping'
    STOPPED_UNFINISHED = 'stopped-unfinished'
    NO_UPSTREAM = 'no-upstream'
    QUEUE_TIMEOUT = 'queue-timeout'
    CONNECT_FAILED = 'connect-failed'
    UPSTREAM_FAILED = 'upstream-failed'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    REQUEST_QUARANTINED = 'request-quarantined'
    IDEMPOTENCY_KEY_INVALID = 'idempotency-key-invalid'
    IDEMPOTENCY_OWNER_UNAVAILABLE = 'idempotency-owner-unavailable'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    ALREADY_RUNNING = 'already-running'
    ALREADY_RAN = 'already-ran'
    INTERNAL_ERROR = 'internal-error'


@dataclass(frozen=True, slots=True)
class Problem:
    """Problem details of one refusal, as sent to the caller (RFC 9457).

    `run` says whether the request ran. `extra` has further members of the
    document.
    """

    kind: ProblemKind
    status: int
    run: Run
    title: str
    detail: str = ''
    retry_after_s: float | None = None
    extra: Mapping[str, object] = field(default_factory=dict)

    def to_document(self) -> dict[str, object]:
        """Return the problem document as a JSON object."""
        document: dict[str, object] = {
            'type': f'urn:teaselquay:problem:{self.kind.value}',
            'title': self.title,
            'status': self.status,
            'run': self.run.value,
        }
        if self.detail:
            document['detail'] = self.detail
        document.update(self.extra)
        return document

    def with_detail(self, detail: str) -> 'Problem':
        """Return the same problem with `detail`."""
        return replace(self, detail=detail)

    def with_run(self, run: Run) -> 'Problem':
        """Return the same problem with `run`."""
        return replace(self, run=run)

    def with_retry_after(self, seconds: float) -> 'Problem':
        """Return the same problem with a delay before a retry."""
        return replace(self, retry_after_s=seconds)


_PROBLEM_TABLE: tuple[tuple[ProblemKind, int, Run, str], ...] = (
    (
        ProblemKind.BAD_REQUEST,
        400,
        Run.NOT_RUN,
        'The request is malformed.',
    ),
    (
        ProblemKind.HEAD_TOO_LARGE,
        431,
        Run.NOT_RUN,
        'The head of the request is too large.',
    ),
    (
        ProblemKind.KEY_MISSING,
        401,
        Run.NOT_RUN,
        'The request carries no key.',
    ),
    (
        ProblemKind.KEY_DOUBLED,
        400,
        Run.NOT_RUN,
        'The request carries more than one key.',
    ),
    (
        ProblemKind.KEY_UNKNOWN,
        401,
        Run.NOT_RUN,
        'The key is not valid.',
    ),
    (
        ProblemKind.KEY_MISPLACED,
        400,
        Run.NOT_RUN,
        'The key stands outside the header for keys.',
    ),
    (
        ProblemKind.ROUTE_UNKNOWN,
        404,
        Run.NOT_RUN,
        'No route matches the path.',
    ),
    (
        ProblemKind.METHOD_NOT_ALLOWED,
        405,
        Run.NOT_RUN,
        'No route of the path takes the method.',
    ),
    (
        ProblemKind.BODY_TOO_LARGE,
        413,
        Run.NOT_RUN,
        'The body is larger than the route allows.',
    ),
    (
        ProblemKind.RATE_EXCEEDED,
        429,
        Run.NOT_RUN,
        'The team has used its rate and burst.',
    ),
    (
        ProblemKind.RATE_UNAVAILABLE,
        503,
        Run.NOT_RUN,
        'The rate of the team cannot be counted now.',
    ),
    (
        ProblemKind.STALE_CONFIGURATION,
        503,
        Run.NOT_RUN,
        'This VM cannot show that its configuration is current.',
    ),
    (
        ProblemKind.STOPPING,
        503,
        Run.NOT_RUN,
        'This VM is stopping.',
    ),
    (
        ProblemKind.STOPPED_UNFINISHED,
        504,
        Run.UNKNOWN,
        'This VM stopped before the answer came.',
    ),
    (
        ProblemKind.NO_UPSTREAM,
        503,
        Run.NOT_RUN,
        'The service has no upstream in use.',
    ),
    (
        ProblemKind.QUEUE_TIMEOUT,
        503,
        Run.NOT_RUN,
        'The request waited too long for an upstream.',
    ),
    (
        ProblemKind.CONNECT_FAILED,
        502,
        Run.NOT_RUN,
        'No connection to an upstream could be made.',
    ),
    (
        ProblemKind.UPSTREAM_FAILED,
        502,
        Run.UNKNOWN,
        'The upstream gave no whole answer.',
    ),
    (
        ProblemKind.DEADLINE_EXCEEDED,
        504,
        Run.UNKNOWN,
        'No answer came before the deadline.',
    ),
    (
        ProblemKind.REQUEST_QUARANTINED,
        422,
        Run.NOT_RUN,
        'Upstreams that ran this request failed each time.',
    ),
    (
        ProblemKind.IDEMPOTENCY_KEY_INVALID,
        400,
        Run.NOT_RUN,
        'The route needs an Idempotency-Key that is a UUID version 7.',
    ),
    (
        ProblemKind.IDEMPOTENCY_OWNER_UNAVAILABLE,
        503,
        Run.NOT_RUN,
        'The idempotency key cannot be checked now; a new key is safe.',
    ),
    (
        ProblemKind.OUTCOME_UNKNOWN,
        409,
        Run.UNKNOWN,
        'A request with this idempotency key may have run before.',
    ),
    (
        ProblemKind.ALREADY_RUNNING,
        409,
        Run.UNKNOWN,
        'A request with this idempotency key was started before.',
    ),
    (
        ProblemKind.ALREADY_RAN,
        409,
        Run.RAN,
        'A request with this idempotency key ran before.',
    ),
    (
        ProblemKind.INTERNAL_ERROR,
        500,
        Run.UNKNOWN,
        'The request met an internal error.',
    ),
)

_BY_KIND: Mapping[ProblemKind, Problem] = {
    kind: Problem(kind, status, run, title)
    for kind, status, run, title in _PROBLEM_TABLE
}


def problem(kind: ProblemKind) -> Problem:
    """Return the problem of `kind` without detail."""
    return _BY_KIND[kind]


class RefusedError(Exception):
    """Raised to refuse a request; `problem` says why."""

    def __init__(self, refusal: Problem) -> None:
        """Raise for `refusal`."""
        super().__init__(refusal.title)
        self.problem = refusal


def refuse(kind: ProblemKind, detail: str = '') -> RefusedError:
    """Return the error to raise to refuse a request with `kind`."""
    return RefusedError(problem(kind).with_detail(detail))
