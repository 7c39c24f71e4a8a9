"""Executes commands: validates and writes changes, and runs queries."""

import secrets
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Callable, Mapping

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from teaselquay.decisions import (
    NO_REVISION,
    Drain,
    Prefix,
    Revision,
    Route,
    RouteName,
    Service,
    ServiceName,
    Team,
    TeamName,
    VmName,
    drain_name,
    dump_entry,
    hash_key,
)
from teaselquay.operators._language import Command, Verb, parse_command
from teaselquay.operators._queries import (
    QUERY_HANDLERS,
    QueryError,
    QueryContext,
)
from teaselquay.shells import (
    Conflict,
    Health,
    Metrics,
    Node,
    Ownership,
    Store,
    Synchroniser,
    VmList,
    Write,
)

_CONFIRM_TIMEOUT_S = 5.0
_KEY_BYTES = 32
_KEY_PREFIX = 'tq_'
_TEAM_READ_ONLY_FIELDS = frozenset(('keys',))
_NO_FIELDS: frozenset[str] = frozenset()


class FailureKind(Enum):
    """Why a command failed; each has an HTTP status and an exit code."""

    SYNTAX = ('syntax', 400, 2)
    INVALID = ('invalid', 422, 3)
    STALE = ('stale', 409, 4)
    UNKNOWN_YET = ('unknown-yet', 503, 5)
    NOT_FOUND = ('not-found', 404, 6)

    def __init__(self, label: str, http_status: int, exit_code: int) -> None:
        """Store the label, the HTTP status and the exit code."""
        self.label = label
        self.http_status = http_status
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True)
class CommandError:
    """Why a command failed; `column` is set for syntax errors only.

    Nothing was written, unless `kind` is `UNKNOWN_YET`: then the change may
    have been stored.
    """

    kind: FailureKind
    message: str
    column: int = 0

    def to_document(self) -> dict[str, Any]:
        """Return the error as a JSON-serialisable dictionary."""
        return {
            'error': self.kind.label,
            'message': self.message,
            'column': self.column,
            'exit_code': self.kind.exit_code,
        }


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """The result of a command: a summary, table rows and extra fields."""

    summary: str
    rows: tuple[Mapping[str, Any], ...] = ()
    extra: Mapping[str, Any] = field(default_factory=dict)

    def to_document(self) -> dict[str, Any]:
        """Return the answer as a JSON-serialisable dictionary."""
        return {
            'summary': self.summary,
            'rows': list(self.rows),
            **self.extra,
        }


CommandOutcome = Result[CommandAnswer, CommandError]


@dataclass(frozen=True, slots=True)
class _Change:
    """A validated change of one entry.

    It is written only if the entry is still at the revision `expected`. An
    empty `after` deletes the entry; `extra` holds further fields of the
    answer.
    """

    key: str
    before: bytes
    after: bytes
    expected: Revision
    extra: Mapping[str, Any] = field(default_factory=dict)


class _ChangeRejectedError(Exception):
    """A change that failed validation and is not written."""

    def __init__(self, kind: FailureKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind


_ChangeBuilder = Callable[['Executor', Command], _Change]
_CHANGE_BUILDERS: dict[Verb, _ChangeBuilder] = {}


def _builds_change(verb: Verb) -> Callable[[_ChangeBuilder], _ChangeBuilder]:
    def register(builder: _ChangeBuilder) -> _ChangeBuilder:
        _CHANGE_BUILDERS[verb] = builder
        return builder

    return register


class Executor:
    """Executes the operators' commands on one VM."""

    def __init__(
        self,
        node: Node,
        store: Store,
        sync: Synchroniser,
        ownership: Ownership,
        health: Health,
        vm_list: VmList,
        metrics: Metrics,
    ) -> None:
        """Execute commands with the components of one process."""
        self._node = node
        self._store = store
        self._sync = sync
        self._query_context = QueryContext(
            node, ownership, health, vm_list, metrics
        )

    async def run(self, text: str, dry_run: bool = False) -> CommandOutcome:
        """Execute the command in `text` and return its answer or error.

        With `dry_run`, validate a change without writing it.
        """
        parsed = parse_command(text)
        if not isinstance(parsed, Success):
            syntax_fault = parsed.failure()
            return Failure(
                CommandError(
                    FailureKind.SYNTAX, str(syntax_fault), syntax_fault.column
                ),
            )
        command = parsed.unwrap()
        handler = QUERY_HANDLERS.get(command.verb)
        if handler is None:
            return await self._change(command, dry_run)
        try:
            rows = handler(self._query_context, command)
        except QueryError as error:
            return Failure(
                CommandError(FailureKind.NOT_FOUND, str(error)),
            )
        return Success(CommandAnswer(f'{len(rows)} rows', tuple(rows)))

    def entry(self, key: str) -> tuple[bytes, Revision]:
        """Return the value and revision of an entry.

        Return empty bytes and `NO_REVISION` if it does not exist.
        """
        stored = self._node.replica.get(key)
        if stored is None:
            return b'', NO_REVISION
        return stored.value, stored.revision

    def item(self, prefix: Prefix, name: str) -> Any:
        """Return the decoded value of an entry, or None if there is none."""
        catalog = self._node.catalog
        if prefix is Prefix.TEAMS:
            return catalog.team(TeamName(name))
        if prefix is Prefix.ROUTES:
            return catalog.routes.get(RouteName(name))
        return catalog.services.get(ServiceName(name))

    async def _change(self, command: Command, dry_run: bool) -> CommandOutcome:
        # The diff and the expected revision must be based on current data.
        if not await self._sync.read_store():
            return Failure(
                CommandError(
                    FailureKind.UNKNOWN_YET,
                    'the store could not be read; nothing was written',
                ),
            )
        try:
            change = _CHANGE_BUILDERS[command.verb](self, command)
        except _ChangeRejectedError as error:
            return Failure(CommandError(error.kind, str(error)))
        diff = _diff_rows(change)
        if dry_run:
            return Success(
                CommandAnswer('dry run: nothing was written', diff),
            )
        return await self._write(change, diff)

    async def _write(
        self,
        change: _Change,
        diff: tuple[Mapping[str, Any], ...],
    ) -> CommandOutcome:
        write = Write(change.key, change.after, change.expected)
        write_result = await self._store.write((write,))
        if not isinstance(write_result, Success):
            return Failure(_write_error(write_result.failure()))
        revision = write_result.unwrap()
        await self._sync.read_store()
        confirmed = await self._sync.confirm(
            revision,
            _CONFIRM_TIMEOUT_S,
            need_all=True,
        )
        return self._report(revision, confirmed, change, diff)

    def _report(
        self,
        revision: Revision,
        confirmed: set[VmName],
        change: _Change,
        diff: tuple[Mapping[str, Any], ...],
    ) -> CommandOutcome:
        members = self._node.catalog.members()
        summary = f'in force on {len(confirmed)} of {len(members)} VMs'
        unconfirmed = sorted(set(members) - confirmed)
        if unconfirmed:
            summary += (
                f'; {", ".join(unconfirmed)} did not confirm and will apply it'
                ' or stop serving within'
                f' {self._node.policy.freshness_s:g} s'
            )
        if 2 * len(confirmed) <= len(members):
            return Failure(
                CommandError(
                    FailureKind.UNKNOWN_YET,
                    f'stored at revision {revision}, {summary}',
                ),
            )
        extra = {
            'revision': revision,
            'in_force': len(confirmed),
            'vms': len(members),
            **change.extra,
        }
        return Success(CommandAnswer(summary, diff, extra))

    @_builds_change(Verb.SET_TEAM)
    def _set_team(self, command: Command) -> _Change:
        team = self._with_assignments(
            Prefix.TEAMS, command, Team, _TEAM_READ_ONLY_FIELDS
        )
        if team.rate <= 0 or team.burst < 1:
            raise _ChangeRejectedError(
                FailureKind.INVALID,
                'expected a rate above 0 and a burst of 1 or more',
            )
        return self._put_change(Prefix.TEAMS, command.name, team)

    @_builds_change(Verb.DROP_TEAM)
    def _drop_team(self, command: Command) -> _Change:
        return self._drop_change(Prefix.TEAMS, command)

    @_builds_change(Verb.GRANT)
    def _grant(self, command: Command) -> _Change:
        team = self._require_item(Prefix.TEAMS, command.name)
        extra = {}
        key_hash = command.key_hash
        if not key_hash:
            key = _KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)
            key_hash = hash_key(key.encode())
            extra = {'key': key, 'key_hash': key_hash}
        if key_hash in team.keys:
            raise _ChangeRejectedError(
                FailureKind.INVALID,
                f'{command.name} has the key {key_hash} already',
            )
        after = Team(team.rate, team.burst, (*team.keys, key_hash))
        return self._put_change(Prefix.TEAMS, command.name, after, extra)

    @_builds_change(Verb.WITHDRAW)
    def _withdraw(self, command: Command) -> _Change:
        team = self._require_item(Prefix.TEAMS, command.name)
        if command.key_hash not in team.keys:
            raise _ChangeRejectedError(
                FailureKind.NOT_FOUND,
                f'{command.name} has no key {command.key_hash}',
            )
        remaining = tuple(
            key_hash for key_hash in team.keys if key_hash != command.key_hash
        )
        after = Team(team.rate, team.burst, remaining)
        return self._put_change(Prefix.TEAMS, command.name, after)

    @_builds_change(Verb.SET_ROUTE)
    def _set_route(self, command: Command) -> _Change:
        route = self._with_assignments(Prefix.ROUTES, command, Route)
        if not route.prefix.startswith('/'):
            raise _ChangeRejectedError(
                FailureKind.INVALID,
                'prefix: expected a path starting with /,'
                f' found {route.prefix}',
            )
        self._require_item(Prefix.SERVICES, route.service)
        return self._put_change(Prefix.ROUTES, command.name, route)

    @_builds_change(Verb.DROP_ROUTE)
    def _drop_route(self, command: Command) -> _Change:
        return self._drop_change(Prefix.ROUTES, command)

    @_builds_change(Verb.SET_SERVICE)
    def _set_service(self, command: Command) -> _Change:
        service = self._with_assignments(Prefix.SERVICES, command, Service)
        if not 0 <= service.floor <= 1:
            raise _ChangeRejectedError(
                FailureKind.INVALID,
                f'floor: expected 0 to 1, found {service.floor}',
            )
        return self._put_change(Prefix.SERVICES, command.name, service)

    @_builds_change(Verb.DRAIN)
    def _drain(self, command: Command) -> _Change:
        return self._put_change(
            Prefix.DRAINS, command.name, Drain(drained=True)
        )

    @_builds_change(Verb.UNDRAIN)
    def _undrain(self, command: Command) -> _Change:
        return self._put_change(
            Prefix.DRAINS, command.name, Drain(drained=False)
        )

    @_builds_change(Verb.DRAIN_VM)
    def _drain_vm(self, command: Command) -> _Change:
        return self._vm_drain_change(command, Drain(drained=True))

    @_builds_change(Verb.UNDRAIN_VM)
    def _undrain_vm(self, command: Command) -> _Change:
        return self._vm_drain_change(command, Drain(drained=False))

    def _vm_drain_change(self, command: Command, drain: Drain) -> _Change:
        vm = VmName(command.name)
        if vm not in self._node.catalog.vms:
            raise _ChangeRejectedError(
                FailureKind.NOT_FOUND,
                f'no VM named {vm}',
            )
        return self._put_change(Prefix.DRAINS, drain_name(vm), drain)

    def _with_assignments(
        self,
        prefix: Prefix,
        command: Command,
        item_type: type,
        read_only: frozenset[str] = _NO_FIELDS,
    ) -> Any:
        """Return the item with the command's assignments applied.

        Raises:
            _ChangeRejectedError: a field is read-only, unknown or invalid.
        """
        forbidden = set(command.fields) & read_only
        if forbidden:
            raise _ChangeRejectedError(
                FailureKind.INVALID,
                f'{forbidden.pop()}: cannot be assigned with set',
            )
        existing = self.item(prefix, command.name)
        adapter: TypeAdapter[Any] = TypeAdapter(item_type)
        document = adapter.dump_python(existing) if existing else {}
        document.update(_assigned_values(command))
        try:
            return adapter.validate_python(document)
        except ValidationError as error:
            first = error.errors()[0]
            path = '.'.join(str(part) for part in first['loc'])
            message = f'{path}: {first["msg"]}'
            raise _ChangeRejectedError(FailureKind.INVALID, message) from error

    def _require_item(self, prefix: Prefix, name: str) -> Any:
        item = self.item(prefix, name)
        if item is None:
            raise _ChangeRejectedError(
                FailureKind.NOT_FOUND,
                f'no entry {prefix.value}{name}',
            )
        return item

    def _put_change(
        self,
        prefix: Prefix,
        name: str,
        item: object,
        extra: Mapping[str, Any] | None = None,
    ) -> _Change:
        key = f'{prefix.value}{name}'
        before, revision = self.entry(key)
        return _Change(key, before, dump_entry(item), revision, extra or {})

    def _drop_change(self, prefix: Prefix, command: Command) -> _Change:
        self._require_item(prefix, command.name)
        key = f'{prefix.value}{command.name}'
        before, revision = self.entry(key)
        return _Change(key, before, b'', revision)


def _assigned_values(command: Command) -> dict[str, Any]:
    """Return the assignments, with word lists joined by commas.

    Only `methods` has a list as its value.
    """
    return {
        name: ','.join(value)
        if isinstance(value, tuple) and name != 'methods'
        else value
        for name, value in command.fields.items()
    }


def _diff_rows(change: _Change) -> tuple[Mapping[str, Any], ...]:
    return (
        {
            'entry': change.key,
            'before': change.before.decode() or '-',
            'after': change.after.decode() or '-',
        },
    )


def _write_error(error: object) -> CommandError:
    if isinstance(error, Conflict):
        return CommandError(
            FailureKind.STALE,
            f'{error.key} was changed by another writer; nothing was written',
        )
    return CommandError(
        FailureKind.UNKNOWN_YET,
        'the store gave no usable response; whether the change was written is'
        ' unknown yet',
    )
