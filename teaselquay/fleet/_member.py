"""Assemble the components of a fleet member."""

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
    """The peer link, clock, random generator and journal of a process."""

    link: PeerLink
    clock: Clock
    random: Random
    journal: Journal


@dataclass(frozen=True, slots=True)
class FleetMember:
    """The directory, state, replication and coordinators of one VM."""

    directory: Directory
    state: FleetState
    replication: Replication
    coordinators: Coordinators

    @classmethod
    def from_config(
        cls,
        record: VmRecord,
        context: RuntimeContext,
        store: SharedStore,
        decoder: Decoder,
        repeat_policy: RepeatPolicy,
        seeds: tuple[Address, ...] = (),
    ) -> 'FleetMember':
        """Create the components of the VM in `record` without starting them."""
        link = context.link
        clock = context.clock
        random = context.random
        journal = context.journal
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
                repeat_policy,
            ),
        )

    def start(self, timers: TimerService) -> None:
        """Start replication and coordination."""
        self.replication.start(timers)
        self.coordinators.start(timers)
