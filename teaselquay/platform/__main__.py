"""Command line of the gateway on the users' platform."""

import asyncio
import ctypes
import logging as std_logging
import os
import signal
import sys
import time
from pathlib import Path

import click
from absl import logging
from returns.result import Success

from teaselquay._exits import settings_or_exit
from teaselquay.decisions import WallTime
from teaselquay.events import Event, Journal, LineWriter
from teaselquay.gateway import GatewayProcess
from teaselquay.platform._decoding import PlatformDecoder
from teaselquay.platform._placement import placement
from teaselquay.platform._settings import (
    DIALECT,
    METRICS_PORT,
    NodeSettings,
    read_settings,
)
from teaselquay.platform._store import PlatformStore

_SETTINGS_VARIABLE = 'TEASELQUAY_SETTINGS'
_EXIT_BIND_FAILED = 3
_NS_PER_US = 1_000
#: How often the settings file is checked for changes. A change without SIGHUP
#: is then applied well within the time that the platform allows.
_FILE_POLL_PERIOD_S = 1.0

#: Parameters of mallopt(3).
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_MAX_HEAP_BLOCK_BYTES = 1 << 17
_MAX_FREE_HEAP_BYTES = 1 << 20

_settings_option = click.option(
    '--settings',
    envvar=_SETTINGS_VARIABLE,
    required=True,
    type=click.Path(path_type=Path),
    help=f'Path of the settings file; defaults to ${_SETTINGS_VARIABLE}.',
)


@click.group()
def main() -> None:
    """Run the gateway on the users' platform."""


main.add_command(placement)


@main.command()
@_settings_option
def check(settings: Path) -> None:
    """Validate the settings file without starting the gateway."""
    settings_or_exit(settings, read_settings(settings))
    click.echo(f'{settings}: good')


@main.command()
@_settings_option
@click.option(
    '--metrics-port',
    default=METRICS_PORT,
    show_default=True,
    help='Port of the metrics, apart from the readiness address.',
)
def serve(settings: Path, metrics_port: int) -> None:
    """Serve until SIGTERM.

    Exits with 0 after draining, 2 if the settings are invalid and 3 if an
    address cannot be bound.
    """
    node_settings = settings_or_exit(settings, read_settings(settings))
    journal = Journal(
        node_settings.node_name,
        time.time_ns() // _NS_PER_US,
        lambda: WallTime(time.time()),
        LineWriter(sys.stdout.fileno()).write,
    )
    _redirect_logging(journal)
    _return_freed_memory()
    try:
        asyncio.run(_serve(node_settings, settings, journal, metrics_port))
    except OSError as error:
        click.echo(f'cannot listen: {error}', err=True)
        sys.exit(_EXIT_BIND_FAILED)


async def _serve(
    node_settings: NodeSettings,
    path: Path,
    journal: Journal,
    metrics_port: int,
) -> None:
    process = GatewayProcess(
        node_settings.to_gateway(metrics_port),
        DIALECT,
        PlatformStore(node_settings.store_address()),
        PlatformDecoder(),
        journal,
        # Distinguishes fleets that share a network; it is not a secret.
        node_settings.platform.address.encode(),
    )
    watcher = _SettingsWatcher(path, process, journal, metrics_port)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    watch_task = asyncio.create_task(watcher.watch())
    try:
        await process.run()
    finally:
        watch_task.cancel()


class _SettingsWatcher:
    """Reloads the settings when the file changes or on request."""

    def __init__(
        self,
        path: Path,
        process: GatewayProcess,
        journal: Journal,
        metrics_port: int,
    ) -> None:
        self._metrics_port = metrics_port
        self._path = path
        self._process = process
        self._journal = journal
        self._last_stamp = self._file_stamp()

    def reload(self) -> None:
        """Apply the settings file; if it is invalid, keep the current ones."""
        self._last_stamp = self._file_stamp()
        loaded = read_settings(self._path)
        if isinstance(loaded, Success):
            settings = loaded.unwrap().to_gateway(self._metrics_port)
            self._process.reload(settings)
            return
        faults = '; '.join(map(str, loaded.failure()))
        self._journal.emit(
            Event.SETTINGS_REJECTED,
            path=self._path,
            reason=faults,
        )

    async def watch(self) -> None:
        """Poll the file, and reload it whenever it has changed."""
        while True:
            await asyncio.sleep(_FILE_POLL_PERIOD_S)
            if self._file_stamp() != self._last_stamp:
                self.reload()

    def _file_stamp(self) -> tuple[int, int]:
        try:
            file_status = os.stat(self._path)
        except OSError:
            # The file is being replaced; the next poll finds the new one.
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)


def _return_freed_memory() -> None:
    """Make the C library return the memory of freed bodies to the system.

    It would otherwise raise its threshold for mapped blocks to the size of the
    largest body, and later bodies fragment the heap: 30 clients with unread
    responses of 1 MiB left 26 MB, of which 8 MB were in use.
    """
    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_option is None:
        return
    set_option(_MMAP_THRESHOLD, _MAX_HEAP_BLOCK_BYTES)
    set_option(_TRIM_THRESHOLD, _MAX_FREE_HEAP_BYTES)


def _redirect_logging(journal: Journal) -> None:
    root = std_logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(journal.handler())
    logging.set_verbosity(logging.WARNING)


if __name__ == '__main__':
    main()
