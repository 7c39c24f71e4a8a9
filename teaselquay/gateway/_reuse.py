"""How long a kept connection may have been idle when it is used again."""

from dataclasses import dataclass, field

from teaselquay.decisions import ServiceName

#: Upstreams close connections that were idle for ten seconds or so; a
#: quarter of that leaves little to the race of a request and a close.
_MOST_IDLE_S = 2.5
#: Part of an idle time at which a connection turned out to be lost that is
#: still trusted afterwards.
_TRUSTED_PART = 0.5
#: Growth of the trusted time with each connection that was still there.
_GROWTH = 1.1
_LEAST_IDLE_S = 0.05


@dataclass(slots=True)
class IdleLimits:
    """The idle time that is trusted, by service.

    A request that must not run twice is lost with the connection that it
    was sent on, so that one loss makes the service's trust shrink at once.
    """

    _trusted_s: dict[ServiceName, float] = field(default_factory=dict)

    def limit_s(self, service: ServiceName) -> float:
        """Return how long a connection may have been idle, in seconds."""
        return self._trusted_s.get(service, _MOST_IDLE_S)

    def record_stale(self, service: ServiceName, idle_s: float) -> None:
        """Take in that a connection was lost after `idle_s` seconds."""
        trusted_s = min(self.limit_s(service), idle_s * _TRUSTED_PART)
        self._trusted_s[service] = max(_LEAST_IDLE_S, trusted_s)

    def record_reused(self, service: ServiceName) -> None:
        """Take in that a connection could be used again."""
        grown_s = self.limit_s(service) * _GROWTH
        self._trusted_s[service] = min(_MOST_IDLE_S, grown_s)
