"""A back end that leaves says so in its answers while the store is down."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from deployment import HOST, KEY, deployment  # noqa: E402
from fleet import run_case  # noqa: E402
from standins import Client  # noqa: E402

#: `drain` of the site and of the settings.
DRAIN_S = 2.0
#: How long the store is down.
DOWN_S = 4.5
#: Time from the notice that a back end is taken away to its end.
NOTICE_S = 4.0
CLIENTS = 30
WORK_S = 0.47


async def send(opened, index, stop, calls):
    """Send bookings one after the other on a kept connection."""
    machine = opened.machines[index % len(opened.machines)]
    client = Client(machine, opened.now)
    number = 0
    while not stop.is_set():
        call = await client.call(
            f'book-{index}-{number}',
            'POST',
            f'/book/{index}/{number}',
            HOST,
            KEY,
            b'a booking',
        )
        calls.append(call)
        number += 1
        await asyncio.sleep(0.02)
    client.close()


async def leave(opened, leaver, is_troubled, record):
    """Take `leaver` away, and the store too if there is trouble."""
    if is_troubled:
        opened.store.is_down = True
        record(f'{opened.now():.2f} s: the store is down')
    await asyncio.sleep(0.1)
    # The back end says so in all answers, and reports it to the store as soon
    # as that accepts it.
    leaver.says_leaving = True
    leaver.state = 'draining'
    record(f'{opened.now():.2f} s: {leaver.name} leaves, and says so')
    await leaver.write_entry()
    await asyncio.sleep(NOTICE_S)
    leaver.end()
    record(f'{opened.now():.2f} s: {leaver.name} is gone')
    await asyncio.sleep(DOWN_S - NOTICE_S - 0.1)
    opened.store.is_down = False
    await opened.store.remove(f'servers/{leaver.name}')
    if is_troubled:
        record(f'{opened.now():.2f} s: the store is up')
    await asyncio.sleep(3)


def first_told_s(calls):
    """Return when each machine passed on first that the back end leaves."""
    told_s = {}
    for call in sorted(calls, key=lambda answered: answered.ended_s):
        if call.headers.get('server-leaving'):
            told_s.setdefault(call.machine, call.ended_s)
    return told_s


async def play(folder, is_troubled, record):
    """Let one back end leave, and see what reaches it."""
    async with deployment(folder, servers={'bookdesk': 6}) as opened:
        for back_end in opened.back_ends:
            back_end.work_s = WORK_S
        leaver = opened.back_ends[0]
        stop = asyncio.Event()
        calls = []
        tasks = [
            asyncio.create_task(send(opened, index, stop, calls))
            for index in range(CLIENTS)
        ]
        await asyncio.sleep(4)
        await leave(opened, leaver, is_troubled, record)
        stop.set()
        await asyncio.gather(*tasks)
        runs = {run.request: run for run in opened.runs}
    told_s = first_told_s(calls)
    for machine, at_s in told_s.items():
        record(f'{at_s:.2f} s: {machine} passed on Server-Leaving first')
    late = lost = 0
    for call in calls:
        run = runs.get(call.request)
        if run is None or run.server != leaver.name:
            continue
        since_s = told_s.get(call.machine, float('inf'))
        is_late = call.sent_s > since_s + DRAIN_S
        late += is_late
        lost += call.status != 200
        record(
            f'{call.request}: sent to {call.machine} at {call.sent_s:.2f} s, '
            f'run by {run.server}, answered {call.status}'
            f'{", late" if is_late else ""}'
        )
    record(f'{len(calls)} bookings sent')
    record(f'{lost} run by the leaving back end and not answered with success')
    record(f'{late} reached the leaving back end late; the rule allows none')
    return not late


if __name__ == '__main__':
    run_case(play, FOLDER)
