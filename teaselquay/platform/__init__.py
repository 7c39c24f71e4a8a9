"""Adapter to the users' platform; nothing outside knows its names."""

from teaselquay.platform._decoding import PlatformDecoder
from teaselquay.platform._settings import NodeSettings, read_settings
from teaselquay.platform._store import PlatformStore

__all__ = (
    'NodeSettings',
    'PlatformDecoder',
    'PlatformStore',
    'read_settings',
)
