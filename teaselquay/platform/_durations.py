"""Durations as the platform writes them: a number and its unit."""

import re

_DURATION_PATTERN = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_SECONDS_BY_UNIT = {'ms': 0.001, 's': 1.0}
#: Longest time in seconds that is accepted: 100 days.
_MAX_DURATION_S = 100 * 86_400.0


def parse_duration(text: str) -> float:
    """Return `text` in seconds.

    Raises:
        ValueError: `text` is not a number followed by `ms` or `s`, or is
            longer than 100 days.

    >>> parse_duration('1500ms'), parse_duration('2.5s')
    (1.5, 2.5)
    """
    match = _DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f'expected a time such as 1500ms, not {text!r}')
    duration_s = float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    if duration_s > _MAX_DURATION_S:
        raise ValueError('the time is out of range')
    return duration_s
