"""One run: the fleet, its surroundings, and the faults of its plan."""

import asyncio
import signal
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Awaitable, Callable

from soak._callers import Caller
from soak._links import TcpLink
from soak._plan import Fault, Link, Step, make_plan
from soak._records import Record, Span
from soak._standins import (
    WARMUP_S,
    SoakStore,
    SoakUpstream,
    configuration,
)
from soak._vms import SoakVm

#: Largest limit in requests per second that an upstream names.
_MAX_LIMIT = 3
#: Zones of the upstreams.
_ZONES = 'ab'
_UPSTREAMS_BY_SERVICE = {'s': 4, 'u': 3}
#: Callers for each VM, and those of the team that sends beyond its rate.
_CALLERS_PER_VM = 4
_HOT_CALLERS = 6
#: Keys that can be withdrawn, one after the other.
_SPARE_KEYS = 5
_DELAY_S = 0.3
_PEER_LOSS = 0.3
_MEASURE_S = 0.5
#: Shortest rest that an upstream asks for, in seconds.
_MIN_REST_S = 1.0
#: How long the store is away before it is restored, and how much later the
#: operators and upstreams write theirs again, in seconds.
_RESTORE_S = 0.3
_TIMEOUTS_S = (4, 5, 6)
_SEED_BITS = 32

Act = Callable[['World', Step], Awaitable[None]]
ACTS: dict[Fault, Act] = {}


def act(*faults: Fault) -> Callable[[Act], Act]:
    """Register how faults are injected; a fault ends when its act does."""

    def register(function: Act) -> Act:
        ACTS.update(dict.fromkeys(faults, function))
        return function

    return register


@dataclass
class World:
    """Everything that takes part in a run."""

    seed: int
    seconds: float
    folder: Path
    record: Record = field(default_factory=Record)
    store: SoakStore = field(default_factory=SoakStore)
    store_link: TcpLink = field(init=False)
    vms: list[SoakVm] = field(default_factory=list)
    upstreams: list[SoakUpstream] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    #: Zones that operators want evacuated.
    evacuated: set[str] = field(default_factory=set)
    version: int = 1
    limit_s: int = 5
    _began: float = 0.0
    _random: Random = field(init=False)
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Draw everything from the seed."""
        self._random = Random(self.seed)

    def now(self) -> float:
        """Return the seconds since the run began."""
        return asyncio.get_running_loop().time() - self._began

    async def run(self, vms: int) -> Record:
        """Play the whole run, and return what was seen."""
        self._began = asyncio.get_running_loop().time()
        await self.store.start()
        self.store_link = TcpLink(('127.0.0.1', self.store.port))
        await self.store_link.start()
        await self._open(vms)
        self._began = asyncio.get_running_loop().time()
        try:
            await self._play(vms)
        finally:
            await self._close()
        return self.record

    async def configure(self) -> None:
        """Write the configuration that is wanted now."""
        document = configuration(self.version, self.keys, self.limit_s)
        await self.store.put('op/config', document)

    def vm_of(self, step: Step) -> SoakVm:
        """Return the VM that `step` is about."""
        return self.vms[step.target % len(self.vms)]

    def upstream_of(self, step: Step) -> SoakUpstream:
        """Return the upstream that `step` is about."""
        return self.upstreams[step.target % len(self.upstreams)]

    async def publish(self, upstream: SoakUpstream) -> None:
        """Write what an upstream says of itself."""
        await self.store.put(f'servers/{upstream.name}', upstream.entry())

    async def write_all(self) -> None:
        """Write everything that operators and upstreams have written."""
        await self.configure()
        await self.write_evacuations()
        for upstream in self.upstreams:
            await self.publish(upstream)

    async def write_evacuations(self) -> None:
        """Write which zones are wanted evacuated now."""
        for zone in _ZONES:
            key = f'op/evacuate/{zone}'
            if zone in self.evacuated:
                await self.store.put(key, b'{}')
            elif key in self.store.items:
                await self.store.remove(key)

    async def cool(self, upstream: SoakUpstream) -> None:
        """Let an upstream be cold for its warm-up, and write that."""
        begin_s = self.now()
        upstream.warmup_left_s = WARMUP_S
        await self.publish(upstream)
        self.record.cold.append(
            (upstream.name, Span(begin_s, begin_s + WARMUP_S))
        )

    async def _open(self, vms: int) -> None:
        spare = {
            f'gone-{index}': f'gone-{index}' for index in range(_SPARE_KEYS)
        }
        self.keys = {'calm': 'calm', 'hot': 'hot', **spare}
        await self.configure()
        for service, count in _UPSTREAMS_BY_SERVICE.items():
            for index in range(count):
                await self._open_upstream(f'{service}-{index}', service)
        for index in range(vms):
            random = Random(self._random.getrandbits(_SEED_BITS))
            vm = SoakVm(index, self.folder, self.record, self.now, random)
            await vm.open(self.store_link.port)
            self.store.peers[f'127.0.0.1:{vm.peer}'] = (
                f'127.0.0.1:{vm.peers.port}'
            )
            self.vms.append(vm)
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.wait_until_ready()

    async def _open_upstream(self, name: str, service: str) -> None:
        random = Random(self._random.getrandbits(_SEED_BITS))
        upstream = SoakUpstream(
            name,
            service,
            random,
            self.record.runs.append,
            self.record.rejections.append,
            self.now,
        )
        upstream.zone = _ZONES[len(self.upstreams) % len(_ZONES)]
        self.record.zones[name] = upstream.zone
        await upstream.server.start()
        self.upstreams.append(upstream)
        await self.publish(upstream)

    async def _play(self, vms: int) -> None:
        self._tasks.append(asyncio.create_task(self._measure()))
        for _ in range(_CALLERS_PER_VM * vms):
            self._call_as('calm')
        for _ in range(_HOT_CALLERS):
            self._call_as('hot')
        for key in self.keys:
            if key.startswith('gone'):
                self._call_as(key)
        acts = []
        plan = make_plan(self.seed, self.seconds, vms, len(self.upstreams))
        for step in plan:
            await asyncio.sleep(max(0, step.at_s - self.now()))
            acts.append(asyncio.create_task(ACTS[step.fault](self, step)))
        await asyncio.gather(*acts)
        await asyncio.sleep(max(0, self.seconds - self.now()))
        self.record.ended_s = self.now()

    def _call_as(self, key: str) -> None:
        random = Random(self._random.getrandbits(_SEED_BITS))
        name = f'c{len(self._tasks)}'
        caller = Caller(name, key, random, self.record, self.now)
        task = asyncio.create_task(caller.run(self.vms))
        self._tasks.append(task)

    async def _measure(self) -> None:
        while True:
            for vm in self.vms:
                vm.measure()
            await asyncio.sleep(_MEASURE_S)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(vm.stop() for vm in self.vms))
        for vm in self.vms:
            await vm.kill()
            vm.close()
            vm.read_versions()
        for upstream in self.upstreams:
            upstream.server.close()
        self.store_link.close()
        self.store.close()


@act(Fault.LINK_DELAY, Fault.LINK_SILENT, Fault.LINK_ONE_WAY, Fault.LINK_DRIP)
async def _harm_link(world: World, step: Step) -> None:
    link, spans = _link_of(world, step)
    if step.fault is Fault.LINK_DELAY:
        link.delay_s = _DELAY_S
    elif step.fault is Fault.LINK_SILENT:
        link.is_silent = True
    elif step.fault is Fault.LINK_ONE_WAY:
        link.drops_back = True
    else:
        link.drips = True
    began_s = world.now()
    await asyncio.sleep(step.for_s)
    link.delay_s = 0
    link.is_silent = False
    link.drips = False
    if link.drops_back:
        # What was lost in the middle of a stream cannot be made good.
        link.drops_back = False
        link.reset()
    spans.append(Span(began_s, world.now()))


@act(Fault.LINK_RESET)
async def _reset_link(world: World, step: Step) -> None:
    link, spans = _link_of(world, step)
    link.reset()
    spans.append(Span(world.now(), world.now()))


@act(Fault.LINK_SEVERED)
async def _sever_link(world: World, step: Step) -> None:
    link, spans = _link_of(world, step)
    link.sever()
    spans.append(Span(world.now(), world.now()))


def _link_of(world: World, step: Step) -> tuple[TcpLink, list[Span]]:
    """Return the link of `step`, and where its harm is noted."""
    if step.link is Link.STORE:
        return world.store_link, world.record.store_harmed
    vm = world.vm_of(step)
    return vm.callers, world.record.vm_harmed.setdefault(vm.index, [])


@act(Fault.PEERS_LOSE, Fault.PEERS_CUT)
async def _lose_datagrams(world: World, step: Step) -> None:
    vm = world.vm_of(step)
    vm.peers.loss = 1 if step.fault is Fault.PEERS_CUT else _PEER_LOSS
    began_s = world.now()
    await asyncio.sleep(step.for_s)
    vm.peers.loss = 0
    # Who is cut off from its peers delays what others hear through it.
    for other in world.vms:
        world.record.harm_vm(other.index, Span(began_s, world.now()))


@act(Fault.TERM)
async def _stop_and_start(world: World, step: Step) -> None:
    vm = world.vm_of(step)
    await vm.restart(vm.stop)


@act(Fault.KILL)
async def _kill_and_start(world: World, step: Step) -> None:
    vm = world.vm_of(step)
    await vm.restart(vm.kill)


@act(Fault.FREEZE)
async def _freeze(world: World, step: Step) -> None:
    vm = world.vm_of(step)
    began_s = world.now()
    vm.send(signal.SIGSTOP)
    await asyncio.sleep(step.for_s)
    vm.send(signal.SIGCONT)
    for other in world.vms:
        world.record.harm_vm(other.index, Span(began_s, world.now()))


@act(Fault.HUP)
async def _reload(world: World, step: Step) -> None:
    vm = world.vm_of(step)
    vm.write_settings(grace='6s' if step.target % 2 else '6000ms')
    vm.send(signal.SIGHUP)


@act(
    Fault.STORE_DOWN,
    Fault.STORE_SLOW,
    Fault.STORE_LOSES,
    Fault.STORE_REFUSES,
    Fault.STORE_COMPACTS,
)
async def _harm_store(world: World, step: Step) -> None:
    store = world.store
    began_s = world.now()
    names = {
        Fault.STORE_DOWN: 'is_down',
        Fault.STORE_SLOW: 'is_slow',
        Fault.STORE_LOSES: 'loses',
        Fault.STORE_REFUSES: 'refuses',
    }
    if step.fault is Fault.STORE_COMPACTS:
        store.compact()
    else:
        setattr(store, names[step.fault], True)
        await asyncio.sleep(step.for_s)
        setattr(store, names[step.fault], False)
    world.record.store_harmed.append(Span(began_s, world.now()))


@act(Fault.STORE_RESTORED)
async def _restore_store(world: World, step: Step) -> None:
    """Lose what was written since the fault began, and have it written again.

    The entries of the VMs are theirs to write.
    """
    store = world.store
    copied, revision = dict(store.items), store.revision
    await asyncio.sleep(step.for_s)
    began_s = world.now()
    store.is_down = True
    await asyncio.sleep(_RESTORE_S)
    store.restore(copied, revision)
    store.is_down = False
    await asyncio.sleep(_RESTORE_S)
    await world.write_all()
    world.record.store_harmed.append(Span(began_s, world.now()))


@act(Fault.CHANGE)
async def _change_configuration(world: World, step: Step) -> None:
    world.version += 1
    world.limit_s = _TIMEOUTS_S[step.target % len(_TIMEOUTS_S)]
    await world.configure()


@act(Fault.REVOKE)
async def _withdraw_key(world: World, step: Step) -> None:
    spare = [team for team in world.keys if team.startswith('gone')]
    if not spare:
        return
    key = world.keys.pop(spare[0])
    world.version += 1
    await world.configure()
    world.record.revoked_s[key] = world.now()


@act(Fault.DRAIN)
async def _drain(world: World, step: Step) -> None:
    upstream = world.upstream_of(step)
    if upstream.state != 'ready':
        return
    upstream.state = 'draining'
    upstream.is_leaving = True
    await world.publish(upstream)
    began_s = world.now()
    await asyncio.sleep(step.for_s)
    span = Span(began_s, world.now())
    world.record.leaving_s.setdefault(upstream.name, []).append(span)
    # A new process takes its place.
    upstream.started_ms += 1
    upstream.is_leaving = False
    upstream.state = 'ready'
    await world.publish(upstream)


@act(Fault.RELEASE)
async def _replace_upstream(world: World, step: Step) -> None:
    upstream = world.upstream_of(step)
    if upstream.state == 'ready':
        upstream.started_ms += 1
        await world.publish(upstream)


@act(Fault.SPELL, Fault.HANG)
async def _harm_upstream(world: World, step: Step) -> None:
    upstream = world.upstream_of(step)
    name = 'is_in_spell' if step.fault is Fault.SPELL else 'hangs'
    setattr(upstream, name, True)
    await asyncio.sleep(step.for_s)
    setattr(upstream, name, False)


@act(Fault.REST)
async def _ask_for_rest(world: World, step: Step) -> None:
    """Turn requests away, and ask each VM for some of the time that is left."""
    upstream = world.upstream_of(step)
    upstream.rest_s = max(_MIN_REST_S, step.for_s)
    await asyncio.sleep(step.for_s)
    upstream.rest_s = 0


@act(Fault.LIMIT)
async def _name_limit(world: World, step: Step) -> None:
    upstream = world.upstream_of(step)
    if upstream.limit:
        return
    rate = 1.0 + step.target % _MAX_LIMIT
    upstream.limit = rate
    began_s = world.now()
    await asyncio.sleep(step.for_s)
    upstream.limit = 0
    span = Span(began_s, world.now())
    world.record.limits.append((upstream.name, rate, span))


@act(Fault.COLD)
async def _cool_upstream(world: World, step: Step) -> None:
    upstream = world.upstream_of(step)
    if upstream.warmup_left_s:
        return
    await world.cool(upstream)
    await asyncio.sleep(WARMUP_S)
    upstream.warmup_left_s = 0
    await world.publish(upstream)


@act(Fault.EVACUATE)
async def _evacuate_zone(world: World, step: Step) -> None:
    """Empty a zone and use it again, when its upstreams are cold."""
    zone = _ZONES[step.target % len(_ZONES)]
    if zone in world.evacuated:
        return
    world.evacuated.add(zone)
    await world.write_evacuations()
    began_s = world.now()
    await asyncio.sleep(step.for_s)
    world.record.evacuations.append((zone, Span(began_s, world.now())))
    world.evacuated.discard(zone)
    await world.write_evacuations()
    returned = Span(world.now(), world.now() + WARMUP_S)
    for upstream in world.upstreams:
        if upstream.zone == zone:
            world.record.cold.append((upstream.name, returned))
