"""Recognition of requests that crash the upstreams that run them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from teaselquay.decisions._ids import Instant, UpstreamName


@dataclass(frozen=True, slots=True)
class QuarantinePolicy:
    """A request is stopped after it crashed `crashes` upstreams."""

    crashes: int = 2
    keep_s: float = 300.0
    most_entries: int = 2000


@dataclass(slots=True)
class RecentSuccesses:
    """Fingerprints that were answered whole a short time ago.

    A request that succeeds elsewhere is not why an upstream broke off. The
    oldest entries go first when memory is full.
    """

    keep_s: float = 60.0
    most_entries: int = 2000
    _by_print: OrderedDict[bytes, Instant] = field(
        default_factory=OrderedDict,
    )

    def add(self, fingerprint: bytes, now: Instant) -> None:
        """Remember a whole answer."""
        self._by_print.pop(fingerprint, None)
        self._by_print[fingerprint] = now
        if len(self._by_print) > self.most_entries:
            self._by_print.popitem(last=False)

    def has(self, fingerprint: bytes, now: Instant) -> bool:
        """Return whether a whole answer is remembered."""
        answered = self._by_print.get(fingerprint)
        return answered is not None and now - answered <= self.keep_s


@dataclass(slots=True)
class _Record:
    last: Instant
    upstreams: set[UpstreamName] = field(default_factory=set)


@dataclass(slots=True)
class Quarantine:
    """Fingerprints of requests whose attempts ended in a broken answer.

    A fingerprint covers the team, so that one team's requests never stop
    another's. The oldest entries go first when memory is full.
    """

    policy: QuarantinePolicy = QuarantinePolicy()
    _by_print: OrderedDict[bytes, _Record] = field(
        default_factory=OrderedDict,
    )

    def record_crash(
        self,
        fingerprint: bytes,
        upstream: UpstreamName,
        now: Instant,
    ) -> int:
        """Return how many upstreams `fingerprint` has crashed by now."""
        record = self._by_print.pop(fingerprint, None)
        if record is None or now - record.last > self.policy.keep_s:
            record = _Record(now)
        record.last = now
        record.upstreams.add(upstream)
        self._by_print[fingerprint] = record
        while len(self._by_print) > self.policy.most_entries:
            self._by_print.popitem(last=False)
        return len(record.upstreams)

    def crashes(self, fingerprint: bytes, now: Instant) -> int:
        """Return how many upstreams `fingerprint` crashed recently."""
        record = self._by_print.get(fingerprint)
        if record is None or now - record.last > self.policy.keep_s:
            return 0
        return len(record.upstreams)

    def is_quarantined(self, fingerprint: bytes, now: Instant) -> bool:
        """Return whether `fingerprint` must not run again for now."""
        return self.crashes(fingerprint, now) >= self.policy.crashes
