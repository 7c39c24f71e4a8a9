"""I/O and mutable state around the pure decisions."""

import sys
from typing import TYPE_CHECKING

from teaselquay._lazy import lazy_exports

if TYPE_CHECKING:
    from teaselquay.shells._clock import Clock, SystemClock
    from teaselquay.shells._deltas import (
        MissingBaseError,
        delta_fields,
        fields_bytes,
        parse_delta,
    )
    from teaselquay.shells._health import Health, ServiceView, Verdict
    from teaselquay.shells._http import (
        AnswerHead,
        BrokenAnswerError,
        ConnectError,
        ConnectionPool,
        ExchangeError,
        Header,
        HttpConnection,
        first_field,
    )
    from teaselquay.shells._json_client import JsonAnswer, JsonClient
    from teaselquay.shells._lending import Admission, Borrower, Lender
    from teaselquay.shells._membership import Membership
    from teaselquay.shells._messages import Codec, MessageError
    from teaselquay.shells._node import Node
    from teaselquay.shells._once import (
        IdempotencyClient,
        IdempotencyOwner,
        StartResult,
    )
    from teaselquay.shells._ownership import Ownership
    from teaselquay.shells._peers import (
        Address,
        Answer,
        DatagramLink,
        Handler,
        PeerLink,
        PeerTimeoutError,
        Question,
    )
    from teaselquay.shells._settings import (
        PolicySettings,
        Settings,
        SettingsFault,
        TelemetrySettings,
        load_settings,
        unreadable_fault,
        validate_settings,
    )
    from teaselquay.shells._store import (
        Conflict,
        EtcdStore,
        Store,
        StoreUnavailable,
        StoreError,
        Write,
    )
    from teaselquay.shells._sync import Synchroniser
    from teaselquay.shells._telemetry import (
        Metrics,
        NodeMetrics,
        Tracer,
        configure_logs,
    )
    from teaselquay.shells._timers import TimerService
    from teaselquay.shells._vmlist import VmList

__all__ = (
    'Address',
    'Admission',
    'Answer',
    'AnswerHead',
    'Borrower',
    'BrokenAnswerError',
    'Clock',
    'Codec',
    'Conflict',
    'ConnectError',
    'ConnectionPool',
    'DatagramLink',
    'EtcdStore',
    'ExchangeError',
    'Handler',
    'Header',
    'Health',
    'HttpConnection',
    'JsonAnswer',
    'JsonClient',
    'Lender',
    'Membership',
    'MessageError',
    'Metrics',
    'NodeMetrics',
    'Node',
    'IdempotencyClient',
    'IdempotencyOwner',
    'Ownership',
    'MissingBaseError',
    'PeerLink',
    'PeerTimeoutError',
    'PolicySettings',
    'Question',
    'ServiceView',
    'Settings',
    'SettingsFault',
    'StartResult',
    'Store',
    'StoreUnavailable',
    'StoreError',
    'Synchroniser',
    'SystemClock',
    'TelemetrySettings',
    'TimerService',
    'Tracer',
    'Verdict',
    'VmList',
    'Write',
    'configure_logs',
    'delta_fields',
    'fields_bytes',
    'first_field',
    'load_settings',
    'parse_delta',
    'unreadable_fault',
    'validate_settings',
)

__getattr__ = lazy_exports(
    sys.modules[__name__],
    {
        'Address': '_peers',
        'Admission': '_lending',
        'Answer': '_peers',
        'AnswerHead': '_http',
        'Borrower': '_lending',
        'BrokenAnswerError': '_http',
        'Clock': '_clock',
        'Codec': '_messages',
        'Conflict': '_store',
        'ConnectError': '_http',
        'ConnectionPool': '_http',
        'DatagramLink': '_peers',
        'EtcdStore': '_store',
        'ExchangeError': '_http',
        'Handler': '_peers',
        'Header': '_http',
        'Health': '_health',
        'HttpConnection': '_http',
        'JsonAnswer': '_json_client',
        'JsonClient': '_json_client',
        'Lender': '_lending',
        'Membership': '_membership',
        'MessageError': '_messages',
        'Metrics': '_telemetry',
        'NodeMetrics': '_telemetry',
        'Node': '_node',
        'IdempotencyClient': '_once',
        'IdempotencyOwner': '_once',
        'Ownership': '_ownership',
        'PeerLink': '_peers',
        'PeerTimeoutError': '_peers',
        'PolicySettings': '_settings',
        'Question': '_peers',
        'ServiceView': '_health',
        'Settings': '_settings',
        'SettingsFault': '_settings',
        'StartResult': '_once',
        'Store': '_store',
        'StoreUnavailable': '_store',
        'StoreError': '_store',
        'Synchroniser': '_sync',
        'SystemClock': '_clock',
        'TelemetrySettings': '_settings',
        'TimerService': '_timers',
        'Tracer': '_telemetry',
        'Verdict': '_health',
        'VmList': '_vmlist',
        'Write': '_store',
        'configure_logs': '_telemetry',
        'MissingBaseError': '_deltas',
        'delta_fields': '_deltas',
        'fields_bytes': '_deltas',
        'first_field': '_http',
        'load_settings': '_settings',
        'parse_delta': '_deltas',
        'unreadable_fault': '_settings',
        'validate_settings': '_settings',
    },
)
