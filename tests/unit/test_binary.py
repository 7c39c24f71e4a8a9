"""The binary: one process, and nothing written but its unpacked code."""

import os
import signal
import subprocess
from pathlib import Path

import pytest

from tests.support.fleet import running_fleet, wait_for

pytestmark = pytest.mark.processes

_BINARY = Path(__file__).resolve().parents[2] / 'dist' / 'teaselquay'


def _open_files(pid: int) -> list[str]:
    """Return what the descriptors of a process lead to, from one look.

    A descriptor that is closed between the listing and its reading makes
    the look incomplete, so that it is taken again.
    """
    while True:
        try:
            return [
                os.readlink(link) for link in Path(f'/proc/{pid}/fd').iterdir()
            ]
        except FileNotFoundError:
            continue


def test_binary_starts_no_process_and_writes_only_where_it_says(tmp_path):
    assert _BINARY.exists(), 'make binary was not run'
    unpacked = tmp_path / 'unpacked'
    home = tmp_path / 'home'
    work = tmp_path / 'work'
    home.mkdir()
    work.mkdir()
    environment = {
        'PATH': os.environ['PATH'],
        'HOME': str(home),
        'TMPDIR': str(work),
        'SHIV_ROOT': str(unpacked),
        'PYTHONDONTWRITEBYTECODE': '1',
    }
    with running_fleet(vms=1, services={'slots': 1}) as fleet:
        vm = fleet.vms[0]
        vm.kill()
        vm.process = subprocess.Popen(
            [_BINARY, 'serve', str(vm.file)],
            env=environment,
            cwd=work,
            stderr=subprocess.DEVNULL,
        )
        wait_for(vm.is_ready, 60, 'the binary ready')
        pid = vm.process.pid
        tasks = Path(f'/proc/{pid}/task').iterdir()
        children = [(task / 'children').read_text() for task in tasks]
        opened = _open_files(pid)
        vm.signal(signal.SIGTERM)
        assert vm.process.wait(30) == 0
    assert not ''.join(children).strip()
    assert not [name for name in opened if 'io_uring' in name]
    assert list(home.iterdir()) == []
    assert list(work.iterdir()) == []
    assert unpacked.is_dir()
