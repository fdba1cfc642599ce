"""Typical work of a route: time, size of answers, deadlines of callers."""

import math
from collections import Counter, deque
from typing import Final

import attrs

# Weight of one answer in the exponential moving averages.
SMOOTHING_WEIGHT: Final = 0.1
# Time assumed for a route that has not been answered yet.
INITIAL_WORK_SECONDS: Final = 0.1
# Minimum size of answers whose time on the link of the host is considered.
LARGE_KILOBYTES: Final = 16.0
# Number of recent requests whose remaining times are counted, and how often a
# time must occur among them to be that of a first attempt.
RECENT_REQUESTS: Final = 64
MIN_OCCURRENCES: Final = 3
MILLISECONDS: Final = 1000.0
KILOBYTE: Final = 1024


@attrs.define
class RouteWork:
    """Typical size of the work of a route.

    Parameters
    ==========

    seconds : float
        Time at an instance of typical speed.
    kilobytes : float
        Size of an answer.
    is_observed : bool
        Whether an answer has been observed.
    recent_times_left : deque of int
        Milliseconds that the callers of recent requests had left.
    time_counts : Counter
        Number of recent requests with each of these times.
    """

    seconds: float = INITIAL_WORK_SECONDS
    kilobytes: float = 1.0
    is_observed: bool = False
    recent_times_left: deque[int] = attrs.field(factory=deque)
    time_counts: Counter[int] = attrs.field(factory=Counter)

    @property
    def is_large(self) -> bool:
        """Whether the time of an answer on the link is considered."""
        return self.kilobytes >= LARGE_KILOBYTES

    def seconds_since_first_attempt(self, left: float) -> float:
        """Return the seconds since the first attempt of a caller.

        The caller has ``left`` seconds until its deadline.  First attempts
        have one of a few frequent times; any other time is that of a retry.
        """
        key = round(left * MILLISECONDS) if left < math.inf else 0
        self.recent_times_left.append(key)
        self.time_counts[key] += 1
        if len(self.recent_times_left) > RECENT_REQUESTS:
            oldest = self.recent_times_left.popleft()
            self.time_counts[oldest] -= 1
            if not self.time_counts[oldest]:
                self.time_counts.pop(oldest)
        if self.time_counts[key] >= MIN_OCCURRENCES:
            return 0.0
        frequent = [
            each
            for each, count in self.time_counts.items()
            if count >= MIN_OCCURRENCES and each > key
        ]
        return (min(frequent, default=key) - key) / MILLISECONDS

    @property
    def size(self) -> float:
        """Size of an answer in bytes; 0 if none has been observed."""
        return KILOBYTE * self.kilobytes if self.is_observed else 0.0

    def observe(self, seconds: float, kilobytes: float) -> None:
        """Update the averages by the time and the size of one answer."""
        if not self.is_observed:
            # The first answer sets the averages, so that large answers are
            # recognised from the second request on.
            self.is_observed = True
            self.seconds = seconds
            self.kilobytes = kilobytes
        self.seconds += SMOOTHING_WEIGHT * (seconds - self.seconds)
        self.kilobytes += SMOOTHING_WEIGHT * (kilobytes - self.kilobytes)
