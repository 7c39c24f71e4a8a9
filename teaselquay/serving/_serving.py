"""Servers of HTTP that leave signals and sockets to the process."""

import asyncio
import contextlib
import socket
from typing import Iterator

import uvicorn

from teaselquay.serving._protocol import BoundedHttpProtocol
from teaselquay.shells import Address

_BACKLOG = 1024


class SignalFreeServer(uvicorn.Server):
    """A server that leaves signals to the process.

    It sleeps until it is to exit, where the original wakes up ten times a
    second to refresh header fields that are not sent here.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        """Serve as `config` says."""
        self._exit = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Return whether the server is to exit."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, should_exit: bool) -> None:
        if should_exit:
            self._exit.set()

    async def main_loop(self) -> None:
        """Wait until the server is to exit."""
        await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


def build_server(app: object, keep_alive_s: float) -> SignalFreeServer:
    """Return a server of the ASGI application `app`, not yet started.

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
    """Return a socket that listens at the address in `text`.

    Raises:
        OSError: the address cannot be bound.
    """
    address = Address.parse(text)
    # Only sockets that name TCP get TCP_NODELAY from the event loop.
    bound = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(address)
    bound.listen(_BACKLOG)
    bound.setblocking(False)
    return bound
