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
from tanagerbend_admission.estimate import ServiceTimes
from tanagerbend_admission.window import WINDOW_SECONDS, RankWindow
from tanagerbend_admission.work import Work
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

# One of this many slots goes to the least urgent waiting rank, so that a
# flood of an urgent rank does not starve the others.
FLOOR_INTERVAL: Final = 16
MAX_WAITING: Final = 200
# Safety margin for a request behind others of its tier, in mean deviations
# of the service time of its kind.
MARGIN_DEVIATIONS: Final = 3.0
# Grants per window assumed for a tier that got fewer.
MIN_GRANTS: Final = 1.0
# Added to the rank of requests that will be late, so that their tiers come
# after all ranks.
LATE_TIER_OFFSET: Final = 1_000_000


@attrs.frozen(eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    The result of ``grant`` is None if the request got a slot.
    """

    work: Work
    grant: asyncio.Future[Refusal | None]


class ObjectiveQueue:
    """Grants the slots of one instance to requests.

    Parameters
    ==========

    timer : Timer
    slots : int

    Attributes
    ==========

    departures : DepartureTimes
        Estimates when answers have been sent from the host.
    """

    def __init__(self, timer: Timer, slots: int) -> None:
        self.timer = timer
        self.slots = slots
        self.running = 0
        self.waiting: list[WaitingRequest] = []
        self.times = ServiceTimes()
        self.departures = DepartureTimes()
        self.grant_count = 0
        self.recent_grants = RankWindow()

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
            work, asyncio.get_running_loop().create_future()
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
        wait = self.expected_wait(work)
        mean = self.times.mean(work.kind)
        queued = [waiting.work for waiting in self.waiting]
        until_sent = self.departures.seconds(wait + mean, work, queued)
        if now + until_sent > work.deadline or len(queued) >= MAX_WAITING:
            if not wait and self.times.may_run_trial(work.kind, now):
                # The service time of the instance may have recovered.
                return None
            return self._refusal(ResultCode.DEADLINE_UNREACHABLE, work)
        if not wait and not self.departures.waits_for_link(work, mean, queued):
            return None
        margin = max(
            self._margin(work),
            self.departures.margin(work, queued),
        )
        if now + until_sent + margin > work.on_time_until:
            return self._refusal(ResultCode.QUEUE_FULL, work)
        return None

    def _margin(self, work: Work) -> float:
        """Return the safety margin of a request in seconds.

        If other requests of its tier wait, the tier alone overloads the
        slots, and the accepted requests should be on time.
        """
        own_key = self._sort_key(work)
        tier = self._tier(work)
        is_behind_same_tier = any(
            self._tier(waiting.work) == tier
            and self._sort_key(waiting.work) <= own_key
            for waiting in self.waiting
        )
        if not is_behind_same_tier:
            return 0.0
        return MARGIN_DEVIATIONS * self.times.deviation(work.kind)

    def _refusal(self, code: ResultCode, work: Work) -> Refusal:
        """Return a refusal whose reason lists the values it is based on."""
        now = self.timer.now()
        return Refusal(
            code,
            f'{self.running} of {self.slots} slots in use,'
            f' {len(self.waiting)} waiting,'
            f' expected wait {self.expected_wait(work):.3f} s,'
            f' service time {self.times.mean(work.kind):.3f} s,'
            ' link free in'
            f' {self.departures.link_free_in(work.rank, ()):.3f} s,'
            f' answer of {work.size:.0f} bytes,'
            f' on time within {work.on_time_until - now:.3f} s,'
            f' deadline in {work.deadline - now:.3f} s',
        )

    def expected_wait(self, work: Work) -> float:
        """Return the seconds until a new request would get a slot.

        This is the longer of two estimates: the work ahead divided by the
        number of slots, and the requests ahead of the same tier divided by
        the rate of slots recently granted to the tier, because later
        arrivals of urgent ranks overtake.
        """
        if self.running < self.slots:
            return 0.0
        own_key = self._sort_key(work)
        ahead = [
            waiting.work
            for waiting in self.waiting
            if self._sort_key(waiting.work) <= own_key
        ]
        seconds = sum(self.times.mean(each.kind) for each in ahead)
        by_slots = (seconds + self.times.mean(work.kind)) / max(self.slots, 1)
        tier = self._tier(work)
        tier_ahead = sum(self._tier(each) == tier for each in ahead)
        return (
            max(by_slots, tier_ahead / self._grant_rate(tier))
            if tier_ahead
            else by_slots
        )

    def _grant_rate(self, tier: int) -> float:
        """Return the slots per second recently granted to a tier."""
        grants = self.recent_grants.total(self.timer.now(), tier)
        return max(grants, MIN_GRANTS) / WINDOW_SECONDS

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
        only a lower bound and is recorded only if it exceeds the mean.
        """
        self.running -= 1
        self.departures.release(work)
        if is_complete or seconds > self.times.mean(work.kind):
            self.times.observe(work.kind, seconds, self.timer.now())
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
            waiting.grant.set_result(None)

    def _count_grant(self, work: Work) -> None:
        self.running += 1
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
        return self.departures.seconds(self.times.mean(work.kind), work)


def _least_urgent(waiting: WaitingRequest) -> tuple[int, float]:
    return waiting.work.rank, -waiting.work.on_time_until
