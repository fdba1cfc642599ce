"""Admission by rank with floors: the policy used by the daemon."""

import asyncio
import itertools
from typing import Final

from tanagerbend_admission.estimate import ServiceTimes
from tanagerbend_admission.floods import FloodDetector
from tanagerbend_admission.limit import AdaptiveLimit
from tanagerbend_admission.queue_capacity import QueueCapacity
from tanagerbend_admission.queues import RankQueue, WaitingCall
from tanagerbend_admission.shares import Shares
from tanagerbend_admission.ticket import Outcome, Ticket
from tanagerbend_admission.window import SlotUsage
from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import QUEUE_TIME
from tanagerbend_model import Refusal, ResultCode

DEFAULT_MAX_WAITING: Final = 256
# Bound on the time in the queue, for calls without a deadline.
MAX_WAIT_SECONDS: Final = 30.0
EXPIRY_INTERVAL_SECONDS: Final = 0.02
# Bound on the margin relative to the target, so that a class whose service
# time is close to its target is still served.
MAX_MARGIN_FACTOR: Final = 0.7
QUEUE_FULL: Final = Refusal(ResultCode.QUEUE_FULL, 'queue is full')
DISPLACED: Final = Refusal(
    ResultCode.QUEUE_FULL,
    'displaced by more urgent work',
)
DEADLINE_PASSED_IN_QUEUE: Final = Refusal(
    ResultCode.DEADLINE_PASSED,
    'deadline passed in queue',
)
EXPECTED_TOO_LATE: Final = Refusal(
    ResultCode.DEADLINE_UNREACHABLE,
    'call is expected to end too late',
)


class RankAdmission:
    """Serves ranks below their floor first, then the most urgent rank.

    Explanation
    ===========

    A call is refused at once if it is predicted to miss its deadline.
    While its rank is overloaded, the target is used instead of the
    deadline: some calls have to be refused anyway, and the accepted ones
    should be on time.

    Parameters
    ==========

    recorder : Recorder
    slots : int
        Calls that the backend server runs at the same time.
    max_waiting : int
        Maximum number of waiting calls.

    See Also
    ========

    tanagerbend_admission.shares.Shares
    tanagerbend_admission.queues.RankQueue
    """

    def __init__(
        self,
        recorder: Recorder,
        slots: int,
        max_waiting: int = DEFAULT_MAX_WAITING,
    ) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.limit = AdaptiveLimit(slots)
        self.usage = SlotUsage(self.timer.now())
        self.times = ServiceTimes()
        self.flood_detector = FloodDetector(recorder)
        self.shares = Shares(self.usage, {})
        self.queue_capacity = QueueCapacity(max_waiting, {})
        self.queues: dict[int, RankQueue] = {}
        self.arrival_numbers = itertools.count()
        self.running = 0
        self.expiry_task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return sum(queue.count for queue in self.queues.values())

    @property
    def load_percent(self) -> int:
        """Running calls in percent of the limit, as reported to others."""
        return min(100, 100 * self.running // self.limit.calls)

    def configure(self, floors: dict[int, float]) -> None:
        """Set the guaranteed share of slot time of each rank, 0 to 1."""
        self.shares.floors = floors
        self.queue_capacity = QueueCapacity(
            self.queue_capacity.max_waiting, floors
        )

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; return None once the call holds one."""
        now = self.timer.now()
        self.usage.advance(now)
        queue = self.queues.get(ticket.rank)
        if queue is None:
            queue = RankQueue()
            self.queues[ticket.rank] = queue
        is_free = self.running < self.limit.calls and not self.waiting
        refusal = self._check_arrival(ticket, queue, now, is_free=is_free)
        if refusal is not None:
            return refusal
        if is_free:
            queue.charge(ticket.tenant, self.times.mean(ticket.work))
            self._grant(ticket, 0.0)
            return None
        if not self._may_wait(ticket):
            return QUEUE_FULL
        return await self._wait_for_grant(ticket, queue, now)

    async def _wait_for_grant(
        self,
        ticket: Ticket,
        queue: RankQueue,
        now: float,
    ) -> Refusal | None:
        granted = asyncio.get_running_loop().create_future()
        call = WaitingCall(ticket, next(self.arrival_numbers), now, granted)
        queue.push(call)
        if self.expiry_task is None or self.expiry_task.done():
            self.expiry_task = asyncio.create_task(self._expire())
        try:
            return await granted
        except asyncio.CancelledError:
            if not queue.remove(call) and not granted.cancelled():
                # The slot was granted before the caller cancelled.
                if granted.result() is None:
                    self.leave(ticket, Outcome.CANCELLED, 0)
            raise

    def leave(self, ticket: Ticket, outcome: Outcome, seconds: float) -> None:
        """Release a slot held for ``seconds``; serve waiting calls."""
        now = self.timer.now()
        self.usage.advance(now)
        self.usage.stop(ticket.rank)
        self.running -= 1
        expected = self.times.mean(ticket.work)
        self.queues[ticket.rank].correct(ticket.tenant, seconds - expected)
        ratio = 1.0
        if outcome in {Outcome.SERVED, Outcome.FAILED}:
            ratio = self.times.observe(ticket.work, seconds, now)
        self.limit.observe(now, outcome, ratio)
        self.flood_detector.expire(now)
        self._serve_waiting(now)

    def _check_arrival(
        self,
        ticket: Ticket,
        queue: RankQueue,
        now: float,
        *,
        is_free: bool,
    ) -> Refusal | None:
        """Return a refusal if an arriving call is predicted to be late."""
        if now >= ticket.deadline:
            return DEADLINE_PASSED_IN_QUEUE
        service_time = self.times.mean(ticket.work)
        if is_free:
            self.flood_detector.record_timely_arrival(ticket.rank)
            is_late = now + service_time > ticket.deadline
        else:
            is_late = self._is_late(ticket, queue, now, service_time)
        if not is_late or not (queue.count or self._is_running(ticket.rank)):
            return None
        # A wrong estimate is corrected only by a call that runs.
        return (
            None
            if self.times.may_run_trial(ticket.work, now)
            else EXPECTED_TOO_LATE
        )

    def _is_late(
        self,
        ticket: Ticket,
        queue: RankQueue,
        now: float,
        service_time: float,
    ) -> bool:
        """Return whether a call that has to wait is predicted to be late."""
        slots = self.limit.calls
        wait_per_call = service_time / (
            slots * self.shares.available(ticket.rank, slots)
        )
        max_wait = ticket.target - self._margin(ticket)
        # Overload of the rank is detected from its whole queue, because a
        # tenant with a short wait would hide the flood of another one.
        if wait_per_call * (queue.count + 1) > max_wait:
            self.flood_detector.record_late_arrival(
                now, ticket.rank, service_time, slots
            )
        else:
            self.flood_detector.record_timely_arrival(ticket.rank)
        wait = wait_per_call * (queue.count_ahead(ticket) + 1)
        if now + wait + service_time > ticket.deadline:
            return True
        if self._is_only_call_for_floor(ticket.rank, queue.count):
            return False
        return wait > max_wait and self.flood_detector.is_overloaded(
            ticket.rank
        )

    def _is_only_call_for_floor(self, rank: int, ahead: int) -> bool:
        """Return whether only this call can use a slot of the rank's floor.

        Refusing it would leave the floor unused until the next arrival,
        which cost ranks with few, long calls about a tenth of their floor.
        """
        return not ahead and self.shares.floors.get(rank, 0.0) > 0

    def _is_running(self, rank: int) -> bool:
        return bool(self.usage.running.get(rank))

    def _margin(self, ticket: Ticket) -> float:
        """Return the time reserved for running a call before its target."""
        return min(
            self.times.upper_bound(ticket.work),
            ticket.target * MAX_MARGIN_FACTOR,
        )

    def _may_wait(self, ticket: Ticket) -> bool:
        if self.queue_capacity.has_room(ticket.rank, self.queues):
            return True
        displaced = self.queue_capacity.call_to_displace(ticket, self.queues)
        if displaced is None:
            return False
        self._refuse(displaced, DISPLACED)
        return True

    def _refuse(self, call: WaitingCall, refusal: Refusal) -> None:
        self.queues[call.ticket.rank].remove(call)
        if not call.granted.done():
            call.granted.set_result(refusal)

    def _serve_waiting(self, now: float) -> None:
        """Grant free slots to waiting calls."""
        while self.running < self.limit.calls:
            rank = self.shares.next_rank(self.queues, self.limit.calls)
            if rank is None:
                return
            queue = self.queues[rank]
            call = queue.peek()
            refusal = self._check_waiting(call, now)
            if refusal is not None:
                self._refuse(call, refusal)
                continue
            queue.pop(self.times.mean(call.ticket.work))
            if not call.granted.done():
                self._grant(call.ticket, now - call.arrived_at)
                call.granted.set_result(None)

    def _check_waiting(self, call: WaitingCall, now: float) -> Refusal | None:
        """Return a refusal if a waiting call can no longer be on time."""
        ticket = call.ticket
        if now >= min(ticket.deadline, call.arrived_at + MAX_WAIT_SECONDS):
            return DEADLINE_PASSED_IN_QUEUE
        latest_start = call.arrived_at + ticket.target - self._margin(ticket)
        is_only_call = self._is_only_call_for_floor(
            ticket.rank,
            self.queues[ticket.rank].count - 1,
        )
        if now > latest_start and not is_only_call:
            return (
                EXPECTED_TOO_LATE
                if self.flood_detector.is_overloaded(ticket.rank)
                else None
            )
        return None

    def _grant(self, ticket: Ticket, queue_seconds: float) -> None:
        self.running += 1
        self.usage.start(ticket.rank)
        self.recorder.histograms.record(
            QUEUE_TIME,
            ticket.tenant,
            ticket.rank,
            queue_seconds,
        )

    async def _expire(self) -> None:
        """Refuse expired waiting calls even if no slot is ever released."""
        while self.flood_detector.expire(self.timer.now()) or self.waiting:
            await self.timer.sleep(EXPIRY_INTERVAL_SECONDS)
            now = self.timer.now()
            for queue in self.queues.values():
                self._refuse_expired(queue, now)

    def _refuse_expired(self, queue: RankQueue, now: float) -> None:
        is_any_refused = True
        while is_any_refused:
            is_any_refused = False
            for call in queue.first_calls():
                refusal = self._check_waiting(call, now)
                if refusal is not None:
                    self._refuse(call, refusal)
                    is_any_refused = True
