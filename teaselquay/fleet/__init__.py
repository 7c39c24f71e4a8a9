"""Share a store between VMs, locate peers and coordinate their decisions."""

from teaselquay.fleet._coordinators import Coordinators
from teaselquay.fleet._directory import Directory
from teaselquay.fleet._exchanges import AttemptResult
from teaselquay.fleet._member import FleetMember, RuntimeContext
from teaselquay.fleet._replication import Replication
from teaselquay.fleet._state import DecodedEntry, Decoder, FleetState
from teaselquay.fleet._store import HistoryLost, SharedStore

__all__ = (
    'AttemptResult',
    'Coordinators',
    'DecodedEntry',
    'Decoder',
    'Directory',
    'FleetMember',
    'FleetState',
    'HistoryLost',
    'Replication',
    'RuntimeContext',
    'SharedStore',
)
