"""Estimates of how long the work classes hold a slot."""

from typing import Final

import attrs

RECENT_WEIGHT: Final = 0.1
# The normal time follows a lasting change within a few hundred calls and
# hardly notices a slow minute.
NORMAL_WEIGHT: Final = 0.005
DEVIATION_WEIGHT: Final = 0.05
FIRST_DEVIATION: Final = 0.5
# Mean plus six mean deviations covers 99.5% of exponential as well as of
# lognormal times.
SLOW_DEVIATIONS: Final = 6

# Sheets of later days name other classes; the oldest are dropped.
MAX_CLASSES: Final = 1024
# A class whose calls were all refused for this time may try one.
TRY_SECONDS: Final = 2.0


@attrs.define
class ServiceTime:
    """Recent times of one work class, in seconds.

    Parameters
    ==========

    mean : float
        Of the last ten or so calls.
    normal : float
        Of the last few hundred calls.
    deviation : float
        Mean absolute deviation of the last twenty or so calls.
    seen : float
        Monotonic seconds of the last observation or try.
    """

    mean: float
    normal: float
    deviation: float
    seen: float

    @property
    def slow(self) -> float:
        """Time within which nearly all calls end."""
        return self.normal + SLOW_DEVIATIONS * self.deviation

    def observe(self, used: float, now: float) -> None:
        """Add the time of one call."""
        self.seen = now
        self.mean += RECENT_WEIGHT * (used - self.mean)
        self.normal += NORMAL_WEIGHT * (used - self.normal)
        distance = abs(used - self.normal)
        self.deviation += DEVIATION_WEIGHT * (distance - self.deviation)


class ServiceTimes:
    """Service times by work class.

    Examples
    ========

    >>> times = ServiceTimes()
    >>> times.mean('plates')
    0.0
    >>> times.observe('plates', 0.05, 7.0)
    1.0
    >>> times.mean('plates')
    0.05
    """

    def __init__(self) -> None:
        self.classes: dict[str, ServiceTime] = {}

    def observe(self, work: str, used: float, now: float) -> float:
        """Add a time; return its ratio to the normal time of the class."""
        known = self.classes.get(work)
        if known is None:
            if len(self.classes) >= MAX_CLASSES:
                self.classes.pop(next(iter(self.classes)))
            deviation = used * FIRST_DEVIATION
            self.classes[work] = ServiceTime(used, used, deviation, now)
            return 1.0
        ratio = used / known.normal if known.normal else 1.0
        known.observe(used, now)
        return ratio

    def mean(self, work: str) -> float:
        """Return the recent mean in seconds, 0 if unknown."""
        known = self.classes.get(work)
        return 0.0 if known is None else known.mean

    def deviation(self, work: str) -> float:
        """Return the mean deviation in seconds, 0 if unknown."""
        known = self.classes.get(work)
        return 0.0 if known is None else known.deviation

    def slow(self, work: str) -> float:
        """Return the time within which nearly all calls end."""
        known = self.classes.get(work)
        return 0.0 if known is None else known.slow

    def may_try(self, work: str, now: float) -> bool:
        """Return whether a call may test an estimate that is old."""
        known = self.classes.get(work)
        if known is None or now - known.seen < TRY_SECONDS:
            return False
        known.seen = now
        return True
