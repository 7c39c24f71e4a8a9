"""The operators' command language: parsing, changes and queries."""

from teaselquay.operators._executor import (
    CommandAnswer,
    CommandError,
    Executor,
    FailureKind,
)
from teaselquay.operators._language import (
    Command,
    SyntaxFault,
    Verb,
    parse_command,
)

__all__ = (
    'Command',
    'CommandAnswer',
    'CommandError',
    'Executor',
    'FailureKind',
    'SyntaxFault',
    'Verb',
    'parse_command',
)
