"""What callers and upstreams saw, in the soak's own time."""

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """Kinds of request, each with a route of its own."""

    READ = 'read'
    BOOK = 'book'
    LOAD = 'load'

    @property
    def may_repeat(self) -> bool:
        """Return whether a request of this kind may run twice."""
        return self is Kind.READ


@dataclass
class Call:
    """One attempt of a caller; `status` is 0 if no whole answer came."""

    request: str
    kind: Kind
    key: str
    vm: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_own_answer: bool = False
    #: The caller itself left before the answer.
    left: bool = False


@dataclass(frozen=True)
class Run:
    """One request that an upstream began to work on."""

    request: str
    upstream: str
    team: str
    at_s: float
    carries_key: bool = False


@dataclass(frozen=True)
class Rejection:
    """One request that an upstream turned away, asking for rest until then."""

    request: str
    upstream: str
    at_s: float
    until_s: float


@dataclass(frozen=True)
class Span:
    """A time in which something was true."""

    begin_s: float
    end_s: float

    def holds(self, at_s: float) -> bool:
        """Return whether `at_s` is in it."""
        return self.begin_s <= at_s <= self.end_s


@dataclass
class Record:
    """Everything that the checks look at."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    rejections: list[Rejection] = field(default_factory=list)
    #: Times in which the store was harmed, or a VM's way to it.
    store_harmed: list[Span] = field(default_factory=list)
    #: The same for each VM itself: its links, its process, its peers.
    vm_harmed: dict[int, list[Span]] = field(default_factory=dict)
    #: When each VM was asked to stop, when it ended, and its exit code.
    stops: list[tuple[int, float, float, int]] = field(default_factory=list)
    #: Ends of processes that nobody asked for.
    own_ends: list[tuple[int, float, int]] = field(default_factory=list)
    #: When each key was withdrawn, and each upstream began to leave.
    revoked_s: dict[str, float] = field(default_factory=dict)
    leaving_s: dict[str, list[Span]] = field(default_factory=dict)
    #: Limits that upstreams named: by which one, the rate, and when.
    limits: list[tuple[str, float, Span]] = field(default_factory=list)
    #: Zones that were evacuated, and upstreams that were cold.
    evacuations: list[tuple[str, Span]] = field(default_factory=list)
    cold: list[tuple[str, Span]] = field(default_factory=list)
    #: The zone of each upstream.
    zones: dict[str, str] = field(default_factory=dict)
    #: Versions of the configuration as each process put them in force.
    versions: dict[tuple[int, int], list[int]] = field(default_factory=dict)
    #: Largest memory (MB) and most descriptors of any process.
    most_mb: float = 0.0
    most_files: int = 0
    ended_s: float = 0.0

    def harm_vm(self, vm: int, span: Span) -> None:
        """Note that a VM was harmed."""
        self.vm_harmed.setdefault(vm, []).append(span)
