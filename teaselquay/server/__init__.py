"""The server process of one VM."""

from teaselquay.server._process import Process

__all__ = ('Process',)
