"""What the scenarios measure."""

import asyncio
from dataclasses import dataclass
from random import Random
from statistics import median

from scenarios._deployments import Deployment, ServiceShape
from scenarios._world import ConsecutiveJudge, FleetJudge, Served, World
from teaselquay.decisions import (
    Capacity,
    DetectionPolicy,
    Detector,
    Instant,
    RouteName,
    Sample,
    Team,
    TeamName,
    UpstreamName,
    VmName,
    latency_bucket,
)
from tests.support.rates import Traffic
from tests.support.virtual import VirtualFleet, run_virtual

_JUDGES = {'teaselquay': FleetJudge, 'consecutive': ConsecutiveJudge}
_WARM_S = 4.0
_MOST_S = 12.0
_NOISE_S = 3600
_TICK_S = 0.25
_SLOTS = 6


@dataclass(frozen=True)
class Detection:
    """Times to detection in seconds."""

    times_s: tuple[float, ...]

    def quantile(self, part: float) -> float:
        """Return a quantile of the times."""
        ordered = sorted(self.times_s)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def detection(deployment: Deployment, judge: str, seeds: int) -> Detection:
    """Return the times until a sick server is out of use on all VMs.

    Each seed and service has one server that fails 30 % of its requests,
    and one run with a server that is ten times slower.
    """
    times = []
    for shape in deployment.services:
        for fault in ('fail', 'slow'):
            for seed in range(seeds):
                times.append(_detect(deployment, judge, shape, fault, seed))
    return Detection(tuple(times))


def _detect(
    deployment: Deployment,
    judge: str,
    shape: ServiceShape,
    fault: str,
    seed: int,
) -> float:
    async def main() -> float:
        world = World(deployment, seed, _JUDGES[judge])
        await world.fleet.settle()
        load = asyncio.create_task(
            world.send(shape.name, shape.rate, _WARM_S + _MOST_S),
        )
        await asyncio.sleep(_WARM_S)
        name = UpstreamName(f'{shape.name}-{seed % shape.servers}')
        if fault == 'fail':
            world.upstreams[name].fail_share = 0.3
        else:
            world.upstreams[name].slow_factor = 10.0
        taken = await world.time_until_out(shape.name, name, _MOST_S)
        load.cancel()
        return taken

    return run_virtual(main)


def false_ejections(deployment: Deployment, seed: int) -> tuple[int, float]:
    """Return ejections of healthy servers in an hour, and VM-hours.

    The hour has noise, a cold start of one server every five minutes, and
    load that grows fivefold for every tenth minute, all as samples.
    """
    total = 0
    for shape in deployment.services:
        total += _noisy_hour(deployment, shape, seed)
    return total, float(deployment.vms)


def _noisy_hour(
    deployment: Deployment,
    shape: ServiceShape,
    seed: int,
) -> int:
    random = Random(seed)
    settings = deployment.policy.detection
    detector = Detector(
        DetectionPolicy(
            threshold=settings.threshold,
            slow_octaves=settings.slow_octaves,
        ),
    )
    names = [UpstreamName(f'up-{index}') for index in range(shape.servers)]
    capacity = Capacity(dict.fromkeys(names, _SLOTS), 0.6)
    vms = [VmName(f'vm-{index}') for index in range(deployment.vms)]
    ejected = 0
    for tick in range(int(_NOISE_S / _TICK_S)):
        now = Instant(1000 + tick * _TICK_S)
        minute = int(tick * _TICK_S / 60)
        busy = 5.0 if minute % 10 == 9 else 1.0
        cold = names[minute // 5 % len(names)] if minute % 5 == 0 else None
        # The busy tenant's excess is refused; a part of it still queues.
        rate = shape.rate * min(busy, 2.0)
        count = int(rate * _TICK_S)
        samples = [
            _noisy_sample(shape, random, names, cold, tick)
            for _ in range(count)
        ]
        # The list shows the start, so that the server is known as cold.
        known_cold = frozenset((cold,) if cold else ())
        detector.observe(random.choice(vms), samples, now, known_cold)
        ejected += len(detector.decide(capacity, now))
    return ejected


def _noisy_sample(
    shape: ServiceShape,
    random: Random,
    names: list[UpstreamName],
    cold: UpstreamName | None,
    tick: int,
) -> Sample:
    name = random.choice(names)
    latency_s = shape.work_s * random.lognormvariate(0, 0.35)
    # A cold server is slow for its first five seconds.
    if name == cold and tick * _TICK_S % 60 < 5:
        latency_s *= 2.5
    failed = random.random() < 0.005
    return Sample(name, RouteName('r'), failed, latency_bucket(latency_s))


@dataclass(frozen=True)
class Fairness:
    """How teams fare while one sends five times its rate."""

    worst_success: float
    median_success: float
    worst_p99_ratio: float
    wrongful_per_10000: float


def fairness(deployment: Deployment, seed: int) -> Fairness:
    """Return how the other teams fare, against the same run in calm."""
    calm = _teams_run(deployment, seed, factor=1.0)
    loud = _teams_run(deployment, seed, factor=5.0)
    others = [team for team in calm if team != 'large-0']
    success = [loud[team].success() for team in others]
    ratios = [loud[team].p99_s() / calm[team].p99_s() for team in others]
    refused = sum(loud[team].refused for team in others)
    sent = sum(
        len(loud[team].latencies_s) + loud[team].failed + loud[team].refused
        for team in others
    )
    return Fairness(
        min(success),
        median(success),
        max(ratios),
        refused / sent * 10_000,
    )


def _teams_run(
    deployment: Deployment,
    seed: int,
    factor: float,
) -> dict[str, Served]:
    shape = deployment.services[0]
    rates = {f'large-{index}': shape.rate * 0.25 for index in range(2)}
    rates.update({f'small-{index}': shape.rate * 0.04 for index in range(6)})

    async def main() -> dict[str, Served]:
        world = World(deployment, seed, FleetJudge)
        for name, rate in rates.items():
            world.add_team(name, Team(rate, max(20.0, rate)))
        await world.fleet.settle()
        # The first hand-overs are not what this scenario is about.
        await asyncio.sleep(15)
        await asyncio.gather(
            *(
                world.send(
                    shape.name,
                    rate * 0.7 * (factor if name == 'large-0' else 1.0),
                    20,
                    name,
                )
                for name, rate in rates.items()
            ),
        )
        await asyncio.sleep(3)
        return {str(team): found for team, found in world.by_team.items()}

    return run_virtual(main)


def wrongful_refusals(
    deployment: Deployment,
    seed: int,
    kills: bool,
) -> float:
    """Return refusals in 10,000 of a team that stays inside its rate."""
    rate = 80.0
    burst = 80.0
    team = TeamName('steady')

    async def main() -> float:
        fleet = VirtualFleet(seed, deployment.policy)
        fleet.put(f'teams/{team}', Team(rate, burst))
        for index in range(deployment.vms):
            fleet.add(f'vm-{index}')
        await fleet.settle()
        await asyncio.sleep(15)
        traffic = Traffic(fleet, team, burst, Random(seed))
        # A few VMs get most of the traffic.
        weights = {f'vm-{index}': 1.0 for index in range(3)}
        work = [traffic.send(0.7 * rate, 180, weights)]
        if kills:
            work.append(_kill_each_minute(fleet))
        await asyncio.gather(*work)
        return len(traffic.refused) / traffic.sent * 10_000

    return run_virtual(main)


async def _kill_each_minute(fleet: VirtualFleet) -> None:
    for index in range(3):
        await asyncio.sleep(10)
        name = f'vm-{index + 5}'
        fleet.kill(name)
        await asyncio.sleep(30)
        fleet.add(name)
        await asyncio.sleep(20)


def static_share_refusals(deployment: Deployment, seed: int) -> float:
    """Return refusals in 10,000 with a fixed share of 1/N on each VM."""
    random = Random(seed)
    rate = 80.0
    share = rate / deployment.vms
    levels = [share] * deployment.vms
    weights = [1.0] * 3 + [0.05] * (deployment.vms - 3)
    refused = 0
    sent = 0
    now = 0.0
    updated = [0.0] * deployment.vms
    while now < 180:
        now += random.expovariate(0.7 * rate)
        vm = random.choices(range(deployment.vms), weights)[0]
        filled = levels[vm] + (now - updated[vm]) * share
        levels[vm] = min(max(1.0, share), filled)
        updated[vm] = now
        sent += 1
        if levels[vm] >= 1:
            levels[vm] -= 1
        else:
            refused += 1
    return refused / sent * 10_000
