"""A proxy fleet for upstreams with gray failures.

Other programs can embed the coordination packages `teaselquay.decisions`,
which does no I/O, and `teaselquay.shells`, which does.
"""

from typing import Final

__all__ = ('__version__',)

__version__: Final = '0.1.0'
