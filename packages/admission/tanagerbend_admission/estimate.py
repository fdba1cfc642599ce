"""Estimates of how long calls of each work class hold a slot."""

from typing import Final

import attrs

# Weights of a new value in the exponentially weighted averages.
RECENT_WEIGHT: Final = 0.1
# The normal time adapts to a lasting change within a few hundred calls and
# is hardly affected by a slow minute.
NORMAL_WEIGHT: Final = 0.005
DEVIATION_WEIGHT: Final = 0.05
# Deviation assumed after the first call, relative to its time.
INITIAL_DEVIATION_FACTOR: Final = 0.5
# The mean plus six mean deviations covers 99.5% of exponential as well as
# of lognormal service times.
MAX_DEVIATIONS: Final = 6

# Later sheets may name other classes; the oldest estimates are dropped.
MAX_CLASSES: Final = 1024
# After this time without an observation, one call of a class is admitted
# to test its estimate.
TRIAL_INTERVAL_SECONDS: Final = 2.0


@attrs.define
class ClassServiceTime:
    """Moving averages of the service time of one work class, in seconds.

    Parameters
    ==========

    mean : float
        Average over about the last ten calls.
    normal : float
        Average over the last few hundred calls.
    deviation : float
        Mean absolute deviation over about the last twenty calls.
    last_update : float
        Monotonic seconds of the last observation or trial call.
    """

    mean: float
    normal: float
    deviation: float
    last_update: float

    @property
    def upper_bound(self) -> float:
        """Time within which nearly all calls end."""
        return self.normal + MAX_DEVIATIONS * self.deviation

    def observe(self, seconds: float, now: float) -> None:
        """Update the averages with the service time of one call."""
        self.last_update = now
        self.mean += RECENT_WEIGHT * (seconds - self.mean)
        self.normal += NORMAL_WEIGHT * (seconds - self.normal)
        distance = abs(seconds - self.normal)
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
        self.classes: dict[str, ClassServiceTime] = {}

    def observe(self, work: str, seconds: float, now: float) -> float:
        """Add a time; return its ratio to the normal time of the class."""
        known = self.classes.get(work)
        if known is None:
            if len(self.classes) >= MAX_CLASSES:
                self.classes.pop(next(iter(self.classes)))
            deviation = seconds * INITIAL_DEVIATION_FACTOR
            self.classes[work] = ClassServiceTime(
                seconds, seconds, deviation, now
            )
            return 1.0
        ratio = seconds / known.normal if known.normal else 1.0
        known.observe(seconds, now)
        return ratio

    def mean(self, work: str) -> float:
        """Return the recent mean in seconds, 0 if unknown."""
        known = self.classes.get(work)
        return 0.0 if known is None else known.mean

    def deviation(self, work: str) -> float:
        """Return the mean deviation in seconds, 0 if unknown."""
        known = self.classes.get(work)
        return 0.0 if known is None else known.deviation

    def upper_bound(self, work: str) -> float:
        """Return the time within which nearly all calls end."""
        known = self.classes.get(work)
        return 0.0 if known is None else known.upper_bound

    def may_run_trial(self, work: str, now: float) -> bool:
        """Return whether a call may test an outdated estimate."""
        known = self.classes.get(work)
        if known is None or now - known.last_update < TRIAL_INTERVAL_SECONDS:
            return False
        known.last_update = now
        return True
