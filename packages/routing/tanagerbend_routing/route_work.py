"""Typical work of a route: time, size of answers, patience of callers."""

import math
from collections import Counter, deque
from typing import Final

import attrs

# Weight of one answer in the typical values.
SPEED_WEIGHT: Final = 0.1
# Time to run of a route that has not been answered yet, in seconds.
FIRST_WORK_SECONDS: Final = 0.1
# Answers from this size on wait for the link of the instance's host.
LARGE_KILOBYTES: Final = 16.0
# Requests by which the usual times of callers are known, and how often one
# of them must have come.
LATELY: Final = 64
OFTEN: Final = 3
MILLISECONDS: Final = 1000.0
KILOBYTE: Final = 1024


@attrs.define
class RouteWork:
    """Typical size of the work of a route.

    Parameters
    ==========

    seconds : float
        Time at an instance.
    kilobytes : float
        Size of an answer.
    is_seen : bool
        Whether there was an answer yet.
    lately : deque of int
        Milliseconds that the callers of the last requests had left.
    times : Counter
        How often each of them came.
    """

    seconds: float = FIRST_WORK_SECONDS
    kilobytes: float = 1.0
    is_seen: bool = False
    lately: deque[int] = attrs.field(factory=deque)
    times: Counter[int] = attrs.field(factory=Counter)

    @property
    def is_large(self) -> bool:
        """Whether an answer waits for the link of its host."""
        return self.kilobytes >= LARGE_KILOBYTES

    def age_of(self, left: float) -> float:
        """Return the seconds since the first attempt of a caller.

        It has ``left`` seconds.  First attempts have one of a few times
        that come often; any other time is what a retry has left.
        """
        key = round(left * MILLISECONDS) if left < math.inf else 0
        self.lately.append(key)
        self.times[key] += 1
        if len(self.lately) > LATELY:
            oldest = self.lately.popleft()
            self.times[oldest] -= 1
            if not self.times[oldest]:
                self.times.pop(oldest)
        if self.times[key] >= OFTEN:
            return 0.0
        usual = [
            each
            for each, count in self.times.items()
            if count >= OFTEN and each > key
        ]
        return (min(usual, default=key) - key) / MILLISECONDS

    @property
    def size(self) -> float:
        """Bytes of an answer, 0 if there was none yet."""
        return KILOBYTE * self.kilobytes if self.is_seen else 0.0

    def observe(self, seconds: float, kilobytes: float) -> None:
        """Take the time and the size of one answer."""
        if not self.is_seen:
            # Large answers are kept near from the second one on.
            self.is_seen = True
            self.seconds = seconds
            self.kilobytes = kilobytes
        self.seconds += SPEED_WEIGHT * (seconds - self.seconds)
        self.kilobytes += SPEED_WEIGHT * (kilobytes - self.kilobytes)
