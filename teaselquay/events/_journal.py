"""Writes events as JSON lines, bounded in limiter and never blocking."""

import json
import logging as std_logging
import os
from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from teaselquay.decisions import WallTime
from teaselquay.events._registry import Event

#: Lines a second of one event, and how many may come at once. A VM of the
#: design size serves 108 requests a second, so a fifth may be explained.
_MAX_LINES_PER_S = 20.0
_BURST_LINES = 60.0
#: Lines that wait for a slow reader before new ones are dropped.
_MAX_BUFFERED_BYTES = 1 << 18


class LineWriter:
    """A descriptor that is written to without waiting.

    What a reader does not try_acquire is kept up to a bound and then dropped.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`, which becomes non-blocking."""
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0

    def write(self, line: bytes) -> None:
        """Write `line`, or keep or drop it."""
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place to report it.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()


@dataclass(slots=True)
class _RateLimiter:
    tokens: float = _BURST_LINES
    as_of: float = 0.0
    suppressed: int = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether one more line may be written."""
        elapsed_s = max(0.0, now - self.as_of)
        self.tokens = min(
            _BURST_LINES, self.tokens + elapsed_s * _MAX_LINES_PER_S
        )
        self.as_of = now
        if self.tokens < 1:
            self.suppressed += 1
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class Journal:
    """The log of one process."""

    vm: str
    incarnation: int
    wall: Callable[[], WallTime]
    write: Callable[[bytes], None]
    _limiters: dict[Event, _RateLimiter] = field(default_factory=dict)

    def emit(self, event: Event, **fields: object) -> None:
        """Log `event` with `fields`, unless it came too often.

        The next line of the event then says how many were suppressed.
        """
        now = self.wall()
        limiter = self._limiters.setdefault(event, _RateLimiter(as_of=now))
        if not limiter.try_acquire(now):
            return
        document: dict[str, object] = {
            'time': round(now, 6),
            'event': event.value,
            'vm': self.vm,
            'incarnation': self.incarnation,
            **fields,
        }
        if limiter.suppressed:
            document['suppressed'] = limiter.suppressed
            limiter.suppressed = 0
        text = json.dumps(document, separators=(',', ':'), default=str)
        self.write(text.encode() + b'\n')

    def handler(self) -> std_logging.Handler:
        """Return a handler that logs records of other parts as events."""
        return _Handler(self)


class _Handler(std_logging.Handler):
    """Turns records of the standard library's loggers into events."""

    def __init__(self, journal: Journal) -> None:
        super().__init__()
        self._journal = journal

    def emit(self, record: std_logging.LogRecord) -> None:
        fields: dict[str, object] = {
            'level': record.levelname.lower(),
            'text': record.getMessage(),
        }
        if record.exc_info:
            formatter = std_logging.Formatter()
            fields['exception'] = formatter.formatException(record.exc_info)
        self._journal.emit(Event.MESSAGE, **fields)
