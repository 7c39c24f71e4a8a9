"""Command `placement`."""

import asyncio
import json
from importlib import import_module
from typing import Any, Callable, Iterable, Iterator
from urllib.parse import urlencode

import click

from teaselquay.shells import Address, ExchangeError, JsonClient

_TIMEOUT_S = 5.0
_OK = 200
_HEAD = ('vm', 'configuration', 'evacuated_zones', 'route')
_SERVICE_HEAD = ('service', 'weight', 'priority', 'work_s', 'coordinator')
_FLOAT_FORMAT = '.3f'
_OTHER_COORDINATOR = (
    'This VM does not coordinate the service: it knows the results of its own '
    'requests only. Ask the coordinator for the decision.'
)
_OPTIONS = (
    click.option('--vm', required=True, help='Metrics address, as HOST:PORT.'),
    click.option('--host', required=True, help='Host that the request names.'),
    click.option('--path', required=True, help='Path of the request.'),
    click.option('--team', help='Team whose priority counts.'),
    click.option('--octets', default=0, help='Size of the request body.'),
    click.option('--json', 'as_json', is_flag=True, help='Print JSON.'),
)


def _with_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


@click.command(
    epilog='Example: placement --vm 10.1.0.3:9464 --host h.example --path /p/1',
)
@_with_options
def placement(
    vm: str,
    host: str,
    path: str,
    team: str | None,
    octets: int,
    as_json: bool,
) -> None:
    """Explain where a running VM would send a request, without sending it.

    Exits with 1 if the VM does not answer.
    """
    query = {'host': host, 'path': path, 'octets': str(octets)}
    if team:
        query['team'] = team
    try:
        document = asyncio.run(_ask(vm, f'/placement?{urlencode(query)}'))
    except (ExchangeError, TimeoutError, ValueError) as error:
        raise click.ClickException(f'{vm}: {error}') from error
    if as_json:
        click.echo(json.dumps(document, indent=2))
    else:
        click.echo('\n'.join(_lines(document)))


async def _ask(vm: str, target: str) -> dict[str, Any]:
    """Return the answer of the VM at the address `vm`.

    Raises:
        ExchangeError: the connection failed.
        TimeoutError: no answer came in time.
        ValueError: the VM has no answer, or `vm` is no address.
    """
    client = JsonClient(Address.parse(vm))
    try:
        answer = await client.call('GET', target, _TIMEOUT_S)
    finally:
        client.close()
    if answer.status != _OK:
        raise ValueError(answer.document['error'])
    document: dict[str, Any] = answer.document
    return document


def _lines(document: dict[str, Any]) -> Iterator[str]:
    # Imported here, as it would take 2 MB of each VM that serves.
    tabulate = import_module('tabulate').tabulate
    yield _named(document, _HEAD)
    decision = document.get('decision')
    if decision is not None:
        yield f'decision: {_named(decision)}'
    for service in document['services']:
        yield ''
        yield _named(service, _SERVICE_HEAD)
        if not service['is_coordinator']:
            yield _OTHER_COORDINATOR
        yield f'decision: {_named(service["decision"])}'
        yield tabulate(
            service['candidates'], 'keys', 'plain', floatfmt=_FLOAT_FORMAT
        )
        if service['omitted']:
            yield f'left out: {_named(service["omitted"])}'
            yield f'left out by reason: {_named(service["omitted_counts"])}'


def _named(fields: dict[str, Any], names: Iterable[str] = ()) -> str:
    """Return the fields of these names, or all, as text."""
    return ' '.join(
        f'{name}={_shown(fields[name])}' for name in names or fields
    )


def _shown(known: Any) -> str:
    if isinstance(known, float):
        return format(known, _FLOAT_FORMAT)
    return ','.join(known) if isinstance(known, list) else str(known)
