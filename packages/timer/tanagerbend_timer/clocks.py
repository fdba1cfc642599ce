"""Detection of pauses of the process by gaps in its clocks."""

import time
from collections.abc import Callable
from typing import Final

WATCHDOG_SECONDS: Final = 0.5
# A loaded host can delay the event loop by a second; longer gaps mean that
# the process was stopped or the machine was suspended.
PAUSE_SECONDS: Final = 2.0

Clock = Callable[[], float]


def boot_time() -> float:
    """Return seconds since the machine started, with suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseWatch:
    """Finds gaps between checks that are longer than their period.

    Explanation
    ===========

    The monotonic clock runs on while a process is stopped, but not while
    the machine sleeps; the boot clock does; and a virtual machine that was
    suspended may see a jump of the wall clock alone.  The largest gap of
    all clocks counts.  A step of the wall clock by hand looks the same,
    and costs one needless check with the peers.

    Examples
    ========

    >>> readings = iter([10.0, 10.4, 15.5])
    >>> watch = PauseWatch((lambda: next(readings),))
    >>> watch.gap(), round(watch.gap(), 1)
    (0.0, 5.1)

    Parameters
    ==========

    clocks : tuple of callables
        Each returns seconds.
    """

    def __init__(self, clocks: tuple[Clock, ...]) -> None:
        self.clocks = clocks
        self.last = self.read()

    def read(self) -> tuple[float, ...]:
        """Return the reading of each clock."""
        return tuple(clock() for clock in self.clocks)

    def gap(self) -> float:
        """Return the length of a pause since the last check, or 0."""
        readings = self.read()
        passed = max(
            now - before
            for now, before in zip(readings, self.last, strict=True)
        )
        self.last = readings
        return passed if passed > PAUSE_SECONDS else 0.0
