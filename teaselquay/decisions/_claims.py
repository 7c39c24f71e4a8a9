"""Which VM owns which partition, and from when it may act as owner."""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import blake2b
from typing import Iterable

from teaselquay.decisions._ids import (
    Incarnation,
    Instant,
    PartitionId,
    VmName,
)
from teaselquay.decisions._states import StateTable

_HASH_BYTES = 8
_WORD = (1 << 64) - 1
_MULTIPLIER = 0xBF58476D1CE4E5B9
_SHIFT = 31


@lru_cache(maxsize=1 << 16)
def stable_hash(*parts: str) -> int:
    """Return a number of 64 bits that is the same in every process."""
    digest = blake2b('\0'.join(parts).encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _score(subject: int, vm: int) -> int:
    # The hash of a pair is mixed from two cached ones, since a fleet has
    # far more pairs than names.
    mixed = ((subject ^ vm) * _MULTIPLIER) & _WORD
    return ((mixed ^ (mixed >> _SHIFT)) * _MULTIPLIER) & _WORD


def rank_vms(subject: str, vms: Iterable[VmName]) -> list[VmName]:
    """Return `vms` in the order of rendezvous hashing for `subject`."""
    base = stable_hash(subject)
    return sorted(vms, key=lambda vm: (_score(base, stable_hash(vm)), vm))


def first_vm(subject: str, vms: Iterable[VmName]) -> VmName | None:
    """Return the first of `vms` in the order of `rank_vms`."""
    base = stable_hash(subject)
    return min(
        vms,
        key=lambda vm: (_score(base, stable_hash(vm)), vm),
        default=None,
    )


def partition_of(subject: str, partitions: int) -> PartitionId:
    """Return the partition that holds `subject`."""
    return PartitionId(stable_hash('partition', subject) % partitions)


@dataclass(frozen=True, slots=True)
class Claim:
    """A stored claim of one partition.

    The first claim of a partition has epoch 1: no owner before can act.
    """

    vm: VmName
    incarnation: Incarnation
    epoch: int

    @property
    def is_first(self) -> bool:
        """Return whether nobody owned the partition before."""
        return self.epoch == 1


class OwnerState(Enum):
    """What the holder of a claim may do."""

    FENCING = 'fencing'
    SERVING = 'serving'
    LOST = 'lost'


_STATES = StateTable(
    OwnerState,
    (
        {
            'trigger': 'serve',
            'source': OwnerState.FENCING,
            'dest': OwnerState.SERVING,
        },
        {
            'trigger': 'lose',
            'source': [OwnerState.FENCING, OwnerState.SERVING],
            'dest': OwnerState.LOST,
        },
    ),
)


class Tenure:
    """The time for which this process holds one claim.

    A tenure starts `FENCING`: the owner before it may still act on old
    evidence, for as long as that evidence counts as fresh. It becomes
    `SERVING` once a majority holds the claim and that time has passed.
    """

    def __init__(self, partition: PartitionId, claim: Claim) -> None:
        """Start a tenure of `partition` under `claim`."""
        self.partition = partition
        self.claim = claim
        self.serving_from: Instant | None = None
        self.state = OwnerState.FENCING

    def record_majority(self, now: Instant, fence_s: float) -> None:
        """Note that a majority holds the claim at `now`."""
        if self.serving_from is None:
            wait_s = 0 if self.claim.is_first else fence_s
            self.serving_from = Instant(now + wait_s)

    def record_release(self, now: Instant) -> None:
        """Note that the owner before has stopped acting for good."""
        self.serving_from = now

    def advance(self, now: Instant) -> bool:
        """Return whether the tenure became `SERVING` with this call."""
        due = self.serving_from is not None and now >= self.serving_from
        if due and self.state is OwnerState.FENCING:
            self.state = _STATES.after('serve', self.state)
            return True
        return False

    def end(self) -> None:
        """Stop acting as owner for good."""
        if self.state is not OwnerState.LOST:
            self.state = _STATES.after('lose', self.state)
