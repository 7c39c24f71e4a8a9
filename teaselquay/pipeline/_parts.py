"""The components of a process that the filters use."""

from dataclasses import dataclass, field

from teaselquay.decisions import (
    Instant,
    RetryBudget,
)
from teaselquay.pipeline._queues import ServiceQueues
from teaselquay.shells import (
    Borrower,
    ConnectionPool,
    Health,
    IdempotencyClient,
    Metrics,
    Node,
    Tracer,
)


@dataclass(slots=True)
class Parts:
    """The components shared by the filters of one process."""

    node: Node
    borrower: Borrower
    once: IdempotencyClient
    health: Health
    pool: ConnectionPool
    metrics: Metrics
    tracer: Tracer
    queues: ServiceQueues
    budget: RetryBudget = field(default_factory=RetryBudget)

    def now(self) -> Instant:
        """Return the current time of the node's clock."""
        return self.node.clock.now()
