"""Timer with simulated time that advances only on request."""

import asyncio
import heapq
import itertools
from typing import Final

from tanagerbend_timer.service import PauseListener, PeriodicCallback
from tanagerbend_timer.subscription import Subscription

# Iterations of the event loop in which woken tasks reach their next wait.
SETTLE_ROUNDS: Final = 20
START_OF_EPOCH: Final = 1_800_000_000.0


class ManualTimer:
    """Timer for tests and replay; ``advance`` moves its time forward.

    Examples
    ========

    >>> timer = ManualTimer()
    >>> asyncio.run(timer.advance(2.5))
    >>> timer.now()
    2.5
    """

    def __init__(self, wall: float = START_OF_EPOCH) -> None:
        self.time = 0.0
        self.started_wall = wall
        self.sequence = itertools.count()
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.pause_listeners: list[PauseListener] = []

    def now(self) -> float:
        """Return simulated seconds since the timer was created."""
        return self.time

    def wall(self) -> float:
        """Return simulated seconds since the epoch."""
        return self.started_wall + self.time

    async def sleep(self, seconds: float) -> None:
        """Wait until the timer has been advanced by ``seconds``."""
        wakeup = asyncio.get_running_loop().create_future()
        due = self.time + max(seconds, 0.0)
        heapq.heappush(self.sleepers, (due, next(self.sequence), wakeup))
        await wakeup

    def every(
        self,
        seconds: float,
        callback: PeriodicCallback,
        initial_delay: float = 0.0,
    ) -> Subscription:
        """Call ``callback`` periodically in simulated time."""
        return Subscription(seconds, callback, initial_delay).start(self.sleep)

    def on_pause(self, listener: PauseListener) -> None:
        """Add a listener that ``pause`` calls."""
        self.pause_listeners.append(listener)

    async def settle(self) -> None:
        """Let all woken tasks run to their next wait."""
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)

    async def advance(self, seconds: float) -> None:
        """Move time forward and wake sleeping tasks in order of due time."""
        end = self.time + seconds
        await self.settle()
        while self.sleepers and self.sleepers[0][0] <= end:
            due, _sequence, wakeup = heapq.heappop(self.sleepers)
            self.time = max(self.time, due)
            if not wakeup.done():
                wakeup.set_result(None)
            await self.settle()
        self.time = end

    def check_pause(self) -> None:
        """Do nothing; ``pause`` reports to the listeners itself."""

    def pause(self, seconds: float) -> None:
        """Jump ahead without waking sleeping tasks, then report the pause."""
        self.time += seconds
        for listener in self.pause_listeners:
            listener(seconds)
