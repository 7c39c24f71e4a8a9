"""Serves callers with routes, teams and upstreams from a shared store."""

from teaselquay.gateway._dialect import HeaderNames
from teaselquay.gateway._process import GatewayProcess
from teaselquay.gateway._settings import GatewaySettings

__all__ = ('GatewayProcess', 'GatewaySettings', 'HeaderNames')
