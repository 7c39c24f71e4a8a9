"""Parses events from log files, one line at a time."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO, Callable, Iterable, Iterator, Mapping

_COMMON_FIELDS = frozenset(('time', 'event', 'vm', 'incarnation'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event as a VM logged it; `time` is in seconds since the epoch."""

    time: float
    event: str
    vm: str
    incarnation: int = 0
    fields: Mapping[str, Any] = field(default_factory=dict)

    @property
    def area(self) -> str:
        """Return the first part of the event name, such as `upstream`."""
        return self.event.partition('.')[0]

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line is about, or ''."""
        return str(self.fields.get('request', ''))

    @property
    def began(self) -> float:
        """Return when the request began, in seconds since the epoch.

        Without `after_s` in the line, it is the time of the line.
        """
        return self.time - float(self.fields.get('after_s') or 0)


def parse_line(text: bytes) -> LogLine | None:
    """Return the event in `text`, or None if it has no readable event.

    Text before the JSON document, such as a prefix that a log collector adds,
    is ignored.

    >>> parse_line(b'vm-1| {"time":1.5,"event":"store.lost","vm":"vm-1"}').time
    1.5
    >>> parse_line(b'Traceback (most recent call last):')
    """
    start = text.find(b'{')
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        return LogLine(
            time=float(document['time']),
            event=str(document['event']),
            vm=str(document['vm']),
            incarnation=int(document.get('incarnation', 0)),
            fields={
                name: value
                for name, value in document.items()
                if name not in _COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError):
        return None


@dataclass(slots=True)
class LogFiles:
    """Log files that are streamed line by line, in any number of passes.

    `on_progress` is called with the number of bytes in each line that was
    read, for a progress bar.
    """

    paths: tuple[Path, ...]
    on_progress: Callable[[int], None] = lambda byte_count: None
    #: Number of lines in the last pass that contain an event but are malformed.
    unreadable: int = 0

    @property
    def total_bytes(self) -> int:
        """Return the number of bytes that one pass reads."""
        return sum(path.stat().st_size for path in self.paths)

    def lines_containing(
        self, search_terms: Iterable[str]
    ) -> Iterator[LogLine]:
        """Yield the events whose line contains one of `search_terms`.

        Only matching lines are parsed, so that a pass costs little more than
        reading the files.
        """
        encoded_terms = tuple(term.encode() for term in search_terms)
        self.unreadable = 0
        for path in self.paths:
            with path.open('rb') as stream:
                yield from self._read_matching(stream, encoded_terms)

    def _read_matching(
        self,
        stream: BinaryIO,
        encoded_terms: tuple[bytes, ...],
    ) -> Iterator[LogLine]:
        for text in stream:
            self.on_progress(len(text))
            if not any(term in text for term in encoded_terms):
                continue
            line = parse_line(text)
            if line is not None:
                yield line
            elif b'"event"' in text:
                self.unreadable += 1
