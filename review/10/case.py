"""Clients that send several requests at once leave before their answers."""

import asyncio
from pathlib import Path

from stage.clients import Client
from stage.deployment import Deployment, play, route
from stage.record import Record
from stage.servers import answer_after

#: `give_up` makes a share of up to 0.3 of the clients leave.
_CLIENTS = 40
_LEAVING = 12
_REQUESTS_EACH = 4
_WORK_S = 1.4
#: Half of a target latency, as `give_up` has it.
_LEAVES_AFTER_S = 0.75
_LATE_S = 0.5
#: `more than a few` requests, and `more than a quarter` of those at work.
_FEW = 5
_MOST_SHARE = 0.25


async def _story(deployment: Deployment, has_trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    await deployment.configure(
        {'reads': route('queue', 'idempotent', '/queue/')},
    )
    await deployment.add_servers('queue', 8, answer_after(_WORK_S))
    await deployment.add_machines(2)
    await asyncio.sleep(4)
    machine = deployment.machines[0]
    client = Client(machine.host, machine.front, record)
    for _ in range(2):
        await asyncio.gather(*(client.send('/queue/x') for _ in range(8)))
    left_at: dict[str, float] = {}
    await asyncio.gather(
        *(
            _ask(machine, record, number, left_at, has_trouble)
            for number in range(_CLIENTS)
        )
    )
    await asyncio.sleep(_REQUESTS_EACH * _WORK_S + 1)
    return _judge(record, left_at)


async def _ask(machine, record: Record, number, left_at, has_trouble) -> None:  # type: ignore[no-untyped-def]
    """Send some requests at once; leave, or read all answers."""
    client = Client(machine.host, machine.front, record)
    reader, writer = await asyncio.open_connection(machine.host, machine.front)
    names = [f'p{number}-{place}' for place in range(_REQUESTS_EACH)]
    for name in names:
        record.add('sent', request=name)
        writer.write(client.head('/queue/x', 'GET', b'', name))
    is_leaving = has_trouble and number < _LEAVING
    if is_leaving:
        await asyncio.sleep(_LEAVES_AFTER_S)
    else:
        for _ in names:
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(200)
    writer.close()
    at = record.add('closed', client=number)
    if number < _LEAVING:
        left_at.update((name, at) for name in names)


def _judge(record: Record, left_at: dict[str, float]) -> bool:
    begins = {event['request']: event['at'] for event in record.of('runs')}
    ends = {event['request']: event['at'] for event in record.of('ran')}
    dropped = {event['request']: event['at'] for event in record.of('dropped')}
    late = [
        name
        for name, at in left_at.items()
        if begins.get(name, 0) > at + _LATE_S
    ]
    lasting = [
        name
        for name, at in left_at.items()
        if name in begins
        and begins[name] <= at
        and begins[name] + _WORK_S > at + _LATE_S
    ]
    at_work = [
        name
        for name in lasting
        if ends.get(name, dropped.get(name, 0)) > left_at[name] + _LATE_S
    ]
    print(f'{len(late)} requests reached a server over {_LATE_S} s later')
    print(f'{len(at_work)} of {len(lasting)} were still worked on then')
    is_late = len(late) > _FEW
    return is_late or len(at_work) > _MOST_SHARE * max(1, len(lasting))


play(Path(__file__).parent, _story)
