"""HTTP servers that leave signals and sockets to the process."""

import asyncio
import contextlib
import socket
from typing import Iterator

import uvicorn

from teaselquay.serving._protocol import BoundedHttpProtocol
from teaselquay.shells import Address

_LISTEN_BACKLOG = 1024


class SignalFreeServer(uvicorn.Server):
    """uvicorn server that installs no signal handlers.

    It waits for `should_exit` to be set, whereas uvicorn's own main loop wakes
    up 10 times per second to refresh header fields that are not sent here.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        """Create a server with the settings in `config`."""
        self._exit_requested = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Return whether the server has been asked to exit."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, should_exit: bool) -> None:
        if should_exit:
            self._exit_requested.set()

    async def main_loop(self) -> None:
        """Wait until `should_exit` is set."""
        await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def build_server(app: object, keep_alive_s: float) -> SignalFreeServer:
    """Return a server for the ASGI application `app`, not yet started.

    Connections that are idle for `keep_alive_s` seconds are closed.
    """
    config = uvicorn.Config(
        app,  # type: ignore[arg-type]
        loop='asyncio',
        http=BoundedHttpProtocol,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=keep_alive_s,  # type: ignore[arg-type]
    )
    return SignalFreeServer(config)


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
