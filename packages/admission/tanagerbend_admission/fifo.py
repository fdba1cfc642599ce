"""Admission in order of arrival: the baseline of the rank policy."""

import asyncio
from collections import deque
from typing import Final

from tanagerbend_admission.ticket import Ticket
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

DEFAULT_QUEUE: Final = 256


class FifoAdmission:
    """Serves calls in order of arrival, whatever their rank.

    Parameters
    ==========

    timer : Timer
    slots : int
        Calls that the backend server runs at the same time.
    queue : int
        Calls that may wait.
    """

    def __init__(
        self,
        timer: Timer,
        slots: int,
        queue: int = DEFAULT_QUEUE,
    ) -> None:
        self.timer = timer
        self.free = slots
        self.queue = queue
        self.waiting: deque[tuple[Ticket, asyncio.Future[bool]]] = deque()

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; None means that the caller holds one."""
        if self.free and not self.waiting:
            self.free -= 1
            return None
        if len(self.waiting) >= self.queue:
            return Refusal(ResultCode.QUEUE_FULL, 'queue is full')
        granted = asyncio.get_running_loop().create_future()
        self.waiting.append((ticket, granted))
        try:
            is_in_time = await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.result():
                self.leave()
            raise
        if is_in_time:
            return None
        return Refusal(ResultCode.DEADLINE_PASSED, 'deadline passed in queue')

    def leave(self) -> None:
        """Give a slot back and grant it to the next call."""
        self.free += 1
        while self.free and self.waiting:
            ticket, granted = self.waiting.popleft()
            if granted.done():
                continue
            is_in_time = self.timer.now() < ticket.deadline
            if is_in_time:
                self.free -= 1
            granted.set_result(is_in_time)
