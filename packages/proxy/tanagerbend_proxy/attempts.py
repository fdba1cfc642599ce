"""Concurrent attempts, so that a late one doesn't delay the next."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

from tanagerbend_model import Refusal

Result = TypeVar('Result')


class Attempts(Generic[Result]):
    """Set of running attempts.

    Explanation
    ===========

    Behind a full link or a lost packet an attempt ends late, but it ends;
    if it were cancelled, the next one would wait behind the same link.
    Therefore a late attempt continues beside the next one until its own
    timeout, and processes its result itself.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Result | Refusal]] = set()

    def start(
        self,
        attempt: Coroutine[Any, Any, Result | Refusal],
    ) -> asyncio.Task[Result | Refusal]:
        """Start an attempt."""
        task = asyncio.create_task(attempt)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def first(
        self,
        timeout: float,
        *attempts: Coroutine[Any, Any, Result | Refusal],
    ) -> Result | Refusal | None:
        """Return the first success, else a refusal, None after a timeout.

        ``timeout`` is in seconds; a refusal doesn't end the wait for the
        other attempts.
        """
        waiting = {self.start(attempt) for attempt in attempts}
        deadline = asyncio.get_running_loop().time() + timeout
        refusal: Result | Refusal | None = None
        while waiting:
            left = deadline - asyncio.get_running_loop().time()
            done, waiting = await asyncio.wait(
                waiting,
                timeout=max(left, 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return None
            ended = [task.result() for task in done]
            for found in ended:
                if not isinstance(found, Refusal):
                    return found
            refusal = ended[-1]
        return refusal

    async def close(self) -> None:
        """Cancel the running attempts."""
        running = tuple(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
