"""Settings of one VM of the gateway."""

from dataclasses import dataclass

from teaselquay.coordination import RepeatPolicy
from teaselquay.decisions import VmName, ZoneName
from teaselquay.shells import Address


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses, and the bounds that the operators promise.

    `grace_s` is the time from SIGTERM to SIGKILL.
    """

    vm: VmName
    zone: ZoneName
    callers: Address
    ready: Address
    metrics: Address
    peer: Address
    seeds: tuple[Address, ...]
    grace_s: float
    #: Second sends that the fleet's limits allow: share and slack.
    repeat_ratio: float
    repeat_slack: float

    def repeat_policy(self) -> RepeatPolicy:
        """Return the budget of second sends of one coordinator.

        It keeps three quarters of the ratio and a third of the slack, so
        that a successor that starts anew within a window stays inside.
        """
        return RepeatPolicy(self.repeat_ratio * 3 / 4, self.repeat_slack / 3)
