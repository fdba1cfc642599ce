"""Periodic subscriptions to a timer service."""

import asyncio
from collections.abc import Awaitable, Callable


class Subscription:
    """One periodic call.

    Parameters
    ==========

    seconds : float
        Period.
    callback : callable
        Awaited once a period; the next period begins when it is done.
    spread : float
        Delay of the first call in seconds, on top of the period.
    """

    def __init__(
        self,
        seconds: float,
        callback: Callable[[], Awaitable[None]],
        spread: float = 0.0,
    ) -> None:
        self.seconds = seconds
        self.callback = callback
        self.spread = spread
        self.task: asyncio.Task[None] | None = None
        self.is_cancelled = False

    def start(
        self,
        sleep: Callable[[float], Awaitable[None]],
    ) -> 'Subscription':
        """Call back in a task of its own; return this subscription."""
        self.task = asyncio.create_task(self.run(sleep))
        return self

    async def run(self, sleep: Callable[[float], Awaitable[None]]) -> None:
        """Call back until cancelled."""
        await sleep(self.spread)
        while not self.is_cancelled:
            await sleep(self.seconds)
            await _call(self.callback)

    def cancel(self) -> asyncio.Task[None] | None:
        """Stop the subscription; return the task to wait for, if any."""
        self.is_cancelled = True
        if self.task is not None:
            self.task.cancel()
        return self.task


def together(
    *callbacks: Callable[[], Awaitable[None]],
) -> Callable[[], Awaitable[None]]:
    """Return a callback that calls several, for which one task is enough.

    The load it answers: hosts with little processor time, on which each
    task that wakes up costs more than a short callback.
    """

    async def call_all() -> None:  # noqa: WPS430
        for callback in callbacks:
            await _call(callback)

    return call_all


async def _call(callback: Callable[[], Awaitable[None]]) -> None:
    try:
        await callback()
    except Exception as error:  # noqa: BLE001
        # One fault must not end periodic work for good, with nobody there
        # to restart it.
        _report(callback, error)


def _report(callback: object, error: Exception) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {'message': f'periodic call {callback} failed', 'exception': error},
    )
