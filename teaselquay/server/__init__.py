"""One VM's process."""

from teaselquay.server._process import Process

__all__ = ('Process',)
