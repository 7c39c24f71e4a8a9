"""Evidence of how recently a replica was known to miss no write.

A node may act on its replica only while it can show that no newer write
had been accepted a short time ago. There are two kinds of evidence:

* a read of the store, which began at some instant and returned nothing
  newer than the replica;
* attestations by a majority of the members, each of which knew of nothing
  newer at some instant.

A write counts as accepted once a majority of the members holds it, so any
two majorities share a member that knows of it.
"""

from dataclasses import dataclass, field

from teaselquay.decisions._ids import Instant, VmName

NEVER = Instant(float('-inf'))
#: Unit of an age in an encoded digest.
AGE_UNIT_S = 0.025
#: Largest age that a digest carries; it also means that none is known.
AGE_UNKNOWN = 255


def majority(members: int) -> int:
    """Return the least number of members that is more than half.

    >>> [majority(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return members // 2 + 1


@dataclass(slots=True)
class Freshness:
    """What one node knows of the instants of the last attestations.

    `attests` is false from the start of a process until it has caught up,
    since a process that lost its memory may know less than it once
    attested.
    """

    me: VmName
    members: tuple[VmName, ...] = ()
    attests: bool = False
    store_instant: Instant = NEVER
    _by_vm: dict[VmName, Instant] = field(default_factory=dict)

    def replace_members(self, members: tuple[VmName, ...]) -> None:
        """Take `members` as the fleet whose majority counts."""
        self.members = tuple(sorted(members))
        self._by_vm = {
            name: instant
            for name, instant in self._by_vm.items()
            if name in self.members
        }

    def record_store_read(self, began: Instant) -> None:
        """Record a read of the store that began at `began`."""
        self.store_instant = max(self.store_instant, began)
        self.attests = True

    def record_attestation(self, vm: VmName, instant: Instant) -> None:
        """Record that `vm` knew of nothing newer at `instant`."""
        if vm != self.me:
            self._by_vm[vm] = max(self._by_vm.get(vm, NEVER), instant)

    def last_attestation(self, vm: VmName) -> Instant:
        """Return when `vm` last attested, or `NEVER`."""
        return self._by_vm.get(vm, NEVER)

    def instant(self, now: Instant) -> Instant:
        """Return the latest instant at which nothing accepted was missed."""
        return max(self.store_instant, self._majority_instant(now))

    def is_fresh(self, now: Instant, most_age_s: float) -> bool:
        """Return whether the evidence is at most `most_age_s` old."""
        return now - self.instant(now) <= most_age_s

    def encode_ages(self, now: Instant) -> bytes:
        """Return one byte for each member, in order of their names."""
        return bytes(
            _encode_age(now - self._own_or_heard(name, now))
            for name in self.members
        )

    def merge_ages(self, ages: bytes, base: Instant) -> None:
        """Take over ages that a peer gave at `base` or later.

        The peer's members must be the same as the members here.
        """
        for name, age in zip(self.members, ages, strict=True):
            if age != AGE_UNKNOWN:
                self.record_attestation(name, Instant(base - age * AGE_UNIT_S))

    def _own_or_heard(self, vm: VmName, now: Instant) -> Instant:
        if vm == self.me:
            return now if self.attests else NEVER
        return self._by_vm.get(vm, NEVER)

    def _majority_instant(self, now: Instant) -> Instant:
        if not self.members:
            return NEVER
        instants = sorted(
            (self._own_or_heard(name, now) for name in self.members),
            reverse=True,
        )
        return instants[majority(len(instants)) - 1]


def _encode_age(age_s: float) -> int:
    # Rounds up, so that evidence never looks younger than it is.
    if age_s >= AGE_UNKNOWN * AGE_UNIT_S:
        return AGE_UNKNOWN
    return min(AGE_UNKNOWN, int(age_s / AGE_UNIT_S) + 1)
