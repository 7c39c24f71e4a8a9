"""Parts that do I/O around the decisions."""

from teaselquay.shells._clock import Clock, SystemClock
from teaselquay.shells._health import Health, ServiceView, Verdict
from teaselquay.shells._http import (
    AnswerHead,
    BrokenAnswerError,
    ConnectError,
    ConnectionPool,
    ExchangeError,
    Header,
    HttpConnection,
)
from teaselquay.shells._json_client import JsonAnswer, JsonClient
from teaselquay.shells._lending import Admission, Borrower, Lender
from teaselquay.shells._membership import Membership
from teaselquay.shells._messages import Codec, MessageError
from teaselquay.shells._node import Node
from teaselquay.shells._once import OnceClient, OnceOwner, Started
from teaselquay.shells._ownership import Ownership
from teaselquay.shells._peers import (
    Address,
    Answer,
    DatagramLink,
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
)
from teaselquay.shells._store import (
    Conflict,
    EtcdStore,
    Store,
    StoreAway,
    StoreError,
    Write,
)
from teaselquay.shells._sync import (
    Synchroniser,
    entry_fields,
    parse_delta,
)
from teaselquay.shells._telemetry import Metrics, Tracer, configure_logs
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
    'Header',
    'Health',
    'HttpConnection',
    'JsonAnswer',
    'JsonClient',
    'Lender',
    'Membership',
    'MessageError',
    'Metrics',
    'Node',
    'OnceClient',
    'OnceOwner',
    'Ownership',
    'PeerLink',
    'PeerTimeoutError',
    'PolicySettings',
    'Question',
    'ServiceView',
    'Settings',
    'SettingsFault',
    'Started',
    'Store',
    'StoreAway',
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
    'entry_fields',
    'load_settings',
    'parse_delta',
)
