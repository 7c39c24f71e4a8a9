"""Changes of a replica as fields of messages."""

from typing import Any

from teaselquay.decisions import Delta, Entry, Revision


def entry_fields(entry: Entry) -> dict[str, Any]:
    """Return an entry as the fields of a message."""
    return {
        'key': entry.key,
        'value': entry.value,
        'revision': entry.revision,
    }


def parse_delta(pulled: Any) -> Delta:
    """Return the delta in an answer to a pull."""
    entries = tuple(
        Entry(item.key, bytes(item.value), Revision(item.revision))
        for item in pulled.entries
    )
    return Delta(Revision(pulled.since), Revision(pulled.upto), entries)
