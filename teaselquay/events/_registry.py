"""Stable names of events."""

from enum import Enum


class Event(Enum):
    """Event of a log line; docs/OPERATIONS.md lists its fields."""

    STARTED = 'process.started'
    STOPPING = 'process.stopping'
    STOPPED = 'process.stopped'
    RELOADED = 'settings.reloaded'
    SETTINGS_REJECTED = 'settings.rejected'
    READY_CHANGED = 'process.ready-changed'
    STORE_LOST = 'store.lost'
    STORE_REGAINED = 'store.regained'
    READER_CHANGED = 'store.reader-changed'
    HISTORY_LOST = 'store.history-lost'
    ENTRY_REJECTED = 'store.entry-rejected'
    CHANGES_TOLD = 'changes.told'
    CONFIGURATION_APPLIED = 'configuration.applied'
    UPSTREAM_ADDED = 'upstream.added'
    UPSTREAM_CHANGED = 'upstream.changed'
    UPSTREAM_REMOVED = 'upstream.removed'
    UPSTREAM_LAPSED = 'upstream.lapsed'
    UPSTREAMS_UNUSED = 'upstreams.unused'
    UPSTREAM_SUSPECTED = 'upstream.suspected'
    PEER_LOST = 'peer.lost'
    PEER_REGAINED = 'peer.regained'
    REQUEST_REFUSED = 'request.refused'
    REQUEST_FAILED = 'request.failed'
    REQUEST_REPEATED = 'request.repeated'
    REQUEST_ABANDONED = 'request.abandoned'
    REQUEST_LATE = 'request.late'
    REQUEST_WAITED = 'request.waited'
    ANSWER_CUT = 'answer.cut'
    ATTEMPT_FAILED = 'attempt.failed'
    ATTEMPT_ENDED = 'attempt.ended'
    PLACED_LOCALLY = 'placement.local'
    PLACEMENT_REFUSED = 'placement.refused'
    QUOTA_EXCEEDED = 'quota.exceeded'
    LOOP_LATE = 'loop.late'
    MESSAGE = 'message'
