"""The program under test: one separate process for each VM."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from random import Random
from typing import Callable

from soak._links import PeerLink, TcpLink
from soak._records import Record, Span
from tests.support.ports import free_ports

_READY_POLL_S = 0.05
_DOWN_S = 0.3
_BYTES_PER_MB = 1 << 20
#: Lines of the log that tell why a process did not start.
_LAST_LINES = 5


class SoakVm:
    """One VM, its settings, its links, and its process while it runs."""

    def __init__(
        self,
        index: int,
        folder: Path,
        record: Record,
        now: Callable[[], float],
        random: Random,
    ) -> None:
        """Make a VM that does not run yet."""
        self.index = index
        self.name = f'vm-{index}'
        self.starts = 0
        front, ready, peer, metrics = free_ports(4)
        self.front = front
        self.ready = ready
        self.peer = peer
        self._metrics = metrics
        self.callers = TcpLink(('127.0.0.1', self.front))
        self.peers = PeerLink(('127.0.0.1', self.peer), random)
        self.is_expected_up = False
        self._file = folder / f'{self.name}.json'
        self._log = folder / f'{self.name}.log'
        self._record = record
        self._now = now
        self._store_port = 0
        self._process: asyncio.subprocess.Process | None = None
        self._watching: asyncio.Task[None] | None = None

    async def open(self, store_port: int) -> None:
        """Open the links of the VM, and write its settings.

        The store's address is the same for all: it tells fleets apart.
        """
        self._store_port = store_port
        await self.callers.start()
        await self.peers.start()
        self.write_settings(grace='6s')

    def write_settings(self, grace: str) -> None:
        """Write the settings file, which a running process reads again."""
        document = {
            'node-name': self.name,
            'ip': '127.0.0.1',
            'zone': 'abc'[self.index % 3],
            'listen-addrs': {
                'front': f'127.0.0.1:{self.front}',
                'ready': f'127.0.0.1:{self.ready}',
            },
            'internal-ports': [self.peer, self.peer],
            'bounds': {'grace': grace},
            'platform': {'address': f'127.0.0.1:{self._store_port}'},
        }
        temporary = self._file.with_suffix('.new')
        temporary.write_text(json.dumps(document))
        temporary.rename(self._file)

    async def start(self) -> None:
        """Start the process."""
        self.starts += 1
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'teaselquay.platform',
                'serve',
                f'--metrics-port={self._metrics}',
                env={**os.environ, 'TEASELQUAY_SETTINGS': str(self._file)},
                stdout=log,
                stderr=log,
            )
        self.is_expected_up = True
        self._watching = asyncio.create_task(self._watch(self._process))

    async def is_ready(self) -> bool:
        """Return whether the VM takes callers."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                self.ready,
            )
        except OSError:
            return False
        writer.write(b'GET /ready HTTP/1.1\r\nhost: h\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    def _why_not_started(self) -> str:
        code = self._process.returncode if self._process else None
        text = self._log.read_text() if self._log.exists() else ''
        last = '\n'.join(text.splitlines()[-_LAST_LINES:])
        return f'{self.name} did not start, exit code {code}:\n{last}'

    async def wait_until_ready(self) -> None:
        """Wait for the VM to take callers.

        Raises:
            ProcessLookupError: the process ended before.
        """
        while not await self.is_ready():
            if self._process is None or self._process.returncode is not None:
                raise ProcessLookupError(self._why_not_started())
            await asyncio.sleep(_READY_POLL_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Ask the process to end, and note how it did."""
        process = self._process
        if process is None or not self.is_expected_up:
            return
        self.is_expected_up = False
        asked_s = self._now()
        self.send(signal.SIGTERM)
        code = await process.wait()
        self._record.stops.append((self.index, asked_s, self._now(), code))

    async def kill(self) -> None:
        """End the process without a word."""
        if self._process is not None and self.is_expected_up:
            self.is_expected_up = False
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def restart(self, ends: Callable[[], object]) -> None:
        """End the process by `ends`, and start it again."""
        began_s = self._now()
        if not self.is_expected_up:
            return
        await ends()  # type: ignore[misc]
        await asyncio.sleep(_DOWN_S)
        await self.start()
        self._record.harm_vm(self.index, Span(began_s, self._now()))

    def measure(self) -> None:
        """Note the memory and the descriptors of the process."""
        if self._process is None or not self.is_expected_up:
            return
        folder = Path(f'/proc/{self._process.pid}')
        try:
            pages = int((folder / 'statm').read_text().split()[1])
            files = len(list((folder / 'fd').iterdir()))
        except OSError:
            # It ended just now.
            return
        megabytes = pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MB
        self._record.most_mb = max(self._record.most_mb, megabytes)
        self._record.most_files = max(self._record.most_files, files)

    def close(self) -> None:
        """Close the links."""
        self.callers.close()
        self.peers.close()

    def read_versions(self) -> None:
        """Note the versions of the configuration that the log tells."""
        for text in self._log.read_bytes().splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                # A process that is killed leaves its last line unfinished.
                continue
            if line.get('event') == 'configuration.applied':
                key = (self.index, line['incarnation'])
                versions = self._record.versions.setdefault(key, [])
                versions.append(line['version'])

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self.is_expected_up and process is self._process:
            self._record.own_ends.append((self.index, self._now(), code))
