"""State that all components of one process share."""

from dataclasses import dataclass, field
from random import Random
from typing import Callable, Iterable

from teaselquay.decisions import (
    NEVER,
    Catalog,
    Delta,
    Entry,
    Freshness,
    Incarnation,
    Instant,
    Replica,
    VmName,
    VmState,
    ZoneName,
)
from teaselquay.shells._clock import Clock
from teaselquay.shells._peers import Address
from teaselquay.shells._settings import PolicySettings

#: How long the list of live VMs is reused.
_LIVE_VMS_MAX_AGE_S = 0.4
_LARGE_FLEET_VMS = 128

Watcher = Callable[[tuple[Entry, ...]], None]


@dataclass(slots=True)
class Node:
    """Identity, policy and replica of one process."""

    vm: VmName
    zone: ZoneName
    incarnation: Incarnation
    policy: PolicySettings
    clock: Clock
    random: Random
    replica: Replica
    catalog: Catalog
    freshness: Freshness
    #: Addresses from the platform's list, for VMs not yet in the replica.
    listed_peers: dict[VmName, Address] = field(default_factory=dict)
    stopping: bool = False
    _watchers: list[Watcher] = field(default_factory=list)
    _live_vms: tuple[VmName, ...] = ()
    _live_checked_at: Instant = NEVER

    @classmethod
    def from_config(
        cls,
        vm: VmName,
        zone: ZoneName,
        incarnation: Incarnation,
        policy: PolicySettings,
        clock: Clock,
        random: Random,
    ) -> 'Node':
        """Return a node with an empty replica."""
        replica = Replica()
        return cls(
            vm=vm,
            zone=zone,
            incarnation=incarnation,
            policy=policy,
            clock=clock,
            random=random,
            replica=replica,
            catalog=Catalog(replica),
            freshness=Freshness(vm),
        )

    def stop(self) -> None:
        """Stop counting this VM as live."""
        self.stopping = True
        self._live_checked_at = NEVER

    def resume(self) -> None:
        """Count this VM as live again after a drain."""
        self.stopping = False
        self._live_checked_at = NEVER

    def watch(self, watcher: Watcher) -> None:
        """Call `watcher` with the entries of each merge."""
        self._watchers.append(watcher)

    def merge(self, delta: Delta) -> None:
        """Merge `delta` into the replica and notify the watchers."""
        changed = self.replica.merge(delta)
        if not changed:
            return
        self.catalog.apply(changed)
        if any(entry.key.startswith('vms/') for entry in changed):
            self._live_checked_at = NEVER
            self.freshness.replace_members(self.catalog.members())
        for watcher in self._watchers:
            watcher(changed)

    def is_fresh(self) -> bool:
        """Return whether this node may act on its replica now."""
        now = self.clock.now()
        return self.freshness.is_fresh(now, self.policy.freshness_s)

    def is_large_fleet(self) -> bool:
        """Return whether each VM must limit its messages."""
        return len(self.freshness.members) > _LARGE_FLEET_VMS

    def reached_store(self) -> bool:
        """Return whether any VM is known to have read the store recently."""
        age_s = self.clock.now() - self.freshness.store_instant
        return age_s <= self.policy.freshness_s

    def peer_address(self, vm: VmName) -> Address | None:
        """Return the address that `vm` listens on, or None if unknown."""
        known = self.catalog.vms.get(vm)
        if known is not None and known.state is not VmState.GONE:
            return Address.parse(known.peer)
        return self.listed_peers.get(vm)

    def live_vms(self) -> tuple[VmName, ...]:
        """Return the VMs that are up and live; not this one if stopping.

        The same tuple is returned until the VMs differ, so callers can
        cache what they derive from it.
        """
        now = self.clock.now()
        if now - self._live_checked_at < _LIVE_VMS_MAX_AGE_S:
            return self._live_vms
        live = tuple(
            name
            for name, vm in self.catalog.vms.items()
            if vm.state is VmState.UP and self.is_live(name, now)
        )
        self._live_checked_at = now
        if live != self._live_vms:
            self._live_vms = live
        return self._live_vms

    def is_live(self, vm: VmName, now: Instant) -> bool:
        """Return whether `vm` has attested recently.

        This VM is live unless it is stopping.
        """
        if vm == self.vm:
            return not self.stopping
        heard = self.freshness.last_attestation(vm)
        return now - heard <= self.policy.dead_after_s

    def other_vms(self) -> tuple[VmName, ...]:
        """Return the names of all other members and listed peers."""
        names: Iterable[VmName] = self.catalog.members()
        known = {*names, *self.listed_peers} - {self.vm}
        return tuple(sorted(known))
