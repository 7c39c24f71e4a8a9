"""Quarantine of requests that crash the upstreams that run them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from teaselquay.decisions._ids import Instant, UpstreamName


@dataclass(frozen=True, slots=True)
class QuarantinePolicy:
    """Limits of the quarantine.

    A request is quarantined for `keep_s` after it crashed `crashes`
    upstreams.
    """

    crashes: int = 2
    keep_s: float = 300.0
    max_entries: int = 2000


@dataclass(slots=True)
class RecentSuccesses:
    """Fingerprints of requests with a recent complete response.

    A request that succeeds elsewhere is not the reason why an upstream
    broke off a response. At `max_entries`, the oldest entry is evicted.
    """

    keep_s: float = 60.0
    max_entries: int = 2000
    _by_fingerprint: OrderedDict[bytes, Instant] = field(
        default_factory=OrderedDict,
    )

    def add(self, fingerprint: bytes, now: Instant) -> None:
        """Record a complete response."""
        self._by_fingerprint.pop(fingerprint, None)
        self._by_fingerprint[fingerprint] = now
        if len(self._by_fingerprint) > self.max_entries:
            self._by_fingerprint.popitem(last=False)

    def has(self, fingerprint: bytes, now: Instant) -> bool:
        """Return whether a complete response came in the last `keep_s`."""
        succeeded_at = self._by_fingerprint.get(fingerprint)
        return succeeded_at is not None and now - succeeded_at <= self.keep_s


@dataclass(slots=True)
class _CrashRecord:
    last_crash: Instant
    upstreams: set[UpstreamName] = field(default_factory=set)


@dataclass(slots=True)
class Quarantine:
    """Fingerprints of requests whose responses were broken off.

    A fingerprint includes the team, so that the requests of one team never
    quarantine those of another. At `max_entries`, the entry with the oldest
    crash is evicted.
    """

    policy: QuarantinePolicy = QuarantinePolicy()
    _by_fingerprint: OrderedDict[bytes, _CrashRecord] = field(
        default_factory=OrderedDict,
    )

    def record_crash(
        self,
        fingerprint: bytes,
        upstream: UpstreamName,
        now: Instant,
    ) -> int:
        """Record a crash and return how many upstreams have crashed.

        Counts the upstreams that `fingerprint` crashed, each within `keep_s`
        of the crash before.
        """
        record = self._by_fingerprint.pop(fingerprint, None)
        if record is None or now - record.last_crash > self.policy.keep_s:
            record = _CrashRecord(now)
        record.last_crash = now
        record.upstreams.add(upstream)
        self._by_fingerprint[fingerprint] = record
        while len(self._by_fingerprint) > self.policy.max_entries:
            self._by_fingerprint.popitem(last=False)
        return len(record.upstreams)

    def crashes(self, fingerprint: bytes, now: Instant) -> int:
        """Return how many upstreams `fingerprint` crashed recently."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None or now - record.last_crash > self.policy.keep_s:
            return 0
        return len(record.upstreams)

    def is_quarantined(self, fingerprint: bytes, now: Instant) -> bool:
        """Return whether requests with `fingerprint` must not run now."""
        return self.crashes(fingerprint, now) >= self.policy.crashes
