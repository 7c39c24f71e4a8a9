"""Which priorities a VM admits while it reaches no coordinator."""

from dataclasses import dataclass, field

from teaselquay.coordination._placement import ALL_PRIORITIES
from teaselquay.decisions import Instant, ServiceName

#: How long a threshold is used, in seconds. A successor answers earlier, and a
#: request that waits this long can still be served in time.
_HELD_S = 2.0


@dataclass(slots=True)
class HeldThresholds:
    """The last thresholds of coordinators, by service.

    Load pattern: a coordinator is lost while its service is short of
    capacity. If every VM then admitted all requests at once, the urgent ones
    would queue behind the others. At most one threshold is held for each
    service that is short of capacity.

    >>> held = HeldThresholds()
    >>> held.record('service', 1, Instant(5.0))
    >>> held.least_urgent('service', Instant(6.0))
    (1, 1.0)
    >>> held.least_urgent('service', Instant(8.0))
    (255, 0.0)
    """

    _thresholds: dict[ServiceName, tuple[int, Instant]] = field(
        default_factory=dict
    )

    def record(
        self, service: ServiceName, least_urgent: int, now: Instant
    ) -> None:
        """Record the least urgent priority that a coordinator admits."""
        if least_urgent < ALL_PRIORITIES:
            self._thresholds[service] = (least_urgent, now)
        else:
            self._thresholds.pop(service, None)

    def least_urgent(
        self, service: ServiceName, now: Instant
    ) -> tuple[int, float]:
        """Return the least urgent priority to admit, and its age in seconds."""
        least_urgent, as_of = self._thresholds.get(
            service, (ALL_PRIORITIES, now)
        )
        if now - as_of < _HELD_S:
            return least_urgent, now - as_of
        self._thresholds.pop(service, None)
        return ALL_PRIORITIES, 0.0
