"""Detection of stalls, in which requests wait while the process is stopped."""

from typing import Final

from tanagerbend_timer import Timer

RUN_CHECK_SECONDS: Final = 0.05
# Shorter gaps are normal delays of a busy event loop.
MIN_STALL_SECONDS: Final = 0.1
# Requests that arrived during a stall are read within this time after it.
RECENT_STALL_SECONDS: Final = 0.5


class StallDetector:
    """Measures stalls of the event loop.

    Explanation
    ===========

    The remaining time in the headers of a request counts from the time it
    was sent.  If the process was stopped meanwhile, the request has waited
    in a socket buffer for up to the length of the stall.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> timer = ManualTimer()
    >>> stalls = StallDetector(timer)
    >>> timer.pause(3.0)
    >>> round(stalls.seconds(), 2)
    2.95
    >>> timer.pause(0.04)
    >>> round(stalls.seconds(), 2)
    2.95

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.last_run = timer.now()
        self.stall = 0.0
        self.stall_ended_at = float('-inf')

    async def record_run(self) -> None:
        """Record that the event loop runs; called periodically."""
        self._update()

    def seconds(self) -> float:
        """Return the longest time that a request read now may have waited."""
        self._update()
        return self.stall

    def _update(self) -> None:
        now = self.timer.now()
        stall = now - self.last_run - RUN_CHECK_SECONDS
        self.last_run = now
        if now - self.stall_ended_at > RECENT_STALL_SECONDS:
            self.stall = 0.0
        if stall > MIN_STALL_SECONDS:
            self.stall = max(stall, self.stall)
            self.stall_ended_at = now
