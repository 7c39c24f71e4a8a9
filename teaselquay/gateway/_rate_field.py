"""Reading of the header field in which an upstream names its limit."""

import re
from typing import Iterable

from teaselquay.shells import Header

_DECIMAL = re.compile(rb'\d{1,18}(\.\d{1,18})?')

#: Bytes of a malformed value that an error shows.
_MAX_SHOWN_BYTES = 40


class RateFieldError(ValueError):
    """A limit is not a decimal number, or several differ."""


def parse_rate(headers: Iterable[Header], name: bytes) -> float | None:
    """Return the rate in the field `name` of an answer, None without one.

    The rate is in requests per second.

    Raises:
        RateFieldError: the field is malformed.

    >>> parse_rate([(b'x-rate-limit', b'1.5')], b'x-rate-limit')
    1.5
    >>> parse_rate([(b'x-rate-limit', b'-1')], b'x-rate-limit')
    Traceback (most recent call last):
    teaselquay.gateway._rate_field.RateFieldError: not a decimal number: -1
    """
    stated = {text.strip() for found, text in headers if found == name}
    if not stated:
        return None
    if len(stated) > 1:
        raise RateFieldError('several limits that differ')
    text = stated.pop()
    if _DECIMAL.fullmatch(text) is None:
        shown = text[:_MAX_SHOWN_BYTES].decode('latin-1')
        raise RateFieldError(f'not a decimal number: {shown}')
    return float(text)
