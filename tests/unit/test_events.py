"""Logging is rate-limited and never blocks a VM."""

import json
import os
from pathlib import Path

from teaselquay.decisions import WallTime
from teaselquay.events import Event, Journal, LineWriter


def _journal(lines: list[bytes], clock: list[float]) -> Journal:
    return Journal('vm-1', 1, lambda: WallTime(clock[0]), lines.append)


def test_line_carries_its_event_and_fields():
    lines: list[bytes] = []
    _journal(lines, [5.0]).emit(Event.STORE_LOST, reason='timeout')
    assert json.loads(lines[0]) == {
        'time': 5.0,
        'event': 'store.lost',
        'vm': 'vm-1',
        'incarnation': 1,
        'reason': 'timeout',
    }


def test_lines_of_one_event_are_limited_and_suppressed_ones_are_counted():
    lines: list[bytes] = []
    clock = [0.0]
    journal = _journal(lines, clock)
    for _ in range(5000):
        journal.emit(Event.REQUEST_REFUSED)
    journal.emit(Event.STORE_LOST)
    assert len(lines) <= 62
    clock[0] = 10.0
    journal.emit(Event.REQUEST_REFUSED)
    assert json.loads(lines[-1])['suppressed'] >= 5000 - 61


def test_unread_pipe_does_not_block_writer():
    read_end, write_end = os.pipe()
    writer = LineWriter(write_end)
    line = b'x' * 999 + b'\n'
    for _ in range(2000):
        writer.write(line)
    assert writer.dropped > 0
    assert writer._buffered_bytes <= 1 << 18
    os.set_blocking(read_end, False)
    received = os.read(read_end, 1 << 20)
    writer.write(line)
    received += os.read(read_end, 1 << 20)
    # Only whole lines were written, in order.
    assert received.startswith(line)
    assert received.count(b'\n') == len(received) // len(line)
    os.close(read_end)
    os.close(write_end)


def test_closed_pipe_does_not_block_writer():
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LineWriter(write_end)
    writer.write(b'line\n')
    writer.write(b'line\n')
    assert writer.dropped == 2
    os.close(write_end)


def test_operations_page_lists_every_event():
    page = Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'
    text = page.read_text()
    missing = [item.value for item in Event if f'`{item.value}`' not in text]
    assert not missing
