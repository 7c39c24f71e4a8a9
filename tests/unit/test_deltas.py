"""Changes as fields of messages: whole, or as patches."""

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

_PLAIN = {'base': 0, 'isPacked': False}


def _replica(*values: bytes) -> Replica:
    """Return a replica that has seen `values` at one key, one a revision."""
    replica = Replica()
    for revision, value in enumerate(values, start=1):
        entry = Entry('config', value, Revision(revision))
        delta = Delta(Revision(revision - 1), Revision(revision), (entry,))
        replica.merge(delta)
    return replica


def _sent(source: Replica, since: int, with_patches: bool = True) -> Any:
    delta = source.changes_since(Revision(since), 1 << 21)
    fields = delta_fields(source, delta, with_patches)
    entries = [
        SimpleNamespace(**{**_PLAIN, **entry}) for entry in fields['entries']
    ]
    return SimpleNamespace(**{**fields, 'entries': entries})


def _long(seed: int) -> bytes:
    return Random(seed).randbytes(20_000)


def test_patch_costs_what_has_changed():
    old = _long(1)
    new = old[:9000] + b'something else' + old[9014:]
    source = _replica(old, new)
    delta = source.changes_since(Revision(1), 1 << 21)
    assert fields_bytes(delta_fields(source, delta, with_patches=True)) < 200
    assert fields_bytes(delta_fields(source, delta, with_patches=False)) > 9000


def test_patch_and_whole_value_give_the_same():
    old, new = _long(1), _long(1)[:-5] + b'other'
    source = _replica(old, new)
    behind = _replica(old)
    for replica, since in ((behind, 1), (Replica(), 0)):
        replica.merge(parse_delta(_sent(source, since), replica))
        assert replica.by_key == source.by_key


def test_patch_to_a_value_that_was_missed_is_refused():
    source = _replica(_long(1), _long(2), _long(2) + b'x')
    behind = Replica()
    first = Entry('config', _long(1), Revision(1))
    # It is complete up to 2 as far as it knows, without the value of 2.
    behind.merge(Delta(Revision(0), Revision(2), (first,)))
    with pytest.raises(MissingBaseError):
        parse_delta(_sent(source, 2), behind)
    whole = parse_delta(_sent(source, 2, with_patches=False), behind)
    behind.merge(whole)
    assert behind.by_key == source.by_key


def test_value_that_claims_to_be_too_long_is_refused():
    source = _replica(bytes(2 << 20))
    with pytest.raises(ValueError, match='too long'):
        parse_delta(_sent(source, 0), Replica())


def test_replaced_values_are_kept_up_to_a_bound():
    values = [Random(seed).randbytes(1 << 19) for seed in range(8)]
    source = _replica(*values)
    kept = [
        revision
        for revision in range(1, 9)
        if source.entry_as_of('config', Revision(revision))
    ]
    # Four of half a mebibyte beside the one that is in force.
    assert kept == [4, 5, 6, 7, 8]


def test_part_of_a_delta_claims_no_revision_that_its_sender_is_not_sure_of():
    """Pages of the store are no snapshot: some are newer than the first."""
    source = Replica()
    pages = [
        Entry(f'key-{revision}', bytes(600), Revision(revision))
        for revision in (1, 2, 9, 10)
    ]
    # What was written from 3 to 8 is not known yet.
    source.merge(Delta(Revision(0), Revision(2), pages))
    behind = Replica()
    behind.merge(source.changes_since(Revision(0), 1500))
    assert behind.revision <= source.revision
    missed = Entry('key-5', b'5', Revision(5))
    source.merge(Delta(Revision(2), Revision(10), (missed,)))
    while behind.revision < source.revision:
        behind.merge(source.changes_since(behind.revision, 1500))
    assert behind.get('key-5') == missed
