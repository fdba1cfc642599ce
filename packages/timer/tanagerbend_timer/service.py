"""Timer services: the system clock and a manual clock for tests."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from tanagerbend_timer.clocks import (
    WATCHDOG_SECONDS,
    PauseWatch,
    boot_time,
)
from tanagerbend_timer.subscription import Subscription

PauseListener = Callable[[float], None]
PeriodicCallback = Callable[[], Awaitable[None]]


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

    def check_pause(self) -> None:
        """Report a pause now, before the periodic check finds it.

        Work that was waiting when the process was stopped runs first when
        it resumes, so those who accept work check before they do.
        """


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
        self.watch = PauseWatch((time.monotonic, boot_time, time.time))

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
        subscription.start(self.sleep)
        self.subscriptions.add(subscription)
        return subscription

    def on_pause(self, listener: PauseListener) -> None:
        """Report gaps after pauses; the first listener starts the watchdog."""
        if not self.pause_listeners:
            self.watch.gap()
            self.every(WATCHDOG_SECONDS, self._check_pause)
        self.pause_listeners.append(listener)

    async def _check_pause(self) -> None:
        self.check_pause()

    def check_pause(self) -> None:
        """Report a pause if the clocks show a gap."""
        gap = self.watch.gap()
        if gap:
            for listener in self.pause_listeners:
                listener(gap)

    async def close(self) -> None:
        """Cancel all subscriptions and wait for their tasks."""
        tasks = [subscription.cancel() for subscription in self.subscriptions]
        self.subscriptions.clear()
        running = [task for task in tasks if task is not None]
        await asyncio.gather(*running, return_exceptions=True)
