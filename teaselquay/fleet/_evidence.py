"""Evidence of when the store answered some VM of the fleet."""

from dataclasses import dataclass

from teaselquay.decisions import Instant

#: Longest time in seconds between two answers of the store that is no outage.
#: It exceeds the timeout of a watch. Upstream entries expire 4.5 s after their
#: last heartbeat, of which there is one every 1.5 s, so that a shorter outage
#: expires none.
_MAX_GAP_S = 2.5
_NEVER = Instant(float('-inf'))


@dataclass(slots=True)
class StoreEvidence:
    """The latest span of time over which the store answered without an outage.

    Load pattern: one VM cannot reach the store for seconds, while others read
    it. This is no outage of the store, and expires no entries. VMs therefore
    exchange their spans, which together show whether the store answered any
    of them.

    >>> evidence = StoreEvidence(Instant(0.0), Instant(10.0))
    >>> evidence.add_answer(Instant(20.0))
    >>> evidence.stable_s(Instant(21.0))
    1.0
    >>> evidence.add_span(Instant(5.0), Instant(20.5))
    >>> evidence.stable_s(Instant(21.0))
    16.0
    """

    begin: Instant = _NEVER
    end: Instant = _NEVER

    def add_answer(self, now: Instant) -> None:
        """Record that the store answered this VM at `now`."""
        self.add_span(now, now)

    def add_span(self, begin: Instant, end: Instant) -> None:
        """Record that the store answered without an outage in a span.

        A span that follows an outage replaces the earlier one; one that ended
        before the last outage is ignored.
        """
        if begin > self.end + _MAX_GAP_S:
            self.begin = begin
        elif end >= self.begin - _MAX_GAP_S:
            self.begin = min(self.begin, begin)
        self.end = max(self.end, end)

    def stable_s(self, now: Instant) -> float:
        """Return the seconds since the end of the last outage, if any.

        The result is 0 if the store is not known to have answered.
        """
        if self.begin == _NEVER:
            return 0
        return now - self.begin
