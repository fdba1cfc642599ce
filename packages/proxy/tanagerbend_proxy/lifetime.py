"""Time that a process has left to answer, once it has been asked to stop."""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from tanagerbend_timer import Timer

# Kept back from the end of a process, so that the last answers are written:
# a turn on a thin link, and the delay of a loaded event loop.
ANSWER_SECONDS: Final = 0.2


class Lifetime:
    """When a process ends, and what must have been answered by then.

    Parameters
    ==========

    timer : Timer

    Attributes
    ==========

    ends : float
        Monotonic seconds; infinite until a stop begins.
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.ends = math.inf
        self.limits: dict[asyncio.Timeout, float] = {}

    @property
    def is_ending(self) -> bool:
        """Whether a stop has begun."""
        return self.ends < math.inf

    @property
    def seconds_left(self) -> float:
        """Seconds in which a request may be answered; may be negative."""
        return self.ends - ANSWER_SECONDS - self.timer.now()

    def end_at(self, ends: float) -> None:
        """Begin a stop; limit what is under way."""
        self.ends = ends
        for limit, kept in self.limits.items():
            limit.reschedule(self._due(kept))

    @contextmanager
    def counted(
        self,
        limit: asyncio.Timeout,
        kept: float = 0.0,
    ) -> Iterator[asyncio.Timeout]:
        """Let a limit, which has been entered, pass before the process.

        ``kept`` are the seconds that are needed after the limit.
        """
        if self.is_ending:
            limit.reschedule(self._due(kept))
        self.limits[limit] = kept
        try:
            yield limit
        finally:
            self.limits.pop(limit)

    def _due(self, kept: float) -> float:
        return asyncio.get_running_loop().time() + self.seconds_left - kept
