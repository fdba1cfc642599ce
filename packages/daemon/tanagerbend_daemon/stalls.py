"""How long a request may have waited while this process did not run."""

from typing import Final

from tanagerbend_timer import Timer

BEAT_SECONDS: Final = 0.05
# Shorter gaps are ordinary delays of a busy event loop.
SHORTEST_SECONDS: Final = 0.1
# Requests that arrived during a stall are read soon after it.
RECENT_SECONDS: Final = 0.5


class Stalls:
    """Measures gaps in the running of the event loop.

    Explanation
    ===========

    The time left that a request names counts from when it was sent.  If
    the process was stopped meanwhile, the request has waited in a socket
    buffer for up to the length of the gap.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> timer = ManualTimer()
    >>> stalls = Stalls(timer)
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
        self.last_beat = timer.now()
        self.gap = 0.0
        self.ended = float('-inf')

    async def beat(self) -> None:
        """Note that the event loop runs; called periodically."""
        self._note()

    def seconds(self) -> float:
        """Return how long a request that is read now may have waited."""
        self._note()
        return self.gap

    def _note(self) -> None:
        now = self.timer.now()
        gap = now - self.last_beat - BEAT_SECONDS
        self.last_beat = now
        if now - self.ended > RECENT_SECONDS:
            self.gap = 0.0
        if gap > SHORTEST_SECONDS:
            self.gap = max(gap, self.gap)
            self.ended = now
