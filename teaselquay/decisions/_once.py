"""Record of started idempotency keys at the owner of a partition."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType
from uuid import UUID

AttemptId = NewType('AttemptId', int)
#: Seconds since the epoch, by the wall clock of a VM.
WallTime = NewType('WallTime', float)

_UUID_VERSION = 7
_UUID_TIMESTAMP_SHIFT = 80
_MS_PER_S = 1000


class Start(Enum):
    """Reply of the owner to a request to start a key."""

    GRANTED = 'granted'
    RUNNING = 'running'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'
    FROM_FUTURE = 'from-future'


class KeyFormatError(ValueError):
    """An idempotency key is not a UUID of version 7."""


def key_time(key: str) -> WallTime:
    """Return when `key` was created.

    Raises:
        KeyFormatError: `key` is not a UUID of version 7.

    >>> key_time('01890a5d-ac96-774b-bcce-b302099a8057')
    1688096058.518
    """
    try:
        parsed = UUID(key)
    except ValueError as error:
        raise KeyFormatError(f'{key!r} is not a UUID') from error
    if parsed.version != _UUID_VERSION:
        raise KeyFormatError(f'{key!r} has version {parsed.version}, not 7')
    return WallTime((parsed.int >> _UUID_TIMESTAMP_SHIFT) / _MS_PER_S)


@dataclass(slots=True)
class KeyRecord:
    """A started key; `status` is 0 until the attempt has a response."""

    attempt: AttemptId
    started: WallTime
    status: int = 0


@dataclass(slots=True)
class IdempotencyLedger:
    """Idempotency keys started since `known_from`.

    An older key may have been started under a previous owner, and one older
    than `retention_s` may have been removed: for both the outcome is unknown.
    `skew_s` is the upper bound of the difference between the wall clocks of
    two VMs.
    """

    known_from: WallTime
    retention_s: float
    skew_s: float
    _by_key: OrderedDict[str, KeyRecord] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        """Return how many keys are recorded."""
        return len(self._by_key)

    def start(self, key: str, attempt: AttemptId, now: WallTime) -> Start:
        """Record `key` as started, and return whether `attempt` may run it.

        A repeated call for the same attempt is granted again until the
        attempt has a response. `key` may have a scope before its last slash.

        Raises:
            KeyFormatError: `key` is not a UUID of version 7.
        """
        created = key_time(key.rpartition('/')[2])
        self._remove_expired(now)
        record = self._by_key.get(key)
        if record is not None:
            return self._repeated_start(record, attempt)
        if created > now + self.skew_s:
            return Start.FROM_FUTURE
        if created <= self._unknown_until(now):
            return Start.UNKNOWN
        self._by_key[key] = KeyRecord(attempt, now)
        return Start.GRANTED

    def finish(self, key: str, attempt: AttemptId, status: int) -> None:
        """Record that `attempt` got a complete response with `status`."""
        record = self._by_key.get(key)
        if record is not None and record.attempt == attempt:
            record.status = status

    def abort(self, key: str, attempt: AttemptId) -> None:
        """Remove the key of `attempt`, which certainly ran nothing."""
        record = self._by_key.get(key)
        if record is not None and record.attempt == attempt:
            del self._by_key[key]

    def records(self) -> tuple[tuple[str, KeyRecord], ...]:
        """Return all recorded keys, in the order in which they were added."""
        return tuple(self._by_key.items())

    def restore(self, key: str, record: KeyRecord) -> None:
        """Add a key that another owner has started."""
        self._by_key[key] = record

    def status_of(self, key: str) -> int:
        """Return the recorded status of `key`, or 0."""
        record = self._by_key.get(key)
        return record.status if record else 0

    def _repeated_start(self, record: KeyRecord, attempt: AttemptId) -> Start:
        if record.status:
            return Start.COMPLETED
        if record.attempt == attempt:
            return Start.GRANTED
        return Start.RUNNING

    def _unknown_until(self, now: WallTime) -> float:
        # The previous owner accepted keys up to `skew_s` ahead of its clock,
        # which itself may be `skew_s` ahead of the local one.
        return max(
            self.known_from + 2 * self.skew_s,
            now - self.retention_s + 2 * self.skew_s,
        )

    def _remove_expired(self, now: WallTime) -> None:
        while self._by_key:
            record = next(iter(self._by_key.values()))
            if record.started > now - self.retention_s:
                return
            self._by_key.popitem(last=False)
