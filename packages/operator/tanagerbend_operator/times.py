"""Parsing and formatting of times for operators."""

import datetime
import re
from typing import Final

UNIT_SECONDS: Final = {'m': 60, 'h': 3600, 'd': 86400}
AGE_PATTERN: Final = re.compile('([0-9]{1,6})([mhd])')


def today() -> datetime.date:
    """Return the local date."""
    return datetime.date.today()


def format_time(wall: float) -> str:
    """Format epoch seconds as local date and time."""
    return datetime.datetime.fromtimestamp(wall).strftime('%m-%d %H:%M:%S')


def parse_time(text: str, now: float) -> float | None:
    """Return an age or a time in epoch seconds, None if it is neither.

    Examples
    ========

    >>> parse_time('2h', now=10_000.0)
    2800.0
    >>> parse_time('1970-01-01T01:00+00:00', now=10_000.0)
    3600.0
    >>> parse_time('yesterday', now=10_000.0) is None
    True

    Parameters
    ==========

    text : str
        An age such as ``90m``, ``12h`` or ``2d``, or a time as
        ``YYYY-MM-DDTHH:MM``, local unless it has an offset.
    now : float
        Seconds since the epoch.
    """
    match = AGE_PATTERN.fullmatch(text)
    if match is not None:
        return now - int(match[1]) * UNIT_SECONDS[match[2]]
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
