"""Bookings with a long body, within the limit of the configuration."""

import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from deployment import HOST, KEY, deployment  # noqa: E402
from fleet import run_case  # noqa: E402
from standins import Client  # noqa: E402

#: Length of a booking's body. The configuration allows 64 MiB.
LONG_BYTES = 1_500_000
SHORT_BYTES = 750_000
BOOKINGS = 6


async def play(folder, is_troubled, record):
    """Send bookings in chunks and with a length; compare what ran."""
    length = LONG_BYTES if is_troubled else SHORT_BYTES
    chance = random.Random(1)
    calls = []
    async with deployment(folder) as opened:
        for number in range(BOOKINGS):
            machine = opened.machines[number % len(opened.machines)]
            for is_chunked in (True, False):
                client = Client(machine, opened.now)
                framing = 'chunks' if is_chunked else 'length'
                call = await client.call(
                    f'book-{number}-{framing}',
                    'POST',
                    f'/book/{number}',
                    HOST,
                    KEY,
                    chance.randbytes(length),
                    is_chunked,
                    deadline_s=8.0,
                )
                client.close()
                calls.append(call)
        runs = {run.request: run for run in opened.runs}
    changed = 0
    for call in calls:
        run = runs.get(call.request)
        ran = 'not run'
        if run is not None:
            ran = f'run by {run.server} with {run.length} bytes'
            if run.digest != call.digest:
                changed += 1
                ran += ', which is another body'
        record(
            f'{call.request}: sent {call.length} bytes to {call.machine}, '
            f'answered {call.status} after '
            f'{call.ended_s - call.sent_s:.2f} s, {ran}'
        )
    served = sum(call.status == 200 for call in calls)
    record(f'{len(calls)} sent, {served} answered 200')
    record(f'{changed} run with a changed body; the rule allows none')
    return not changed


if __name__ == '__main__':
    run_case(play, FOLDER)
