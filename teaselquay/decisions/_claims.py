"""Placement of partitions on VMs, and the states of ownership."""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import blake2b
from math import log1p
from typing import Iterable, Mapping

from teaselquay.decisions._ids import (
    Incarnation,
    Instant,
    PartitionId,
    VmName,
)
from teaselquay.decisions._states import StateTable

_HASH_BYTES = 8
_UINT64_MAX = (1 << 64) - 1
_MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
_MIX_SHIFT = 31
#: Largest float below 1, and the least capacity that a VM counts with.
_MAX_UNIFORM = 1 - 2**-53
_MIN_CAPACITY = 1e-6


@lru_cache(maxsize=1 << 16)
def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of `parts` that is the same in every process."""
    digest = blake2b('\0'.join(parts).encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _score(subject_hash: int, vm_hash: int) -> int:
    # Mixes two cached hashes instead of hashing each pair, since a fleet has
    # far more pairs than names.
    mixed = ((subject_hash ^ vm_hash) * _MIX_MULTIPLIER) & _UINT64_MAX
    return ((mixed ^ (mixed >> _MIX_SHIFT)) * _MIX_MULTIPLIER) & _UINT64_MAX


def rank_vms(subject: str, vms: Iterable[VmName]) -> list[VmName]:
    """Return `vms` in the order of rendezvous hashing for `subject`."""
    subject_hash = stable_hash(subject)
    return sorted(
        vms, key=lambda vm: (_score(subject_hash, stable_hash(vm)), vm)
    )


def rank_by_capacity(
    subject: str, capacity_by_vm: Mapping[VmName, float]
) -> list[VmName]:
    """Return the VMs in the order of weighted rendezvous hashing.

    A VM comes first for a share of all subjects that is proportional to its
    capacity. VMs of equal capacity are in the order of `rank_vms`.

    >>> names = [VmName('small'), VmName('large'), VmName('none')]
    >>> capacities = dict(zip(names, (1.0, 9.0, 0.0)))
    >>> firsts = [
    ...     rank_by_capacity(f'subject-{number}', capacities)[0]
    ...     for number in range(1000)
    ... ]
    >>> 850 < firsts.count('large') < 950, firsts.count('none')
    (True, 0)
    """
    subject_hash = stable_hash(subject)

    def order(vm: VmName) -> tuple[float, int, VmName]:
        score = _score(subject_hash, stable_hash(vm))
        uniform = min(score / _UINT64_MAX, _MAX_UNIFORM)
        capacity = max(capacity_by_vm[vm], _MIN_CAPACITY)
        return -log1p(-uniform) / capacity, score, vm

    return sorted(capacity_by_vm, key=order)


def first_vm(subject: str, vms: Iterable[VmName]) -> VmName | None:
    """Return the first of `vms` in the order of `rank_vms`, or None."""
    subject_hash = stable_hash(subject)
    return min(
        vms,
        key=lambda vm: (_score(subject_hash, stable_hash(vm)), vm),
        default=None,
    )


def partition_of(subject: str, partitions: int) -> PartitionId:
    """Return the partition that `subject` belongs to."""
    return PartitionId(stable_hash('partition', subject) % partitions)


@dataclass(frozen=True, slots=True)
class Claim:
    """A stored claim of one partition by a process of a VM.

    The first claim of a partition has epoch 1, so that no previous owner
    can still act.
    """

    vm: VmName
    incarnation: Incarnation
    epoch: int

    @property
    def is_first(self) -> bool:
        """Return whether the partition had no owner before."""
        return self.epoch == 1


class OwnerState(Enum):
    """Whether the holder of a claim may act as owner."""

    FENCING = 'fencing'
    SERVING = 'serving'
    LOST = 'lost'


_TRANSITIONS = StateTable(
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
    """The period in which this process holds one claim.

    A tenure starts `FENCING`: the previous owner may still act on old
    evidence, for as long as that evidence counts as fresh. It becomes
    `SERVING` once a majority of the VMs holds the claim and that time has
    passed.
    """

    def __init__(self, partition: PartitionId, claim: Claim) -> None:
        """Start a tenure of `partition` under `claim`."""
        self.partition = partition
        self.claim = claim
        self.serving_from: Instant | None = None
        self.state = OwnerState.FENCING

    def record_majority(self, now: Instant, fence_s: float) -> None:
        """Record that a majority holds the claim at `now`.

        The tenure can serve `fence_s` seconds later, or at once under a
        first claim. Later calls change nothing.
        """
        if self.serving_from is None:
            wait_s = 0 if self.claim.is_first else fence_s
            self.serving_from = Instant(now + wait_s)

    def record_release(self, now: Instant) -> None:
        """Record that the previous owner has permanently stopped acting."""
        self.serving_from = now

    def advance(self, now: Instant) -> bool:
        """Start serving if it is time; return whether this call did so."""
        is_due = self.serving_from is not None and now >= self.serving_from
        if is_due and self.state is OwnerState.FENCING:
            self.state = _TRANSITIONS.after('serve', self.state)
            return True
        return False

    def end(self) -> None:
        """Stop acting as owner permanently."""
        if self.state is not OwnerState.LOST:
            self.state = _TRANSITIONS.after('lose', self.state)
