"""Exchanges of which a late one does not hold up the next."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

from tanagerbend_model import Refusal

Result = TypeVar('Result')


class Attempts(Generic[Result]):
    """Exchanges that are under way.

    Explanation
    ===========

    Behind a full link or a lost packet an exchange ends late, but it ends;
    one that is given up begins anew behind the same link.  Therefore a
    late exchange goes on beside the next one until its own limit, and
    takes what it brings itself.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Result | Refusal]] = set()

    def start(
        self,
        exchange: Coroutine[Any, Any, Result | Refusal],
    ) -> asyncio.Task[Result | Refusal]:
        """Begin an exchange."""
        task = asyncio.create_task(exchange)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def first(
        self,
        patience: float,
        *exchanges: Coroutine[Any, Any, Result | Refusal],
    ) -> Result | Refusal | None:
        """Return the first that succeeds, else a refusal, None if late.

        ``patience`` is in seconds; a refusal does not end the wait for
        the others.
        """
        waiting = {self.start(each) for each in exchanges}
        due = asyncio.get_running_loop().time() + patience
        refusal: Result | Refusal | None = None
        while waiting:
            left = due - asyncio.get_running_loop().time()
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
        """End what is under way."""
        running = tuple(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
