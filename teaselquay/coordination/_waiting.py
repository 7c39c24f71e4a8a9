"""How long requests that have not run wait, and when they ask again."""

from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Iterator

from teaselquay.coordination._placement import PlacementRefusal, RefusalReason
from teaselquay.decisions import Instant

#: Reasons that pass by themselves, usually within seconds.
_TRANSIENT_REASONS = frozenset(
    (
        RefusalReason.OVERLOADED,
        RefusalReason.SHEDDING,
        RefusalReason.REPEAT_BUDGET,
        RefusalReason.RATE_LIMITED,
        RefusalReason.RESTING,
    )
)


@dataclass(slots=True)
class ReturnSchedule:
    """Times at which refused requests should ask again, in a queue.

    Load pattern: many requests are refused at once. If each came back after
    the same wait, they would arrive as one wave and be refused again. The
    schedule lets them return in the order of their refusals, at the rate at
    which they can be placed. An urgent request takes its time before less
    urgent ones, which move back by as much.
    """

    #: End of the times that requests of a priority or a more urgent one take.
    _last_at: dict[int, Instant] = field(default_factory=dict)

    def reserve(
        self,
        rate_per_s: float,
        now: Instant,
        priority: int = 1,
    ) -> float:
        """Return the wait in seconds until the next free time.

        Times are `1 / rate_per_s` apart.
        """
        if priority not in self._last_at:
            self._last_at[priority] = self._end_before(priority, now)
        for other, last_at in self._last_at.items():
            if other >= priority:
                self._last_at[other] = Instant(
                    max(now, last_at) + 1 / rate_per_s
                )
        return self._last_at[priority] - now

    def _end_before(self, priority: int, now: Instant) -> Instant:
        """Return the end of the times of more urgent requests."""
        urgent = [
            last_at
            for other, last_at in self._last_at.items()
            if other < priority
        ]
        return max(urgent, default=now)


@dataclass(slots=True)
class WaitingRoom:
    """The requests that wait, unsent, at one VM, and their limits.

    Load pattern: upstreams are full or shed for some seconds, while callers
    would wait for longer and some never come back after a refusal. Waiting
    is for what may still be served; a request that cannot be is refused at
    once.
    """

    max_requests: int = 256
    max_bytes: int = 16 << 20
    request_count: int = 0
    waiting_bytes: int = 0

    def pause_s(
        self,
        refusal: PlacementRefusal,
        left_s: float,
        latency_s: float,
    ) -> float | None:
        """Return the seconds to wait before asking again, None to refuse.

        `left_s` is the time in which an answer must be complete, and
        `latency_s` the mean latency of the service.
        """
        if refusal.reason not in _TRANSIENT_REASONS:
            return None
        if refusal.retry_after_s + latency_s > left_s:
            return None
        return refusal.retry_after_s

    @contextmanager
    def enter(self, body_bytes: int) -> Iterator[bool]:
        """Hold a place for a request; yield whether there is one."""
        has_room = (
            self.request_count < self.max_requests
            and self.waiting_bytes + body_bytes <= self.max_bytes
        )
        if not has_room:
            yield False
            return
        self.request_count += 1
        self.waiting_bytes += body_bytes
        try:
            yield True
        finally:
            self.request_count -= 1
            self.waiting_bytes -= body_bytes
