"""Expected processing times of routes."""

from dataclasses import dataclass, field

from teaselquay.decisions import RouteName, ServiceName

#: Least weight of a new response in the running mean. A mean follows a change
#: of its route within some tens of responses.
_MIN_WEIGHT = 1 / 16
#: Routes whose mean is kept; the one unused for longest is discarded first.
_MAX_ROUTES = 1024

_Key = tuple[ServiceName, RouteName]


@dataclass(slots=True)
class _Mean:
    count: int = 0
    work_s: float = 0.0

    def record(self, work_s: float) -> None:
        self.count += 1
        weight = max(_MIN_WEIGHT, 1 / self.count)
        self.work_s += weight * (work_s - self.work_s)


@dataclass(slots=True)
class RouteWork:
    """Running means of the processing times of routes, on one VM.

    Load pattern: routes that share a service differ several times in their
    work, so that the service's mean says little of either.

    >>> work = RouteWork()
    >>> work.expected_s('service', 'route')
    0.0
    >>> work.record('service', 'route', 0.4)
    >>> work.expected_s('service', 'route')
    0.4
    """

    max_routes: int = _MAX_ROUTES
    _means: dict[_Key, _Mean] = field(default_factory=dict)

    def expected_s(self, service: ServiceName, route: RouteName) -> float:
        """Return the expected processing time in seconds, 0 if unknown."""
        mean = self._means.get((service, route))
        return 0.0 if mean is None else mean.work_s

    def record(
        self,
        service: ServiceName,
        route: RouteName,
        latency_s: float,
        utilization: float = 0.0,
    ) -> None:
        """Record a response to a request of `route`.

        `utilization` is the number of requests per slot that the upstream had,
        including this one. Beyond 1, some of them were processed before it.
        """
        key = (service, route)
        mean = self._means.pop(key, None) or _Mean()
        mean.record(latency_s / max(1, utilization))
        self._means[key] = mean
        if len(self._means) > self.max_routes:
            self._means.pop(next(iter(self._means)))
