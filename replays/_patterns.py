"""Load patterns that are replayed."""

from dataclasses import dataclass
from typing import Callable

#: Patterns by name.
PATTERNS: dict[str, 'Pattern'] = {}


@dataclass(frozen=True, slots=True)
class Window:
    """A span of time in seconds, and how strong its disturbance is."""

    begin_s: float
    end_s: float
    strength: float

    def holds(self, now: float) -> bool:
        """Return whether `now` lies in the window."""
        return self.begin_s <= now < self.end_s


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one route, among others that share a service.

    `worth` is what one served in time is worth, relative to other kinds.
    """

    name: str
    requests_per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    is_idempotent: bool
    priority: int = 1
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Pattern:
    """One service, its requests, and what happens to its upstreams.

    Each upstream fails most requests at once in spells of about 3 s in 10 if
    `has_spells`. In `sheds`, all upstreams shed a share of what they are
    sent. In `bursts`, the rate is multiplied. In `slow`, a third of the
    upstreams works that many times as long. In `limits`, a share of them
    names limits of 1 to 5 requests a second. In `hot_team`, the first of the
    `teams` sends that many times its usual requests. `kinds` replaces what
    the pattern says of its requests, if there are any; in `floods`, the rate
    of the most urgent kind is multiplied. In `work_changes`, all requests
    take that many times the work that their kind says.
    """

    what: str
    upstreams: int = 129
    requests_per_s: float = 268.0
    work_s: float = 0.91
    target_s: float = 3.0
    deadline_s: float = 12.0
    is_idempotent: bool = False
    length_s: float = 30.0
    slots: int = 6
    queue: int = 24
    late_worth: float = 0.3
    octets: int = 5300
    #: How often requests come from each zone, relative to the others.
    zone_weights: tuple[float, ...] = (1, 1, 1, 1, 1)
    max_attempts: int = 3
    repeat_ratio: float = 0.2
    repeat_slack: float = 430.0
    has_spells: bool = True
    sheds: tuple[Window, ...] = ()
    bursts: tuple[Window, ...] = ()
    slow: tuple[Window, ...] = ()
    limits: tuple[Window, ...] = ()
    hot_team: tuple[Window, ...] = ()
    floods: tuple[Window, ...] = ()
    work_changes: tuple[Window, ...] = ()
    teams: int = 1
    kinds: tuple[Kind, ...] = ()

    @property
    def all_kinds(self) -> tuple[Kind, ...]:
        """Return the kinds, or the only one."""
        return self.kinds or (
            Kind(
                'all',
                self.requests_per_s,
                self.work_s,
                self.target_s,
                self.deadline_s,
                self.is_idempotent,
            ),
        )


def _pattern(build: Callable[[], Pattern]) -> Callable[[], Pattern]:
    name = build.__name__.strip('_').replace('_', '-')
    PATTERNS[name] = build()
    return build


@_pattern
def _calm() -> Pattern:
    return Pattern('spells of failures only')


@_pattern
def _all_shed_half() -> Pattern:
    return Pattern(
        'all upstreams shed 55 % for 8.5 s; callers do not come back',
        sheds=(Window(8.0, 16.5, 0.55),),
    )


@_pattern
def _all_shed_long() -> Pattern:
    return Pattern(
        'all upstreams shed 80 % for longer than callers wait',
        sheds=(Window(5.0, 30.0, 0.8),),
        length_s=40.0,
    )


@_pattern
def _all_shed_half_small() -> Pattern:
    return Pattern(
        'the same as all-shed-half before 17 upstreams and short deadlines',
        upstreams=17,
        requests_per_s=70.0,
        work_s=0.23,
        target_s=1.0,
        deadline_s=6.0,
        slots=3,
        repeat_slack=58.0,
        late_worth=0.1,
        sheds=(Window(8.0, 16.5, 0.55),),
    )


@_pattern
def _burst_over_capacity() -> Pattern:
    return Pattern(
        'four times the requests for 5 s, more than the slots can carry',
        bursts=(Window(8.0, 13.0, 4.0),),
    )


@_pattern
def _third_slow() -> Pattern:
    return Pattern(
        'a third of the upstreams works 12 times as long for 9 s',
        slow=(Window(8.0, 17.0, 12.0),),
        bursts=(Window(8.0, 17.0, 1.4),),
    )


@_pattern
def _lookups() -> Pattern:
    return Pattern(
        'idempotent requests in spells of failures',
        upstreams=69,
        requests_per_s=111.0,
        work_s=1.2,
        is_idempotent=True,
    )


@_pattern
def _uploads() -> Pattern:
    return Pattern(
        'large bodies before few upstreams, which cost most between zones',
        upstreams=18,
        requests_per_s=30.5,
        work_s=1.1,
        target_s=4.0,
        octets=61_500,
    )


@_pattern
def _crowded_zone() -> Pattern:
    return Pattern(
        'six in ten requests come from one of five zones',
        zone_weights=(6, 1, 1, 1, 1),
        requests_per_s=500.0,
        work_s=0.91,
    )


@_pattern
def _limits_at_worst_load() -> Pattern:
    return Pattern(
        'a third names limits of 1 to 5 a second during a burst',
        upstreams=21,
        requests_per_s=65.0,
        work_s=0.47,
        target_s=1.5,
        deadline_s=10.0,
        repeat_slack=64.0,
        bursts=(Window(12.0, 16.0, 2.0),),
        limits=(Window(8.0, 24.0, 1 / 3),),
    )


@_pattern
def _all_name_limits() -> Pattern:
    return Pattern(
        'all name limits, together less than is sent; callers do not return',
        upstreams=21,
        requests_per_s=100.0,
        work_s=0.47,
        target_s=1.5,
        deadline_s=10.0,
        repeat_slack=64.0,
        has_spells=False,
        limits=(Window(8.0, 20.0, 1.0),),
    )


#: Patterns of several kinds of requests, by name.
MIXED_PATTERNS: dict[str, Pattern] = {}

_HISTORY = Kind('history', 200, 0.41, 1.0, 2.5, True, priority=1)
_UNLOCK = Kind('unlock', 230, 0.32, 2.0, 3.0, False, priority=2)
_CLAIM = Kind('claim', 60, 0.22, 0.8, 2.5, False, priority=0, worth=5.0)
_STATUS = Kind('status', 184, 0.14, 0.9, 2.0, True, priority=2)
_SIGN = Kind('sign', 309, 0.17, 0.9, 2.5, False, priority=1, worth=2.0)
_WINDOWS: dict[str, dict[str, tuple[Window, ...]]] = {
    'calm': {},
    'shed-9s': {'sheds': (Window(5.0, 13.5, 0.55),)},
    'shed-2s': {'sheds': (Window(8.0, 10.0, 0.55),)},
    'burst': {'bursts': (Window(8.0, 11.0, 1.7),)},
    'flood': {'floods': (Window(6.0, 11.0, 8.0),)},
    'hot-team': {'hot_team': (Window(7.0, 13.5, 7.5),)},
}


def _add_mixed(load: str, what: str, upstreams: int, *kinds: Kind) -> None:
    """Add the patterns of one service; three in ten upstreams are in spells.

    The number of upstreams of "a" is not known: half of their slots are
    usually busy.
    """
    for name, windows in _WINDOWS.items():
        MIXED_PATTERNS[f'{load}-{name}'] = Pattern(
            what,
            upstreams=upstreams,
            slots=3,
            queue=9,
            length_s=20.0,
            repeat_slack=60.0,
            teams=30,
            kinds=kinds,
            **windows,
        )


_add_mixed('a1', 'claims before upstreams of "history"', 60, _HISTORY, _CLAIM)
_add_mixed('a2', 'claims before upstreams of "unlock"', 60, _UNLOCK, _CLAIM)
_add_mixed('b', 'status and sign share a service', 103, _STATUS, _SIGN)
