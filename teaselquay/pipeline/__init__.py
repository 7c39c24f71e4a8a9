"""The way of a request from the caller to an upstream and back."""

from teaselquay.pipeline._exchange import (
    CallerGoneError,
    Exchange,
    Receive,
    Scope,
    Send,
)
from teaselquay.pipeline._filters import check_lengths
from teaselquay.pipeline._order import PIPELINE, Filter, Pipeline
from teaselquay.pipeline._parts import Parts
from teaselquay.pipeline._queues import ServiceQueues

__all__ = (
    'PIPELINE',
    'CallerGoneError',
    'Exchange',
    'Filter',
    'Parts',
    'Pipeline',
    'Receive',
    'Scope',
    'Send',
    'ServiceQueues',
    'check_lengths',
)
