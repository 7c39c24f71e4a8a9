"""A deployment's VMs with the real parts, before fake upstreams."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from scenarios._deployments import Deployment, ServiceShape
from teaselquay.decisions import (
    Instant,
    Load,
    RetryBudget,
    RouteName,
    Sample,
    Service,
    ServiceName,
    Team,
    TeamName,
    Upstream,
    UpstreamName,
    VmName,
    ZoneName,
    choose_upstream,
    latency_bucket,
)
from teaselquay.pipeline import ServiceQueues
from teaselquay.shells import Admission, Health
from tests.support.virtual import VirtualFleet, VirtualNode

_SLOTS = 6
#: Share of failures of a healthy server, and the spread of its work.
_NOISE = 0.005
_SPREAD = 0.35
_QUEUE_S = 1.0
_TIMEOUT_S = 2.0
_LEAST_SLOW_S = 0.05


@dataclass
class FakeUpstream:
    """One server: slots, noise, and a fault that can be switched on."""

    name: UpstreamName
    shape: ServiceShape
    random: Random
    fail_share: float = _NOISE
    slow_factor: float = 1.0

    def __post_init__(self) -> None:
        """Make the slots."""
        self._slots = asyncio.Semaphore(_SLOTS)

    async def work(self) -> bool:
        """Return whether a request succeeded, after its time."""
        async with self._slots:
            spread = self.random.lognormvariate(0, _SPREAD)
            await asyncio.sleep(self.shape.work_s * self.slow_factor * spread)
            return self.random.random() >= self.fail_share


@dataclass
class FakeList:
    """The platform's list, as `Health` reads it."""

    by_service: dict[ServiceName, tuple[Upstream, ...]]

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the listed upstreams of `service`."""
        return self.by_service.get(service, ())


class Judge(Protocol):
    """How one VM chooses upstreams: ours, or a baseline."""

    def pick(self, service: ServiceName) -> Upstream | None:
        """Return an upstream for one attempt."""

    def record(self, service: ServiceName, sample: Sample) -> None:
        """Take over the outcome of one attempt."""

    def is_out(self, service: ServiceName, name: UpstreamName) -> bool:
        """Return whether an upstream gets no work from this VM."""


class FleetJudge:
    """The parts of teaselquay."""

    def __init__(self, found: VirtualNode, vm_list: FakeList) -> None:
        """Gather over the node's link."""
        self._node = found.node
        link: Any = found.link
        listed: Any = vm_list
        self.health = Health(found.node, link, listed)
        self.health.start(found.timers)
        self.queues = ServiceQueues(found.node, self.health)

    def pick(self, service: ServiceName) -> Upstream | None:
        """Return an upstream for one attempt."""
        return choose_upstream(
            self.health.candidates(service),
            self.health.weights(service),
            self.health.view(service).load,
            self._node.zone,
            self._node.random,
        )

    def load(self, service: ServiceName) -> Load:
        """Return the attempts in flight."""
        return self.health.view(service).load

    def record(self, service: ServiceName, sample: Sample) -> None:
        """Take over the outcome of one attempt."""
        self.health.record(service, sample)

    def is_out(self, service: ServiceName, name: UpstreamName) -> bool:
        """Return whether an upstream gets no work from this VM."""
        return self.health.weights(service).get(name, 1.0) == 0


class ConsecutiveJudge:
    """Baseline: round robin, ejection after failures in a row, by VM."""

    _IN_A_ROW = 5
    _EJECT_S = 30.0

    def __init__(self, found: VirtualNode, vm_list: FakeList) -> None:
        """Start with all upstreams in use."""
        self._node = found.node
        self._list = vm_list
        self._turn = found.node.random.randrange(100)
        self._in_a_row: dict[UpstreamName, int] = {}
        self._until: dict[UpstreamName, float] = {}

    def pick(self, service: ServiceName) -> Upstream | None:
        """Return the next upstream that is not ejected."""
        every = self._list.upstreams(service)
        able = [up for up in every if not self.is_out(service, up.name)]
        self._turn += 1
        chosen = able or every
        return chosen[self._turn % len(chosen)]

    def record(self, service: ServiceName, sample: Sample) -> None:
        """Count failures in a row."""
        name = sample.upstream
        count = self._in_a_row.get(name, 0) + 1 if sample.failed else 0
        self._in_a_row[name] = count
        if count >= self._IN_A_ROW:
            self._in_a_row[name] = 0
            self._until[name] = self._node.clock.now() + self._EJECT_S

    def is_out(self, service: ServiceName, name: UpstreamName) -> bool:
        """Return whether an upstream gets no work from this VM."""
        return self._node.clock.now() < self._until.get(name, 0.0)


@dataclass
class Served:
    """What became of one team's requests."""

    latencies_s: list[float] = field(default_factory=list)
    failed: int = 0
    refused: int = 0

    def success(self) -> float:
        """Return the share of requests that were served."""
        total = len(self.latencies_s) + self.failed + self.refused
        return len(self.latencies_s) / total if total else 1.0

    def p99_s(self) -> float:
        """Return the latency that 99 of 100 served requests kept."""
        ordered = sorted(self.latencies_s)
        return ordered[int(0.99 * len(ordered))] if ordered else 0.0


class World:
    """One deployment at work."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        judge: type[FleetJudge] | type[ConsecutiveJudge],
    ) -> None:
        """Start the VMs; upstreams are healthy."""
        self.deployment = deployment
        self.random = Random(seed)
        self.fleet = VirtualFleet(seed, deployment.policy)
        self.upstreams: dict[UpstreamName, FakeUpstream] = {}
        self.vm_list = FakeList({})
        for shape in deployment.services:
            self._add_service(shape)
        self.judges: dict[VmName, FleetJudge | ConsecutiveJudge] = {}
        for index in range(deployment.vms):
            found = self.fleet.add(f'vm-{index}')
            zone = deployment.zones[index % len(deployment.zones)]
            found.node.zone = ZoneName(zone)
            self.judges[found.node.vm] = judge(found, self.vm_list)
        self.budgets = {vm: RetryBudget() for vm in self.judges}
        self.by_team: dict[TeamName, Served] = {}
        self.rates: dict[TeamName, Team] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add_team(self, name: str, team: Team) -> None:
        """Create a team."""
        self.fleet.put(f'teams/{name}', team)
        self.rates[TeamName(name)] = team
        self.by_team[TeamName(name)] = Served()

    async def send(
        self,
        service: str,
        rate: float,
        seconds: float,
        team: str = '',
    ) -> None:
        """Send requests to VMs at random; with a `team`, count its rate."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        names = sorted(self.judges)
        while loop.time() < end:
            await asyncio.sleep(self.random.expovariate(rate))
            vm = self.random.choice(names)
            work = self._request(vm, ServiceName(service), TeamName(team))
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def time_until_out(
        self,
        service: str,
        name: UpstreamName,
        most_s: float,
    ) -> float:
        """Return when all VMs had `name` out of use, or infinity."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        key = ServiceName(service)
        while loop.time() - began < most_s:
            await asyncio.sleep(0.05)
            if all(j.is_out(key, name) for j in self.judges.values()):
                return loop.time() - began
        return float('inf')

    def _add_service(self, shape: ServiceShape) -> None:
        service = ServiceName(shape.name)
        self.fleet.put(f'services/{shape.name}', Service(floor=0.6))
        listed = []
        for index in range(shape.servers):
            name = UpstreamName(f'{shape.name}-{index}')
            seed = self.random.getrandbits(32)
            fake = FakeUpstream(name, shape, Random(seed))
            self.upstreams[name] = fake
            zones = self.deployment.zones
            zone = ZoneName(zones[index % len(zones)])
            listed.append(Upstream(name, '', zone, _SLOTS))
        self.vm_list.by_service[service] = tuple(listed)

    async def _request(
        self,
        vm: VmName,
        service: ServiceName,
        team: TeamName,
    ) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        served = self.by_team.setdefault(team, Served())
        if team and not await self._admit(vm, team):
            served.refused += 1
            return
        judge = self.judges[vm]
        if not await self._enter(judge, service, team):
            served.failed += 1
            return
        budget = self.budgets[vm]
        budget.deposit()
        try:
            good = await self._attempt(judge, service)
            if not good and budget.try_withdraw():
                good = await self._attempt(judge, service)
        finally:
            if isinstance(judge, FleetJudge):
                judge.queues.leave(service, team)
        if good:
            served.latencies_s.append(loop.time() - began)
        else:
            served.failed += 1

    async def _admit(self, vm: VmName, team: TeamName) -> bool:
        borrower = self.fleet.by_vm[vm].borrower
        admission = await borrower.admit(team, self.rates[team].burst)
        return admission is Admission.ADMITTED

    async def _enter(
        self,
        judge: FleetJudge | ConsecutiveJudge,
        service: ServiceName,
        team: TeamName,
    ) -> bool:
        if isinstance(judge, ConsecutiveJudge):
            return True
        deadline = asyncio.get_running_loop().time() + _QUEUE_S
        return await judge.queues.enter(service, team, Instant(deadline))

    async def _attempt(
        self,
        judge: FleetJudge | ConsecutiveJudge,
        service: ServiceName,
    ) -> bool:
        loop = asyncio.get_running_loop()
        upstream = judge.pick(service)
        if upstream is None:
            return False
        load = judge.load(service) if isinstance(judge, FleetJudge) else None
        began = loop.time()
        if load is not None:
            load.begin(upstream.name)
        work = asyncio.create_task(self._work(upstream.name))
        told = await self._tell_slow(judge, service, upstream.name, work)
        good = await work
        if load is not None:
            load.end(upstream.name)
        if not good or not told:
            judge.record(
                service,
                _sample(service, upstream.name, not good, began),
            )
        return good

    async def _work(self, name: UpstreamName) -> bool:
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await self.upstreams[name].work()
        except TimeoutError:
            return False

    async def _tell_slow(
        self,
        judge: FleetJudge | ConsecutiveJudge,
        service: ServiceName,
        name: UpstreamName,
        work: 'asyncio.Task[bool]',
    ) -> bool:
        """Return whether the attempt was reported as slow by now."""
        if not isinstance(judge, FleetJudge):
            return False
        began = asyncio.get_running_loop().time()
        slow_s = judge.health.slow_threshold_s(service, RouteName(service))
        if slow_s is None:
            return False
        await asyncio.wait((work,), timeout=max(_LEAST_SLOW_S, slow_s))
        if work.done():
            return False
        judge.record(service, _sample(service, name, False, began))
        return True


def _sample(
    service: ServiceName,
    name: UpstreamName,
    failed: bool,
    began: float,
) -> Sample:
    elapsed_s = asyncio.get_running_loop().time() - began
    bucket = latency_bucket(elapsed_s)
    return Sample(name, RouteName(service), failed, bucket)
