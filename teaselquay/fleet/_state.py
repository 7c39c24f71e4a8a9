"""Maintain the fleet state decoded from the entries of the store."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Callable, Iterable, NamedTuple, Protocol

from teaselquay.configuration import (
    FleetConfiguration,
    RoutingTable,
    ServiceRule,
    UpstreamRecord,
    UpstreamState,
    VmRecord,
    ZoneEvacuation,
)
from teaselquay.coordination import (
    ColdUpstreams,
    EvacuatedZones,
    LeavingUpstreams,
)
from teaselquay.decisions import (
    Entry,
    EntryError,
    Instant,
    ServiceName,
    UpstreamName,
    VmName,
    ZoneName,
    era_of,
    number_of,
)
from teaselquay.events import Event, Journal
from teaselquay.fleet._restores import RestoreGuard

#: Time in seconds after a store outage in which missing upstreams are retained.
#: According to the platform, entries that expired during an outage are restored
#: within about two seconds of its end; half a second is added for propagation.
_RESTORE_GRACE_S = 2.5


class ChangeSource(Enum):
    """The path by which changes reached this VM."""

    READ = 'read'
    PUSHED = 'told'
    PULLED = 'pulled'


class Origin(NamedTuple):
    """The path of changes, and their sender unless read from the store."""

    source: ChangeSource
    sender: VmName | None = None


FROM_STORE = Origin(ChangeSource.READ)


DecodedEntry = FleetConfiguration | UpstreamRecord | VmRecord | ZoneEvacuation
Listener = Callable[[], None]


class Decoder(Protocol):
    """Decode the entries of a store."""

    def decode(self, entry: Entry) -> DecodedEntry | None:
        """Return the decoded `entry`, or None if its key is not relevant.

        Raises:
            EntryError: the value cannot be decoded.
        """

    def upstream_of(self, key: str) -> UpstreamName | None:
        """Return the upstream stored under `key`, or None."""

    def vm_of(self, key: str) -> VmName | None:
        """Return the VM stored under `key`, or None."""

    def evacuated_zone_of(self, key: str) -> ZoneName | None:
        """Return the zone that `key` evacuates, or None."""


@dataclass(slots=True)
class FleetState:
    """The configuration in force, the upstreams and the VMs.

    If an entry cannot be decoded, the previous value of its key remains in
    force. An upstream is removed instead, as it must not be used while its
    entry is invalid.
    """

    decoder: Decoder
    journal: Journal
    table: RoutingTable | None = None
    vms_by_name: dict[VmName, VmRecord] = field(default_factory=dict)
    upstreams_by_name: dict[UpstreamName, UpstreamRecord] = field(
        default_factory=dict,
    )
    #: Upstreams that are warming up, or may be.
    cold: ColdUpstreams = field(default_factory=ColdUpstreams)
    evacuated_zones: EvacuatedZones = field(default_factory=EvacuatedZones)
    _usable_by_service: dict[ServiceName, tuple[UpstreamRecord, ...]] = field(
        default_factory=dict,
    )
    #: Entries that are older than what is in force, by key.
    _overruled_by_key: dict[str, Entry] = field(default_factory=dict)
    _restores: RestoreGuard = field(default_factory=RestoreGuard)
    _leaving: LeavingUpstreams = field(default_factory=LeavingUpstreams)
    #: End of the grace period of entries that are missing, by key.
    _retained_until: dict[str, Instant] = field(default_factory=dict)
    _listeners: list[Listener] = field(default_factory=list)

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def usable(self, service: ServiceName) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of `service` that accept new requests."""
        return self._usable_by_service.get(service, ())

    def service_rule(self, service: ServiceName) -> ServiceRule | None:
        """Return the rule of `service` in force, or None."""
        if self.table is None:
            return None
        return self.table.configuration.services_by_name.get(service)

    def listed_vm(self, name: VmName) -> VmRecord | None:
        """Return the record of the VM `name` in the store, or None."""
        lapsed = {self.decoder.vm_of(key) for key in self._retained_until}
        return None if name in lapsed else self.vms_by_name.get(name)

    def is_usable(self, name: UpstreamName) -> bool:
        """Return whether the upstream `name` accepts new requests."""
        record = self.upstreams_by_name.get(name)
        return record is not None and self._accepts_requests(record)

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream in `record` said that it leaves."""
        return self._leaving.includes(record)

    def leaving_start_ms(self, name: UpstreamName) -> int | None:
        """Return the start of the process `name` that leaves, else None."""
        return self._leaving.start_of(name)

    def record_leaving(
        self,
        name: UpstreamName,
        started_ms: int,
        now: Instant,
        told_by: VmName,
    ) -> None:
        """Record an answer of an upstream that says that it leaves.

        `told_by` is the VM that got the answer.
        """
        record = self.upstreams_by_name.get(name)
        if record is not None and started_ms < record.started_ms:
            # An earlier process of the upstream said so.
            return
        if self._leaving.record(name, started_ms, now):
            self.journal.emit(
                Event.UPSTREAM_LEAVING,
                upstream=name,
                service=record.service if record else None,
                started_ms=started_ms,
                told_by=told_by,
            )
            self._index()

    def apply(
        self,
        entries: Iterable[Entry],
        now: Instant,
        store_stable_s: float,
        origin: Origin = FROM_STORE,
    ) -> None:
        """Apply changed entries, and notify the listeners.

        `store_stable_s` is the time in seconds for which the store has
        answered without interruption. An upstream, a VM or an evacuation that
        is missing shortly after an outage, or after a restore of the store
        from a copy, is retained for a grace period, as its entry may be
        written again. After a restore, content that is older than what is in
        force does not replace it for a time.
        """
        entries = tuple(entries)
        self._restores.observe(entries, now)
        stable_s = self._restores.stable_s(store_stable_s, now)
        grace_s = _RESTORE_GRACE_S - stable_s
        for entry in entries:
            self._overruled_by_key.pop(entry.key, None)
            if entry.value:
                self._put(entry, now, origin)
            elif grace_s > 0 and self._is_known(entry.key):
                self._retain(entry.key, Instant(now + grace_s))
            else:
                self._remove(entry.key, now)
        self._index()

    def remove_expired(self, now: Instant, store_stable_s: float) -> None:
        """Remove upstreams and VMs whose grace period has ended.

        That is the case for all if the store, as became known since, has
        answered for `store_stable_s` seconds. Entries that were overruled
        after a restore, and not written again, are applied.
        """
        self._restores.forget_departures(now)
        self._leaving.forget_missing(self.upstreams_by_name, now)
        self.cold.forget_missing(self.upstreams_by_name, now)
        self._apply_overruled(now)
        stable_s = self._restores.stable_s(store_stable_s, now)
        is_stable = stable_s >= _RESTORE_GRACE_S
        due = [
            key
            for key, until in self._retained_until.items()
            if is_stable or now >= until
        ]
        for key in due:
            self._remove(key, now)
        if due:
            self._index()

    def _apply_overruled(self, now: Instant) -> None:
        if not self._overruled_by_key or self._restores.is_active(now):
            return
        entries = tuple(self._overruled_by_key.values())
        self._overruled_by_key.clear()
        for entry in entries:
            self._put(entry, now, FROM_STORE)
        self._index()

    def _put(self, entry: Entry, now: Instant, origin: Origin) -> None:
        self._retained_until.pop(entry.key, None)
        try:
            record = self.decoder.decode(entry)
        except EntryError as error:
            self.journal.emit(
                Event.ENTRY_REJECTED,
                key=entry.key,
                revision=number_of(entry.revision),
                reason=str(error),
            )
            name = self.decoder.upstream_of(entry.key)
            if name is not None:
                self._remove_upstream(name, now)
            return
        if self._is_older(record, now):
            self._overruled_by_key[entry.key] = entry
            self.journal.emit(
                Event.ENTRY_OVERRULED,
                key=entry.key,
                era=era_of(entry.revision),
                revision=number_of(entry.revision),
            )
        elif isinstance(record, FleetConfiguration):
            self._put_configuration(record, entry, origin)
        else:
            self._put_record(record, entry, now)

    def _put_record(
        self, record: DecodedEntry | None, entry: Entry, now: Instant
    ) -> None:
        if isinstance(record, UpstreamRecord):
            self._put_upstream(record, entry, now)
        elif isinstance(record, VmRecord):
            self.vms_by_name[record.name] = record
        elif isinstance(record, ZoneEvacuation):
            self._begin_evacuation(record.zone, entry, now)

    def _is_older(self, record: DecodedEntry | None, now: Instant) -> bool:
        """Return whether `record` is a copy from before what is in force."""
        if isinstance(record, FleetConfiguration):
            return self.table is not None and (
                self._restores.is_older_configuration(
                    record, self.table.configuration, now
                )
            )
        if isinstance(record, UpstreamRecord):
            known = self.upstreams_by_name.get(record.name)
            return self._restores.is_older_upstream(record, known, now)
        return False

    def _put_configuration(
        self,
        configuration: FleetConfiguration,
        entry: Entry,
        origin: Origin,
    ) -> None:
        previous = self.table.configuration.version if self.table else None
        self.table = RoutingTable.from_config(configuration)
        self.journal.emit(
            Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            replaced=previous,
            era=era_of(entry.revision),
            revision=number_of(entry.revision),
            routes=len(configuration.routes_by_name),
            teams=len(configuration.teams_by_name),
            source=origin.source.value,
            sender=origin.sender,
        )

    def _begin_evacuation(
        self, zone: ZoneName, entry: Entry, now: Instant
    ) -> None:
        if self.evacuated_zones.begin(zone, entry.revision, now):
            self.journal.emit(
                Event.ZONE_EVACUATED,
                zone=zone,
                era=era_of(entry.revision),
                revision=number_of(entry.revision),
                upstreams=len(self._upstreams_in(zone)),
            )

    def _end_evacuation(self, zone: ZoneName, now: Instant) -> None:
        """Use `zone` again; its upstreams may all have become cold."""
        evacuation = self.evacuated_zones.end(zone)
        if evacuation is None:
            return
        records = self._upstreams_in(zone)
        for record in records:
            rule = self.service_rule(record.service)
            warmup_s = rule.warmup_s if rule else 0
            self.cold.suspect(record.name, Instant(now + warmup_s))
        self.journal.emit(
            Event.ZONE_RETURNED,
            zone=zone,
            era=era_of(evacuation.revision),
            revision=number_of(evacuation.revision),
            after_s=round(now - evacuation.since, 3),
            upstreams=len(records),
        )

    def _upstreams_in(self, zone: ZoneName) -> list[UpstreamRecord]:
        records = self.upstreams_by_name.values()
        return [record for record in records if record.zone == zone]

    def _put_upstream(
        self, record: UpstreamRecord, entry: Entry, now: Instant
    ) -> None:
        previous = self.upstreams_by_name.get(record.name)
        self.upstreams_by_name[record.name] = record
        self.cold.state(record.name, record.warmup_left_s, now)
        leaving_start_ms = self._leaving.start_of(record.name)
        if leaving_start_ms is not None and not self.is_leaving(record):
            self._leaving.discard(record.name)
            self.journal.emit(
                Event.UPSTREAM_RESTARTED,
                upstream=record.name,
                service=record.service,
                started_ms=record.started_ms,
                left_ms=leaving_start_ms,
            )
        if previous is None or previous.state is not record.state:
            self.journal.emit(
                Event.UPSTREAM_CHANGED if previous else Event.UPSTREAM_ADDED,
                upstream=record.name,
                service=record.service,
                address=record.address,
                state=record.state.value,
                revision=number_of(entry.revision),
            )

    def _is_known(self, key: str) -> bool:
        """Return whether an entry that may be missing is known."""
        zone = self.decoder.evacuated_zone_of(key)
        return (
            self.decoder.upstream_of(key) in self.upstreams_by_name
            or self.decoder.vm_of(key) in self.vms_by_name
            or (zone is not None and zone in self.evacuated_zones)
        )

    def _retain(self, key: str, until: Instant) -> None:
        if key in self._retained_until:
            return
        self._retained_until[key] = until
        name = self.decoder.upstream_of(key)
        if name is not None:
            self.journal.emit(Event.UPSTREAM_LAPSED, upstream=name)

    def _remove(self, key: str, now: Instant) -> None:
        self._retained_until.pop(key, None)
        vm = self.decoder.vm_of(key)
        if vm is not None:
            self.vms_by_name.pop(vm, None)
        zone = self.decoder.evacuated_zone_of(key)
        if zone is not None:
            self._end_evacuation(zone, now)
        name = self.decoder.upstream_of(key)
        if name is not None:
            self._remove_upstream(name, now)

    def _remove_upstream(self, name: UpstreamName, now: Instant) -> None:
        record = self.upstreams_by_name.pop(name, None)
        if record is not None:
            self._restores.record_departure(record, now)
            self.journal.emit(Event.UPSTREAM_REMOVED, upstream=name)

    def _accepts_requests(self, record: UpstreamRecord) -> bool:
        return (
            record.state is UpstreamState.READY
            and record.zone not in self.evacuated_zones
            and not self.is_leaving(record)
        )

    def _index(self) -> None:
        by_service: dict[ServiceName, list[UpstreamRecord]] = {}
        for record in self.upstreams_by_name.values():
            if self._accepts_requests(record):
                by_service.setdefault(record.service, []).append(record)
        previous = self._usable_by_service
        self._usable_by_service = {}
        for service, listed in by_service.items():
            records = tuple(listed)
            # Schedulers tell by the identity whether it has changed.
            if records == previous.get(service):
                records = previous[service]
            self._usable_by_service[service] = records
        for listener in self._listeners:
            listener()
