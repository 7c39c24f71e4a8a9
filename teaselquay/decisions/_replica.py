"""A local copy of the store's entries that never goes back in time."""

from collections import deque
from dataclasses import dataclass, field
from typing import Iterable, Mapping, Sequence

from teaselquay.decisions._ids import NO_REVISION, Revision

#: Bytes of replaced values that are kept as bases of patches: two of the
#: longest that stores of the users hold.
_MOST_REPLACED_BYTES = 2 << 20
#: Shorter values are not kept: a patch would not be much shorter.
_LEAST_KEPT_BYTES = 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """One stored value with the revision of its last write."""

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class Delta:
    """All entries written after `since`, complete up to `upto`.

    `is_last` says that the source held nothing newer than `upto`.
    """

    since: Revision
    upto: Revision
    entries: Sequence[Entry] = ()
    is_last: bool = True


@dataclass(slots=True)
class Replica:
    """A copy of the store that is complete up to `revision`.

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
    #: What the last merge replaced, by key.
    replaced: dict[str, Entry] = field(default_factory=dict)
    _by_key: dict[str, Entry] = field(default_factory=dict)
    _sorted: list[Entry] | None = None
    _older: deque[Entry] = field(default_factory=deque)
    _older_bytes: int = 0

    @property
    def by_key(self) -> Mapping[str, Entry]:
        """Return the entries by key."""
        return self._by_key

    def get(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None where nothing was written."""
        return self._by_key.get(key)

    def entry_as_of(self, key: str, revision: Revision) -> Entry | None:
        """Return what this replica held at `key` when it was complete up to
        `revision`, or None if that is not kept.
        """
        known = self._by_key.get(key)
        if known is not None and known.revision <= revision:
            return known
        for older in reversed(self._older):
            if older.key == key and older.revision <= revision:
                return older
        return None

    def merge(self, delta: Delta) -> tuple[Entry, ...]:
        """Return the entries that `delta` changed.

        A delta with a gap before it, or one that ends at or before the
        current revision, changes nothing.
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
        self._keep(self.replaced.values())
        for entry in changed:
            self._by_key[entry.key] = entry
        self.revision = delta.upto
        if changed:
            self._sorted = None
        return changed

    def changes_since(self, since: Revision, most_bytes: int) -> Delta:
        """Return a delta after `since` of about `most_bytes` at most.

        Entries go in the order of their revisions, so that a delta which
        was cut short is complete up to its last entry. Entries of one
        revision are never parted.
        """
        chosen: list[Entry] = []
        size = 0
        for entry in self._after(since):
            same_write = chosen and chosen[-1].revision == entry.revision
            if size >= most_bytes and not same_write:
                # Entries from later pages may be newer than what is complete.
                upto = min(chosen[-1].revision, self.revision)
                return Delta(since, upto, tuple(chosen), is_last=False)
            chosen.append(entry)
            size += len(entry.key) + len(entry.value)
        return Delta(since, max(since, self.revision), tuple(chosen))

    def _keep(self, replaced: Iterable[Entry]) -> None:
        for entry in replaced:
            if len(entry.value) >= _LEAST_KEPT_BYTES:
                self._older.append(entry)
                self._older_bytes += len(entry.value)
        while self._older_bytes > _MOST_REPLACED_BYTES and len(self._older) > 1:
            self._older_bytes -= len(self._older.popleft().value)

    def _is_newer(self, entry: Entry) -> bool:
        known = self._by_key.get(entry.key)
        return known is None or known.revision < entry.revision

    def _after(self, since: Revision) -> Iterable[Entry]:
        if since >= self.revision:
            return ()
        if self._sorted is None:
            self._sorted = sorted(
                self._by_key.values(),
                key=lambda entry: entry.revision,
            )
        first = _first_after(self._sorted, since)
        return (
            self._sorted[index] for index in range(first, len(self._sorted))
        )


def _first_after(entries: Sequence[Entry], since: Revision) -> int:
    low = 0
    high = len(entries)
    while low < high:
        middle = (low + high) // 2
        if entries[middle].revision <= since:
            low = middle + 1
        else:
            high = middle
    return low
