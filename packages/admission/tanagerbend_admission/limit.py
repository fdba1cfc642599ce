"""Concurrency limit that adapts to the capacity of the backend server."""

from typing import Final

from tanagerbend_admission.ticket import Outcome

# Factors of a decrease after a shed call and after slow answers.
SHED_DECREASE: Final = 0.7
SLOW_DECREASE: Final = 0.9
# Mean ratio of service times to the normal time that counts as slow.
# Service times whose deviation equals their mean reach 1.7 by chance.
SLOW_RATIO: Final = 2.0
RATIO_WEIGHT: Final = 0.1
# Least time between decreases.  Calls that were already running report the
# same overload, so the limit is decreased once for all of them.
DECREASE_INTERVAL_SECONDS: Final = 0.2
INCREASE_DELAY_SECONDS: Final = 0.5


class AdaptiveLimit:
    """Maximum number of calls that run at the same time.

    Explanation
    ===========

    Shed calls decrease the limit down to 1.  Slow answers decrease it only
    to half of the slots, because slowness that is not caused by
    concurrency would otherwise cost nearly all throughput.

    Parameters
    ==========

    slots : int
        Upper bound and initial value.

    Examples
    ========

    >>> limit = AdaptiveLimit(6)
    >>> limit.observe(1.0, Outcome.SHED, 1.0)
    >>> limit.calls
    4
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.value = float(slots)
        self.mean_ratio = 1.0
        self.last_decrease = float('-inf')

    @property
    def calls(self) -> int:
        """The limit as a whole number of calls."""
        return max(1, int(self.value))

    def observe(self, now: float, outcome: Outcome, ratio: float) -> None:
        """Update the limit at the end of a call.

        ``ratio`` is the service time of the call relative to the normal
        time of its class.
        """
        match outcome:
            case Outcome.SHED:
                self._decrease(now, SHED_DECREASE, 1)
            case Outcome.SERVED | Outcome.FAILED:
                self.mean_ratio += RATIO_WEIGHT * (ratio - self.mean_ratio)
                if self.mean_ratio > SLOW_RATIO:
                    self._decrease(now, SLOW_DECREASE, self.slots / 2)
                elif now - self.last_decrease > INCREASE_DELAY_SECONDS:
                    self._increase()

    def _decrease(self, now: float, factor: float, minimum: float) -> None:
        if now - self.last_decrease > DECREASE_INTERVAL_SECONDS:
            decreased = max(minimum, self.value * factor)
            self.value = min(self.value, decreased)
            self.last_decrease = now

    def _increase(self) -> None:
        self.value = min(self.slots, self.value + 1 / self.value)
