"""Tests that the binary runs as one process and writes only its code."""

import os
import signal
import subprocess
from pathlib import Path

import pytest

from tests.support.fleet import running_fleet, wait_for

pytestmark = pytest.mark.processes

_BINARY = Path(__file__).resolve().parents[2] / 'dist' / 'teaselquay'


def _open_files(pid: int) -> list[str]:
    """Return the targets of all open file descriptors of a process.

    A descriptor may be closed between the listing and its readlink; the
    listing is then repeated, so that the result comes from a single one.
    """
    while True:
        try:
            return [
                os.readlink(link) for link in Path(f'/proc/{pid}/fd').iterdir()
            ]
        except FileNotFoundError:
            continue


def test_binary_starts_no_child_and_writes_only_to_shiv_root(tmp_path):
    assert _BINARY.exists(), 'make binary was not run'
    shiv_root = tmp_path / 'unpacked'
    home = tmp_path / 'home'
    work_dir = tmp_path / 'work'
    home.mkdir()
    work_dir.mkdir()
    environment = {
        'PATH': os.environ['PATH'],
        'HOME': str(home),
        'TMPDIR': str(work_dir),
        'SHIV_ROOT': str(shiv_root),
        'PYTHONDONTWRITEBYTECODE': '1',
    }
    with running_fleet(vms=1, services={'slots': 1}) as fleet:
        vm = fleet.vms[0]
        vm.kill()
        vm.process = subprocess.Popen(
            [_BINARY, 'serve', str(vm.file)],
            env=environment,
            cwd=work_dir,
            stderr=subprocess.DEVNULL,
        )
        wait_for(vm.is_ready, 60, 'readiness of the binary')
        pid = vm.process.pid
        threads = Path(f'/proc/{pid}/task').iterdir()
        children = [(thread / 'children').read_text() for thread in threads]
        open_files = _open_files(pid)
        vm.signal(signal.SIGTERM)
        assert vm.process.wait(30) == 0
    assert not ''.join(children).strip()
    assert not [name for name in open_files if 'io_uring' in name]
    assert list(home.iterdir()) == []
    assert list(work_dir.iterdir()) == []
    assert shiv_root.is_dir()
