"""Local copy of the store's entries whose revision never decreases."""

from collections import deque
from dataclasses import dataclass, field
from typing import Iterable, Mapping, Sequence

from teaselquay.decisions._ids import NO_REVISION, Revision

#: Total size of the replaced values kept as bases of patches. The longest
#: values in users' stores are half of this.
_MAX_REPLACED_BYTES = 2 << 20
#: Shorter values are not kept, as a patch would not be much smaller.
_MIN_REPLACED_VALUE_BYTES = 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value with the revision of its last write."""

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class Delta:
    """All entries written after `since`, complete up to `upto`.

    `is_last` means that the source had no entry newer than `upto`.
    """

    since: Revision
    upto: Revision
    entries: Sequence[Entry] = ()
    is_last: bool = True


@dataclass(slots=True)
class Replica:
    """Copy of the store that is complete up to `revision`.

    >>> replica = Replica()
    >>> entry = Entry('teams/a', b'{}', Revision(3))
    >>> replica.merge(Delta(NO_REVISION, Revision(3), (entry,)))
    (Entry(key='teams/a', value=b'{}', revision=3),)
    >>> replica.merge(Delta(NO_REVISION, Revision(2), ()))
    ()
    >>> replica.revision
    3
    """

    revision: Revision = NO_REVISION
    #: Entries that the last merge replaced, by key.
    replaced: dict[str, Entry] = field(default_factory=dict)
    _by_key: dict[str, Entry] = field(default_factory=dict)
    _sorted: list[Entry] | None = None
    _replaced_entries: deque[Entry] = field(default_factory=deque)
    _replaced_bytes: int = 0

    @property
    def by_key(self) -> Mapping[str, Entry]:
        """Return the entries by key."""
        return self._by_key

    def get(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if it was never written."""
        return self._by_key.get(key)

    def entry_as_of(self, key: str, revision: Revision) -> Entry | None:
        """Return the entry at `key` as of `revision`.

        Returns None if that entry is not kept any more.
        """
        current = self._by_key.get(key)
        if current is not None and current.revision <= revision:
            return current
        for candidate in reversed(self._replaced_entries):
            if candidate.key == key and candidate.revision <= revision:
                return candidate
        return None

    def merge(self, delta: Delta) -> tuple[Entry, ...]:
        """Apply `delta` and return the entries that it changed.

        A delta that starts after the current revision, and so leaves a gap,
        or ends at or before it changes nothing.
        """
        if delta.since > self.revision or delta.upto <= self.revision:
            return ()
        changed = tuple(
            entry for entry in delta.entries if self._is_newer(entry)
        )
        self.replaced = {
            entry.key: self._by_key[entry.key]
            for entry in changed
            if entry.key in self._by_key
        }
        self._retain_replaced(self.replaced.values())
        for entry in changed:
            self._by_key[entry.key] = entry
        self.revision = delta.upto
        if changed:
            self._sorted = None
        return changed

    def changes_since(self, since: Revision, max_bytes: int) -> Delta:
        """Return a delta after `since` of about `max_bytes` at most.

        Entries are ordered by revision, so that a truncated delta is
        complete up to its last entry. Entries of one revision are never
        split between deltas.
        """
        selected: list[Entry] = []
        selected_bytes = 0
        for entry in self._entries_after(since):
            is_same_write = selected and selected[-1].revision == entry.revision
            if selected_bytes >= max_bytes and not is_same_write:
                # The replica may have entries newer than the revision up to
                # which it is complete, from reads of later pages.
                upto = min(selected[-1].revision, self.revision)
                return Delta(since, upto, tuple(selected), is_last=False)
            selected.append(entry)
            selected_bytes += len(entry.key) + len(entry.value)
        return Delta(since, max(since, self.revision), tuple(selected))

    def _retain_replaced(self, replaced: Iterable[Entry]) -> None:
        for entry in replaced:
            if len(entry.value) >= _MIN_REPLACED_VALUE_BYTES:
                self._replaced_entries.append(entry)
                self._replaced_bytes += len(entry.value)
        while (
            self._replaced_bytes > _MAX_REPLACED_BYTES
            and len(self._replaced_entries) > 1
        ):
            self._replaced_bytes -= len(self._replaced_entries.popleft().value)

    def _is_newer(self, entry: Entry) -> bool:
        current = self._by_key.get(entry.key)
        return current is None or current.revision < entry.revision

    def _entries_after(self, since: Revision) -> Iterable[Entry]:
        if since >= self.revision:
            return ()
        if self._sorted is None:
            self._sorted = sorted(
                self._by_key.values(),
                key=lambda entry: entry.revision,
            )
        start_index = _index_after(self._sorted, since)
        return (
            self._sorted[index]
            for index in range(start_index, len(self._sorted))
        )


def _index_after(entries: Sequence[Entry], since: Revision) -> int:
    low = 0
    high = len(entries)
    while low < high:
        middle = (low + high) // 2
        if entries[middle].revision <= since:
            low = middle + 1
        else:
            high = middle
    return low
