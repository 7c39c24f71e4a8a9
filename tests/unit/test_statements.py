"""Reading of what upstreams say of themselves."""

import pytest

from teaselquay.gateway._statements import StatementError, parse_leaving
from teaselquay.platform._settings import DIALECT

FIELD = b'x-leaving'


@pytest.mark.parametrize(
    ('values', 'is_leaving'),
    [
        ([], False),
        ([b'1'], True),
        ([b' 1 '], True),
        ([b'1', b'1'], True),
        ([b'0'], False),
    ],
)
def test_leaving_is_read(values: list[bytes], is_leaving: bool):
    headers = [(b'other', b'1'), *((FIELD, value) for value in values)]
    assert parse_leaving(headers, FIELD) is is_leaving


@pytest.mark.parametrize(
    'values',
    [[b''], [b'2'], [b'true'], [b'-1'], [b'1' * 200], [b'1', b'0'], [b'1,1']],
)
def test_malformed_leaving_is_rejected(values: list[bytes]):
    with pytest.raises(StatementError):
        parse_leaving([(FIELD, value) for value in values], FIELD)


def test_platform_names_the_field_of_leaving_upstreams():
    assert DIALECT.leaving == b'server-leaving'
