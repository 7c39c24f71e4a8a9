"""Selection of the route, service and team of a request."""

import hmac
from random import Random
from typing import Iterator

from teaselquay.configuration._model import (
    FleetConfiguration,
    RouteRule,
    TeamRule,
)
from teaselquay.decisions import ServiceName, hash_key

#: Largest priority, for the least urgent requests. Messages carry a priority
#: in one byte, whose largest value stands for all priorities.
LEAST_PRIORITY = 254


class RoutingTable:
    """Routes by host and prefix, and teams by API key.

    Routes match the path as it is forwarded, without percent-decoding, so
    that an upstream sees the path that was matched.
    """

    def __init__(self, configuration: FleetConfiguration) -> None:
        """Index the routes and API keys of `configuration`."""
        self.configuration = configuration
        self._route_by_host_and_prefix = {
            (route.host.lower(), route.prefix): route
            for route in configuration.routes_by_name.values()
        }
        self._team_by_hash = {
            hash_key(key.encode()): team
            for team in configuration.teams_by_name.values()
            for key in team.api_keys
        }

    @classmethod
    def from_config(cls, configuration: FleetConfiguration) -> 'RoutingTable':
        """Return the routing table of `configuration`."""
        return cls(configuration)

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route of `host` with the longest matching prefix.

        Return None if no route matches.
        """
        name = host.lower().partition(':')[0]
        for prefix in _prefixes(path):
            route = self._route_by_host_and_prefix.get((name, prefix))
            if route is not None:
                return route
        return None

    def team_of(self, key: bytes) -> TeamRule | None:
        """Return the team that owns the API key `key`, or None."""
        team = self._team_by_hash.get(hash_key(key))
        if team is None:
            return None
        for known in team.api_keys:
            if hmac.compare_digest(known.encode(), key):
                return team
        return None


def choose_service(route: RouteRule, random: Random) -> ServiceName:
    """Return a service of `route`, chosen at random by weight.

    Requests beyond a service's capacity are not moved to another service.
    """
    weights = [target.weight for target in route.targets]
    return random.choices(route.targets, weights)[0].service


def effective_priority(route: RouteRule, team: TeamRule | None) -> int:
    """Return the priority of the team if it has one, else of the route.

    Priorities beyond `LEAST_PRIORITY` count as that.
    """
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return min(LEAST_PRIORITY, int(priority))


def has_dot_segment(path: str) -> bool:
    """Return whether an upstream may resolve `path` to another one.

    >>> has_dot_segment('/a/%2e%2e/b'), has_dot_segment('/a/.b')
    (True, False)
    """
    decoded = path.lower().replace('%2e', '.')
    return any(part in {'.', '..'} for part in decoded.split('/'))


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of `path` that end with a slash, longest first.

    >>> list(_prefixes('/a/b'))
    ['/a/', '/']
    """
    end = path.rfind('/') + 1
    while end > 0:
        yield path[:end]
        end = path.rfind('/', 0, end - 1) + 1
