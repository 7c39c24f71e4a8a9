"""Load balancing: the choice of an upstream for one attempt."""

from dataclasses import dataclass, field
from random import Random
from typing import Mapping, Sequence

from teaselquay.decisions._ids import Instant, UpstreamName, ZoneName

#: Added to the utilization (attempts per slot) of upstreams in other zones.
_OTHER_ZONE_PENALTY = 0.25
_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream of a service, as the platform lists it.

    `slots` is the number of requests that it runs at a time.
    """

    name: UpstreamName
    address: str
    zone: ZoneName
    slots: int
    leaving: bool = False
    first_seen: Instant = Instant(0.0)


@dataclass(slots=True)
class Load:
    """Attempts in flight by upstream, from this VM and from the others."""

    own: dict[UpstreamName, int] = field(default_factory=dict)
    others: Mapping[UpstreamName, int] = field(default_factory=dict)

    def begin(self, name: UpstreamName) -> None:
        """Count one more attempt of this VM."""
        self.own[name] = self.own.get(name, 0) + 1

    def end(self, name: UpstreamName) -> None:
        """Count one attempt of this VM less.

        An upstream without attempts has no entry.
        """
        remaining = self.own.get(name, 0) - 1
        if remaining > 0:
            self.own[name] = remaining
        else:
            self.own.pop(name, None)

    def of(self, name: UpstreamName) -> int:
        """Return how many attempts are in flight at an upstream."""
        return self.own.get(name, 0) + self.others.get(name, 0)


@dataclass(frozen=True, slots=True)
class BalancePolicy:
    """Slow start of new upstreams.

    The weight of a new upstream grows for `warm_s` from `cold_weight` to
    the full weight.
    """

    warm_s: float = 10.0
    cold_weight: float = 0.1


def weight_of(
    upstream: Upstream,
    weights: Mapping[UpstreamName, float],
    policy: BalancePolicy,
    now: Instant,
) -> float:
    """Return the share of a full load that `upstream` should receive."""
    weight = weights.get(upstream.name, 1.0)
    age_s = now - upstream.first_seen
    if upstream.first_seen and age_s < policy.warm_s:
        weight *= max(policy.cold_weight, age_s / policy.warm_s)
    return weight


def choose_upstream(
    upstreams: Sequence[Upstream],
    weights: Mapping[UpstreamName, float],
    load: Load,
    zone: ZoneName,
    random: Random,
) -> Upstream | None:
    """Return the less utilized of two upstreams drawn by their weights.

    An upstream of another zone is chosen only if its utilization is lower
    by more than a penalty. Returns None if no upstream has a weight above 0.
    """
    eligible = [up for up in upstreams if weights.get(up.name, 1.0) > 0]
    if not eligible:
        return None
    candidates = random.choices(
        eligible,
        weights=[up.slots * weights.get(up.name, 1.0) for up in eligible],
        k=_CANDIDATES,
    )

    def cost(upstream: Upstream) -> float:
        weight = weights.get(upstream.name, 1.0)
        utilization = (load.of(upstream.name) + 1) / (upstream.slots * weight)
        return (
            utilization
            if upstream.zone == zone
            else utilization + _OTHER_ZONE_PENALTY
        )

    return min(candidates, key=cost)
