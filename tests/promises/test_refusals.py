"""A "not run" refusal is true, under all faults together."""

import asyncio
import signal
import time
from collections import Counter
from random import Random
from uuid import uuid4

import pytest

from tests.support.callers import Answer, Caller, new_key
from tests.support.fleet import Fleet, running_fleet

pytestmark = pytest.mark.promise

_FAULTS_S = 20.0


def _inject_faults(fleet: Fleet) -> None:
    """Inject random faults into upstreams, store and VMs, some at once."""
    random = Random(5)
    end = time.monotonic() + _FAULTS_S
    names = sorted(fleet.upstream_ports)
    while time.monotonic() < end:
        name = random.choice(names)
        fleet.faults(
            name,
            break_share=random.choice((0, 0.3)),
            hang_share=random.choice((0, 0.05)),
            cut_share=random.choice((0, 0.5)),
            slow_factor=random.choice((1, 1, 40)),
            leaving=random.random() < 0.2,
            slots=random.choice((6, 1)),
        )
        fleet.faults('store', away=random.random() < 0.3)
        vm = random.choice(fleet.vms)
        if random.random() < 0.3:
            vm.kill()
            vm.start()
        elif random.random() < 0.3:
            vm.signal(signal.SIGSTOP)
            time.sleep(random.uniform(0.5, 4))
            vm.signal(signal.SIGCONT)
        time.sleep(0.5)
    fleet.faults('store', away=False)


async def _send_request(
    fleet: Fleet, key: str, seed: int
) -> tuple[str, Answer | None]:
    random = Random(seed)
    attempt = str(uuid4())
    headers = {'x-attempt': attempt}
    path = random.choice(('/slots', '/booking', '/booking', '/nowhere'))
    method = 'GET' if path == '/slots' else 'POST'
    if path == '/booking' and random.random() < 0.95:
        age_s = random.choice((0, 0, 0, 0, 700))
        headers['idempotency-key'] = new_key(time.time() - age_s)
    body = None
    if method == 'POST':
        body = b'x' * random.choice((2, 2, 100_000, 2_000_000))
    size = random.choice((0, 0, 500_000))
    caller = Caller(random.choice(fleet.vms).data, key)
    answer = await caller.ask(
        method,
        f'{path}/{seed}?size={size}',
        headers,
        body,
        timeout_s=random.choice((5, 5, 0.05)),
    )
    caller.close()
    return attempt, answer


def test_not_run_is_true_under_all_faults_together() -> None:
    services = {'slots': 3, 'booking': 3}
    with running_fleet(vms=4, services=services) as fleet:
        fleet.do('service slots set floor=0.3')
        fleet.do('service booking set floor=0.3')
        fleet.do('route slots set prefix=/slots service=slots timeout_ms=800')
        fleet.do(
            'route booking set prefix=/booking service=booking methods=POST'
            ' idempotent=false timeout_ms=1500',
        )
        keys = [
            # A sixth of 80 requests a second far exceeds this rate.
            fleet.grant('small', 4, 4),
            fleet.grant('large', 1000, 500),
            'tq_unknown',
        ]
        fleet.wait_owned()

        async def main() -> list[tuple[str, Answer | None]]:
            fault_task = asyncio.create_task(
                asyncio.to_thread(_inject_faults, fleet),
            )
            random = Random(50)
            tasks = []
            while not fault_task.done():
                key = random.choices(keys, (2, 10, 1))[0]
                work = _send_request(fleet, key, random.getrandbits(32))
                tasks.append(asyncio.create_task(work))
                await asyncio.sleep(random.expovariate(80))
            await fault_task
            return await asyncio.gather(*tasks)

        answers = asyncio.run(main())
        ran = {
            value
            for item in fleet.ran()
            for name, value in item['headers']
            if name == 'x-attempt'
        }
    refused = [
        (attempt, answer)
        for attempt, answer in answers
        if answer and answer.whole and answer.run
    ]
    false_refusals = [
        answer.json()
        for attempt, answer in refused
        if answer.run == 'not-run' and attempt in ran
    ]
    assert not false_refusals, false_refusals[:3]
    kinds = Counter(
        answer.json()['type'].rpartition(':')[2] for _, answer in refused
    )
    statuses = Counter(a.status if a else None for _, a in answers)
    print(kinds, statuses)
    # Guards against a vacuous pass: each kind must have occurred.
    for kind in (
        'key-unknown',
        'route-unknown',
        'rate-exceeded',
        'body-too-large',
        'idempotency-key-invalid',
        'outcome-unknown',
        'upstream-failed',
    ):
        assert kinds[kind] > 0, kinds
    assert statuses[200] > 200
