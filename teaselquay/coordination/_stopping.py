"""Which requests a stopping VM may still begin."""

from teaselquay.decisions import Instant


def may_begin(
    now: Instant,
    ends_at: Instant,
    deadline: Instant,
    latency_s: float,
    queued_rounds: int = 0,
) -> bool:
    """Return whether a request that begins at `now` ends before `ends_at`.

    Load pattern: a VM stops while callers send to it until load balancers
    notice. Another VM takes what this one refuses as not run; what has begun
    at an upstream and is not finished when the VM ends is lost.

    `latency_s` is the time in which a request is likely to be processed, and
    `queued_rounds` is how often the upstream fills all of its slots before.

    >>> may_begin(Instant(2.0), Instant(5.0), Instant(9.0), 2.6)
    True
    >>> may_begin(Instant(2.0), Instant(5.0), Instant(9.0), 2.6, 1)
    False
    >>> may_begin(Instant(2.0), Instant(5.0), Instant(4.0), 2.6, 1)
    True
    """
    expected_end = now + latency_s * (1 + queued_rounds)
    return min(expected_end, deadline) <= ends_at
