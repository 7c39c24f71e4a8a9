"""HTTP servers that leave signals and sockets to the process."""

import asyncio
import contextlib
import socket
from functools import partial
from typing import Iterator

import uvicorn

from teaselquay.serving._clients import ClientGroup, Clients
from teaselquay.serving._protocol import BoundedHttpProtocol
from teaselquay.shells import Address

_LISTEN_BACKLOG = 1024
#: Connections that are accepted in one iteration of the event loop, before
#: any of them is counted.
_ACCEPTED_AT_ONCE = 16
#: How often connections are looked through for those whose time is over.
_SWEEP_PERIOD_S = 0.25


class SignalFreeServer(uvicorn.Server):
    """uvicorn server that installs no signal handlers.

    It waits for `should_exit` to be set, whereas uvicorn's own main loop wakes
    up 10 times per second to refresh header fields that are not sent here.
    """

    def __init__(self, config: uvicorn.Config, group: ClientGroup) -> None:
        """Create a server with the settings in `config`."""
        self._exit_requested = asyncio.Event()
        self._group = group
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Return whether the server has been asked to exit."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, should_exit: bool) -> None:
        if should_exit:
            self._exit_requested.set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen on `sockets`.

        asyncio accepts as many connections at once as its backlog is long, so
        the system is told of a longer one afterwards.
        """
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(_LISTEN_BACKLOG)

    async def main_loop(self) -> None:
        """Close connections whose time is over until `should_exit` is set."""
        while not self.should_exit:
            try:
                async with asyncio.timeout(_SWEEP_PERIOD_S):
                    await self._exit_requested.wait()
            except TimeoutError:
                self._group.sweep()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def build_server(
    app: object,
    keep_alive_s: float,
    group: ClientGroup | None = None,
) -> SignalFreeServer:
    """Return a server for the ASGI application `app`, not yet started.

    Connections that are idle for `keep_alive_s` seconds are closed. They
    belong to `group`, which is not bounded by default.
    """
    if group is None:
        group = Clients().group()
    config = uvicorn.Config(
        app,  # type: ignore[arg-type]
        loop='asyncio',
        http=partial(BoundedHttpProtocol, group),  # type: ignore[arg-type]
        backlog=_ACCEPTED_AT_ONCE,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=keep_alive_s,  # type: ignore[arg-type]
    )
    return SignalFreeServer(config, group)


def bind(text: str) -> socket.socket:
    """Return a non-blocking socket that listens on the address in `text`.

    Raises:
        OSError: the address cannot be bound.
        ValueError: `text` is not an address.
    """
    address = Address.parse(text)
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
    listener = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(_LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
