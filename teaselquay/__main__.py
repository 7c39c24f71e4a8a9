"""The command line: `serve`, `check`, `ctl` and `explain`."""

import asyncio
import sys
from pathlib import Path

import click

from teaselquay import __version__
from teaselquay._exits import settings_or_exit
from teaselquay.ctl import ctl
from teaselquay.explain import explain
from teaselquay.server import Process
from teaselquay.shells import Settings, configure_logs, load_settings

_EXIT_CANNOT_LISTEN = 3


@click.group(
    epilog='Example: teaselquay check vm.json && teaselquay serve vm.json',
)
@click.version_option(__version__)
def main() -> None:
    """Run and operate a proxy fleet."""


@main.command(epilog='Example: teaselquay serve /etc/teaselquay/vm.json')
@click.argument('file', type=click.Path(path_type=Path))
def serve(file: Path) -> None:
    """Run a VM with the settings in FILE until SIGTERM or SIGINT.

    Exits with 0 after draining, 2 if the settings are invalid and 3 if an
    address cannot be bound.
    """
    settings = settings_or_exit(file, load_settings(file))
    configure_logs(settings.vm, settings.telemetry)
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        click.echo(f'server: cannot listen: {error}', err=True)
        sys.exit(_EXIT_CANNOT_LISTEN)


@main.command(epilog='Example: teaselquay check /etc/teaselquay/vm.json')
@click.argument('file', type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Validate the settings in FILE without starting a server.

    Exits with 0 if they are valid and 2 otherwise.
    """
    settings_or_exit(file, load_settings(file))
    click.echo(f'{file}: good')


main.add_command(ctl)
main.add_command(explain)


async def _serve(settings: Settings) -> None:
    await Process.from_config(settings).run()


if __name__ == '__main__':
    main()
