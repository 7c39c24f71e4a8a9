"""Two machines are cut off while the coordinator of a quota restarts."""

import asyncio
import signal
from pathlib import Path

from stage.clients import Client
from stage.deployment import Deployment, play, route
from stage.machines import Machine
from stage.servers import answer_after

_MACHINES = 11
_CUT = 2
_CUT_S = 5.5
_RATE = 60
_BURST = 20
_KEY = 'key-of-hot-tenant'
#: Requests a second to each machine: usually the quota is 1.6 times of what
#: the tenant sends, and at times it sends 8 times its usual.
_USUAL_PER_S = _RATE / 1.6 / _MACHINES
_HOT_FACTOR = 8.0
_HOT_S = 9.0
#: The rule, with `quota-window`, `quota-overshoot` and `quota-slack`.
_WINDOW_S = 5.0
_MOST = (_RATE * _WINDOW_S + _BURST) * 1.1 + 20
#: The bound `stable-window`.
_STABLE_S = 3.0


async def _story(deployment: Deployment, has_trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    await deployment.configure(
        {'reads': route('board', 'idempotent', '/board/')},
        {
            'hot': {
                'api-keys': [_KEY],
                'priority': 0,
                'rate-per-s': _RATE,
                'burst': _BURST,
            }
        },
    )
    await deployment.add_servers('board', 8, answer_after(0.05))
    await deployment.add_machines(_MACHINES, has_links=True)
    await asyncio.sleep(4)
    machines = deployment.machines
    factor = [1.0]
    sending = [
        asyncio.create_task(_send(machine, record, factor))
        for machine in machines
    ]
    await asyncio.sleep(3)
    factor[0] = _HOT_FACTOR
    await asyncio.sleep(3)
    factor[0] = 1.0
    await asyncio.sleep(1)
    coordinator = _coordinator(machines)
    print('coordinator of the quota:', coordinator.name)
    others = [machine for machine in machines if machine is not coordinator]
    cut = {(machine.host, machine.peer) for machine in others[:_CUT]}
    coordinator.send(signal.SIGTERM)
    await asyncio.sleep(0.5)
    if has_trouble:
        deployment.links.cut |= cut
        record.add('cut', machines=sorted(host for host, _ in cut))
    cut_until = record.now() + _CUT_S
    await coordinator.ended()
    await coordinator.start()
    await coordinator.wait_until_ready()
    ready_at = record.now()
    await asyncio.sleep(max(0, cut_until - record.now()))
    deployment.links.cut.clear()
    healed_at = record.add(
        'healed', ready_s_ago=round(record.now() - ready_at, 2)
    )
    await asyncio.sleep(_STABLE_S)
    factor[0] = _HOT_FACTOR
    hot_at = record.add('hot')
    await asyncio.sleep(_HOT_S)
    for task in sending:
        task.cancel()
    print(f'the cut ended {hot_at - healed_at:.1f} s before the hot time')
    return _judge(record, hot_at)


def _judge(record, hot_at: float) -> bool:  # type: ignore[no-untyped-def]
    times = [event['at'] for event in record.of('runs')]
    most, begin = max(
        (sum(at <= other < at + _WINDOW_S for other in times), at)
        for at in times
    )
    print(f'most in {_WINDOW_S} s: {most}, {begin - hot_at:.1f} s after')
    print(f'allowed: {_MOST:.1f}')
    return most > _MOST


def _coordinator(machines: list[Machine]) -> Machine:
    """Return the machine that refuses what exceeds the quota."""

    def refusals(machine: Machine) -> int:
        lines = machine.events('quota.exceeded')
        return sum(not line['is_alone'] for line in lines)

    return max(machines, key=refusals)


async def _send(machine: Machine, record, factor: list[float]) -> None:  # type: ignore[no-untyped-def]
    """Send at a steady rate, whatever the answers are."""
    client = Client(machine.host, machine.front, record, _KEY)
    running = set()
    while True:
        task = asyncio.create_task(client.send('/board/slots'))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / (_USUAL_PER_S * factor[0]))


play(Path(__file__).parent, _story)
