"""Ports for programs that a test starts."""

import socket
from pathlib import Path
from random import SystemRandom

#: Holders bind their ports here, where no program under test listens.
_GUARD_HOST = '127.77.0.1'
_HOST = '127.0.0.1'
_FIRST_PORT = 10_240
#: Where outgoing connections take their ports from, as the system says.
_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
#: Ports that are tried for each that is wanted.
_MOST_TRIES = 200
#: They keep other tests away for as long as this process lives.
_guards: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, kept for this process.

    No outgoing connection takes them, and no other process gets them here.

    Raises:
        OSError: there are too few.
    """
    beyond = int(_RANGE.read_text().split()[0])
    random = SystemRandom()
    ports: list[int] = []
    for _ in range(count * _MOST_TRIES):
        if len(ports) == count:
            return ports
        port = random.randrange(_FIRST_PORT, beyond)
        if _take(port):
            ports.append(port)
    raise OSError(f'fewer than {count} ports are free')


def _take(port: int) -> bool:
    guard = socket.socket()
    try:
        guard.bind((_GUARD_HOST, port))
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                probe.bind((_HOST, port))
    except OSError:
        guard.close()
        return False
    _guards.append(guard)
    return True
