"""Speed of an instance at this moment, and the work that it has done.

Speeds are times of work relative to the usual time: at 2, work takes twice as
long as usual.  Some instances report this figure with each answer.  It
changes several times a second, so a report fades to the average.  The speed
of the others is learned from the times of requests.
"""

import math
from typing import Final

# Time after which a report tells half as much about the present speed.
HALF_LIFE_SECONDS: Final = 0.25
# Weight of a report in the average speed.
REPORT_WEIGHT: Final = 0.02
# Weight of the ratio of one request's time to its estimate.
RATIO_WEIGHT: Final = 0.1
# Largest such ratio relative to the average of the ratios, so that one heavy
# request does not mark the instance as slow.
MAX_RATIO: Final = 3.0
MIN_SPEED: Final = 0.05
MAX_SPEED: Final = 100.0


class InstanceSpeed:
    """Speed of one instance.

    Examples
    ========

    >>> speed = InstanceSpeed()
    >>> speed.report(2.5, now=1.0)
    >>> speed.at(1.0)
    2.5
    >>> round(speed.at(3.0), 2)
    2.5
    >>> for _ in range(200):
    ...     speed.report(1.0, now=1.0)
    >>> speed.report(2.5, now=9.0)
    >>> speed.at(9.0), round(speed.at(11.0), 1)
    (2.5, 1.1)

    Attributes
    ==========

    average : float
        Average of the reports; 1 if there are none.
    ratio : float
        Average ratio of the times of requests to the estimated times.
    """

    def __init__(self) -> None:
        self.average = 1.0
        self.ratio = 1.0
        self.reported = 0.0
        self.reported_at = 0.0
        self.work_at_report = 0.0

    def report(self, speed: float, now: float) -> None:
        """Record the speed that the instance reports."""
        speed = min(max(speed, MIN_SPEED), MAX_SPEED)
        if not self.reported:
            self.average = speed
        self.work_at_report = self._work_until(now, speed)
        self.average += REPORT_WEIGHT * (speed - self.average)
        self.reported = speed
        self.reported_at = now

    def at(self, now: float) -> float:
        """Return the expected speed now."""
        return self.ratio * self._reported_speed(now)

    def relative_at(self, now: float) -> float:
        """Return the expected speed now, relative to the average."""
        return self._reported_speed(now) / self.average

    def work_done(self, now: float) -> float:
        """Return the seconds of work that one slot can have done so far.

        Only differences of two values are meaningful.
        """
        return self._work_until(now, self._reported_speed(now))

    def observe_ratio(self, ratio: float) -> None:
        """Record the time of a request relative to its estimate.

        The estimate is that of the cost model at the reported speed.
        """
        ratio = min(ratio, MAX_RATIO * self.ratio)
        self.ratio += RATIO_WEIGHT * (ratio - self.ratio)

    def _reported_speed(self, now: float) -> float:
        if not self.reported:
            return 1.0
        weight = _weight_after(now - self.reported_at)
        return self.average + weight * (self.reported - self.average)

    def _work_until(self, now: float, speed: float) -> float:
        """Return the work until now, when ``speed`` is reported.

        Between two reports the speed is their mean, faded to the average
        in the middle of a long interval.
        """
        passed = max(now - self.reported_at, 0.0)
        if not self.reported:
            return self.work_at_report + passed
        mean = (self.reported + speed) / 2
        weight = _weight_after(passed / 2)
        between = self.average + weight * (mean - self.average)
        return self.work_at_report + passed / between


def _weight_after(age: float) -> float:
    return math.exp2(-max(age, 0.0) / HALF_LIFE_SECONDS)
