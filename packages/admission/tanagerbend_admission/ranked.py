"""Admission by rank with floors: the policy of the daemon."""

import asyncio
import itertools
from typing import Final

from tanagerbend_admission.estimate import ServiceTimes
from tanagerbend_admission.floods import Floods
from tanagerbend_admission.limit import AdaptiveLimit
from tanagerbend_admission.queues import RankQueue, Waiter
from tanagerbend_admission.room import Room
from tanagerbend_admission.shares import Shares
from tanagerbend_admission.ticket import Outcome, Ticket
from tanagerbend_admission.window import SlotUsage
from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import QUEUE_TIME
from tanagerbend_model import Refusal, ResultCode

DEFAULT_PLACES: Final = 256
# Bound on the time in the queue for calls without a deadline.
LONGEST_WAIT_SECONDS: Final = 30.0
EXPIRY_SECONDS: Final = 0.02
# A class that takes about as long as its target is still served.
LARGEST_MARGIN: Final = 0.7
QUEUE_FULL: Final = Refusal(ResultCode.QUEUE_FULL, 'queue is full')
GAVE_WAY: Final = Refusal(
    ResultCode.QUEUE_FULL,
    'gave its place to more urgent work',
)
TOO_LATE: Final = Refusal(
    ResultCode.DEADLINE_PASSED,
    'deadline passed in queue',
)
UNREACHABLE: Final = Refusal(
    ResultCode.DEADLINE_UNREACHABLE,
    'the slots ahead of the call are taken for too long',
)


class RankAdmission:
    """Serves ranks below their floor first, then the most urgent rank.

    Explanation
    ===========

    A call is refused at once if it is predicted to miss its deadline.
    While its rank is under pressure the target takes the place of the
    deadline: with more work than slots some calls are refused anyway, and
    those accepted should be on time.

    Parameters
    ==========

    recorder : Recorder
    slots : int
        Calls that the backend server runs at the same time.
    places : int
        Calls that may wait.

    See Also
    ========

    tanagerbend_admission.shares.Shares
    tanagerbend_admission.queues.RankQueue
    """

    def __init__(
        self,
        recorder: Recorder,
        slots: int,
        places: int = DEFAULT_PLACES,
    ) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.limit = AdaptiveLimit(slots)
        self.usage = SlotUsage(self.timer.now())
        self.times = ServiceTimes()
        self.floods = Floods(recorder)
        self.shares = Shares(self.usage, {})
        self.room = Room(places, {})
        self.queues: dict[int, RankQueue] = {}
        self.order = itertools.count()
        self.running = 0
        self.expiry: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return sum(queue.count for queue in self.queues.values())

    @property
    def load_percent(self) -> int:
        """Running calls in relation to the slots; a hint for others."""
        return min(100, 100 * self.running // self.limit.calls)

    def configure(self, floors: dict[int, float]) -> None:
        """Set the guaranteed share of slot time of each rank, 0 to 1."""
        self.shares.floors = floors
        self.room = Room(self.room.places, floors)

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; None means that the caller holds one."""
        now = self.timer.now()
        self.usage.advance(now)
        queue = self.queues.get(ticket.rank)
        if queue is None:
            queue = RankQueue()
            self.queues[ticket.rank] = queue
        is_free = self.running < self.limit.calls and not self.waiting
        refusal = self._judge(ticket, queue, now, is_free=is_free)
        if refusal is not None:
            return refusal
        if is_free:
            queue.charge(ticket.tenant, self.times.mean(ticket.work))
            self._grant(ticket, 0.0)
            return None
        if not self._make_room(ticket):
            return QUEUE_FULL
        return await self._wait(ticket, queue, now)

    async def _wait(
        self,
        ticket: Ticket,
        queue: RankQueue,
        now: float,
    ) -> Refusal | None:
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(ticket, next(self.order), now, granted)
        queue.push(waiter)
        if self.expiry is None or self.expiry.done():
            self.expiry = asyncio.create_task(self._expire())
        try:
            return await granted
        except asyncio.CancelledError:
            if not queue.remove(waiter) and not granted.cancelled():
                # The slot was granted while the caller went away.
                if granted.result() is None:
                    self.leave(ticket, Outcome.CANCELLED, 0)
            raise

    def leave(self, ticket: Ticket, outcome: Outcome, used: float) -> None:
        """Give the slot back after ``used`` seconds; serve the next call."""
        now = self.timer.now()
        self.usage.advance(now)
        self.usage.stop(ticket.rank)
        self.running -= 1
        expected = self.times.mean(ticket.work)
        self.queues[ticket.rank].correct(ticket.tenant, used - expected)
        ratio = 1.0
        if outcome in {Outcome.SERVED, Outcome.FAILED}:
            ratio = self.times.observe(ticket.work, used, now)
        self.limit.observe(now, outcome, ratio)
        self.floods.expire(now)
        self._serve(now)

    def _judge(
        self,
        ticket: Ticket,
        queue: RankQueue,
        now: float,
        *,
        is_free: bool,
    ) -> Refusal | None:
        """Refuse a call that is predicted to be too late."""
        if now >= ticket.deadline:
            return TOO_LATE
        own = self.times.mean(ticket.work)
        if is_free:
            self.floods.clear(ticket.rank)
            is_late = now + own > ticket.deadline
        else:
            is_late = self._is_late(ticket, queue, now, own)
        if not is_late or not (queue.count or self._is_running(ticket.rank)):
            return None
        # Only a call that runs can correct a wrong estimate.
        return None if self.times.may_try(ticket.work, now) else UNREACHABLE

    def _is_late(
        self,
        ticket: Ticket,
        queue: RankQueue,
        now: float,
        own: float,
    ) -> bool:
        """Predict the end of a call that has to wait."""
        slots = self.limit.calls
        pace = own / (slots * self.shares.available(ticket.rank, slots))
        in_time = ticket.target - self._margin(ticket)
        # The state of the rank is judged by its whole queue, because a
        # tenant that waits little would hide the flood of another one.
        if pace * (queue.count + 1) > in_time:
            self.floods.press(now, ticket.rank, own, slots)
        else:
            self.floods.clear(ticket.rank)
        wait = pace * (queue.ahead_of(ticket) + 1)
        if now + wait + own > ticket.deadline:
            return True
        if self._is_next_for_floor(ticket.rank, queue.count):
            return False
        return wait > in_time and self.floods.is_pressed(ticket.rank)

    def _is_next_for_floor(self, rank: int, ahead: int) -> bool:
        """Whether a call is the only one that can take a slot of a floor.

        Refusing it would leave the floor unused until the next arrival,
        which cost ranks with few, long calls about a tenth of their floor.
        """
        return not ahead and self.shares.floors.get(rank, 0.0) > 0

    def _is_running(self, rank: int) -> bool:
        return bool(self.usage.running.get(rank))

    def _margin(self, ticket: Ticket) -> float:
        """Time kept for running, so that accepted calls are on time."""
        return min(
            self.times.slow(ticket.work),
            ticket.target * LARGEST_MARGIN,
        )

    def _make_room(self, ticket: Ticket) -> bool:
        if self.room.has_place(ticket.rank, self.queues):
            return True
        victim = self.room.victim(ticket, self.queues)
        if victim is None:
            return False
        self._refuse(victim, GAVE_WAY)
        return True

    def _refuse(self, waiter: Waiter, refusal: Refusal) -> None:
        self.queues[waiter.ticket.rank].remove(waiter)
        if not waiter.granted.done():
            waiter.granted.set_result(refusal)

    def _serve(self, now: float) -> None:
        """Grant free slots to waiting calls."""
        while self.running < self.limit.calls:
            rank = self.shares.next_rank(self.queues, self.limit.calls)
            if rank is None:
                return
            queue = self.queues[rank]
            waiter = queue.first()
            refusal = self._check_waiter(waiter, now)
            if refusal is not None:
                self._refuse(waiter, refusal)
                continue
            queue.pop(self.times.mean(waiter.ticket.work))
            if not waiter.granted.done():
                self._grant(waiter.ticket, now - waiter.arrived)
                waiter.granted.set_result(None)

    def _check_waiter(self, waiter: Waiter, now: float) -> Refusal | None:
        """Refuse a call whose time has run out in the queue."""
        ticket = waiter.ticket
        if now >= min(ticket.deadline, waiter.arrived + LONGEST_WAIT_SECONDS):
            return TOO_LATE
        latest = waiter.arrived + ticket.target - self._margin(ticket)
        is_next = self._is_next_for_floor(
            ticket.rank,
            self.queues[ticket.rank].count - 1,
        )
        if now > latest and not is_next:
            return UNREACHABLE if self.floods.is_pressed(ticket.rank) else None
        return None

    def _grant(self, ticket: Ticket, waited: float) -> None:
        self.running += 1
        self.usage.start(ticket.rank)
        self.recorder.histograms.record(
            QUEUE_TIME,
            ticket.tenant,
            ticket.rank,
            waited,
        )

    async def _expire(self) -> None:
        """Refuse waiting calls in time even if no slot is ever freed."""
        while self.floods.expire(self.timer.now()) or self.waiting:
            await self.timer.sleep(EXPIRY_SECONDS)
            now = self.timer.now()
            for queue in self.queues.values():
                self._refuse_late(queue, now)

    def _refuse_late(self, queue: RankQueue, now: float) -> None:
        is_any_late = True
        while is_any_late:
            is_any_late = False
            for waiter in queue.firsts():
                refusal = self._check_waiter(waiter, now)
                if refusal is not None:
                    self._refuse(waiter, refusal)
                    is_any_late = True
