"""One VM's process."""

from teaselquay.server._process import Process, SignalFreeServer, bind
from teaselquay.server._protocol import BoundedHttpProtocol

__all__ = ('BoundedHttpProtocol', 'Process', 'SignalFreeServer', 'bind')
