"""History of a counter by minute, for the report of the night."""

from collections import Counter, deque
from typing import Final

import attrs

from tanagerbend_metrics.counters import Counters

MINUTE: Final = 60.0
MINUTES_KEPT: Final = 1440


@attrs.frozen
class Minute:
    """What was added to a counter in one minute.

    Parameters
    ==========

    wall : float
        Start of the minute, seconds since the epoch.
    counts : dict of str to int
        By label; labels without a change are left out.
    """

    wall: float
    counts: dict[str, int]


class History:
    """Ring of the minutes of a day in which a counter changed.

    Examples
    ========

    >>> counters = Counters()
    >>> history = History(counters, 'refusals')
    >>> counters.add('refusals', 'QUEUE_FULL', 3)
    >>> history.sample(65.0)
    {'QUEUE_FULL': 3}
    >>> history.minutes[0]
    Minute(wall=60.0, counts={'QUEUE_FULL': 3})

    Parameters
    ==========

    counters : Counters
    name : str
    """

    def __init__(self, counters: Counters, name: str) -> None:
        self.counters = counters
        self.name = name
        self.before: dict[str, int] = {}
        self.minutes: deque[Minute] = deque(maxlen=MINUTES_KEPT)

    def sample(self, wall: float) -> dict[str, int]:
        """Add what changed since the last sample; return it by label."""
        counts = self.counters.by_name().get(self.name, {})
        changes = {
            label: count - self.before.get(label, 0)
            for label, count in counts.items()
            if count > self.before.get(label, 0)
        }
        self.before = counts
        if changes:
            self._add(wall - wall % MINUTE, changes)
        return changes

    def _add(self, start: float, changes: dict[str, int]) -> None:
        if self.minutes and self.minutes[-1].wall == start:
            last = self.minutes.pop()
            changes = dict(Counter(last.counts) + Counter(changes))
        self.minutes.append(Minute(start, changes))
