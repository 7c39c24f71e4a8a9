"""Adapter to the platform that the gateway is deployed on.

The platform's key names and field names are used in this package only.
"""

from teaselquay.platform._decoding import PlatformDecoder
from teaselquay.platform._settings import NodeSettings, read_settings
from teaselquay.platform._store import PlatformStore

__all__ = (
    'NodeSettings',
    'PlatformDecoder',
    'PlatformStore',
    'read_settings',
)
