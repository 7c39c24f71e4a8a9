"""Ports that tests hand to programs they start."""

import subprocess
import sys

from tests.support.ports import free_ports

_PRINT = 'from tests.support.ports import free_ports; print(*free_ports(500))'


def test_ports_are_taken_by_no_outgoing_connection():
    with open('/proc/sys/net/ipv4/ip_local_port_range') as limits:
        first_outgoing = int(limits.read().split()[0])
    assert max(free_ports(50)) < first_outgoing


def test_ports_are_given_to_one_process_only():
    mine = set(free_ports(2000))
    theirs: set[str] = set()
    for _ in range(5):
        done = subprocess.run(
            [sys.executable, '-c', _PRINT],
            capture_output=True,
            text=True,
            check=True,
        )
        theirs.update(done.stdout.split())
    assert not mine & set(map(int, theirs))
