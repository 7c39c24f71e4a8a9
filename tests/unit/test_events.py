"""Logs are bounded, and never make a VM wait."""

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


def test_lines_of_one_event_are_bounded_and_what_is_left_out_is_counted():
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


def test_pipe_that_nobody_reads_stops_nothing():
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    line = b'x' * 999 + b'\n'
    for _ in range(2000):
        writer.write(line)
    assert writer.dropped > 0
    assert writer._buffered_bytes <= 1 << 18
    os.set_blocking(reading, False)
    found = os.read(reading, 1 << 20)
    writer.write(line)
    found += os.read(reading, 1 << 20)
    # What was written is whole lines in their order.
    assert found.startswith(line)
    assert found.count(b'\n') == len(found) // len(line)
    os.close(reading)
    os.close(writing)


def test_pipe_whose_reader_is_gone_stops_nothing():
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(writing)
    writer.write(b'line\n')
    writer.write(b'line\n')
    assert writer.dropped == 2
    os.close(writing)


def test_operations_page_lists_every_event():
    page = Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'
    text = page.read_text()
    missing = [item.value for item in Event if f'`{item.value}`' not in text]
    assert not missing
