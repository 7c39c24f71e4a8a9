"""Exit handling that the command lines share."""

import sys
from pathlib import Path
from typing import Sequence, TypeVar

import click
from returns.result import Result, Success

from teaselquay.shells import SettingsFault

#: Exit code for invalid settings.
_EXIT_INVALID_SETTINGS = 2
_Settings = TypeVar('_Settings')


def settings_or_exit(
    path: Path,
    result: Result[_Settings, Sequence[SettingsFault]],
) -> _Settings:
    """Return the settings loaded from `path`, or exit with 2.

    Print each fault to standard error before exiting.
    """
    if isinstance(result, Success):
        return result.unwrap()
    for fault in result.failure():
        click.echo(f'{path}: {fault}', err=True)
    sys.exit(_EXIT_INVALID_SETTINGS)
