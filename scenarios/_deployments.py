"""The two deployments, with their sizes, delays and policies."""

from dataclasses import dataclass

from teaselquay.shells import PolicySettings

#: Share of the slots that are busy in calm, an assumption of ours.
_BUSY = 0.3
_SLOTS = 6


@dataclass(frozen=True)
class ServiceShape:
    """Servers of one service and how long a request takes them."""

    name: str
    servers: int
    work_s: float

    @property
    def rate(self) -> float:
        """Return the requests a second in calm."""
        return _BUSY * self.servers * _SLOTS / self.work_s


@dataclass(frozen=True)
class Deployment:
    """One deployment of the brief."""

    name: str
    vms: int
    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    policy: PolicySettings


def _policy(threshold: float, slow_octaves: float) -> PolicySettings:
    return PolicySettings.model_validate(
        {
            'partitions': 64,
            'detection': {
                'threshold': threshold,
                'slow_octaves': slow_octaves,
            },
        },
    )


NADIR = Deployment(
    name='nadir',
    vms=44,
    zones=('a', 'b', 'c'),
    services=(
        ServiceShape('slots', 12, 0.03),
        ServiceShape('booking', 20, 0.06),
        ServiceShape('evidence', 6, 0.1),
    ),
    policy=_policy(threshold=11.0, slow_octaves=2.0),
)

AL_WUSTA = Deployment(
    name='al-wusta',
    vms=48,
    zones=('a', 'b', 'c', 'd'),
    services=(
        ServiceShape('diary', 10, 0.03),
        ServiceShape('returns', 20, 0.06),
        ServiceShape('intake', 8, 0.1),
    ),
    policy=_policy(threshold=12.0, slow_octaves=2.5),
)

DEPLOYMENTS = (NADIR, AL_WUSTA)
