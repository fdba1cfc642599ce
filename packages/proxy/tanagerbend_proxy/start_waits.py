"""Waits of requests that end as soon as their request is refused."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from tanagerbend_model import Refusal

Question = Callable[[], Refusal | None]


@attrs.define(eq=False)
class StartWait:
    """Wait of one request to start.

    Parameters
    ==========

    limit : asyncio.Timeout
    refuse : callable
        Returns why the request may not start any more, None if it may.
    refusal : Refusal or None
        Why the wait ends.
    """

    limit: asyncio.Timeout
    refuse: Question
    refusal: Refusal | None = None

    def check(self) -> None:
        """End the wait if the request is refused."""
        if self.refusal is None:
            self.refusal = self.refuse()
            if self.refusal is not None:
                self.limit.reschedule(asyncio.get_running_loop().time())


@attrs.define
class StartWaits:
    """Requests that wait to start at the instance on this host.

    Parameters
    ==========

    waiting : set of StartWait
    """

    waiting: set[StartWait] = attrs.field(factory=set)

    async def enter(
        self, entering: Awaitable[Refusal | None], refuse: Question
    ) -> Refusal | None:
        """Wait until ``entering`` returns; refuse the request before that.

        Cancels ``entering`` at the next check after ``refuse`` returned a
        refusal, which is returned then.
        """
        wait = StartWait(asyncio.timeout(None), refuse)
        self.waiting.add(wait)
        try:
            async with wait.limit:
                return await entering
        except TimeoutError:
            if wait.refusal is None:
                raise
            return wait.refusal
        finally:
            self.waiting.discard(wait)

    async def check(self) -> None:
        """End the waits of requests that are refused by now."""
        for wait in tuple(self.waiting):
            wait.check()
