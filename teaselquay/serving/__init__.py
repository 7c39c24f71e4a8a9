"""HTTP servers on uvicorn.

They limit the size of request heads, which uvicorn does not do itself.
"""

from teaselquay.serving._protocol import BoundedHttpProtocol
from teaselquay.serving._serving import SignalFreeServer, bind, build_server

__all__ = ('BoundedHttpProtocol', 'SignalFreeServer', 'bind', 'build_server')
