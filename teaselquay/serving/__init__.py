"""HTTP servers on uvicorn.

They bound what clients use, which uvicorn does not do itself.
"""

from teaselquay.serving._account import Account, ConnectionBounds, Use
from teaselquay.serving._clients import ClientGroup, Clients
from teaselquay.serving._protocol import (
    HELD_WHOLE_KEY,
    NO_ROOM_EXTENSION,
    BoundedHttpProtocol,
)
from teaselquay.serving._serving import SignalFreeServer, bind, build_server

__all__ = (
    'HELD_WHOLE_KEY',
    'NO_ROOM_EXTENSION',
    'Account',
    'BoundedHttpProtocol',
    'ClientGroup',
    'Clients',
    'ConnectionBounds',
    'SignalFreeServer',
    'Use',
    'bind',
    'build_server',
)
