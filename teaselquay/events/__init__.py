"""Structured logs: one JSON line for each decision."""

from teaselquay.events._journal import Journal, LineWriter
from teaselquay.events._registry import Event

__all__ = ('Event', 'Journal', 'LineWriter')
