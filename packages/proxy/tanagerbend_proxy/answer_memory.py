"""Memory for answers that their callers have not read yet."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import attrs

from tanagerbend_daemon.connection_reset import reset_connection
from tanagerbend_proxy.body_memory import COPIES, STALL_SECONDS, BodyMemory

# Smaller answers fit into the write buffer of a connection.
HELD_ANSWER_BYTES: Final = 65536


@attrs.define(eq=False)
class HeldAnswer:
    """An answer that is being sent.

    Parameters
    ==========

    size : int
        Bytes of its body.
    transport : asyncio.Transport or None
    unsent : int
        Bytes that the connection did not take at the last check; 0 while the
        answer waits for its turn on the link.
    progress_at : float
        Monotonic seconds of the last check that found fewer.
    """

    size: int
    transport: asyncio.Transport | None
    unsent: int = 0
    progress_at: float = 0.0

    def check(self, now: float) -> None:
        """Record whether the caller has read something."""
        is_open = self.transport is not None
        unsent = self.transport.get_write_buffer_size() if is_open else 0
        if not unsent or unsent != self.unsent:
            self.progress_at = now
        self.unsent = unsent

    def weight(self, now: float) -> float:
        """Return how much it holds, and for how long without progress."""
        return self.size * (now - self.progress_at)


@attrs.define
class AnswerMemory:
    """Accounts for answers in the memory of a process.

    Explanation
    ===========

    An answer is in memory whole, and what its caller has not read is in the
    write buffer of the connection as well.  While the memory is used up, no
    further requests are taken, and the connections of the callers that have
    read nothing for a while are reset, those with most first.

    Parameters
    ==========

    memory : BodyMemory
    reset : callable
        Ends a connection so that its answer does not look complete.
    """

    memory: BodyMemory
    answers: dict[HeldAnswer, None] = attrs.field(factory=dict)
    reset: Callable[[asyncio.Transport | None], None] = reset_connection

    @contextmanager
    def hold(
        self, size: int, transport: asyncio.Transport | None
    ) -> Iterator[None]:
        """Account for an answer until the block ends."""
        if size <= HELD_ANSWER_BYTES:
            yield
            return
        held = HeldAnswer(size, transport, progress_at=self.memory.timer.now())
        self.answers[held] = None
        self.memory.used += COPIES * size
        try:
            yield
        finally:
            self.memory.used -= COPIES * size
            self.answers.pop(held)

    def check(self) -> None:
        """Reset connections of callers that do not read; called often."""
        now = self.memory.timer.now()
        for each in self.answers:
            each.check(now)
        excess = self.memory.used - self.memory.capacity
        for each in self._stalled(now):
            is_silent = now - each.progress_at >= self.memory.idle_seconds
            if is_silent or excess > 0:
                excess -= COPIES * each.size
                self.memory.count('answers_reset')
                self.reset(each.transport)

    def _stalled(self, now: float) -> list[HeldAnswer]:
        """Return the answers without progress, the heaviest first."""
        stalled = (
            each
            for each in self.answers
            if now - each.progress_at >= STALL_SECONDS
        )
        return sorted(stalled, key=lambda each: each.weight(now), reverse=True)
