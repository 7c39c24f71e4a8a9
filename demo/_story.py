"""What happens in the demonstration, and what is checked."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random

from demo._fleet import Demo
from tests.support.callers import Answer, Caller, new_key
from tests.support.fleet import VmProcess

_RATE = 240.0
_SICK = 'slots-2'
_DETECTED_S = 3.0
_WITHDRAWN_S = 6.0


@dataclass(frozen=True)
class Line:
    """One line of the table: what was promised and what was seen."""

    promise: str
    seen: str
    held: bool


@dataclass
class Story:
    """Traffic of both deployments, and the events it lives through."""

    demo: Demo
    answers: list[tuple[str, str, Answer | None]] = field(
        default_factory=list,
    )
    ready: list[VmProcess] = field(default_factory=list)
    stopped: bool = False

    async def run(self) -> list[Line]:
        """Return one line for each promise that was tried."""
        self.ready = list(self.demo.fleet.vms)
        traffic = asyncio.create_task(self._traffic())
        await asyncio.sleep(3)
        lines = [
            await self._gray_failure(),
            await self._withdrawal(),
            await self._drain(),
        ]
        self.stopped = True
        await traffic
        return [*lines, *await asyncio.to_thread(self._totals)]

    async def _traffic(self) -> None:
        random = Random(1)
        tasks = []
        while not self.stopped:
            await asyncio.sleep(random.expovariate(_RATE))
            tasks.append(asyncio.create_task(self._request(random)))
        await asyncio.gather(*tasks)

    async def _request(self, random: Random) -> None:
        team, path = random.choice(
            (
                ('nadir', '/slots'),
                ('nadir', '/slots'),
                ('nadir', '/slots'),
                ('nadir', '/slots'),
                ('nadir', '/booking'),
                ('al-wusta', '/diary'),
                ('al-wusta', '/diary'),
                ('al-wusta', '/returns'),
                ('courier', '/diary'),
                ('courier', '/diary'),
            ),
        )
        vm = random.choice(self.ready)
        caller = Caller(vm.data, self.demo.keys[team])
        if path in {'/booking', '/returns'}:
            headers = {'idempotency-key': new_key()}
            answer = await caller.ask('POST', f'{path}/1', headers, b'{}')
            if random.random() < 0.3:
                # The caller sends it again, through another VM.
                again = Caller(random.choice(self.ready).data, caller.key)
                await again.ask('POST', f'{path}/1', headers, b'{}')
                again.close()
        else:
            answer = await caller.ask('GET', f'{path}/1')
        caller.close()
        self.answers.append((team, path, answer))

    async def _gray_failure(self) -> Line:
        """Let one upstream fail 30 % of its work while it looks well."""
        fleet = self.demo.fleet
        await asyncio.to_thread(fleet.faults, _SICK, fail_share=0.3)
        began = time.monotonic()
        taken = None
        while time.monotonic() - began < 8:
            rows = await asyncio.to_thread(
                lambda: fleet.do('show service slots')['rows'],
            )
            use = {row['upstream']: row['use'] for row in rows}
            if use[_SICK] == 'ejected':
                taken = time.monotonic() - began
                break
            await asyncio.sleep(0.1)
        await asyncio.to_thread(fleet.faults, _SICK, fail_share=0)
        seen = 'not ejected' if taken is None else f'out after {taken:.1f} s'
        held = taken is not None and taken <= _DETECTED_S
        return Line('gray upstream out of use within 3 s', seen, held)

    async def _withdrawal(self) -> Line:
        fleet = self.demo.fleet
        digest = sha256(self.demo.keys['courier'].encode()).hexdigest()
        answer = await asyncio.to_thread(
            fleet.do,
            f'key withdraw courier {digest}',
        )
        began = time.monotonic()
        last = 0.0
        while time.monotonic() - began < 2:
            for vm in fleet.vms:
                caller = Caller(vm.data, self.demo.keys['courier'])
                reply = await caller.ask('GET', '/diary/1')
                caller.close()
                if reply is not None and reply.status != 401:
                    last = time.monotonic() - began
            await asyncio.sleep(0.05)
        seen = f'{answer["summary"]}; last use after {last:.1f} s'
        return Line('withdrawn key stops', seen, last <= _WITHDRAWN_S)

    async def _drain(self) -> Line:
        vm = self.demo.fleet.vms[1]
        code_task = asyncio.create_task(asyncio.to_thread(vm.stop))
        # The balancer notices a little later.
        await asyncio.sleep(0.5)
        self.ready.remove(vm)
        code = await code_task
        return Line('planned stop of a VM', f'exit code {code}', code == 0)

    def _totals(self) -> list[Line]:
        whole = [a for _, _, a in self.answers if a and a.whole]
        cut = len(self.answers) - len(whole)
        mine = [
            answer
            for team, _, answer in self.answers
            if team != 'courier' and answer
        ]
        statuses = Counter(answer.status for answer in mine)
        good = statuses[200] / max(1, len(mine))
        ran = Counter(
            item['key'] for item in self.demo.fleet.ran() if item['key']
        )
        twice = sum(1 for count in ran.values() if count > 1)
        leaked = sum(
            key in str(item)
            for item in self.demo.fleet.ran()
            for key in self.demo.keys.values()
        )
        return [
            Line('no answer cut', f'{cut} of {len(self.answers)}', cut == 0),
            Line(
                'teams within their rate are served',
                f'{good:.2%} of {len(mine)}',
                good >= 0.99,
            ),
            Line(
                'bookings run at most once',
                f'{twice} of {len(ran)} ran twice',
                twice == 0 and len(ran) > 0,
            ),
            Line('no upstream sees a key', f'{leaked} seen', leaked == 0),
        ]
