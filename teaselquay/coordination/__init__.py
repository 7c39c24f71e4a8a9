"""Decisions of service and team coordinators, without I/O or a clock."""

from teaselquay.coordination._belief import (
    SUSPICION_THRESHOLD,
    Belief,
    SpellModel,
)
from teaselquay.coordination._budget import RepeatPolicy
from teaselquay.coordination._evacuations import EvacuatedZones, Evacuation
from teaselquay.coordination._held_thresholds import HeldThresholds
from teaselquay.coordination._knowledge import UnusedUpstream
from teaselquay.coordination._leaving import LeavingUpstreams
from teaselquay.coordination._placement import (
    Outcome,
    Placement,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
    Ticket,
)
from teaselquay.coordination._preview import (
    Candidate,
    Omission,
    PlacementPreview,
    preview_placement,
)
from teaselquay.coordination._quotas import Admission, QuotaLedger
from teaselquay.coordination._rate_limits import (
    LimitChange,
    LimitShare,
    RateLimit,
    RateLimits,
    RateStatement,
)
from teaselquay.coordination._resting import RestingUpstreams
from teaselquay.coordination._scheduling import ServiceScheduler
from teaselquay.coordination._stopping import may_begin
from teaselquay.coordination._waiting import WaitingRoom
from teaselquay.coordination._warmup import (
    ColdUpstreams,
    WarmupLimits,
    WarmupPolicy,
)
from teaselquay.coordination._work import RouteWork

__all__ = (
    'Admission',
    'SUSPICION_THRESHOLD',
    'Belief',
    'Candidate',
    'ColdUpstreams',
    'EvacuatedZones',
    'Evacuation',
    'HeldThresholds',
    'LeavingUpstreams',
    'LimitChange',
    'LimitShare',
    'Omission',
    'Outcome',
    'Placement',
    'PlacementPreview',
    'PlacementRefusal',
    'PlacementRequest',
    'QuotaLedger',
    'RateLimit',
    'RateLimits',
    'RateStatement',
    'RefusalReason',
    'RepeatPolicy',
    'RestingUpstreams',
    'RouteWork',
    'ServiceScheduler',
    'SpellModel',
    'Ticket',
    'UnusedUpstream',
    'WaitingRoom',
    'WarmupLimits',
    'WarmupPolicy',
    'may_begin',
    'preview_placement',
)
