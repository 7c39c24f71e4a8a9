"""The parts by which one VM takes part in the fleet."""

from dataclasses import dataclass
from random import Random

from teaselquay.configuration import VmRecord
from teaselquay.coordination import RepeatPolicy
from teaselquay.events import Journal
from teaselquay.fleet._coordinators import Coordinators
from teaselquay.fleet._directory import Directory
from teaselquay.fleet._replication import Replication
from teaselquay.fleet._state import Decoder, FleetState
from teaselquay.fleet._store import SharedStore
from teaselquay.shells import Address, Clock, PeerLink, TimerService


@dataclass(frozen=True, slots=True)
class RuntimeContext:
    """What the parts of one process share: peers, time, chance and log."""

    link: PeerLink
    clock: Clock
    random: Random
    journal: Journal


@dataclass(frozen=True, slots=True)
class FleetMember:
    """Directory, state, replication and coordinators of one VM."""

    directory: Directory
    state: FleetState
    replication: Replication
    coordinators: Coordinators

    @classmethod
    def from_config(
        cls,
        record: VmRecord,
        surroundings: RuntimeContext,
        store: SharedStore,
        decoder: Decoder,
        repeats: RepeatPolicy,
        seeds: tuple[Address, ...] = (),
    ) -> 'FleetMember':
        """Assemble the parts of the VM in `record` without starting them."""
        link = surroundings.link
        clock = surroundings.clock
        random = surroundings.random
        journal = surroundings.journal
        directory = Directory(record, journal, seeds=seeds)
        state = FleetState(decoder, journal)
        return cls(
            directory,
            state,
            Replication(
                record,
                store,
                link,
                directory,
                state,
                clock,
                random,
                journal,
            ),
            Coordinators(
                record.name,
                link,
                directory,
                state,
                clock,
                random,
                journal,
                repeats,
            ),
        )

    def start(self, timers: TimerService) -> None:
        """Take part in the fleet."""
        self.replication.start(timers)
        self.coordinators.start(timers)
