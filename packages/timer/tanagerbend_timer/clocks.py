"""Detection of pauses of the process by gaps between clock readings."""

import time
from collections.abc import Callable
from typing import Final

WATCHDOG_PERIOD_SECONDS: Final = 0.5
# A loaded host can delay the event loop by a second.  A gap above this
# limit means that the process was stopped or the machine was suspended.
MIN_PAUSE_SECONDS: Final = 2.0

Clock = Callable[[], float]


def boot_time() -> float:
    """Return seconds since the machine booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects pauses of the process by the time between two checks.

    Explanation
    ===========

    The monotonic clock advances while the process is stopped, but not while
    the machine is suspended.  The boot clock advances in both cases.  After
    a suspension of a virtual machine only the wall clock may have jumped.
    The largest advance of all clocks is therefore compared with
    ``MIN_PAUSE_SECONDS``.  A manual change of the wall clock is reported as
    a pause too; this causes one unnecessary check with the peers.

    Examples
    ========

    >>> readings = iter([10.0, 10.4, 15.5])
    >>> detector = PauseDetector((lambda: next(readings),))
    >>> detector.pause_length(), round(detector.pause_length(), 1)
    (0.0, 5.1)

    Parameters
    ==========

    clocks : tuple of callables
        Each returns its current time in seconds.
    """

    def __init__(self, clocks: tuple[Clock, ...]) -> None:
        self.clocks = clocks
        self.last_readings = self.read()

    def read(self) -> tuple[float, ...]:
        """Return the current time of each clock."""
        return tuple(clock() for clock in self.clocks)

    def pause_length(self) -> float:
        """Return the length of a pause since the last check, or 0.0."""
        readings = self.read()
        elapsed = max(
            now - before
            for now, before in zip(readings, self.last_readings, strict=True)
        )
        self.last_readings = readings
        return elapsed if elapsed > MIN_PAUSE_SECONDS else 0.0
