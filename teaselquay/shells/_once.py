"""Starts and finishes idempotency keys at the owner of their partition."""

import asyncio
from dataclasses import dataclass
from typing import Any

from teaselquay.decisions import (
    AttemptId,
    IdempotencyLedger,
    KeyFormatError,
    KeyRecord,
    OwnerState,
    PartitionId,
    Start,
    Tenure,
    WallTime,
)
from teaselquay.shells._node import Node
from teaselquay.shells._ownership import Ownership
from teaselquay.shells._peers import (
    Answer,
    PeerLink,
    PeerTimeoutError,
    Question,
)

_CALL_TIMEOUT_S = 0.25
_RETRY_DELAY_S = 0.05
_START_TIMEOUT_S = 1.0
_FINISH_ATTEMPTS = 3
_NOT_OWNER = 'not-owner'
_ATTEMPT_ID_BITS = 63
_MAX_KEYS_PER_MESSAGE = 60
_DISTANT_PAST = WallTime(1.0)


@dataclass(frozen=True, slots=True)
class StartResult:
    """The owner's outcome, or None if no owner answered.

    `status` is the recorded status of a completed request.
    """

    outcome: Start | None
    status: int = 0


class IdempotencyOwner:
    """Holds the key ledgers of the partitions that this process owns."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        link: PeerLink,
    ) -> None:
        """Answer start and finish requests over `link`."""
        self._node = node
        self._ownership = ownership
        self._ledgers: dict[PartitionId, IdempotencyLedger] = {}
        self._closed_ledgers: dict[PartitionId, IdempotencyLedger] = {}
        link.on('start', self._on_start)
        link.on('finish', self._on_finish)
        ownership.add_listener(self._on_tenure_changed)
        ownership.add_state_handler(self)

    def start(self, key: str, attempt: AttemptId) -> StartResult:
        """Return the ledger's outcome, or None as outcome if not the owner.

        Raises:
            KeyFormatError: `key` is not a UUID of version 7.
        """
        ledger = self._serving_ledger(key)
        if ledger is None:
            return StartResult(None)
        outcome = ledger.start(key, attempt, self._node.clock.wall())
        return StartResult(outcome, ledger.status_of(key))

    def finish(self, key: str, attempt: AttemptId, status: int) -> None:
        """Record the end of an attempt; status 0 means that it never ran."""
        ledger = self._serving_ledger(key)
        if ledger is None:
            return
        if status:
            ledger.finish(key, attempt, status)
        else:
            ledger.abort(key, attempt)

    def export_state(self, tenure: Tenure) -> list[dict[str, Any]]:
        """Return the keys of a partition as the fields of messages."""
        ledger = self._closed_ledgers.pop(tenure.partition, None)
        if ledger is None:
            return []
        states = [_key_fields(*item) for item in ledger.records()]
        return [
            {
                'keys': states[first : first + _MAX_KEYS_PER_MESSAGE],
                'knownFromS': ledger.known_from,
            }
            for first in range(0, max(1, len(states)), _MAX_KEYS_PER_MESSAGE)
        ]

    def import_state(self, tenure: Tenure, parts: list[Any]) -> None:
        """Restore the ledger of a partition from `parts`."""
        ledger = None
        for part in parts:
            if not part.knownFromS:
                continue
            if ledger is None:
                ledger = self._new_ledger(WallTime(part.knownFromS))
            for item in part.keys:
                record = KeyRecord(
                    AttemptId(item.attempt),
                    WallTime(item.startedS),
                    item.status,
                )
                ledger.restore(item.key, record)
        if ledger is not None:
            self._ledgers[tenure.partition] = ledger

    def _serving_ledger(self, key: str) -> IdempotencyLedger | None:
        tenure = self._ownership.tenure(self._ownership.partition(key))
        if tenure is None:
            return None
        return self._ledgers.get(tenure.partition)

    def _on_tenure_changed(self, tenure: Tenure) -> None:
        partition = tenure.partition
        if tenure.state is OwnerState.LOST:
            ledger = self._ledgers.pop(partition, None)
            if ledger is not None:
                self._closed_ledgers[partition] = ledger
        elif partition not in self._ledgers:
            known_from = self._node.clock.wall()
            if tenure.claim.is_first:
                # There is no previous owner that can have started a key.
                known_from = _DISTANT_PAST
            self._ledgers[partition] = self._new_ledger(known_from)

    def _new_ledger(self, known_from: WallTime) -> IdempotencyLedger:
        policy = self._node.policy
        return IdempotencyLedger(
            known_from,
            policy.idempotency_keep_s,
            policy.clock_skew_s,
        )

    def _on_start(self, question: Question) -> Answer:
        body = question.body
        try:
            started = self.start(body.key, AttemptId(body.attempt))
        except KeyFormatError:
            return Answer('started', {'outcome': _NOT_OWNER})
        outcome = started.outcome.value if started.outcome else _NOT_OWNER
        fields = {'outcome': outcome, 'status': started.status}
        return Answer('started', fields)

    def _on_finish(self, question: Question) -> Answer:
        body = question.body
        self.finish(body.key, AttemptId(body.attempt), body.status)
        return Answer('ok', None)


def _key_fields(key: str, record: KeyRecord) -> dict[str, Any]:
    return {
        'key': key,
        'attempt': record.attempt,
        'startedS': record.started,
        'status': record.status,
    }


class IdempotencyClient:
    """Starts and finishes keys at their owners on behalf of requests."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        link: PeerLink,
        owner: IdempotencyOwner,
    ) -> None:
        """Call owners over `link`, or `owner` if this process owns the key."""
        self._node = node
        self._ownership = ownership
        self._link = link
        self._owner = owner
        self._tasks: set[asyncio.Task[None]] = set()

    def new_attempt(self) -> AttemptId:
        """Return a random ID, unique in the fleet in all likelihood."""
        return AttemptId(self._node.random.getrandbits(_ATTEMPT_ID_BITS))

    async def start(self, key: str, attempt: AttemptId) -> StartResult:
        """Start a key and return the owner's result.

        Retry while no owner answers, until a timeout.

        Raises:
            KeyFormatError: `key` is not a UUID of version 7.
        """
        deadline = self._node.clock.now() + _START_TIMEOUT_S
        while True:
            started = await self._try_start(key, attempt)
            is_timed_out = self._node.clock.now() >= deadline
            if started.outcome is not None or is_timed_out:
                return started
            await asyncio.sleep(_RETRY_DELAY_S)

    def finish(self, key: str, attempt: AttemptId, status: int) -> None:
        """Report the end of an attempt to the owner in the background."""
        task = asyncio.create_task(self._finish(key, attempt, status))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try_start(self, key: str, attempt: AttemptId) -> StartResult:
        owner = self._ownership.owner_of(self._ownership.partition(key))
        if owner == self._node.vm:
            return self._owner.start(key, attempt)
        started = await self._call_owner(
            key,
            'start',
            {'key': key, 'attempt': attempt},
        )
        if started is None or started.outcome == _NOT_OWNER:
            return StartResult(None)
        return StartResult(Start(started.outcome), started.status)

    async def _finish(
        self,
        key: str,
        attempt: AttemptId,
        status: int,
    ) -> None:
        owner = self._ownership.owner_of(self._ownership.partition(key))
        if owner == self._node.vm:
            self._owner.finish(key, attempt, status)
            return
        fields = {'key': key, 'attempt': attempt, 'status': status}
        for _ in range(_FINISH_ATTEMPTS):
            if await self._call_owner(key, 'finish', fields) is not None:
                return

    async def _call_owner(
        self, key: str, kind: str, fields: dict[str, Any]
    ) -> Any:
        owner = self._ownership.owner_of(self._ownership.partition(key))
        address = self._node.peer_address(owner) if owner else None
        if address is None:
            return None
        try:
            return await self._link.call(
                address,
                kind,
                fields,
                _CALL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return None
