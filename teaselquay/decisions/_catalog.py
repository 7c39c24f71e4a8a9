"""The operators' configuration, read from the entries of a replica."""

import json
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from typing import Callable, Iterable, Iterator, Mapping, TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked

from teaselquay.decisions._claims import Claim
from teaselquay.decisions._faults import CatalogFault, EntryError
from teaselquay.decisions._ids import (
    Incarnation,
    KeyHash,
    PartitionId,
    RouteName,
    ServiceName,
    TeamName,
    VmName,
)
from teaselquay.decisions._replica import Entry, Replica

_CONFIG = ConfigDict(extra='forbid')
_MEBIBYTE = 1 << 20


class Prefix(Enum):
    """First part of the store keys of each kind of entry."""

    TEAMS = 'teams/'
    ROUTES = 'routes/'
    SERVICES = 'services/'
    DRAINS = 'drains/'
    VMS = 'vms/'
    CLAIMS = 'claims/'


class VmState(Enum):
    """What a registered VM says of itself."""

    UP = 'up'
    DRAINING = 'draining'
    GONE = 'gone'


@checked(frozen=True, slots=True, config=_CONFIG)
class Team:
    """Rate in requests a second, burst in requests, and hashes of keys."""

    rate: float
    burst: float
    keys: tuple[str, ...] = ()


@checked(frozen=True, slots=True, config=_CONFIG)
class Route:
    """Requests that start with `prefix` and go to `service`.

    `idempotent` says that a request may run more than once.
    """

    prefix: str
    service: str
    methods: tuple[str, ...] = ('GET', 'HEAD')
    idempotent: bool = True
    timeout_ms: int = 2000
    max_body_bytes: int = _MEBIBYTE


@checked(frozen=True, slots=True, config=_CONFIG)
class Service:
    """Upstreams that do the same work.

    `floor` is the part of all slots that ejections leave in use.
    """

    floor: float = 0.6
    slots: int = 6


@checked(frozen=True, slots=True, config=_CONFIG)
class Vm:
    """One registered VM of the fleet."""

    peer: str
    admin: str
    zone: str
    incarnation: int
    state: VmState = VmState.UP


@checked(frozen=True, slots=True, config=_CONFIG)
class Drain:
    """An operator's order to give an upstream no new work."""

    drained: bool = True


@checked(frozen=True, slots=True, config=_CONFIG)
class StoredClaim:
    """The stored form of a claim."""

    vm: str
    incarnation: int
    epoch: int


_ADAPTERS: Mapping[Prefix, TypeAdapter] = {
    Prefix.TEAMS: TypeAdapter(Team),
    Prefix.ROUTES: TypeAdapter(Route),
    Prefix.SERVICES: TypeAdapter(Service),
    Prefix.DRAINS: TypeAdapter(Drain),
    Prefix.VMS: TypeAdapter(Vm),
    Prefix.CLAIMS: TypeAdapter(StoredClaim),
}

_TEAM_CACHE_SIZE = 4096
_Name = TypeVar('_Name')
_Item = TypeVar('_Item')


def prefix_of(key: str) -> Prefix | None:
    """Return the kind of entry that `key` belongs to."""
    head, slash, _ = key.partition('/')
    try:
        return Prefix(head + slash)
    except ValueError:
        return None


def parse_entry(key: str, value: bytes) -> object:
    """Return the typed value of an entry, or None for a deleted one.

    Raises:
        EntryError: the value does not parse.
    """
    prefix = prefix_of(key)
    if prefix is None or not value:
        return None
    try:
        return _ADAPTERS[prefix].validate_json(value)
    except ValidationError as error:
        first = error.errors()[0]
        path = '.'.join(str(part) for part in first['loc'])
        raise EntryError(CatalogFault(key, path, first['msg'])) from error


def drain_name(vm: VmName) -> str:
    """Return the name of the entry that drains a VM of the fleet."""
    return f'vm:{vm}'


def dump_entry(item: object) -> bytes:
    """Return the stored form of a typed value."""
    text = TypeAdapter(type(item)).dump_python(item, mode='json')
    return json.dumps(text, separators=(',', ':')).encode()


@lru_cache(maxsize=_TEAM_CACHE_SIZE)
def _parse_team(value: bytes) -> Team:
    return _ADAPTERS[Prefix.TEAMS].validate_json(value)


def _team_in(entry: Entry | None) -> Team | None:
    """Return the team in an entry, or None if none can be read."""
    if entry is None or not entry.value:
        return None
    try:
        return _parse_team(entry.value)
    except ValidationError:
        return None


@dataclass(slots=True)
class Catalog:
    """Typed view of a replica, which keeps the last good value of each key.

    Teams stay in the replica and are parsed when they are asked for, so
    that thousands of idle ones take little memory.
    """

    replica: Replica
    faults: dict[str, CatalogFault] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    vms: dict[VmName, Vm] = field(default_factory=dict)
    drains: set[str] = field(default_factory=set)
    claims: dict[PartitionId, Claim] = field(default_factory=dict)
    routes: dict[RouteName, Route] = field(default_factory=dict)
    _entry_by_hash: dict[bytes, str] = field(default_factory=dict)
    _routes_by_prefix: dict[str, list[RouteName]] = field(
        default_factory=dict,
    )
    _held_teams: dict[str, bytes] = field(default_factory=dict)

    def apply(self, changed: Iterable[Entry]) -> None:
        """Take over entries that a merge changed."""
        for entry in changed:
            try:
                item = parse_entry(entry.key, entry.value)
            except EntryError as error:
                self.faults[entry.key] = error.fault
                self._hold_team(entry.key)
                continue
            self.faults.pop(entry.key, None)
            prefix = prefix_of(entry.key)
            if prefix is not None:
                name = entry.key[len(prefix.value) :]
                _APPLIERS[prefix](self, name, item, entry.key)

    def team_of_key(self, key_hash: KeyHash) -> TeamName | None:
        """Return the team that `key_hash` belongs to."""
        key = self._entry_by_hash.get(bytes.fromhex(key_hash))
        if key is None:
            return None
        return TeamName(key.removeprefix(Prefix.TEAMS.value))

    def team(self, name: TeamName) -> Team | None:
        """Return the team called `name`."""
        key = f'{Prefix.TEAMS.value}{name}'
        held = self._held_teams.get(key)
        if held is not None:
            return _parse_team(held)
        entry = self.replica.get(key)
        return _team_in(entry)

    def team_names(self) -> tuple[TeamName, ...]:
        """Return the names of all teams."""
        keys = self.replica.by_key.keys() | self._held_teams.keys()
        names = [
            TeamName(key.removeprefix(Prefix.TEAMS.value))
            for key in keys
            if key.startswith(Prefix.TEAMS.value)
        ]
        return tuple(name for name in names if self.team(name) is not None)

    def match_routes(self, path: str) -> tuple[RouteName, ...]:
        """Return the routes of the longest prefix that matches `path`."""
        for prefix in _prefixes(path):
            names = self._routes_by_prefix.get(prefix)
            if names:
                return tuple(names)
        return ()

    def members(self) -> tuple[VmName, ...]:
        """Return the VMs whose majority counts."""
        return tuple(
            name
            for name, vm in self.vms.items()
            if vm.state is not VmState.GONE
        )

    def _hold_team(self, key: str) -> None:
        before = _team_in(self.replica.replaced.get(key))
        if before is not None and key.startswith(Prefix.TEAMS.value):
            self._held_teams[key] = self.replica.replaced[key].value

    def _apply_team(self, name: str, item: object, key: str) -> None:
        held = self._held_teams.pop(key, None)
        if held is None:
            before = _team_in(self.replica.replaced.get(key))
        else:
            before = _parse_team(held)
        for old_hash in before.keys if before else ():
            digest = bytes.fromhex(old_hash)
            if self._entry_by_hash.get(digest) == key:
                del self._entry_by_hash[digest]
        if isinstance(item, Team):
            for new_hash in item.keys:
                self._entry_by_hash[bytes.fromhex(new_hash)] = key

    def _apply_route(self, name: str, item: object, _: str) -> None:
        route_name = RouteName(name)
        before = self.routes.pop(route_name, None)
        if before is not None:
            self._routes_by_prefix[before.prefix].remove(route_name)
        if isinstance(item, Route):
            self.routes[route_name] = item
            names = self._routes_by_prefix.setdefault(item.prefix, [])
            names.append(route_name)

    def _apply_service(self, name: str, item: object, _: str) -> None:
        _put(self.services, ServiceName(name), item, Service)

    def _apply_vm(self, name: str, item: object, _: str) -> None:
        _put(self.vms, VmName(name), item, Vm)

    def _apply_drain(self, name: str, item: object, _: str) -> None:
        if isinstance(item, Drain) and item.drained:
            self.drains.add(name)
        else:
            self.drains.discard(name)

    def _apply_claim(self, name: str, item: object, _: str) -> None:
        partition = PartitionId(int(name))
        if isinstance(item, StoredClaim):
            self.claims[partition] = Claim(
                VmName(item.vm),
                Incarnation(item.incarnation),
                item.epoch,
            )
        else:
            self.claims.pop(partition, None)


def _prefixes(path: str) -> Iterator[str]:
    """Yield `path` and its parents, each with and without its slash.

    >>> list(_prefixes('/a/b'))
    ['/a/b', '/a/', '/a', '/']
    """
    prefix = path
    while prefix:
        yield prefix
        if prefix.endswith('/'):
            prefix = prefix[:-1]
        else:
            prefix = prefix[: prefix.rfind('/') + 1]


def _put(
    table: dict[_Name, _Item],
    name: _Name,
    item: object,
    kind: type[_Item],
) -> None:
    if isinstance(item, kind):
        table[name] = item
    else:
        table.pop(name, None)


_Applier = Callable[[Catalog, str, object, str], None]

_APPLIERS: Mapping[Prefix, _Applier] = {
    Prefix.TEAMS: Catalog._apply_team,
    Prefix.ROUTES: Catalog._apply_route,
    Prefix.SERVICES: Catalog._apply_service,
    Prefix.VMS: Catalog._apply_vm,
    Prefix.DRAINS: Catalog._apply_drain,
    Prefix.CLAIMS: Catalog._apply_claim,
}
