"""Admission without floors: the baselines of the rank policy."""

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
TOO_LATE: Final = Refusal(
    ResultCode.DEADLINE_PASSED,
    'deadline passed in queue',
)


@attrs.frozen(eq=False)
class Entrant:
    """A waiting call."""

    key: tuple[int, int]
    ticket: Ticket
    granted: asyncio.Future[Refusal | None]


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
        self.slots = slots
        self.free = slots
        self.queue = queue
        self.order = itertools.count()
        self.waiting: list[Entrant] = []

    @property
    def load_percent(self) -> int:
        """Running calls in relation to the slots; a hint for others."""
        return 100 * (self.slots - self.free) // self.slots

    def configure(self, floors: dict[int, float]) -> None:
        """Ignore the floors; the baselines have none."""

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; None means that the caller holds one."""
        if self.free and not self.waiting:
            self.free -= 1
            return None
        if not self.make_room(ticket):
            return QUEUE_FULL
        entrant = Entrant(
            (self.urgency(ticket), next(self.order)),
            ticket,
            asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self.waiting, entrant, key=_key)
        try:
            return await entrant.granted
        except asyncio.CancelledError:
            self._abandon(entrant)
            raise

    def urgency(self, ticket: Ticket) -> int:
        """Return the position of a ticket's rank in the queue."""
        return 0

    def make_room(self, ticket: Ticket) -> bool:
        """Return whether the ticket may wait."""
        return len(self.waiting) < self.queue

    def leave(self, ticket: Ticket, outcome: Outcome, used: float) -> None:
        """Give a slot back and grant it to the next call."""
        self.free += 1
        while self.free and self.waiting:
            entrant = self.waiting.pop(0)
            if entrant.granted.done():
                continue
            if self.timer.now() < entrant.ticket.deadline:
                self.free -= 1
                entrant.granted.set_result(None)
            else:
                entrant.granted.set_result(TOO_LATE)

    def _abandon(self, entrant: Entrant) -> None:
        if entrant in self.waiting:
            self.waiting.remove(entrant)
        elif not entrant.granted.cancelled():
            if entrant.granted.result() is None:
                self.leave(entrant.ticket, Outcome.CANCELLED, 0)


class StrictPriorityAdmission(FifoAdmission):
    """Always serves the most urgent rank first.

    A full queue refuses the least urgent waiting call in favour of a more
    urgent one.
    """

    def urgency(self, ticket: Ticket) -> int:
        """Return the rank."""
        return ticket.rank

    def make_room(self, ticket: Ticket) -> bool:
        """Refuse the last waiting call if it is less urgent."""
        if super().make_room(ticket):
            return True
        if self.waiting[-1].ticket.rank <= ticket.rank:
            return False
        last = self.waiting.pop()
        if not last.granted.done():
            last.granted.set_result(QUEUE_FULL)
        return True


def _key(entrant: Entrant) -> tuple[int, int]:
    return entrant.key
