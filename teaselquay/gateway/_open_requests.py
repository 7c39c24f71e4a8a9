"""The requests that a VM is serving, and how a stop ends them."""

from dataclasses import dataclass, field
from typing import Protocol

from teaselquay.decisions import Instant, ServiceName


class OpenRequest(Protocol):
    """A request that has not been answered."""

    def oldest_attempt_at(self, service: ServiceName) -> Instant | None:
        """Return when its oldest attempt at `service` began, if any."""

    def end_if_too_late(self) -> None:
        """Refuse it if nothing was sent yet and it would not end in time."""

    def end(self) -> None:
        """End it without waiting any longer."""


@dataclass(slots=True)
class OpenRequests:
    """The open requests of a VM."""

    _requests: set[OpenRequest] = field(default_factory=set)

    def add(self, request: OpenRequest) -> None:
        """Add a request that was read."""
        self._requests.add(request)

    def discard(self, request: OpenRequest) -> None:
        """Remove a request that was answered."""
        self._requests.discard(request)

    def oldest_attempt_s(self, service: ServiceName, now: Instant) -> float:
        """Return the age of the oldest attempt at `service`, 0 without any."""
        begins = [
            began
            for request in self._requests
            if (began := request.oldest_attempt_at(service)) is not None
        ]
        return max(0, now - min(begins, default=now))

    def end_too_late(self) -> None:
        """Refuse what was not sent yet and would not end before the stop."""
        for request in tuple(self._requests):
            request.end_if_too_late()

    def end_all(self) -> None:
        """End all requests without waiting any longer."""
        for request in tuple(self._requests):
            request.end()
