"""Evidence of how recently a replica was known to miss no write.

A VM may act on its replica only while it can show that no newer write had
been accepted as of a recent instant. There are two kinds of evidence:

* a read of the store, which started at some instant and returned nothing
  newer than the replica;
* attestations by a majority of the members, each of which knew of nothing
  newer at some instant.

A write counts as accepted once a majority of the members holds it, so any
two majorities share a member that knows of it.
"""

from dataclasses import dataclass, field

from teaselquay.decisions._ids import Instant, VmName

NEVER = Instant(float('-inf'))
#: Resolution of the ages in an encoded digest.
AGE_UNIT_S = 0.025
#: Encoded value of an age that is unknown or too large to be encoded.
AGE_UNKNOWN = 255


def majority(members: int) -> int:
    """Return the smallest number of members that is more than half.

    >>> [majority(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return members // 2 + 1


@dataclass(slots=True)
class Freshness:
    """Instants of the last store read and of the members' attestations.

    `attests` is false from the start of a process until it has caught up,
    since a restarted process has lost its memory and may know less than it
    attested before.
    """

    local_vm: VmName
    members: tuple[VmName, ...] = ()
    attests: bool = False
    store_instant: Instant = NEVER
    _attested_by_vm: dict[VmName, Instant] = field(default_factory=dict)

    def replace_members(self, members: tuple[VmName, ...]) -> None:
        """Set the members whose majority counts; drop all other VMs."""
        self.members = tuple(sorted(members))
        self._attested_by_vm = {
            name: instant
            for name, instant in self._attested_by_vm.items()
            if name in self.members
        }

    def record_store_read(self, started: Instant) -> None:
        """Record a read of the store that started at `started`."""
        self.store_instant = max(self.store_instant, started)
        self.attests = True

    def record_attestation(self, vm: VmName, instant: Instant) -> None:
        """Record that `vm` knew of nothing newer at `instant`."""
        if vm != self.local_vm:
            self._attested_by_vm[vm] = max(
                self._attested_by_vm.get(vm, NEVER), instant
            )

    def last_attestation(self, vm: VmName) -> Instant:
        """Return the instant of the last attestation of `vm`, or `NEVER`."""
        return self._attested_by_vm.get(vm, NEVER)

    def instant(self, now: Instant) -> Instant:
        """Return the latest instant as of which no accepted write is missed."""
        return max(self.store_instant, self._majority_instant(now))

    def is_fresh(self, now: Instant, max_age_s: float) -> bool:
        """Return whether the evidence is at most `max_age_s` old."""
        return now - self.instant(now) <= max_age_s

    def encode_ages(self, now: Instant) -> bytes:
        """Return the age of each attestation as one byte, sorted by name."""
        return bytes(
            _encode_age(now - self._latest_attestation(name, now))
            for name in self.members
        )

    def merge_ages(self, ages: bytes, base: Instant) -> None:
        """Record the ages that a peer encoded at `base` or later.

        The members of the peer must be the same as `members`.

        Raises:
            ValueError: the peer has another number of members.
        """
        for name, age in zip(self.members, ages, strict=True):
            if age != AGE_UNKNOWN:
                self.record_attestation(name, Instant(base - age * AGE_UNIT_S))

    def _latest_attestation(self, vm: VmName, now: Instant) -> Instant:
        if vm == self.local_vm:
            return now if self.attests else NEVER
        return self._attested_by_vm.get(vm, NEVER)

    def _majority_instant(self, now: Instant) -> Instant:
        if not self.members:
            return NEVER
        instants = sorted(
            (self._latest_attestation(name, now) for name in self.members),
            reverse=True,
        )
        return instants[majority(len(instants)) - 1]


def _encode_age(age_s: float) -> int:
    # Rounds up, so that evidence never appears more recent than it is.
    if age_s >= AGE_UNKNOWN * AGE_UNIT_S:
        return AGE_UNKNOWN
    return min(AGE_UNKNOWN, int(age_s / AGE_UNIT_S) + 1)
