"""Settings of one VM of the gateway."""

from dataclasses import dataclass

from teaselquay.coordination import RepeatPolicy
from teaselquay.decisions import VmName, ZoneName
from teaselquay.shells import Address


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses of one VM and the bounds that its operators guarantee.

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
    #: Retry budget of the fleet: a ratio and a fixed slack.
    repeat_ratio: float
    repeat_slack: float
    #: Requests by which a team may exceed its rate and burst in a window.
    quota_slack: float = 0.0
    #: Memory and descriptors of the process; 0 if they are not bounded.
    memory_bytes: int = 0
    max_descriptors: int = 0
    #: Cores that the processor and the link of this VM suffice for.
    capacity: float = 1.0

    def repeat_policy(self) -> RepeatPolicy:
        """Return the retry budget of one coordinator.

        It is three quarters of the ratio and a third of the slack, so that
        the fleet stays within its budget when a successor starts with a full
        one in the same window.
        """
        return RepeatPolicy(self.repeat_ratio * 3 / 4, self.repeat_slack / 3)
