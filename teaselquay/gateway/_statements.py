"""Reading of the header fields in which upstreams speak of themselves."""

import re
from typing import Iterable

from teaselquay.shells import Header

_DECIMAL = re.compile(rb'\d{1,18}(\.\d{1,18})?')
#: The standard field that names the seconds until a retry is welcome.
_RETRY_AFTER = b'retry-after'
_LEAVING_BY_TEXT = {b'1': True, b'0': False}

#: Bytes of a malformed value that an error shows.
_MAX_SHOWN_BYTES = 40


class StatementError(ValueError):
    """A field is malformed, or several of the same name differ."""


def parse_rate(headers: Iterable[Header], name: bytes) -> float | None:
    """Return the rate in the field `name` of an answer, None without one.

    The rate is in requests per second.

    Raises:
        StatementError: the field is malformed.

    >>> parse_rate([(b'x-rate-limit', b'1.5')], b'x-rate-limit')
    1.5
    >>> parse_rate([(b'x-rate-limit', b'-1')], b'x-rate-limit')
    Traceback (most recent call last):
    teaselquay.gateway._statements.StatementError: not a decimal number: -1
    """
    return _parse_decimal(headers, name)


def parse_rest(headers: Iterable[Header]) -> float:
    """Return the seconds in which an upstream wants no requests.

    The result is 0 if it does not ask for rest.

    Raises:
        StatementError: the field is malformed. Dates are, as clocks differ.

    >>> parse_rest([(b'retry-after', b'2.5')])
    2.5
    >>> parse_rest([])
    0.0
    """
    return _parse_decimal(headers, _RETRY_AFTER) or 0.0


def parse_leaving(headers: Iterable[Header], name: bytes) -> bool:
    """Return whether the field `name` says that the upstream leaves.

    Raises:
        StatementError: the field is malformed.

    >>> parse_leaving([(b'x-leaving', b'1')], b'x-leaving')
    True
    >>> parse_leaving([], b'x-leaving')
    False
    """
    text = _single_value(headers, name)
    if text is None:
        return False
    is_leaving = _LEAVING_BY_TEXT.get(text)
    if is_leaving is None:
        raise StatementError(f'neither 0 nor 1: {shown(text)}')
    return is_leaving


def _parse_decimal(headers: Iterable[Header], name: bytes) -> float | None:
    text = _single_value(headers, name)
    if text is None:
        return None
    if _DECIMAL.fullmatch(text) is None:
        raise StatementError(f'not a decimal number: {shown(text)}')
    return float(text)


def _single_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the fields called `name`, None without any.

    Raises:
        StatementError: they differ.
    """
    values = {text.strip() for found, text in headers if found == name}
    if len(values) > 1:
        raise StatementError('several values that differ')
    return values.pop() if values else None


def shown(text: bytes) -> str:
    """Return the start of a field's value, for errors and log lines."""
    return text[:_MAX_SHOWN_BYTES].decode('latin-1')
