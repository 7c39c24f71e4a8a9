"""The VMs of the fleet, and which of them can be asked."""

from dataclasses import dataclass, field
from typing import Iterable

from teaselquay.configuration import VmRecord
from teaselquay.decisions import Instant, VmName, ZoneName, rank_vms
from teaselquay.events import Event, Journal
from teaselquay.shells import Address

#: How long a VM that did not answer is not asked again, in seconds.
_SUSPECT_S = 1.0
#: How long a VM counts as heard from after its last message, in seconds:
#: three beats.
_HEARD_S = 1.5
#: How long a reader that did not answer is still one after its last message,
#: in seconds: it sends one each half second.
_READER_HEARD_S = 0.8
#: The same for one that became known just now, in seconds: a beat and some. In
#: that time parts of a fleet that starts parted each grant whole rates.
_FIRST_HEARD_S = 0.8
#: A VM that was silent for so long is taken as removed, in seconds: longer
#: than cuts that heal.
_REMOVED_S = 20.0
#: How long a VM that could not read the store is not its zone's reader, in
#: seconds. It tries again then, so that an outage costs few calls.
_STORE_LOST_S = 1.5
#: VMs that are tried before a decision is taken alone.
_MOST_RANKED = 3
_NEVER = Instant(float('-inf'))


@dataclass(slots=True)
class Directory:
    """Where the VMs are, and when each was last heard from."""

    own: VmRecord
    journal: Journal
    records_by_name: dict[VmName, VmRecord] = field(default_factory=dict)
    #: Addresses from the settings, to find a first peer without the store.
    seeds: tuple[Address, ...] = ()
    _heard: dict[VmName, Instant] = field(default_factory=dict)
    _suspect_until: dict[VmName, Instant] = field(default_factory=dict)
    _first_seen: dict[VmName, Instant] = field(default_factory=dict)
    _store_lost_until: dict[VmName, Instant] = field(default_factory=dict)
    _leaving: set[VmName] = field(default_factory=set)
    _ranks: dict[str, list[VmName]] = field(default_factory=dict)
    last_contact: Instant = _NEVER

    def __post_init__(self) -> None:
        """Begin with this VM alone, which then reads for its zone."""
        self.records_by_name = {self.own.name: self.own}

    @property
    def vm(self) -> VmName:
        """Return the name of this VM."""
        return self.own.name

    def replace(self, records: Iterable[VmRecord], now: Instant) -> None:
        """Take over the VMs that the store lists, beside this one."""
        by_name = {record.name: record for record in records}
        by_name[self.own.name] = self.own
        if by_name != self.records_by_name:
            self.records_by_name = by_name
            self._ranks.clear()
        for name in by_name:
            self._first_seen.setdefault(name, now)

    def address(self, vm: VmName) -> Address | None:
        """Return where `vm` listens."""
        record = self.records_by_name.get(vm)
        return Address.parse(record.peer) if record else None

    def name_of(self, address: Address) -> VmName | None:
        """Return the VM that listens at `address`."""
        for name, record in self.records_by_name.items():
            if Address.parse(record.peer) == address:
                return name
        return None

    def others(self) -> list[VmName]:
        """Return all VMs but this one."""
        return [name for name in self.records_by_name if name != self.vm]

    def heard(self, vm: VmName, now: Instant) -> None:
        """Note that a message came from `vm`."""
        self._heard[vm] = now
        self.last_contact = now
        if self._suspect_until.pop(vm, None) is not None:
            self.journal.emit(Event.PEER_REGAINED, peer=vm)

    def timed_out(self, vm: VmName, asked: str, now: Instant) -> None:
        """Note that `vm` did not answer what it was asked."""
        if vm not in self._suspect_until:
            heard = self._heard.get(vm)
            self.journal.emit(
                Event.PEER_LOST,
                peer=vm,
                asked=asked,
                heard_s_ago=None if heard is None else round(now - heard, 3),
            )
        self._suspect_until[vm] = Instant(now + _SUSPECT_S)

    def noticed(self, vm: VmName, is_serving: bool) -> None:
        """Note what `vm` says of itself."""
        if is_serving:
            self._leaving.discard(vm)
        else:
            self._leaving.add(vm)

    def store_lost(self, vm: VmName, now: Instant) -> None:
        """Note that `vm` could not read the store."""
        self._store_lost_until[vm] = Instant(now + _STORE_LOST_S)

    def is_askable(self, vm: VmName, now: Instant) -> bool:
        """Return whether `vm` may be expected to answer."""
        if vm in self._leaving:
            return False
        return now >= self._suspect_until.get(vm, _NEVER)

    def ranked(self, subject: str, now: Instant) -> list[VmName]:
        """Return the VMs that coordinate `subject`, the first one first."""
        found: list[VmName] = []
        for name in self._ranking(subject):
            if self.is_askable(name, now):
                found.append(name)
                if len(found) == _MOST_RANKED:
                    break
        return found

    def reader_of(self, zone: ZoneName, now: Instant) -> VmName | None:
        """Return the VM that reads the store for `zone`."""
        for name in self._ranking('store-reader'):
            is_near = self.records_by_name[name].zone == zone
            if is_near and self._can_read(name, now):
                return name
        return None

    def _ranking(self, subject: str) -> list[VmName]:
        """Return all VMs in their order for `subject`."""
        ranks = self._ranks.get(subject)
        if ranks is None:
            ranks = rank_vms(subject, self.records_by_name)
            self._ranks[subject] = ranks
        return ranks

    def _can_read(self, vm: VmName, now: Instant) -> bool:
        if vm in self._leaving or now < self._store_lost_until.get(vm, _NEVER):
            return False
        # One late answer does not make a VM that is heard another's reader:
        # VMs would differ on who reads, and some be told by nobody.
        heard_s = now - self._heard.get(vm, _NEVER)
        return heard_s <= _READER_HEARD_S or self.is_askable(vm, now)

    def zones(self) -> list[ZoneName]:
        """Return the zones of all VMs, in order."""
        return sorted({rec.zone for rec in self.records_by_name.values()})

    def heard_share(self, now: Instant) -> float:
        """Return the share of the fleet's VMs that this one hears from.

        VMs that left by notice, or were silent for long, do not count. One
        that became known just now is given the time to be heard, or the
        first VMs after a loss of all would refuse most of each rate.
        """
        heard = 1
        known = 1
        for name in self.others():
            heard_s = now - self._heard.get(name, _NEVER)
            known_s = now - self._first_seen.get(name, _NEVER)
            is_removed = min(heard_s, known_s) > _REMOVED_S
            if name in self._leaving or is_removed:
                continue
            known += 1
            heard += heard_s <= _HEARD_S or known_s <= _FIRST_HEARD_S
        return heard / known

    def known_count(self) -> int:
        """Return how many VMs the fleet has, as the store lists them."""
        return len(self.records_by_name)
