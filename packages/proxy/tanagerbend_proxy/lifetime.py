"""Time left for answers once a process has been told to stop."""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from tanagerbend_timer import Timer

# Reserved before the end of a process for writing the last answers: one turn
# on a slow link, and the delay of a loaded event loop.
ANSWER_MARGIN_SECONDS: Final = 0.2


class Lifetime:
    """Limits timeouts so that they expire before the process ends.

    Parameters
    ==========

    timer : Timer

    Attributes
    ==========

    ends : float
        Monotonic time at which the process ends; infinite until a stop
        begins.
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.ends = math.inf
        self.reserves: dict[asyncio.Timeout, float] = {}

    @property
    def is_ending(self) -> bool:
        """Whether a stop has begun."""
        return self.ends < math.inf

    @property
    def seconds_left(self) -> float:
        """Seconds left to answer requests; may be negative."""
        return self.ends - ANSWER_MARGIN_SECONDS - self.timer.now()

    def end_at(self, ends: float) -> None:
        """Begin a stop and shorten the timeouts that are in use."""
        self.ends = ends
        for limit, reserve in self.reserves.items():
            limit.reschedule(self._latest_expiry(reserve))

    @contextmanager
    def bounded(
        self,
        limit: asyncio.Timeout,
        reserve: float = 0.0,
    ) -> Iterator[asyncio.Timeout]:
        """Make an entered timeout expire before the process ends.

        ``reserve`` is the time in seconds that is needed after the timeout.
        """
        if self.is_ending:
            limit.reschedule(self._latest_expiry(reserve))
        self.reserves[limit] = reserve
        try:
            yield limit
        finally:
            self.reserves.pop(limit)

    def _latest_expiry(self, reserve: float) -> float:
        return asyncio.get_running_loop().time() + self.seconds_left - reserve
