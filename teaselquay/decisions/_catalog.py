"""Typed configuration, parsed from the entries of a replica."""

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

_STRICT_CONFIG = ConfigDict(extra='forbid')
_MEBIBYTE = 1 << 20


class Prefix(Enum):
    """Prefix of the store keys of each kind of entry."""

    TEAMS = 'teams/'
    ROUTES = 'routes/'
    SERVICES = 'services/'
    DRAINS = 'drains/'
    VMS = 'vms/'
    CLAIMS = 'claims/'


class VmState(Enum):
    """State that a registered VM reports."""

    UP = 'up'
    DRAINING = 'draining'
    GONE = 'gone'


@checked(frozen=True, slots=True, config=_STRICT_CONFIG)
class Team:
    """Limits and API keys of one team.

    `rate` is in requests per second, `burst` in requests; `keys` are the
    hashes of the API keys.
    """

    rate: float
    burst: float
    keys: tuple[str, ...] = ()


@checked(frozen=True, slots=True, config=_STRICT_CONFIG)
class Route:
    """Requests that start with `prefix` and go to `service`.

    `idempotent` means that a request may run more than once.
    """

    prefix: str
    service: str
    methods: tuple[str, ...] = ('GET', 'HEAD')
    idempotent: bool = True
    timeout_ms: int = 2000
    max_body_bytes: int = _MEBIBYTE


@checked(frozen=True, slots=True, config=_STRICT_CONFIG)
class Service:
    """A group of interchangeable upstreams.

    `floor` is the share of all slots that ejections must leave in use,
    `slots` the number of slots of an upstream.
    """

    floor: float = 0.6
    slots: int = 6


@checked(frozen=True, slots=True, config=_STRICT_CONFIG)
class Vm:
    """One registered VM of the fleet."""

    peer: str
    admin: str
    zone: str
    incarnation: int
    state: VmState = VmState.UP


@checked(frozen=True, slots=True, config=_STRICT_CONFIG)
class Drain:
    """An operator's order to send an upstream no new requests."""

    drained: bool = True


@checked(frozen=True, slots=True, config=_STRICT_CONFIG)
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
    first_part, slash, _ = key.partition('/')
    try:
        return Prefix(first_part + slash)
    except ValueError:
        return None


def parse_entry(key: str, value: bytes) -> object:
    """Return the typed value of an entry.

    Returns None for a deleted entry and for one of an unknown kind.

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
    """Return the name of the drain entry of a VM of the fleet."""
    return f'vm:{vm}'


def dump_entry(item: object) -> bytes:
    """Return the stored form of a typed value."""
    text = TypeAdapter(type(item)).dump_python(item, mode='json')
    return json.dumps(text, separators=(',', ':')).encode()


@lru_cache(maxsize=_TEAM_CACHE_SIZE)
def _parse_team(value: bytes) -> Team:
    return _ADAPTERS[Prefix.TEAMS].validate_json(value)


def _team_in(entry: Entry | None) -> Team | None:
    """Return the team of an entry, or None if it is absent or invalid."""
    if entry is None or not entry.value:
        return None
    try:
        return _parse_team(entry.value)
    except ValidationError:
        return None


@dataclass(slots=True)
class Catalog:
    """Typed view of a replica that keeps the last valid value of each key.

    Teams stay in the replica and are parsed on use, so that thousands of
    idle teams need little memory.
    """

    replica: Replica
    faults: dict[str, CatalogFault] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    vms: dict[VmName, Vm] = field(default_factory=dict)
    drains: set[str] = field(default_factory=set)
    claims: dict[PartitionId, Claim] = field(default_factory=dict)
    routes: dict[RouteName, Route] = field(default_factory=dict)
    _team_key_by_hash: dict[bytes, str] = field(default_factory=dict)
    _routes_by_prefix: dict[str, list[RouteName]] = field(
        default_factory=dict,
    )
    _last_valid_teams: dict[str, bytes] = field(default_factory=dict)

    def apply(self, changed: Iterable[Entry]) -> None:
        """Update the view from entries that a merge changed.

        An entry that does not parse is recorded in `faults`; its previous
        value stays in force.
        """
        for entry in changed:
            try:
                item = parse_entry(entry.key, entry.value)
            except EntryError as error:
                self.faults[entry.key] = error.fault
                self._keep_last_valid_team(entry.key)
                continue
            self.faults.pop(entry.key, None)
            prefix = prefix_of(entry.key)
            if prefix is not None:
                name = entry.key[len(prefix.value) :]
                _APPLIERS[prefix](self, name, item, entry.key)

    def team_of_key(self, key_hash: KeyHash) -> TeamName | None:
        """Return the team whose API key has `key_hash`, or None."""
        key = self._team_key_by_hash.get(bytes.fromhex(key_hash))
        if key is None:
            return None
        return TeamName(key.removeprefix(Prefix.TEAMS.value))

    def team(self, name: TeamName) -> Team | None:
        """Return the team called `name`, or None."""
        key = f'{Prefix.TEAMS.value}{name}'
        last_valid = self._last_valid_teams.get(key)
        if last_valid is not None:
            return _parse_team(last_valid)
        entry = self.replica.get(key)
        return _team_in(entry)

    def team_names(self) -> tuple[TeamName, ...]:
        """Return the names of all teams."""
        keys = self.replica.by_key.keys() | self._last_valid_teams.keys()
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
        """Return the VMs that count towards a majority."""
        return tuple(
            name
            for name, vm in self.vms.items()
            if vm.state is not VmState.GONE
        )

    def _keep_last_valid_team(self, key: str) -> None:
        previous = _team_in(self.replica.replaced.get(key))
        if previous is not None and key.startswith(Prefix.TEAMS.value):
            self._last_valid_teams[key] = self.replica.replaced[key].value

    def _apply_team(self, name: str, item: object, key: str) -> None:
        last_valid = self._last_valid_teams.pop(key, None)
        if last_valid is None:
            previous = _team_in(self.replica.replaced.get(key))
        else:
            previous = _parse_team(last_valid)
        for old_hash in previous.keys if previous else ():
            digest = bytes.fromhex(old_hash)
            if self._team_key_by_hash.get(digest) == key:
                del self._team_key_by_hash[digest]
        if isinstance(item, Team):
            for new_hash in item.keys:
                self._team_key_by_hash[bytes.fromhex(new_hash)] = key

    def _apply_route(self, name: str, item: object, _: str) -> None:
        route_name = RouteName(name)
        previous = self.routes.pop(route_name, None)
        if previous is not None:
            self._routes_by_prefix[previous.prefix].remove(route_name)
        if isinstance(item, Route):
            self.routes[route_name] = item
            names = self._routes_by_prefix.setdefault(item.prefix, [])
            names.append(route_name)

    def _apply_service(self, name: str, item: object, _: str) -> None:
        _set_or_remove(self.services, ServiceName(name), item, Service)

    def _apply_vm(self, name: str, item: object, _: str) -> None:
        _set_or_remove(self.vms, VmName(name), item, Vm)

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
    """Yield `path` and its parents, each with and without a final slash.

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


def _set_or_remove(
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
