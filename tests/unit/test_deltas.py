"""Deltas as the fields of messages, with and without patches."""

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from teaselquay.decisions import Delta, Entry, Replica, Revision
from teaselquay.shells import (
    MissingBaseError,
    delta_fields,
    fields_bytes,
    parse_delta,
)

_UNCOMPRESSED = {'base': 0, 'baseEra': 0, 'isPacked': False}


def _replica(*values: bytes) -> Replica:
    """Return a replica with `values` of one key, one per revision."""
    replica = Replica()
    for revision, value in enumerate(values, start=1):
        entry = Entry('config', value, Revision(revision))
        delta = Delta(Revision(revision - 1), Revision(revision), (entry,))
        replica.merge(delta)
    return replica


def _received_message(
    source: Replica, since: int, with_patches: bool = True
) -> Any:
    delta = source.changes_since(Revision(since), 1 << 21)
    fields = delta_fields(source, delta, with_patches)
    entries = [
        SimpleNamespace(**{**_UNCOMPRESSED, **entry})
        for entry in fields['entries']
    ]
    return SimpleNamespace(**{**fields, 'entries': entries})


def _long_value(seed: int) -> bytes:
    return Random(seed).randbytes(20_000)


def test_patch_costs_what_has_changed():
    old = _long_value(1)
    new = old[:9000] + b'something else' + old[9014:]
    source = _replica(old, new)
    delta = source.changes_since(Revision(1), 1 << 21)
    assert fields_bytes(delta_fields(source, delta, with_patches=True)) < 200
    assert fields_bytes(delta_fields(source, delta, with_patches=False)) > 9000


def test_patch_and_whole_value_give_the_same():
    old, new = _long_value(1), _long_value(1)[:-5] + b'other'
    source = _replica(old, new)
    stale_replica = _replica(old)
    for replica, since in ((stale_replica, 1), (Replica(), 0)):
        replica.merge(parse_delta(_received_message(source, since), replica))
        assert replica.by_key == source.by_key


def test_patch_to_a_value_that_was_missed_is_refused():
    source = _replica(_long_value(1), _long_value(2), _long_value(2) + b'x')
    stale_replica = Replica()
    first_entry = Entry('config', _long_value(1), Revision(1))
    # Claims to be complete up to revision 2 but lacks the value of 2.
    stale_replica.merge(Delta(Revision(0), Revision(2), (first_entry,)))
    with pytest.raises(MissingBaseError):
        parse_delta(_received_message(source, 2), stale_replica)
    full_delta = parse_delta(
        _received_message(source, 2, with_patches=False), stale_replica
    )
    stale_replica.merge(full_delta)
    assert stale_replica.by_key == source.by_key


def test_value_that_claims_to_be_too_long_is_refused():
    source = _replica(bytes(2 << 20))
    with pytest.raises(ValueError, match='too long'):
        parse_delta(_received_message(source, 0), Replica())


def test_replaced_values_are_kept_up_to_a_bound():
    values = [Random(seed).randbytes(1 << 19) for seed in range(8)]
    source = _replica(*values)
    kept = [
        revision
        for revision in range(1, 9)
        if source.entry_as_of('config', Revision(revision))
    ]
    # Four replaced values of 512 KiB each and the current one.
    assert kept == [4, 5, 6, 7, 8]


def test_part_of_a_delta_claims_no_revision_that_its_sender_is_not_sure_of():
    """Pages read from the store are no snapshot: some entries are newer.

    A delta that claims a page's newest revision would hide writes between
    the pages from its receiver.
    """
    source = Replica()
    page_entries = [
        Entry(f'key-{revision}', bytes(600), Revision(revision))
        for revision in (1, 2, 9, 10)
    ]
    # The writes from revision 3 to 8 are not known yet.
    source.merge(Delta(Revision(0), Revision(2), page_entries))
    stale_replica = Replica()
    stale_replica.merge(source.changes_since(Revision(0), 1500))
    assert stale_replica.revision <= source.revision
    missed_entry = Entry('key-5', b'5', Revision(5))
    source.merge(Delta(Revision(2), Revision(10), (missed_entry,)))
    while stale_replica.revision < source.revision:
        stale_replica.merge(source.changes_since(stale_replica.revision, 1500))
    assert stale_replica.get('key-5') == missed_entry
