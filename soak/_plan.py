"""What goes wrong in a run, and when: a function of the seed alone."""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Sequence

#: Time without faults at the start and at the end, in seconds: the first
#: for the fleet to settle, the last for it to recover.
SETTLE_S = 2.0
RECOVER_S = 6.0
#: Shortest time for which an upstream names a limit, in seconds: limits are
#: checked after some seconds only.
MIN_LIMIT_S = 5.0
#: Shortest time for which a zone is evacuated, in seconds: it is checked only
#: after the time that an evacuation may take.
MIN_EVACUATION_S = 5.0


class Fault(Enum):
    """One kind of trouble, injected from outside of the programs."""

    LINK_DELAY = 'link-delay'
    LINK_RESET = 'link-reset'
    LINK_SILENT = 'link-silent'
    LINK_ONE_WAY = 'link-one-way'
    LINK_DRIP = 'link-drip'
    PEERS_LOSE = 'peers-lose'
    PEERS_CUT = 'peers-cut'
    TERM = 'term'
    KILL = 'kill'
    FREEZE = 'freeze'
    HUP = 'hup'
    STORE_DOWN = 'store-down'
    STORE_SLOW = 'store-slow'
    STORE_LOSES = 'store-loses'
    STORE_COMPACTS = 'store-compacts'
    STORE_REFUSES = 'store-refuses'
    STORE_RESTORED = 'store-restored'
    CHANGE = 'change'
    REVOKE = 'revoke'
    DRAIN = 'drain'
    RELEASE = 'release'
    SPELL = 'spell'
    HANG = 'hang'
    LIMIT = 'limit'
    LINK_SEVERED = 'link-severed'
    REST = 'rest'
    COLD = 'cold'
    EVACUATE = 'evacuate'


class Link(Enum):
    """Which link a fault is on: a VM's callers', or all VMs' to the store."""

    CALLERS = 'callers'
    STORE = 'store'


#: Faults that are drawn apart, so that the others stay as they were for a seed.
_DRAWN_APART = (Fault.LINK_SEVERED, Fault.REST)
_DRAWN_LAST = (Fault.COLD, Fault.EVACUATE)
_DRAWN_TOGETHER = tuple(
    each for each in Fault if each not in (*_DRAWN_APART, *_DRAWN_LAST)
)
#: Mean times in seconds between the faults of these groups.
_GAP_S = 0.7
_GAP_APART_S = 3.0
_GAP_LAST_S = 4.0

#: Faults that leave no trace after their end. The others are acts.
LASTING = frozenset(
    (
        Fault.LINK_DELAY,
        Fault.LINK_SILENT,
        Fault.LINK_ONE_WAY,
        Fault.LINK_DRIP,
        Fault.PEERS_LOSE,
        Fault.PEERS_CUT,
        Fault.FREEZE,
        Fault.STORE_DOWN,
        Fault.STORE_SLOW,
        Fault.STORE_LOSES,
        Fault.STORE_REFUSES,
        Fault.STORE_RESTORED,
        Fault.DRAIN,
        Fault.SPELL,
        Fault.HANG,
        Fault.LIMIT,
        Fault.REST,
        Fault.EVACUATE,
    ),
)


@dataclass(frozen=True, slots=True)
class Step:
    """One fault: when it begins, for how long, and where.

    `target` counts VMs or upstreams, whatever the fault is about.
    """

    at_s: float
    fault: Fault
    target: int
    for_s: float = 0.0
    link: Link = Link.CALLERS

    @property
    def until_s(self) -> float:
        """Return when the fault ends."""
        return self.at_s + self.for_s


def make_plan(
    seed: int, seconds: float, vms: int, upstreams: int
) -> list[Step]:
    """Return the faults of a run, in the order of time.

    About one begins each 0.7 s; they overlap, and a fifth comes in series.
    """
    places = vms * upstreams
    steps = [
        *_draw(Random(seed), _DRAWN_TOGETHER, _GAP_S, seconds, places),
        *_draw(Random(-seed - 1), _DRAWN_APART, _GAP_APART_S, seconds, places),
        *_draw(
            Random((seed + 1) << 32), _DRAWN_LAST, _GAP_LAST_S, seconds, places
        ),
    ]
    return sorted(steps, key=lambda step: step.at_s)


def _draw(
    random: Random,
    faults: Sequence[Fault],
    gap_s: float,
    seconds: float,
    places: int,
) -> list[Step]:
    steps: list[Step] = []
    at_s = SETTLE_S
    while at_s < seconds - RECOVER_S:
        fault = random.choice(faults)
        for_s = random.uniform(0.2, 3) if fault in LASTING else 0
        if fault is Fault.LIMIT:
            for_s += MIN_LIMIT_S
        if fault is Fault.EVACUATE:
            for_s += MIN_EVACUATION_S
        for_s = min(for_s, seconds - RECOVER_S - at_s)
        step = Step(
            round(at_s, 3),
            fault,
            random.randrange(places),
            round(for_s, 3),
            random.choice(list(Link)),
        )
        repeats = random.randint(2, 3) if random.random() < 1 / 5 else 1
        for index in range(repeats):
            later_s = step.at_s + index * random.uniform(0.1, 0.4)
            if later_s < seconds - RECOVER_S:
                steps.append(_moved(step, round(later_s, 3), index))
        at_s += random.expovariate(1 / gap_s)
    return steps


def _moved(step: Step, at_s: float, by: int) -> Step:
    return Step(at_s, step.fault, step.target + by, step.for_s, step.link)
