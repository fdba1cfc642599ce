"""Admission without floors: baselines to compare the rank policy with."""

import asyncio
import bisect
import itertools
from typing import Final

import attrs

from tanagerbend_admission.ticket import Outcome, Ticket
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

DEFAULT_QUEUE: Final = 256
QUEUE_FULL: Final = Refusal(ResultCode.QUEUE_FULL, 'queue is full')
DEADLINE_PASSED_IN_QUEUE: Final = Refusal(
    ResultCode.DEADLINE_PASSED,
    'deadline passed in queue',
)


@attrs.frozen(eq=False)
class WaitingCall:
    """A waiting call."""

    key: tuple[int, int]
    ticket: Ticket
    granted: asyncio.Future[Refusal | None]


class FifoAdmission:
    """Serves calls in order of arrival, regardless of their rank.

    Parameters
    ==========

    timer : Timer
    slots : int
        Calls that the backend server runs at the same time.
    max_waiting : int
        Maximum number of waiting calls.
    """

    def __init__(
        self,
        timer: Timer,
        slots: int,
        max_waiting: int = DEFAULT_QUEUE,
    ) -> None:
        self.timer = timer
        self.slots = slots
        self.free_slots = slots
        self.max_waiting = max_waiting
        self.arrival_numbers = itertools.count()
        self.waiting: list[WaitingCall] = []

    @property
    def load_percent(self) -> int:
        """Running calls in percent of the slots, as reported to others."""
        return 100 * (self.slots - self.free_slots) // self.slots

    def configure(self, floors: dict[int, float]) -> None:
        """Ignore the floors, which this policy does not use."""

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; return None once the call holds one."""
        if self.free_slots and not self.waiting:
            self.free_slots -= 1
            return None
        if not self.may_wait(ticket):
            return QUEUE_FULL
        waiting_call = WaitingCall(
            (self.urgency(ticket), next(self.arrival_numbers)),
            ticket,
            asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self.waiting, waiting_call, key=_queue_key)
        try:
            return await waiting_call.granted
        except asyncio.CancelledError:
            self._cancel(waiting_call)
            raise

    def urgency(self, ticket: Ticket) -> int:
        """Return the sort key of a call; lower keys are served first."""
        return 0

    def may_wait(self, ticket: Ticket) -> bool:
        """Return whether there is room in the queue for a call."""
        return len(self.waiting) < self.max_waiting

    def leave(self, ticket: Ticket, outcome: Outcome, seconds: float) -> None:
        """Release a slot and grant it to the next waiting call."""
        self.free_slots += 1
        while self.free_slots and self.waiting:
            waiting_call = self.waiting.pop(0)
            if waiting_call.granted.done():
                continue
            if self.timer.now() < waiting_call.ticket.deadline:
                self.free_slots -= 1
                waiting_call.granted.set_result(None)
            else:
                waiting_call.granted.set_result(DEADLINE_PASSED_IN_QUEUE)

    def _cancel(self, waiting_call: WaitingCall) -> None:
        if waiting_call in self.waiting:
            self.waiting.remove(waiting_call)
        elif not waiting_call.granted.cancelled():
            if waiting_call.granted.result() is None:
                self.leave(waiting_call.ticket, Outcome.CANCELLED, 0)


class StrictPriorityAdmission(FifoAdmission):
    """Always serves the most urgent rank first.

    If the queue is full, a more urgent call displaces the least urgent
    waiting one.
    """

    def urgency(self, ticket: Ticket) -> int:
        """Return the rank of a call."""
        return ticket.rank

    def may_wait(self, ticket: Ticket) -> bool:
        """Return whether a call may wait, displacing a less urgent one."""
        if super().may_wait(ticket):
            return True
        if self.waiting[-1].ticket.rank <= ticket.rank:
            return False
        last = self.waiting.pop()
        if not last.granted.done():
            last.granted.set_result(QUEUE_FULL)
        return True


def _queue_key(waiting_call: WaitingCall) -> tuple[int, int]:
    return waiting_call.key
