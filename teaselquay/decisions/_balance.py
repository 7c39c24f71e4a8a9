"""Choice of an upstream for one attempt."""

from dataclasses import dataclass, field
from random import Random
from typing import Mapping, Sequence

from teaselquay.decisions._ids import Instant, UpstreamName, ZoneName

#: How much busier an upstream of this zone may be before another zone's.
_ZONE_ALLOWANCE = 0.25
_CHOICES = 2


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream VM of a service, as the platform lists it."""

    name: UpstreamName
    address: str
    zone: ZoneName
    slots: int
    leaving: bool = False
    first_seen: Instant = Instant(0.0)


@dataclass(slots=True)
class Load:
    """Attempts in flight by upstream, of this VM and of the others."""

    own: dict[UpstreamName, int] = field(default_factory=dict)
    others: Mapping[UpstreamName, int] = field(default_factory=dict)

    def begin(self, name: UpstreamName) -> None:
        """Count one more attempt of this VM."""
        self.own[name] = self.own.get(name, 0) + 1

    def end(self, name: UpstreamName) -> None:
        """Count one attempt of this VM less."""
        left = self.own.get(name, 0) - 1
        if left > 0:
            self.own[name] = left
        else:
            self.own.pop(name, None)

    def of(self, name: UpstreamName) -> int:
        """Return the attempts in flight at an upstream."""
        return self.own.get(name, 0) + self.others.get(name, 0)


@dataclass(frozen=True, slots=True)
class BalancePolicy:
    """`warm_s` is how long the share of a new upstream grows."""

    warm_s: float = 10.0
    cold_weight: float = 0.1


def weight_of(
    upstream: Upstream,
    weights: Mapping[UpstreamName, float],
    policy: BalancePolicy,
    now: Instant,
) -> float:
    """Return the share of a full load that `upstream` should get."""
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
    """Return the less busy of two upstreams drawn by their weights.

    An upstream of another zone is chosen only if it is clearly less busy.
    """
    able = [up for up in upstreams if weights.get(up.name, 1.0) > 0]
    if not able:
        return None
    drawn = random.choices(
        able,
        weights=[up.slots * weights.get(up.name, 1.0) for up in able],
        k=_CHOICES,
    )

    def cost(upstream: Upstream) -> float:
        weight = weights.get(upstream.name, 1.0)
        busy = (load.of(upstream.name) + 1) / (upstream.slots * weight)
        return busy if upstream.zone == zone else busy + _ZONE_ALLOWANCE

    return min(drawn, key=cost)
