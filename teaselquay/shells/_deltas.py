"""Encodes replica deltas as the fields of messages.

A long value that replaces one that the receiver has is sent as a patch: it
is compressed with the replaced value as the dictionary, so that content
common to both takes almost no space.
"""

from typing import Any

import zstandard

from teaselquay.decisions import (
    NO_REVISION,
    Delta,
    Entry,
    Replica,
    Revision,
    era_of,
    number_of,
    revision_at,
)

#: Shorter values, which most entries of a fleet have, are sent uncompressed.
_MIN_COMPRESSED_VALUE_BYTES = 1024
#: Longest value that is decompressed, the longest that user stores hold.
_MAX_VALUE_BYTES = 1 << 20
#: Compression level, the default of zstandard.
_COMPRESSION_LEVEL = 3


class MissingBaseError(Exception):
    """A patch refers to a base value that the replica does not have."""


def delta_fields(
    replica: Replica,
    delta: Delta,
    with_patches: bool,
) -> dict[str, Any]:
    """Return `delta` of `replica` as the fields of a message.

    With `with_patches`, the receiver must have all values up to the
    revision at which the delta begins.
    """
    entries = []
    for entry in delta.entries:
        base = None
        if with_patches:
            base = replica.entry_as_of(entry.key, delta.since)
        entries.append(_entry_fields(entry, base))
    return {
        'since': number_of(delta.since),
        'sinceEra': era_of(delta.since),
        'upto': number_of(delta.upto),
        'uptoEra': era_of(delta.upto),
        'entries': entries,
    }


def fields_bytes(fields: dict[str, Any]) -> int:
    """Return the total bytes of the values in `fields` of `delta_fields`."""
    return sum(len(entry['value']) for entry in fields['entries'])


def parse_delta(pulled: Any, replica: Replica) -> Delta:
    """Return the delta in a message, without what `replica` cannot use.

    Entries that are not newer than those of the replica are omitted. All
    entries are if the delta begins after the replica's revision or ends
    no later.

    Raises:
        MissingBaseError: the base value of a patch is missing here.
        ValueError: a value cannot be decompressed or is too long, or a
            revision is out of range.
    """
    since = revision_at(pulled.sinceEra, pulled.since)
    upto = revision_at(pulled.uptoEra, pulled.upto)
    if since > replica.revision or upto <= replica.revision:
        return Delta(since, upto)
    entries = tuple(
        _parse_entry(item, replica)
        for item in pulled.entries
        if _is_newer(item, replica)
    )
    return Delta(since, upto, entries)


def _entry_fields(entry: Entry, base: Entry | None) -> dict[str, Any]:
    fields = {
        'key': entry.key,
        'value': entry.value,
        'revision': number_of(entry.revision),
        'era': era_of(entry.revision),
    }
    if len(entry.value) < _MIN_COMPRESSED_VALUE_BYTES:
        return fields
    base_value = base.value if base else b''
    fields['value'] = _compress(entry.value, base_value)
    fields['isPacked'] = True
    base_revision = base.revision if base else NO_REVISION
    fields['base'] = number_of(base_revision)
    fields['baseEra'] = era_of(base_revision)
    return fields


def _is_newer(item: Any, replica: Replica) -> bool:
    known = replica.get(item.key)
    return known is None or known.revision < _revision_of(item)


def _revision_of(item: Any) -> Revision:
    return revision_at(item.era, item.revision)


def _parse_entry(item: Any, replica: Replica) -> Entry:
    value = bytes(item.value)
    if item.isPacked:
        value = _decompress(value, _base_value(item, replica))
    return Entry(item.key, value, _revision_of(item))


def _base_value(item: Any, replica: Replica) -> bytes:
    if not item.base:
        return b''
    revision = revision_at(item.baseEra, item.base)
    base = replica.entry_as_of(item.key, revision)
    if base is None or base.revision != revision:
        raise MissingBaseError(item.key)
    return base.value


def _compress(value: bytes, base: bytes) -> bytes:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _COMPRESSION_LEVEL,
        source_size=len(value) + len(base),
        write_content_size=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters,
        dict_data=_dictionary(base),
    )
    return compressor.compress(value)


def _decompress(compressed: bytes, base: bytes) -> bytes:
    try:
        length = zstandard.frame_content_size(compressed)
        if not 0 <= length <= _MAX_VALUE_BYTES:
            raise ValueError(f'value of {length} bytes is too long')
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        return decompressor.decompress(compressed)
    except zstandard.ZstdError as error:
        raise ValueError(f'cannot decompress value: {error}') from error


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    dict_type = zstandard.DICT_TYPE_RAWCONTENT
    return zstandard.ZstdCompressionDict(base, dict_type=dict_type)
