"""Track the VMs of the fleet and which of them are available."""

from dataclasses import dataclass, field
from itertools import islice
from typing import Iterable, Iterator

from teaselquay.configuration import VmRecord
from teaselquay.decisions import (
    Instant,
    VmName,
    ZoneName,
    rank_by_capacity,
)
from teaselquay.events import Event, Journal
from teaselquay.shells import Address

#: Time in seconds for which a VM is not called again after a timeout.
_SUSPICION_S = 1.0
#: Time in seconds for which a VM counts as reachable after its last message:
#: three heartbeats.
_REACHABLE_S = 1.5
#: Time in seconds for which a store reader that timed out keeps its role after
#: its last message. It sends one every half second.
_READER_TIMEOUT_S = 0.8
#: Time in seconds for which a newly listed VM counts as reachable before its
#: first message: a little over one heartbeat. If a fleet starts partitioned,
#: each partition grants full rates during this time.
_NEW_VM_GRACE_S = 0.8
#: Silence in seconds after which a VM counts as removed: longer than a
#: transient network partition.
_REMOVAL_TIMEOUT_S = 20.0
#: Time in seconds for which a VM that failed to read the store is not eligible
#: as its zone's reader. It retries only afterwards, which limits the calls
#: made during an outage.
_STORE_RETRY_DELAY_S = 1.5
#: Time in seconds after which a VM that reported that it cannot read the store
#: is eligible again without having reported that it can. It is longer than
#: most outages, in which readers would otherwise be replaced again and again.
_STORE_LOST_TTL_S = 10.0
#: VMs of a zone that look at once whether the store answers them, by the number
#: of VMs of the zone that it does not answer: more with each failed round, as
#: a round takes as long as an answer may be overdue.
_SUCCESSOR_COUNTS = (1, 2, 8, 16)
#: Power of their capacity by which VMs are preferred for roles. A role is one
#: VM's work, however small that VM is: with the cube, two VMs of seven times
#: the capacity take nineteen in twenty roles of a zone of 46 others, and
#: without them no VM is left out.
_CAPACITY_POWER = 3
#: VMs returned for a subject: the coordinator and its successors.
_MAX_CANDIDATES = 3
_NEVER = Instant(float('-inf'))


@dataclass(slots=True)
class Directory:
    """The known VMs, their addresses and the time of their last messages.

    Methods that take `now` expect the current time of this VM's clock.
    """

    own_record: VmRecord
    journal: Journal
    records_by_name: dict[VmName, VmRecord] = field(default_factory=dict)
    #: Addresses from the settings, for bootstrapping without the store.
    seeds: tuple[Address, ...] = ()
    _contacted_at: dict[VmName, Instant] = field(default_factory=dict)
    _suspect_until: dict[VmName, Instant] = field(default_factory=dict)
    #: Time of the first timeout of a VM from which nothing came since.
    _silent_since: dict[VmName, Instant] = field(default_factory=dict)
    _first_seen: dict[VmName, Instant] = field(default_factory=dict)
    _store_lost_until: dict[VmName, Instant] = field(default_factory=dict)
    _leaving: set[VmName] = field(default_factory=set)
    _rankings_by_subject: dict[str, list[VmName]] = field(default_factory=dict)
    last_contact: Instant = _NEVER

    def __post_init__(self) -> None:
        """List only this VM, which makes it the store reader of its zone."""
        self.records_by_name = {self.own_record.name: self.own_record}

    @property
    def vm(self) -> VmName:
        """Return the name of this VM."""
        return self.own_record.name

    def replace_records(
        self,
        records: Iterable[VmRecord],
        now: Instant,
    ) -> None:
        """Replace the known VMs with `records` from the store and this VM."""
        by_name = {record.name: record for record in records}
        by_name[self.own_record.name] = self.own_record
        if by_name != self.records_by_name:
            self.records_by_name = by_name
            self._rankings_by_subject.clear()
        for name in by_name:
            self._first_seen.setdefault(name, now)

    def address(self, vm: VmName) -> Address | None:
        """Return the peer address of `vm`, or None if it is unknown."""
        record = self.records_by_name.get(vm)
        return Address.parse(record.peer) if record else None

    def name_of(self, address: Address) -> VmName | None:
        """Return the VM that listens at `address`, or None if there is none."""
        for name, record in self.records_by_name.items():
            if Address.parse(record.peer) == address:
                return name
        return None

    def others(self) -> list[VmName]:
        """Return the names of all VMs except this one."""
        return [name for name in self.records_by_name if name != self.vm]

    def record_contact(self, vm: VmName, now: Instant) -> None:
        """Record that a message from `vm` arrived."""
        self._contacted_at[vm] = now
        self.last_contact = now
        self._silent_since.pop(vm, None)
        if self._suspect_until.pop(vm, None) is not None:
            self.journal.emit(Event.PEER_REGAINED, peer=vm)

    def record_timeout(self, vm: VmName, call_kind: str, now: Instant) -> None:
        """Record that `vm` did not answer a call of kind `call_kind`."""
        if vm not in self._suspect_until:
            contacted_at = self._contacted_at.get(vm)
            self.journal.emit(
                Event.PEER_LOST,
                peer=vm,
                asked=call_kind,
                heard_s_ago=(
                    None
                    if contacted_at is None
                    else round(now - contacted_at, 3)
                ),
            )
        self._suspect_until[vm] = Instant(now + _SUSPICION_S)
        self._silent_since.setdefault(vm, now)

    def record_serving(self, vm: VmName, is_serving: bool) -> None:
        """Record whether `vm` has announced that it is serving or leaving."""
        if is_serving:
            self._leaving.discard(vm)
        else:
            self._leaving.add(vm)

    def record_store_failure(self, vm: VmName, now: Instant) -> None:
        """Record that `vm` failed to read the store.

        Load pattern: the store refuses some VMs for seconds. A VM that took
        over as the reader stays one until its predecessor reads again, as
        nobody would read while that one tries.
        """
        delay_s = _STORE_LOST_TTL_S
        if vm == self.vm:
            delay_s = _STORE_RETRY_DELAY_S
        self._store_lost_until[vm] = Instant(now + delay_s)

    def record_store_success(self, vm: VmName) -> None:
        """Record that `vm` reads the store."""
        self._store_lost_until.pop(vm, None)

    def is_available(self, vm: VmName, now: Instant) -> bool:
        """Return whether `vm` is neither leaving nor suspected."""
        if vm in self._leaving:
            return False
        return now >= self._suspect_until.get(vm, _NEVER)

    def coordinators_for(self, subject: str, now: Instant) -> list[VmName]:
        """Return available coordinators for `subject`, preferred first."""
        candidates: list[VmName] = []
        for name in self._ranking(subject):
            if self.is_available(name, now):
                candidates.append(name)
                if len(candidates) == _MAX_CANDIDATES:
                    break
        return candidates

    def store_reader(self, zone: ZoneName, now: Instant) -> VmName | None:
        """Return the VM that reads the store for `zone`, or None."""
        return next(self._possible_readers(zone, now), None)

    def is_reader_successor(self, now: Instant) -> bool:
        """Return whether this VM is to look if the store answers it.

        Load pattern: the store answers few VMs. If one successor of the reader
        after the other looked, a change would be late on all VMs.
        """
        zone = self.own_record.zone
        lost = sum(
            record.zone == zone and now < self._store_lost_until.get(name, now)
            for name, record in self.records_by_name.items()
        )
        count = _SUCCESSOR_COUNTS[min(lost, len(_SUCCESSOR_COUNTS) - 1)]
        return self.vm in islice(self._possible_readers(zone, now), count)

    def _possible_readers(
        self, zone: ZoneName, now: Instant
    ) -> Iterator[VmName]:
        """Yield the VMs that may read the store for `zone`, in order."""
        for name in self._ranking('store-reader'):
            is_in_zone = self.records_by_name[name].zone == zone
            if is_in_zone and self._can_read_store(name, now):
                yield name

    def _ranking(self, subject: str) -> list[VmName]:
        """Return all VMs in rendezvous order for `subject`.

        Load pattern: one service has most requests, and most VMs have a third
        of a core and a slow link. Who coordinates it should be a larger one.
        """
        ranking = self._rankings_by_subject.get(subject)
        if ranking is None:
            weight_by_vm = {
                name: record.capacity**_CAPACITY_POWER
                for name, record in self.records_by_name.items()
            }
            ranking = rank_by_capacity(subject, weight_by_vm)
            self._rankings_by_subject[subject] = ranking
        return ranking

    def _can_read_store(self, vm: VmName, now: Instant) -> bool:
        if vm in self._leaving or now < self._store_lost_until.get(vm, _NEVER):
            return False
        # A single timeout must not depose a reader that still sends messages:
        # VMs would disagree on the reader, and some would get no updates.
        silent_s = now - self._contacted_at.get(vm, _NEVER)
        if silent_s <= _READER_TIMEOUT_S:
            return True
        # Without a message, the end of the suspicion is no sign of life. Its
        # successor would stop to read, and nobody would.
        silent_since = self._silent_since.get(vm)
        if silent_since is None:
            return True
        return now - silent_since > _REMOVAL_TIMEOUT_S

    def zones(self) -> list[ZoneName]:
        """Return the zones of all VMs in sorted order."""
        return sorted({rec.zone for rec in self.records_by_name.values()})

    def reachable_share(self, now: Instant) -> float:
        """Return the fraction of the fleet's VMs reachable from this one.

        VMs that announced their departure or have been silent for long are
        excluded. A newly listed VM counts as reachable for a grace period;
        otherwise the first VMs to start after a loss of the whole fleet
        would refuse most of each rate.
        """
        reachable = 1
        known = 1
        for name in self.others():
            silent_s = now - self._contacted_at.get(name, _NEVER)
            known_s = now - self._first_seen.get(name, _NEVER)
            is_removed = min(silent_s, known_s) > _REMOVAL_TIMEOUT_S
            if name in self._leaving or is_removed:
                continue
            known += 1
            reachable += silent_s <= _REACHABLE_S or known_s <= _NEW_VM_GRACE_S
        return reachable / known

    def vm_count(self) -> int:
        """Return the number of VMs listed in the store, at least 1."""
        return len(self.records_by_name)
