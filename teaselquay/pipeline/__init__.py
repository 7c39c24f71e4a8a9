"""The path of a request from the caller to an upstream and back."""

import sys
from typing import TYPE_CHECKING

from teaselquay._lazy import lazy_exports

if TYPE_CHECKING:
    from teaselquay.pipeline._exchange import (
        BodyDroppedError,
        CallerGoneError,
        Exchange,
        Receive,
        Scope,
        Send,
    )
    from teaselquay.pipeline._framing import (
        NOT_FORWARDED,
        BodyFramer,
        BodyLengthError,
        check_lengths,
        request_head,
    )
    from teaselquay.pipeline._order import PIPELINE, Filter, Pipeline
    from teaselquay.pipeline._parts import Parts
    from teaselquay.pipeline._queues import ServiceQueues

__all__ = (
    'NOT_FORWARDED',
    'PIPELINE',
    'BodyDroppedError',
    'BodyFramer',
    'BodyLengthError',
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
    'request_head',
)

__getattr__ = lazy_exports(
    sys.modules[__name__],
    {
        'BodyDroppedError': '_exchange',
        'BodyFramer': '_framing',
        'BodyLengthError': '_framing',
        'CallerGoneError': '_exchange',
        'Exchange': '_exchange',
        'Filter': '_order',
        'NOT_FORWARDED': '_framing',
        'PIPELINE': '_order',
        'Parts': '_parts',
        'Pipeline': '_order',
        'Receive': '_exchange',
        'Scope': '_exchange',
        'Send': '_exchange',
        'ServiceQueues': '_queues',
        'check_lengths': '_framing',
        'request_head': '_framing',
    },
)
