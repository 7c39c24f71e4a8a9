"""Parses the operators' command language into typed commands."""

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any, Mapping

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput
from returns.result import Failure, Result, Success


class Verb(Enum):
    """The action of a command; the values are rule names of the grammar."""

    SET_TEAM = 'set_team'
    DROP_TEAM = 'drop_team'
    GRANT = 'grant'
    WITHDRAW = 'withdraw'
    SET_ROUTE = 'set_route'
    DROP_ROUTE = 'drop_route'
    SET_SERVICE = 'set_service'
    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    DRAIN_VM = 'drain_vm'
    UNDRAIN_VM = 'undrain_vm'
    SHOW_FLEET = 'show_fleet'
    SHOW_VM = 'show_vm'
    SHOW_ZONE = 'show_zone'
    SHOW_TEAM = 'show_team'
    SHOW_TEAMS = 'show_teams'
    SHOW_ROUTE = 'show_route'
    SHOW_ROUTES = 'show_routes'
    SHOW_SERVICE = 'show_service'
    SHOW_UPSTREAM = 'show_upstream'
    SHOW_FAULTS = 'show_faults'
    WHY = 'why'


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command; `fields` holds the assignments of a change."""

    verb: Verb
    name: str = ''
    key_hash: str = ''
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SyntaxFault:
    """The position of a syntax error and what was expected there.

    Columns are counted from 1.
    """

    column: int
    found: str
    expected: tuple[str, ...]

    def __str__(self) -> str:
        """Return the error message."""
        options = ', '.join(self.expected)
        found = self.found or 'end of input'
        return f'column {self.column}: found {found}, expected {options}'


class _CommandBuilder(Transformer):
    """Converts a parse tree to a command."""

    def __default__(self, data: Any, children: Any, meta: Any) -> Command:
        name = ''
        key_hash = ''
        fields: dict[str, Any] = {}
        for child in children:
            if isinstance(child, tuple):
                fields[child[0]] = child[1]
            elif isinstance(child, Token) and child.type == 'HASH':
                key_hash = str(child)
            elif isinstance(child, Token):
                name = str(child)
        return Command(Verb(str(data)), name, key_hash, fields)

    def assign(self, children: list[Any]) -> tuple[str, Any]:
        return str(children[0]), children[1]

    def number(self, children: list[Token]) -> float | int:
        text = str(children[0])
        return float(text) if '.' in text else int(text)

    def true(self, _: list[Token]) -> bool:
        return True

    def false(self, _: list[Token]) -> bool:
        return False

    def words(self, children: list[Token]) -> tuple[str, ...]:
        return tuple(str(child) for child in children)


_PARSER = Lark(
    Path(__file__).with_name('commands.lark').read_text(),
    parser='lalr',
    lexer='contextual',
)
_COMMAND_BUILDER = _CommandBuilder()
_TERMINAL_DESCRIPTIONS: Mapping[str, str] = {
    'NAME': 'a name',
    'HASH': 'a SHA-256 digest in hexadecimal',
    'FIELD': 'a field name followed by =',
    'NUMBER': 'a number',
    'WORD': 'a word',
    '$END': 'end of input',
}


def parse_command(text: str) -> Result[Command, SyntaxFault]:
    """Return the command in `text`, or its first syntax error.

    >>> parse_command('show fleet').unwrap().verb
    <Verb.SHOW_FLEET: 'show_fleet'>
    >>> str(parse_command('show flea').failure())[:28]
    'column 6: found flea, expect'
    """
    try:
        return Success(_COMMAND_BUILDER.transform(_PARSER.parse(text)))
    except UnexpectedInput as error:
        return Failure(_syntax_fault(text, error))


def _syntax_fault(text: str, error: UnexpectedInput) -> SyntaxFault:
    expected = getattr(error, 'expected', None)
    if not expected:
        expected = getattr(error, 'allowed', None) or set()
    position = error.pos_in_stream
    if position is None or position < 0 or error.column < 1:
        position = len(text)
    remaining_words = text[position:].split()
    return SyntaxFault(
        column=position + 1,
        found=remaining_words[0] if remaining_words else '',
        expected=tuple(
            sorted(
                _TERMINAL_DESCRIPTIONS.get(terminal, terminal.lower())
                for terminal in expected
            ),
        ),
    )
