"""The bodies that a VM holds have a bound together."""

import asyncio
import json
import tracemalloc

import pytest

from teaselquay.configuration import RequestLimits, RouteKind
from teaselquay.gateway._body_memory import BodyMemory
from tests.support.gateway import (
    Gateway,
    Received,
    ScriptedUpstream,
    answer,
    configuration,
    read_whole,
    replies,
    request_head,
    run_with,
)

Upstreams = list[ScriptedUpstream]
_MIB = 1 << 20
_LONG_BYTES = 60 * _MIB
_SHORT_BYTES = 200_000
#: The memory of a small VM that is not taken at rest.
_FREE_MEMORY_BYTES = 140 * _MIB


def _config(timeout_s: float = 8.0):
    config = configuration(RouteKind.NON_IDEMPOTENT, timeout_s=timeout_s)
    limits = RequestLimits(max_body_bytes=64 * _MIB)
    object.__setattr__(config, 'limits', limits)
    return config


async def _discard(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    received: Received,
) -> None:
    """Read a body with a length without holding it, and answer."""
    left = int(received.headers['content-length'])
    while left:
        part = await reader.read(min(left, _MIB))
        if not part:
            raise ConnectionError
        left -= len(part)
    received.body = b'whole'
    writer.write(answer(received))


async def _book(gateway: Gateway, length: int) -> int:
    """Return the status of a booking with a body of `length` bytes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    part = b'x' * (1 << 18)
    try:
        writer.write(request_head('POST', '/slots/1', length))
        for begin in range(0, length, len(part)):
            writer.write(part[: length - begin])
            await writer.drain()
        return (await read_whole(reader))[0]
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


def test_long_bodies_at_once_do_not_take_all_memory():
    # Six bodies ended the process, and the requests of others with it.
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        tracemalloc.start()
        try:
            long_bodies = [
                asyncio.create_task(_book(gateway, _LONG_BYTES))
                for _ in range(6)
            ]
            await asyncio.sleep(0.2)
            short = [await _book(gateway, _SHORT_BYTES) for _ in range(5)]
            statuses = await asyncio.gather(*long_bodies)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak_bytes <= _FREE_MEMORY_BYTES
        assert short == [200] * 5
        assert 200 in statuses
        whole = sum(bool(each.body) for each in upstreams[0].received)
        assert whole == statuses.count(200) + len(short)

    run_with(_config(), [_discard], check)


def test_body_that_finds_no_room_is_refused_in_time_as_not_run():
    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        claim = await gateway.parts.body_memory.claim(_LONG_BYTES)
        loop = asyncio.get_running_loop()
        began = loop.time()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', gateway.port
        )
        writer.write(request_head('POST', '/slots/1', 10 * _MIB))
        status, headers, body = await read_whole(reader)
        writer.close()
        assert (status, json.loads(body)['run']) == (503, 'not-run')
        assert float(headers['retry-after']) > 0
        # Half of the time is left for another VM.
        assert loop.time() - began <= 0.6 * 2
        claim.release()
        assert await _book(gateway, 10 * _MIB) == 200

    run_with(_config(timeout_s=2.0), [_discard], check)


@pytest.mark.parametrize('is_chunked', [False, True])
def test_memory_is_released_however_a_request_ends(is_chunked: bool):
    framing = {'transfer_encoding': 'chunked', 'content_length': ''}
    head = request_head(
        'POST', '/slots/1', 3 * _MIB, **(framing if is_chunked else {})
    )
    part = b'x' * (2 * _MIB)
    if is_chunked:
        part = b'%x\r\n%b\r\n' % (len(part), part)

    async def check(gateway: Gateway, upstreams: Upstreams) -> None:
        memory = gateway.parts.body_memory
        _, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
        writer.write(head + part)
        async with asyncio.timeout(2):
            while memory.long.used_bytes < 3 * _MIB:
                await asyncio.sleep(0.01)
        # The caller leaves in the middle of its body.
        writer.transport.abort()
        async with asyncio.timeout(2):
            while memory.long.used_bytes or memory.short.used_bytes:
                await asyncio.sleep(0.01)
        assert not upstreams[0].received

    run_with(_config(), [replies()], check)


def test_body_that_does_not_come_in_time_is_refused_at_the_deadline():
    async def check(gateway: Gateway, _: Upstreams) -> None:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', gateway.port
        )
        writer.write(request_head('POST', '/slots/1', 9) + b'part')
        async with asyncio.timeout(1.5):
            status, _, body = await read_whole(reader)
        assert (status, json.loads(body)['run']) == (503, 'not-run')
        writer.close()

    run_with(_config(timeout_s=1.0), [replies()], check)


def test_claims_are_granted_in_order_and_never_exceed_the_capacity():
    async def main() -> None:
        memory = BodyMemory()
        first = await memory.claim(_LONG_BYTES)
        order: list[int] = []

        async def claim(number: int, size: int) -> None:
            held = await memory.claim(size)
            order.append(number)
            assert memory.long.used_bytes <= memory.long.capacity_bytes
            await asyncio.sleep(0.01)
            held.release()

        tasks = [
            asyncio.create_task(claim(number, size * _MIB))
            for number, size in enumerate((40, 30, 2, 64))
        ]
        await asyncio.sleep(0)
        short = await memory.claim(_MIB)
        assert not order
        tasks[1].cancel()
        first.release()
        short.release()
        short.release()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert order == [0, 2, 3]
        # One that is larger than the pool fits alone.
        (await memory.claim(100 * _MIB)).release()
        assert not memory.long.used_bytes
        assert not memory.short.used_bytes

    asyncio.run(main())


def test_body_that_gave_up_waiting_does_not_hold_up_others():
    # It stayed at the head of the queue until the pool was empty.
    async def main() -> None:
        memory = BodyMemory()
        held = await memory.claim(30 * _MIB)
        waiting = asyncio.create_task(memory.claim(60 * _MIB))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.wait([waiting])
        async with asyncio.timeout(1):
            (await memory.claim(10 * _MIB)).release()
        held.release()
        assert not memory.long.used_bytes

    asyncio.run(main())
