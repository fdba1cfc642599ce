"""Timer services: the system clock and a manual clock for tests."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from tanagerbend_timer.subscription import Subscription

PauseListener = Callable[[float], None]
PeriodicCallback = Callable[[], Awaitable[None]]

WATCHDOG_SECONDS: Final = 0.5
# A loaded host can delay the event loop by a second; longer gaps mean that
# the process was stopped or the machine was suspended.
PAUSE_SECONDS: Final = 2.0


class Timer(Protocol):
    """Source of time for all packages.

    See Also
    ========

    SystemTimer
    ManualTimer
    """

    def now(self) -> float:
        """Return monotonic seconds; never decreases."""

    def wall(self) -> float:
        """Return seconds since the epoch; never decreases in a process."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time in seconds."""

    def every(
        self,
        seconds: float,
        callback: PeriodicCallback,
        spread: float = 0.0,
    ) -> Subscription:
        """Call back periodically; ``spread`` delays the first call."""

    def on_pause(self, listener: PauseListener) -> None:
        """Report gaps, in seconds, after the process was paused."""


class SystemTimer:
    """Timer on the clock of the operating system.

    Explanation
    ===========

    ``wall`` is the start time plus monotonic time, so that a step of the
    system clock cannot revive an expired record.  The monotonic clock
    also counts while the process is stopped, which a watchdog turns into
    pause reports.
    """

    def __init__(self) -> None:
        self.started_wall = time.time()
        self.started = time.monotonic()
        self.subscriptions: set[Subscription] = set()
        self.pause_listeners: list[PauseListener] = []
        self.last_tick = self.started

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return self.started_wall + self.now() - self.started

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time in seconds."""
        await asyncio.sleep(seconds)

    def every(
        self,
        seconds: float,
        callback: PeriodicCallback,
        spread: float = 0.0,
    ) -> Subscription:
        """Call back periodically until the subscription is cancelled."""
        subscription = Subscription(seconds, callback, spread)
        subscription.task = asyncio.create_task(subscription.run(self.sleep))
        self.subscriptions.add(subscription)
        return subscription

    def on_pause(self, listener: PauseListener) -> None:
        """Report gaps after pauses; the first listener starts the watchdog."""
        if not self.pause_listeners:
            self.last_tick = self.now()
            self.every(WATCHDOG_SECONDS, self.check_pause)
        self.pause_listeners.append(listener)

    async def check_pause(self) -> None:
        """Compare the time since the last check with its period."""
        gap = self.now() - self.last_tick - WATCHDOG_SECONDS
        self.last_tick = self.now()
        if gap > PAUSE_SECONDS:
            for listener in self.pause_listeners:
                listener(gap)

    async def close(self) -> None:
        """Cancel all subscriptions and wait for their tasks."""
        tasks = [subscription.cancel() for subscription in self.subscriptions]
        self.subscriptions.clear()
        running = [task for task in tasks if task is not None]
        await asyncio.gather(*running, return_exceptions=True)
