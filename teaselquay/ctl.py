"""The command-line client for operators."""

import asyncio
import json
import os
import sys
from typing import Any

import aiosonic
import click
from prompt_toolkit import PromptSession
from prompt_toolkit.completion import WordCompleter
from tabulate import tabulate

from teaselquay.operators import Verb

__all__ = ('ctl',)

_EXIT_UNREACHABLE = 7
_EXIT_UNAUTHORISED = 8
_HTTP_OK = 200
_HTTP_UNAUTHORISED = 401
_COMPLETIONS = sorted(
    {word for verb in Verb for word in verb.value.split('_')}
    | {'key', 'upstream', 'rate=', 'burst=', 'floor=', 'prefix='},
)


class UnreachableError(Exception):
    """The VM did not respond; a change may have been written."""


@click.command(
    epilog=(
        "Examples: teaselquay ctl 'show fleet' | "
        "teaselquay ctl 'team nadir set rate=50 burst=100' --dry-run"
    ),
)
@click.argument('command', required=False)
@click.option('--vm', 'address', envvar='TEASELQUAY_VM', required=True)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.option(
    '--dry-run', is_flag=True, help='Show the change without writing it.'
)
def ctl(
    command: str | None,
    address: str,
    as_json: bool,
    dry_run: bool,
) -> None:
    """Run COMMAND on the VM with the admin ADDRESS, or prompt for commands.

    The operator token is read from TEASELQUAY_TOKEN.

    Exits with 0 on success, 2 for a syntax error, 3 for an invalid change,
    4 if the change was refused as stale, 5 if its outcome is unknown yet,
    6 if something does not exist, 7 if the VM cannot be reached and 8 if
    the token is missing or invalid.
    """
    token = os.environ.get('TEASELQUAY_TOKEN', '')
    if command is not None:
        sys.exit(_run_command(address, token, command, as_json, dry_run))
    session: PromptSession[str] = PromptSession(
        'teaselquay> ',
        completer=WordCompleter(_COMPLETIONS, ignore_case=True),
    )
    while True:
        try:
            line = session.prompt().strip()
        except (EOFError, KeyboardInterrupt):
            return
        if line:
            _run_command(address, token, line, as_json, dry_run)


def _run_command(
    address: str,
    token: str,
    command: str,
    as_json: bool,
    dry_run: bool,
) -> int:
    try:
        status, document = asyncio.run(
            _send_command(address, token, command, dry_run),
        )
    except UnreachableError as error:
        click.echo(f'ctl: {error}', err=True)
        return _EXIT_UNREACHABLE
    if status == _HTTP_UNAUTHORISED:
        click.echo(f'ctl: {document["error"]}', err=True)
        return _EXIT_UNAUTHORISED
    if as_json:
        click.echo(json.dumps(document, indent=2))
    elif status == _HTTP_OK:
        _print_result(document)
    else:
        click.echo(f'ctl: {document["message"]}', err=True)
    return int(document.get('exit_code', 0))


async def _send_command(
    address: str,
    token: str,
    command: str,
    dry_run: bool,
) -> tuple[int, dict[str, Any]]:
    async with aiosonic.HTTPClient() as client:
        try:
            response = await client.post(
                f'http://{address}/v1/command',
                json={'command': command, 'dry_run': dry_run},
                headers={'Authorization': f'Bearer {token}'},
            )
            return response.status_code, await response.json()
        except Exception as error:
            raise UnreachableError(
                f'{address} did not respond ({error!r}); a change may have'
                ' been written',
            ) from error


def _print_result(document: dict[str, Any]) -> None:
    if document['rows']:
        click.echo(tabulate(document['rows'], headers='keys'))
    click.echo(document['summary'])
    key = document.get('key')
    if key:
        click.echo(f'key: {key}')
