"""Periodic subscriptions to a timer service."""

import asyncio
from collections.abc import Awaitable, Callable


class Subscription:
    """Task that calls a callback periodically.

    Parameters
    ==========

    seconds : float
        Time between the end of a call and the start of the next.
    callback : callable
        Awaited after each period; an exception does not end the calls.
    initial_delay : float
        Delay of the first call in seconds, on top of the period.
    """

    def __init__(
        self,
        seconds: float,
        callback: Callable[[], Awaitable[None]],
        initial_delay: float = 0.0,
    ) -> None:
        self.seconds = seconds
        self.callback = callback
        self.initial_delay = initial_delay
        self.task: asyncio.Task[None] | None = None
        self.is_cancelled = False

    def start(
        self,
        sleep: Callable[[float], Awaitable[None]],
    ) -> 'Subscription':
        """Start the periodic calls in a new task; return this subscription."""
        self.task = asyncio.create_task(self.run(sleep))
        return self

    async def run(self, sleep: Callable[[float], Awaitable[None]]) -> None:
        """Call the callback periodically until cancelled."""
        await sleep(self.initial_delay)
        while not self.is_cancelled:
            await sleep(self.seconds)
            await _call_safely(self.callback)

    def cancel(self) -> asyncio.Task[None] | None:
        """Cancel the subscription; return its task to wait for, if any."""
        self.is_cancelled = True
        if self.task is not None:
            self.task.cancel()
        return self.task


def combine_callbacks(
    *callbacks: Callable[[], Awaitable[None]],
) -> Callable[[], Awaitable[None]]:
    """Combine callbacks into one that calls them in sequence.

    One periodic task then serves all of them, since waking a task costs
    more than a short callback on hosts with little processor time.
    """

    async def call_all() -> None:  # noqa: WPS430
        for callback in callbacks:
            await _call_safely(callback)

    return call_all


async def _call_safely(callback: Callable[[], Awaitable[None]]) -> None:
    try:
        await callback()
    except Exception as error:  # noqa: BLE001
        # An exception must not end the periodic task, since nothing would
        # restart it.
        _report_error(callback, error)


def _report_error(callback: object, error: Exception) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {'message': f'periodic callback {callback} failed', 'exception': error},
    )
