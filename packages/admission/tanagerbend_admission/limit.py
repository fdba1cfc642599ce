"""Concurrency limit that follows what the backend server can bear."""

from typing import Final

from tanagerbend_admission.ticket import Outcome

SHED_FACTOR: Final = 0.7
SLOW_FACTOR: Final = 0.9
# Ratio of recent to normal service times that counts as slow.  Service
# times that vary as much as their mean reach 1.7 by chance.
SLOW_RATIO: Final = 2.0
RATIO_WEIGHT: Final = 0.1
# Calls that were already running report the same overload; the limit
# shrinks once for all of them.
HOLD_SECONDS: Final = 0.2
RECOVERY_SECONDS: Final = 0.5


class AdaptiveLimit:
    """Number of calls that may run at the same time.

    Explanation
    ===========

    A shed call shrinks the limit down to 1.  Slow answers shrink it only
    to half of the slots, because slowness that does not come from
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
        self.level = float(slots)
        self.ratio = 1.0
        self.shrunk = float('-inf')

    @property
    def calls(self) -> int:
        """Whole calls that may run."""
        return max(1, int(self.level))

    def observe(self, now: float, outcome: Outcome, ratio: float) -> None:
        """Take the end of a call; ``ratio`` is its time to the normal."""
        match outcome:
            case Outcome.SHED:
                self._shrink(now, SHED_FACTOR, 1)
            case Outcome.SERVED | Outcome.FAILED:
                self.ratio += RATIO_WEIGHT * (ratio - self.ratio)
                if self.ratio > SLOW_RATIO:
                    self._shrink(now, SLOW_FACTOR, self.slots / 2)
                elif now - self.shrunk > RECOVERY_SECONDS:
                    self._recover()

    def _shrink(self, now: float, factor: float, lowest: float) -> None:
        if now - self.shrunk > HOLD_SECONDS:
            shrunk = max(lowest, self.level * factor)
            self.level = min(self.level, shrunk)
            self.shrunk = now

    def _recover(self) -> None:
        self.level = min(self.slots, self.level + 1 / self.level)
