"""Timer interface and its implementation on the system clocks."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from tanagerbend_timer.clocks import (
    WATCHDOG_PERIOD_SECONDS,
    PauseDetector,
    boot_time,
)
from tanagerbend_timer.subscription import Subscription

PauseListener = Callable[[float], None]
PeriodicCallback = Callable[[], Awaitable[None]]


class Timer(Protocol):
    """Clock, sleep and periodic callbacks, as used by all packages.

    See Also
    ========

    SystemTimer
    ManualTimer
    """

    def now(self) -> float:
        """Return monotonic time in seconds; it never decreases."""

    def wall(self) -> float:
        """Return seconds since the epoch; never decreases in a process."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time in seconds."""

    def every(
        self,
        seconds: float,
        callback: PeriodicCallback,
        initial_delay: float = 0.0,
    ) -> Subscription:
        """Call ``callback`` periodically until the subscription is cancelled.

        The first call comes after ``initial_delay`` plus one period, both
        in seconds.
        """

    def on_pause(self, listener: PauseListener) -> None:
        """Call ``listener`` with the seconds of each pause of the process."""

    def check_pause(self) -> None:
        """Report a pause now, before the periodic check finds it.

        When a stopped process resumes, pending callbacks of the event loop
        may run before the watchdog.  Code that accepts work therefore calls
        this method first.
        """


class SystemTimer:
    """Timer on the clocks of the operating system.

    Explanation
    ===========

    ``wall`` is the wall time at the start plus the monotonic time since, so
    that setting back the system clock cannot make an expired record valid
    again.  A periodic watchdog compares clock readings and reports pauses
    of the process to the listeners.
    """

    def __init__(self) -> None:
        self.started_wall = time.time()
        self.started_monotonic = time.monotonic()
        self.subscriptions: set[Subscription] = set()
        self.pause_listeners: list[PauseListener] = []
        self.pause_detector = PauseDetector(
            (time.monotonic, boot_time, time.time)
        )

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return self.started_wall + self.now() - self.started_monotonic

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time in seconds."""
        await asyncio.sleep(seconds)

    def every(
        self,
        seconds: float,
        callback: PeriodicCallback,
        initial_delay: float = 0.0,
    ) -> Subscription:
        """Call ``callback`` periodically until cancelled or closed."""
        subscription = Subscription(seconds, callback, initial_delay)
        subscription.start(self.sleep)
        self.subscriptions.add(subscription)
        return subscription

    def on_pause(self, listener: PauseListener) -> None:
        """Add a pause listener; the first one starts the watchdog."""
        if not self.pause_listeners:
            self.pause_detector.pause_length()
            self.every(WATCHDOG_PERIOD_SECONDS, self._check_pause)
        self.pause_listeners.append(listener)

    async def _check_pause(self) -> None:
        self.check_pause()

    def check_pause(self) -> None:
        """Report a pause to the listeners if one is detected."""
        pause_seconds = self.pause_detector.pause_length()
        if pause_seconds:
            for listener in self.pause_listeners:
                listener(pause_seconds)

    async def close(self) -> None:
        """Cancel all subscriptions and wait for their tasks."""
        tasks = [subscription.cancel() for subscription in self.subscriptions]
        self.subscriptions.clear()
        pending_tasks = [task for task in tasks if task is not None]
        await asyncio.gather(*pending_tasks, return_exceptions=True)
