"""Load that an instance states in a header of its answers."""

from typing import Final

import attrs

PERCENT: Final = 100
# Longer headers are ignored.
MAX_LENGTH: Final = 64
MAX_COUNT: Final = 1_000_000
LOAD_FIELDS: Final = 3


@attrs.frozen
class InstanceLoad:
    """Load of an instance when it answered.

    Examples
    ========

    >>> InstanceLoad.parse('2,1,3,250')
    InstanceLoad(running=2, waiting=1, slots=3, speed=2.5)
    >>> InstanceLoad.parse('2,1,3')
    InstanceLoad(running=2, waiting=1, slots=3, speed=None)
    >>> [InstanceLoad.parse(text) for text in (None, 'much', '1,2,-3')]
    [None, None, None]

    Parameters
    ==========

    running, waiting, slots : int
    speed : float or None
        Present time of work, relative to the usual time; None if the
        instance does not state it.
    """

    running: int
    waiting: int
    slots: int
    speed: float | None = None

    @classmethod
    def parse(cls, text: str | None) -> 'InstanceLoad | None':
        """Return the load in a header, None if it can't be read."""
        if not text or len(text) > MAX_LENGTH:
            return None
        try:
            figures = [int(part) for part in text.split(',')]
        except ValueError:
            return None
        is_valid = all(0 <= figure <= MAX_COUNT for figure in figures)
        if not is_valid or len(figures) < LOAD_FIELDS:
            return None
        speed = None
        if len(figures) > LOAD_FIELDS and figures[LOAD_FIELDS]:
            speed = figures[LOAD_FIELDS] / PERCENT
        return cls(*figures[:LOAD_FIELDS], speed)
