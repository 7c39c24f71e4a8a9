"""Structured logging: one JSON line per event."""

from teaselquay.events._journal import Journal, LineWriter
from teaselquay.events._registry import Event

__all__ = ('Event', 'Journal', 'LineWriter')
