"""Queue of one instance, ordered by which requests can still be on time.

The queue handles more work than the slots can serve.  A request whose
objective can be met is served before one that will be late, urgent ranks
are served first, and every sixteenth slot goes to the least urgent waiting
rank.  A request that can't be served in time is refused on arrival; for
large answers this includes the time to send them from the host.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_admission.departure import DepartureTimes
from tanagerbend_admission.instance_work import InstanceWork
from tanagerbend_admission.slots_ahead import (
    SlotWait,
    wait_for_slot,
)
from tanagerbend_admission.window import RankWindow
from tanagerbend_admission.work import Work
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

# One of this many slots goes to the least urgent waiting rank, so that a
# flood of an urgent rank does not starve the others.
FLOOR_INTERVAL: Final = 16
MAX_WAITING: Final = 200
# Added to the rank of requests that will be late, so that their tiers come
# after all ranks.
LATE_TIER_OFFSET: Final = 1_000_000


@attrs.frozen(eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    The result of ``grant`` is None if the request got a slot.

    Parameters
    ==========

    work : Work
    grant : asyncio.Future
    expected_at : float
        Monotonic seconds at which it was expected to get a slot.
    """

    work: Work
    grant: asyncio.Future[Refusal | None]
    expected_at: float


def ignore_grant(_waiting: WaitingRequest) -> None:
    """Do nothing when a request gets a slot."""


class ObjectiveQueue:
    """Grants the slots of one instance to requests.

    Parameters
    ==========

    timer : Timer
    slots : int

    Attributes
    ==========

    instance : InstanceWork
        Requests that hold a slot, and what requests are likely to cost.
    on_granted : callable
        Called with each waiting request that gets a slot.
    departures : DepartureTimes
        Estimates when answers have been sent from the host.
    """

    def __init__(self, timer: Timer, slots: int) -> None:
        self.timer = timer
        self.slots = slots
        self.waiting: list[WaitingRequest] = []
        self.instance = InstanceWork(timer)
        self.on_granted: Callable[[WaitingRequest], None] = ignore_grant
        self.departures = DepartureTimes()
        self.grant_count = 0
        self.recent_grants = RankWindow()

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self.instance.active)

    @property
    def busy(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self.waiting)

    def requests_ahead(self, rank: int) -> int:
        """Count the requests that run or precede a new one of a rank."""
        return self.running + sum(
            waiting.work.rank <= rank for waiting in self.waiting
        )

    async def enter(self, work: Work) -> Refusal | None:
        """Wait for a slot; return None once the request holds one."""
        refusal = self.refusal_at_arrival(work)
        if refusal is not None:
            return refusal
        if self.running < self.slots and not self.waiting:
            self._count_grant(work)
            return None
        waiting = WaitingRequest(
            work,
            asyncio.get_running_loop().create_future(),
            self.timer.now() + self.wait(work).mean,
        )
        self.waiting.append(waiting)
        self._grant_slots()
        try:
            return await self._wait_for_grant(waiting)
        except asyncio.CancelledError:
            self._cancel(waiting)
            raise

    def refusal_at_arrival(self, work: Work) -> Refusal | None:
        """Return a refusal if an arriving request can't be served in time.

        A request that will be late is accepted only if it delays no other
        request, neither at the slots nor at the link.
        """
        now = self.timer.now()
        wait = self.wait(work)
        service = self.instance.seconds(work)
        queued = [waiting.work for waiting in self.waiting]
        until_sent = self.departures.seconds(wait.mean + service, work, queued)
        if now + until_sent > work.deadline or len(queued) >= MAX_WAITING:
            if not wait.mean and self.instance.trials.may_run(work.kind, now):
                # The service time of the instance may have recovered.
                return None
            return self._refusal(ResultCode.DEADLINE_UNREACHABLE, work)
        waits_for_link = self.departures.waits_for_link(work, service, queued)
        if not wait.mean and not waits_for_link:
            return None
        left = work.on_time_until - now
        if until_sent + self.departures.margin(work, queued) > left:
            return self._refusal(ResultCode.QUEUE_FULL, work)
        if not self._is_behind_same_tier(work):
            return None
        left -= until_sent - wait.mean - service
        if not self.instance.is_likely_on_time(work, wait, left):
            return self._refusal(ResultCode.QUEUE_FULL, work)
        return None

    def _is_behind_same_tier(self, work: Work) -> bool:
        """Return whether other requests of its tier precede a request.

        Then the tier alone overloads the slots, and the accepted requests
        should be on time.
        """
        own_key = self._sort_key(work)
        tier = self._tier(work)
        return any(
            self._tier(waiting.work) == tier
            and self._sort_key(waiting.work) <= own_key
            for waiting in self.waiting
        )

    def _refusal(self, code: ResultCode, work: Work) -> Refusal:
        """Return a refusal whose reason lists the values it is based on."""
        now = self.timer.now()
        return Refusal(
            code,
            f'{self.running} of {self.slots} slots in use,'
            f' {len(self.waiting)} waiting,'
            f' expected wait {self.wait(work).mean:.3f} s,'
            f' service time {self.instance.seconds(work):.3f} s,'
            ' link free in'
            f' {self.departures.link_free_in(work.rank, ()):.3f} s,'
            f' answer of {work.size:.0f} bytes,'
            f' on time within {work.on_time_until - now:.3f} s,'
            f' deadline in {work.deadline - now:.3f} s',
        )

    def wait(self, work: Work) -> SlotWait:
        """Return the time until a new request would get a slot.

        This is the longer of two estimates: by the work that runs and is
        ahead, and by the requests ahead of the same tier divided by the rate
        of slots recently granted to the tier, because later arrivals of
        urgent ranks overtake.
        """
        if self.running < self.slots:
            return SlotWait()
        own_key = self._sort_key(work)
        ahead = [
            waiting.work
            for waiting in self.waiting
            if self._sort_key(waiting.work) <= own_key
        ]
        by_work = wait_for_slot(
            self.instance.remaining_seconds(),
            [self.instance.seconds(each) for each in ahead],
            self.slots,
        )
        tier = self._tier(work)
        tier_ahead = sum(self._tier(each) == tier for each in ahead)
        if not tier_ahead:
            return by_work
        by_grants = tier_ahead / self.recent_grants.rate(self.timer.now(), tier)
        return attrs.evolve(by_work, mean=max(by_work.mean, by_grants))

    def _tier(self, work: Work) -> int:
        is_late, rank, _on_time_until = self._sort_key(work)
        return LATE_TIER_OFFSET + rank if is_late else rank

    def leave(
        self,
        work: Work,
        seconds: float,
        *,
        is_complete: bool = True,
    ) -> None:
        """Release a slot that was held for ``seconds``.

        If the work was aborted before its answer was complete, the time is
        only a lower bound and is recorded only if it exceeds the estimate.
        """
        self.instance.end(work, seconds, is_complete=is_complete)
        self.departures.release(work)
        self._grant_slots()

    def resize(self, slots: int) -> None:
        """Set the number of slots."""
        self.slots = slots
        self._grant_slots()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all requests that wait for a slot."""
        for waiting in self.waiting:
            if not waiting.grant.done():
                waiting.grant.set_result(refusal)
        self.waiting.clear()

    async def _wait_for_grant(self, waiting: WaitingRequest) -> Refusal | None:
        work = waiting.work
        latest_start = work.deadline - self._min_seconds_until_sent(work)
        try:
            async with asyncio.timeout(
                max(latest_start - self.timer.now(), 0.0)
            ):
                return await asyncio.shield(waiting.grant)
        except TimeoutError:
            if waiting.grant.done():
                return waiting.grant.result()
            self.waiting.remove(waiting)
            return self._refusal(ResultCode.DEADLINE_UNREACHABLE, work)

    def _cancel(self, waiting: WaitingRequest) -> None:
        if waiting in self.waiting:
            self.waiting.remove(waiting)
        elif waiting.grant.done() and waiting.grant.result() is None:
            self.leave(waiting.work, 0.0, is_complete=False)

    def _grant_slots(self) -> None:
        while self.running < self.slots and self.waiting:
            waiting = self._next_waiting()
            self.waiting.remove(waiting)
            if waiting.grant.done():
                continue
            least = self._min_seconds_until_sent(waiting.work)
            if self.timer.now() + least > waiting.work.deadline:
                code = ResultCode.DEADLINE_UNREACHABLE
                waiting.grant.set_result(self._refusal(code, waiting.work))
                continue
            self._count_grant(waiting.work)
            self.on_granted(waiting)
            waiting.grant.set_result(None)

    def _count_grant(self, work: Work) -> None:
        self.instance.begin(work)
        self.departures.reserve(work)
        self.grant_count += 1
        self.recent_grants.add(self.timer.now(), self._tier(work), 1)

    def _next_waiting(self) -> WaitingRequest:
        if self.grant_count % FLOOR_INTERVAL == FLOOR_INTERVAL - 1:
            return max(self.waiting, key=_least_urgent)
        order: Callable[[Work], tuple[bool, int, float]] = self._sort_key
        return min(self.waiting, key=lambda each: order(each.work))

    def _sort_key(self, work: Work) -> tuple[bool, int, float]:
        sent_at = self.timer.now() + self._min_seconds_until_sent(work)
        return sent_at > work.on_time_until, work.rank, work.on_time_until

    def _min_seconds_until_sent(self, work: Work) -> float:
        """Return the seconds until the answer is sent if granted now."""
        return self.departures.seconds(self.instance.seconds(work), work)


def _least_urgent(waiting: WaitingRequest) -> tuple[int, float]:
    return waiting.work.rank, -waiting.work.on_time_until
