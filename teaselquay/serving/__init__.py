"""Servers of HTTP, on a library, with the bounds that it lacks."""

from teaselquay.serving._protocol import BoundedHttpProtocol
from teaselquay.serving._serving import SignalFreeServer, bind, build_server

__all__ = ('BoundedHttpProtocol', 'SignalFreeServer', 'bind', 'build_server')
