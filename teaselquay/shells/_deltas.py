"""Changes of a replica as fields of messages.

A long value that replaces one that the receiver has is sent as a patch: it
is compressed with the replaced value as the dictionary, so that what both
have in common costs nothing.
"""

from typing import Any

import zstandard

from teaselquay.decisions import Delta, Entry, Replica, Revision

#: Shorter values are sent as they are; most of a fleet's entries are.
_LEAST_PACKED_BYTES = 1024
#: Longest value that is unpacked, the longest that stores of the users hold.
_MOST_VALUE_BYTES = 1 << 20
#: The library's default level.
_LEVEL = 3


class MissingBaseError(Exception):
    """A patch is to a value that this replica does not have."""


def delta_fields(
    replica: Replica,
    delta: Delta,
    with_patches: bool,
) -> dict[str, Any]:
    """Return `delta` of `replica` as the fields of a message.

    With `with_patches`, its receiver is expected to be complete up to where
    the delta begins.
    """
    entries = []
    for entry in delta.entries:
        base = None
        if with_patches:
            base = replica.entry_as_of(entry.key, delta.since)
        entries.append(_entry_fields(entry, base))
    return {'since': delta.since, 'upto': delta.upto, 'entries': entries}


def fields_bytes(fields: dict[str, Any]) -> int:
    """Return the length of the values in what `delta_fields` returned."""
    return sum(len(entry['value']) for entry in fields['entries'])


def parse_delta(pulled: Any, replica: Replica) -> Delta:
    """Return the delta in a message, for `replica`.

    What is of no use to the replica is left out.

    Raises:
        MissingBaseError: a value came as a patch to an unknown one.
        ValueError: a value cannot be unpacked.
    """
    since = Revision(pulled.since)
    upto = Revision(pulled.upto)
    if since > replica.revision or upto <= replica.revision:
        return Delta(since, upto)
    entries = tuple(
        _parse_entry(packed, replica)
        for packed in pulled.entries
        if _is_newer(packed, replica)
    )
    return Delta(since, upto, entries)


def _entry_fields(entry: Entry, base: Entry | None) -> dict[str, Any]:
    fields = {
        'key': entry.key,
        'value': entry.value,
        'revision': entry.revision,
    }
    if len(entry.value) < _LEAST_PACKED_BYTES:
        return fields
    patched = base.value if base else b''
    fields['value'] = _pack(entry.value, patched)
    fields['isPacked'] = True
    fields['base'] = base.revision if base else 0
    return fields


def _is_newer(packed: Any, replica: Replica) -> bool:
    known = replica.get(packed.key)
    return known is None or known.revision < packed.revision


def _parse_entry(packed: Any, replica: Replica) -> Entry:
    found = bytes(packed.value)
    if packed.isPacked:
        found = _unpack(found, _base_of(packed, replica))
    return Entry(packed.key, found, Revision(packed.revision))


def _base_of(packed: Any, replica: Replica) -> bytes:
    if not packed.base:
        return b''
    base = replica.entry_as_of(packed.key, Revision(packed.base))
    if base is None or base.revision != packed.base:
        raise MissingBaseError(packed.key)
    return base.value


def _pack(found: bytes, base: bytes) -> bytes:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL,
        source_size=len(found) + len(base),
        write_content_size=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters,
        dict_data=_dictionary(base),
    )
    return compressor.compress(found)


def _unpack(packed: bytes, base: bytes) -> bytes:
    try:
        length = zstandard.frame_content_size(packed)
        if not 0 <= length <= _MOST_VALUE_BYTES:
            raise ValueError(f'a value of {length} bytes is too long')
        unpacker = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        return unpacker.decompress(packed)
    except zstandard.ZstdError as error:
        raise ValueError(f'a value cannot be unpacked: {error}') from error


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    kind = zstandard.DICT_TYPE_RAWCONTENT
    return zstandard.ZstdCompressionDict(base, dict_type=kind)
