"""History of a counter by minute, for the report of a night."""

from collections import Counter, deque
from typing import Final

import attrs

from tanagerbend_metrics.counters import Counters

MINUTE_SECONDS: Final = 60.0
MAX_MINUTES: Final = 1440


@attrs.frozen
class Minute:
    """Increase of a counter in one minute.

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
    """Increases of a counter by minute, for the last day.

    Explanation
    ===========

    Minutes without a change are not stored.  The last 1,440 others are
    kept, which cover at least a day.

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
        self.previous_counts: dict[str, int] = {}
        self.minutes: deque[Minute] = deque(maxlen=MAX_MINUTES)

    def sample(self, wall: float) -> dict[str, int]:
        """Record the increase since the last sample; return it by label."""
        counts = self.counters.by_name().get(self.name, {})
        increases = {
            label: count - self.previous_counts.get(label, 0)
            for label, count in counts.items()
            if count > self.previous_counts.get(label, 0)
        }
        self.previous_counts = counts
        if increases:
            self._add(wall - wall % MINUTE_SECONDS, increases)
        return increases

    def _add(self, start: float, increases: dict[str, int]) -> None:
        if self.minutes and self.minutes[-1].wall == start:
            last = self.minutes.pop()
            increases = dict(Counter(last.counts) + Counter(increases))
        self.minutes.append(Minute(start, increases))
