"""Two machines are cut off while the coordinator of a quota restarts."""

import asyncio
from pathlib import Path

from stage.clients import Client
from stage.deployment import Deployment, play, route
from stage.machines import Machine
from stage.servers import answer_after

_MACHINES = 9
_CUT = 3
_CUT_S = 8.0
_RATE = 45
_BURST = 45
_KEY = 'key-of-hot-tenant'
#: Requests a second to each machine: usually the quota is 1.6 times of what
#: the tenant sends, and then it sends 8 times its usual.
_USUAL_PER_S = _RATE / 1.6 / _MACHINES
_HOT_FACTOR = 8.0
#: The rule, with `quota-window`, `quota-overshoot` and `quota-slack`.
_WINDOW_S = 5.0
_MOST = (_RATE * _WINDOW_S + _BURST) * 1.1 + 20
_STEADY_S = 5.0


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
    await asyncio.sleep(5)
    factor[0] = _HOT_FACTOR
    record.add('hot')
    await asyncio.sleep(0.3)
    if has_trouble:
        deployment.links.cut |= {
            (machine.host, machine.peer) for machine in machines[:_CUT]
        }
    cut_at = record.add('cut')
    await asyncio.sleep(_CUT_S)
    deployment.links.cut.clear()
    await asyncio.sleep(_STEADY_S)
    for task in sending:
        task.cancel()
    return _judge(record, cut_at)


def _judge(record, cut_at: float) -> bool:  # type: ignore[no-untyped-def]
    times = [event['at'] for event in record.of('runs')]
    most, begin = max(
        (sum(at <= other < at + _WINDOW_S for other in times), at)
        for at in times
    )
    calm = [at for at in times if at > cut_at + 3]
    calm_most = max(
        sum(at <= other < at + _WINDOW_S for other in calm) for at in calm
    )
    print(f'most in {_WINDOW_S} s: {most}, {begin - cut_at:.1f} s after')
    print(f'most in {_WINDOW_S} s, calm for 3 s before: {calm_most}')
    print(f'allowed: {_MOST:.1f}')
    return most > _MOST


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
