"""Limits on the idle time of pooled connections that are reused."""

from dataclasses import dataclass, field

from teaselquay.decisions import ServiceName

#: Upstreams close connections after about ten idle seconds. A quarter of that
#: makes it unlikely that a request is sent while its connection closes.
_MAX_IDLE_S = 2.5
#: New limit after a reused connection was stale, as a fraction of the time
#: that it had been idle.
_STALE_FRACTION = 0.5
#: Factor by which the limit grows with each connection that was still open.
_GROWTH_FACTOR = 1.1
_MIN_IDLE_S = 0.05


@dataclass(slots=True)
class IdleLimits:
    """The idle time up to which connections are reused, by service.

    A request that must not run twice cannot be retried once its connection
    is lost, so a single stale connection reduces the service's limit at once.
    """

    _limits_s: dict[ServiceName, float] = field(default_factory=dict)

    def limit_s(self, service: ServiceName) -> float:
        """Return how long a connection may have been idle, in seconds."""
        return self._limits_s.get(service, _MAX_IDLE_S)

    def record_stale(self, service: ServiceName, idle_s: float) -> None:
        """Reduce the limit after a connection idle for `idle_s` was lost."""
        reduced_s = min(self.limit_s(service), idle_s * _STALE_FRACTION)
        self._limits_s[service] = max(_MIN_IDLE_S, reduced_s)

    def record_reused(self, service: ServiceName) -> None:
        """Raise the limit after a connection was reused successfully."""
        grown_s = self.limit_s(service) * _GROWTH_FACTOR
        self._limits_s[service] = min(_MAX_IDLE_S, grown_s)
