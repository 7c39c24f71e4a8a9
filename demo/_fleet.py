"""The demonstration's fleet: both deployments behind three VMs."""

from contextlib import contextmanager
from dataclasses import dataclass
from typing import Iterator

from tests.support.fleet import Fleet, running_fleet

#: Upstreams by service: two of Nadir's services, two of Al Wusta's.
SERVICES = {'slots': 4, 'booking': 3, 'diary': 4, 'returns': 3}
_LOOKUPS = ('slots', 'diary')
_BOOKINGS = ('booking', 'returns')


@dataclass(frozen=True)
class Demo:
    """A started fleet and the keys of its teams."""

    fleet: Fleet
    keys: dict[str, str]


@contextmanager
def running_demo() -> Iterator[Demo]:
    """Yield the demonstration's fleet with its configuration."""
    zones = ('a', 'b')
    with running_fleet(vms=3, services=SERVICES, zones=zones) as fleet:
        for service in SERVICES:
            fleet.do(f'service {service} set floor=0.5')
        for name in _LOOKUPS:
            fleet.do(f'route {name} set prefix=/{name} service={name}')
        for name in _BOOKINGS:
            fleet.do(
                f'route {name} set prefix=/{name} service={name}'
                ' methods=POST idempotent=false',
            )
        keys = {
            'nadir': fleet.grant('nadir', 500, 500),
            'al-wusta': fleet.grant('al-wusta', 500, 500),
            'courier': fleet.grant('courier', 20, 10),
        }
        fleet.wait_owned()
        yield Demo(fleet, keys)
