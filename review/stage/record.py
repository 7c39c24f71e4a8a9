"""The record of what was sent, answered and run."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Events with their times in seconds since the start."""

    def __init__(self) -> None:
        """Begin now."""
        self.began = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def add(self, kind: str, **fields: Any) -> float:
        """Note an event, and return its time."""
        at = self.now()
        self.events.append({'at': round(at, 3), 'kind': kind, **fields})
        return at

    def of(self, kind: str) -> list[dict[str, Any]]:
        """Return the events of a kind."""
        return [event for event in self.events if event['kind'] == kind]

    def write(self, path: Path) -> None:
        """Write one line for each event."""
        lines = (json.dumps(event) for event in self.events)
        path.write_text('\n'.join(lines) + '\n')
