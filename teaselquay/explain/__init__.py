"""Merges the logs of all VMs to explain a request or the state of a VM."""

from teaselquay.explain._command import explain

__all__ = ('explain',)
