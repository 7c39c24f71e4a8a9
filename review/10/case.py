"""A coordinator restarts while a request that crashes servers comes again."""

import asyncio
import json
import signal
from pathlib import Path

from stage.clients import Client
from stage.deployment import Deployment, play, route
from stage.http import Message, head_of, read_body, read_head
from stage.machines import Machine
from stage.record import Record
from stage.servers import Server

_WORK_S = 0.1
_SERVERS = 12
_MACHINES = 5
_POISON = '/board/poison'
_DOWN_S = 2.0
_POISON_PERIOD_S = 1.0
_ROLLOUTS = 2
_RESTART_S = 0.5
#: The bound `stable-window`, and the most retries.
_STABLE_S = 3.0
_MOST = 3
_crashing: set[asyncio.Task[None]] = set()


async def _work(
    server: Server, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer, or crash with all that the server works on."""
    await asyncio.sleep(_WORK_S)
    if _POISON in request.first:
        _crashing.add(asyncio.create_task(server.crash(_DOWN_S)))
        await asyncio.sleep(60)
    fields = server.fields(request, **{'Content-Length': '200'})
    writer.write(head_of('HTTP/1.1 200 OK', fields) + b'x' * 200)


async def _story(deployment: Deployment, has_trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    await deployment.configure(
        {'reads': route('board', 'idempotent', '/board/')}
    )
    await deployment.add_servers('board', _SERVERS, _work)
    await deployment.add_machines(_MACHINES)
    machines = deployment.machines
    await asyncio.sleep(4)
    restarted = await _coordinator(machines, machines[0])
    staying = [machine for machine in machines if machine is not restarted]
    usual = [
        asyncio.create_task(_send(machine, record, '/board/x', 0.2))
        for machine in staying
    ]
    await asyncio.sleep(1)
    poison = []
    for machine in staying[:2]:
        poison.append(
            asyncio.create_task(
                _send(machine, record, _POISON, _POISON_PERIOD_S)
            )
        )
        await asyncio.sleep(_POISON_PERIOD_S / 2)
    await asyncio.sleep(8)
    for _ in range(_ROLLOUTS):
        if has_trouble:
            restarted.send(signal.SIGTERM)
            await restarted.ended()
            await asyncio.sleep(_RESTART_S)
            await restarted.start()
            await restarted.wait_until_ready()
        await asyncio.sleep(8)
    for task in usual + poison:
        task.cancel()
    crashes = record.of('crashes')
    third_at = crashes[2]['at']
    late = [
        event
        for event in record.of('runs')
        if _POISON in event['line'] and event['at'] > third_at + _STABLE_S
    ]
    print(f'{len(crashes)} crashes; the third at {third_at:.1f} s')
    for event in late:
        print(f'{event["request"]} reaches {event["server"]} at {event["at"]}')
    return len(late) > _MOST


async def _coordinator(machines: list[Machine], asked: Machine) -> Machine:
    """Return the machine that places the requests, as another one tells."""
    reader, writer = await asyncio.open_connection(asked.host, asked.ready)
    fields = {'Host': 'h', 'Connection': 'close'}
    target = '/placement?host=app.example&path=/board/x'
    writer.write(head_of(f'GET {target} HTTP/1.1', fields))
    answer = await read_head(reader)
    await read_body(reader, answer)
    writer.close()
    name = json.loads(answer.body)['services'][0]['coordinator']
    return next(machine for machine in machines if machine.name == name)


async def _send(
    machine: Machine, record: Record, target: str, period_s: float
) -> None:
    """Send at a steady rate, whatever the answers are."""
    client = Client(machine.host, machine.front, record)
    running = set()
    while True:
        task = asyncio.create_task(client.send(target))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(period_s)


play(Path(__file__).parent, _story)
