"""Rate-limited, non-blocking writing of events as JSON lines."""

import json
import logging as std_logging
import os
from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from teaselquay.decisions import WallTime
from teaselquay.events._registry import Event

#: Lines per second of one event, and the largest burst. A VM of the design size
#: serves 108 requests per second, so a fifth of them may be logged.
_MAX_LINES_PER_S = 20.0
_BURST_LINES = 60.0
#: Buffered bytes for a slow reader beyond which new lines are dropped.
_MAX_BUFFERED_BYTES = 1 << 18


class LineWriter:
    """Writer of lines to a file descriptor that never blocks.

    Lines that the reader does not accept are buffered up to a limit; further
    ones are dropped. `dropped` counts them.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor` and make it non-blocking."""
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0

    def write(self, line: bytes) -> None:
        """Write `line`, or buffer or drop it if the reader is slow."""
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and the error cannot be logged elsewhere.
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
    """Token bucket of one event's lines."""

    tokens: float = _BURST_LINES
    as_of: float = 0.0
    suppressed: int = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether one more line may be written, and count it."""
        elapsed_s = max(0.0, now - self.as_of)
        self.tokens = min(
            _BURST_LINES,
            self.tokens + elapsed_s * _MAX_LINES_PER_S,
        )
        self.as_of = now
        if self.tokens < 1:
            self.suppressed += 1
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class Journal:
    """Structured log of one process."""

    vm: str
    incarnation: int
    wall: Callable[[], WallTime]
    write: Callable[[bytes], None]
    _limiters: dict[Event, _RateLimiter] = field(default_factory=dict)

    def emit(self, event: Event, **fields: object) -> None:
        """Log `event` with `fields` unless its rate limit is exceeded.

        The next line of the event has the number of suppressed lines.
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
        """Return a handler that logs standard library records as events."""
        return _Handler(self)


class _Handler(std_logging.Handler):
    """Converts records of the standard library's loggers to events."""

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
