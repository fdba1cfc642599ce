"""Event loop and timers in virtual time, which advances when idle."""

import asyncio
import random
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from tanagerbend_timer.service import PauseListener, PeriodicCallback
from tanagerbend_timer.subscription import Subscription

Result = TypeVar('Result')
Ready = list[tuple[selectors.SelectorKey, int]]


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> Ready:
        """Advance virtual time by the timeout and poll without waiting."""
        if timeout is None:
            raise RuntimeError('no timer or callback is scheduled')
        self.time += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs in virtual time.

    Examples
    ========

    >>> run_virtual(asyncio.sleep(3600, 'done'))
    'done'
    """

    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return virtual seconds since the loop was created."""
        return self.virtual_selector.time


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new loop whose virtual time starts at 0."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)


class LoopTimer:
    """Timer on the clock of the running event loop."""

    def now(self) -> float:
        """Return the time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the loop time, because virtual time has no time of day."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await asyncio.sleep(max(seconds, 0.0))

    def every(
        self,
        seconds: float,
        callback: PeriodicCallback,
        initial_delay: float = 0.0,
    ) -> Subscription:
        """Call back periodically until the subscription is cancelled."""
        return Subscription(seconds, callback, initial_delay).start(self.sleep)

    def on_pause(self, listener: PauseListener) -> None:
        """Do nothing; virtual time has no pauses."""

    def check_pause(self) -> None:
        """Do nothing; virtual time has no pauses."""


class LateTimer(LoopTimer):
    """Timer of a daemon that is scheduled late by the operating system.

    Parameters
    ==========

    rng : random.Random
    max_delay : float
        Each wait overruns by a random time of at most this many seconds.
    """

    def __init__(self, rng: random.Random, max_delay: float) -> None:
        self.random = rng
        self.max_delay = max_delay

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds`` and a random overrun."""
        overrun = self.max_delay * self.random.random()
        await asyncio.sleep(max(seconds, 0.0) + overrun)
