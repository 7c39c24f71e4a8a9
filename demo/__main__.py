"""Runs the demonstration, or leaves its fleet running."""

import asyncio
import signal
import sys
import threading

import click
from tabulate import tabulate

from demo._fleet import Demo, running_demo
from demo._story import Story
from tests.support.fleet import TOKEN


@click.group()
def main() -> None:
    """Show a small fleet at work."""


@main.command()
def run() -> None:
    """Tell the story and check it; exit with 1 if a line fails."""
    with running_demo() as demo:
        lines = asyncio.run(Story(demo).run())
    rows = [
        (line.promise, line.seen, 'pass' if line.held else 'FAIL')
        for line in lines
    ]
    click.echo(tabulate(rows, headers=('promise', 'seen', 'verdict')))
    sys.exit(0 if all(line.held for line in lines) else 1)


@main.command()
def up() -> None:
    """Leave the fleet running until Ctrl-C."""
    with running_demo() as demo:
        _describe(demo)
        stop = threading.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: stop.set())
        stop.wait()


def _describe(demo: Demo) -> None:
    fleet = demo.fleet
    rows = [
        (vm.name, vm.zone, f'127.0.0.1:{vm.data}', f'127.0.0.1:{vm.admin}')
        for vm in fleet.vms
    ]
    click.echo(tabulate(rows, headers=('VM', 'zone', 'data', 'admin')))
    rows = [
        (name, f'127.0.0.1:{port}')
        for name, port in (
            ('store', fleet.store),
            ('VM list', fleet.vm_list),
            *fleet.upstream_ports.items(),
        )
    ]
    click.echo(tabulate(rows, headers=('stand-in', 'address')))
    vm = fleet.vms[0]
    click.echo('\nTry:')
    click.echo(
        f"  curl -i -H 'X-Api-Key: {demo.keys['nadir']}'"
        f' http://127.0.0.1:{vm.data}/slots/1',
    )
    click.echo(
        f'  TEASELQUAY_TOKEN={TOKEN} .venv/bin/teaselquay ctl'
        f" --vm 127.0.0.1:{vm.admin} 'show fleet'",
    )


if __name__ == '__main__':
    main()
