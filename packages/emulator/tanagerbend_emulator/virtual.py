"""Event loop and timer whose time passes only when nothing is left to do."""

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
    """Selector that advances the time of its loop instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> Ready:
        """Let the time pass that the loop would wait."""
        if timeout is None:
            raise RuntimeError('nothing will happen any more')
        self.time += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual seconds.

    Examples
    ========

    >>> run_virtual(asyncio.sleep(3600, 'done'))
    'done'
    """

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self.virtual.time


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, from second 0."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)


class LoopTimer:
    """Timer on the clock of the running event loop."""

    def now(self) -> float:
        """Return seconds of the loop."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same; an emulation has no time of day."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time in seconds."""
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
    """Timer of a daemon that seldom gets the processor.

    Parameters
    ==========

    chance : random.Random
    most : float
        Seconds; each wait ends late by a random part of it.
    """

    def __init__(self, chance: random.Random, most: float) -> None:
        self.random = chance
        self.most = most

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time in seconds, and somewhat longer."""
        late = self.most * self.random.random()
        await asyncio.sleep(max(seconds, 0.0) + late)
