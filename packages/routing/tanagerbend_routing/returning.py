"""How long callers have been asking, told from the time that is left.

The load it answers: callers that were refused and came back.  They have a
new identifier, and less time than a first attempt; the objective counts
from the first one.
"""

import math
from typing import Final

# Longest times are taken from the present and the last of such periods.
PERIOD_SECONDS: Final = 5.0


class FirstAttempts:
    """Longest time left of the requests of each route.

    Examples
    ========

    >>> attempts = FirstAttempts()
    >>> attempts.elapsed('browse', 0.8, 0.0)
    0.0
    >>> round(attempts.elapsed('browse', 0.7, 0.1), 3)
    0.1
    >>> attempts.elapsed('browse', 0.3, 99.0)
    0.0
    """

    def __init__(self) -> None:
        self.period = 0
        self.longest: dict[str, float] = {}
        self.before: dict[str, float] = {}

    def elapsed(self, route: str, time_left: float, now: float) -> float:
        """Return the seconds since the first attempt of a caller."""
        if not math.isfinite(time_left):
            return 0.0
        self._turn(int(now / PERIOD_SECONDS))
        longest = max(time_left, self.longest.get(route, 0.0))
        self.longest[route] = longest
        return max(longest, self.before.get(route, 0.0)) - time_left

    def _turn(self, period: int) -> None:
        if period == self.period:
            return
        self.before = self.longest if period == self.period + 1 else {}
        self.longest = {}
        self.period = period
