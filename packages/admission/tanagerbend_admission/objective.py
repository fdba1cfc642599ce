"""Queue in front of one instance, ordered by what can still be on time.

The load it answers: more work than the slots can take.  A request whose
objective can be met goes before one that will be late, urgent ranks go
first, and the least urgent rank that waits gets every sixteenth slot.  A
request that can't be served in time is refused when it arrives; where
answers are large, the time in which they leave the host counts.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_admission.departure import Departures
from tanagerbend_admission.estimate import ServiceTimes
from tanagerbend_admission.window import WINDOW_SECONDS, RankWindow
from tanagerbend_admission.work import Work
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

# Every sixteenth slot goes to the least urgent rank that waits, so that a
# flood of an urgent rank does not stop the others.  From `tanagerbend
# experiment` on the loads of the emulator.
FLOOR_EVERY: Final = 16
MOST_WAITING: Final = 200
# Mean deviations of the time of a kind of work that a request must have
# to spare behind others of its tier.  From the same experiment.
MARGIN_DEVIATIONS: Final = 3.0
# Slots in the window assumed for a tier that got none.
LEAST_GRANTS: Final = 1.0
# Tiers of requests that will be late come after all ranks.
LATE_TIER: Final = 1_000_000


@attrs.frozen(eq=False)
class Waiting:
    """A request that waits for a slot."""

    work: Work
    granted: asyncio.Future[Refusal | None]


class ObjectiveQueue:
    """Hands out the slots of one instance.

    Parameters
    ==========

    timer : Timer
    slots : int

    Attributes
    ==========

    departures : Departures
        When the answers leave the host.
    """

    def __init__(self, timer: Timer, slots: int) -> None:
        self.timer = timer
        self.slots = slots
        self.running = 0
        self.waiting: list[Waiting] = []
        self.times = ServiceTimes()
        self.departures = Departures()
        self.grants = 0
        self.granted = RankWindow()

    @property
    def busy(self) -> int:
        """Running and waiting requests."""
        return self.running + len(self.waiting)

    def busy_for(self, rank: int) -> int:
        """Return the requests that run or go before a new one of a rank."""
        return self.running + sum(
            waiting.work.rank <= rank for waiting in self.waiting
        )

    async def enter(self, work: Work) -> Refusal | None:
        """Wait for a slot; None means that the request holds one."""
        refusal = self.judge(work)
        if refusal is not None:
            return refusal
        if self.running < self.slots and not self.waiting:
            self._count_grant(work)
            return None
        waiting = Waiting(work, asyncio.get_running_loop().create_future())
        self.waiting.append(waiting)
        self._grant()
        try:
            return await self._wait(waiting)
        except asyncio.CancelledError:
            self._abandon(waiting)
            raise

    def judge(self, work: Work) -> Refusal | None:
        """Refuse a request at its arrival if it can't be served.

        One that will be late is taken only if it keeps nobody waiting,
        neither for a slot nor for the link.
        """
        now = self.timer.now()
        wait = self.expected_wait(work)
        mean = self.times.mean(work.kind)
        before = [waiting.work for waiting in self.waiting]
        sent = self.departures.seconds(wait + mean, work, before)
        if now + sent > work.deadline or len(before) >= MOST_WAITING:
            if not wait and self.times.may_try(work.kind, now):
                # The instance may have become fast again.
                return None
            return self._refusal(ResultCode.DEADLINE_UNREACHABLE, work)
        if not wait and not self.departures.holds_up(work, mean, before):
            return None
        margin = max(
            self._margin(work),
            self.departures.margin(work, before),
        )
        if now + sent + margin > work.on_time_until:
            return self._refusal(ResultCode.QUEUE_FULL, work)
        return None

    def _margin(self, work: Work) -> float:
        """Return the seconds that a request must have to spare.

        Where others of its tier wait, the tier alone is too much for the
        slots, and those that are taken should be on time.
        """
        own = self._order(work)
        tier = self._tier(work)
        is_behind = any(
            self._tier(waiting.work) == tier
            and self._order(waiting.work) <= own
            for waiting in self.waiting
        )
        if not is_behind:
            return 0.0
        return MARGIN_DEVIATIONS * self.times.deviation(work.kind)

    def _refusal(self, code: ResultCode, work: Work) -> Refusal:
        """Return a refusal with the inputs that decided it."""
        now = self.timer.now()
        return Refusal(
            code,
            f'{self.running} of {self.slots} slots, {len(self.waiting)} wait,'
            f' wait {self.expected_wait(work):.3f} s,'
            f' work {self.times.mean(work.kind):.3f} s,'
            f' link free in {self.departures.free_in(work.rank, ()):.3f} s,'
            f' {work.size:.0f} bytes,'
            f' on time in {work.on_time_until - now:.3f} s,'
            f' deadline in {work.deadline - now:.3f} s',
        )

    def expected_wait(self, work: Work) -> float:
        """Return the seconds until a new request would get a slot.

        It is the longer of two estimates: the work ahead over the slots,
        and the requests ahead of the same tier over the slots that the
        tier got lately, since later arrivals of urgent ranks overtake.
        """
        if self.running < self.slots:
            return 0.0
        own = self._order(work)
        ahead = [
            waiting.work
            for waiting in self.waiting
            if self._order(waiting.work) <= own
        ]
        seconds = sum(self.times.mean(each.kind) for each in ahead)
        by_slots = (seconds + self.times.mean(work.kind)) / max(self.slots, 1)
        tier = self._tier(work)
        same = sum(self._tier(each) == tier for each in ahead)
        return max(by_slots, same / self._rate(tier)) if same else by_slots

    def _rate(self, tier: int) -> float:
        """Return the slots a second that a tier got lately."""
        granted = self.granted.total(self.timer.now(), tier)
        return max(granted, LEAST_GRANTS) / WINDOW_SECONDS

    def _tier(self, work: Work) -> int:
        is_late, rank, _on_time_until = self._order(work)
        return LATE_TIER + rank if is_late else rank

    def leave(
        self,
        work: Work,
        seconds: float,
        *,
        is_whole: bool = True,
    ) -> None:
        """Give the slot back after ``seconds``.

        Work that was ended before its answer takes at least this long,
        which is news only if it is longer than usual.
        """
        self.running -= 1
        self.departures.withdraw(work)
        if is_whole or seconds > self.times.mean(work.kind):
            self.times.observe(work.kind, seconds, self.timer.now())
        self._grant()

    def resize(self, slots: int) -> None:
        """Set the number of slots."""
        self.slots = slots
        self._grant()

    def turn_away(self, refusal: Refusal) -> None:
        """Refuse all that wait for a slot."""
        for waiting in self.waiting:
            if not waiting.granted.done():
                waiting.granted.set_result(refusal)
        self.waiting.clear()

    async def _wait(self, waiting: Waiting) -> Refusal | None:
        work = waiting.work
        last = work.deadline - self._least_seconds(work)
        try:
            async with asyncio.timeout(max(last - self.timer.now(), 0.0)):
                return await asyncio.shield(waiting.granted)
        except TimeoutError:
            if waiting.granted.done():
                return waiting.granted.result()
            self.waiting.remove(waiting)
            return self._refusal(ResultCode.DEADLINE_UNREACHABLE, work)

    def _abandon(self, waiting: Waiting) -> None:
        if waiting in self.waiting:
            self.waiting.remove(waiting)
        elif waiting.granted.done() and waiting.granted.result() is None:
            self.leave(waiting.work, 0.0, is_whole=False)

    def _grant(self) -> None:
        while self.running < self.slots and self.waiting:
            waiting = self._next()
            self.waiting.remove(waiting)
            if waiting.granted.done():
                continue
            least = self._least_seconds(waiting.work)
            if self.timer.now() + least > waiting.work.deadline:
                code = ResultCode.DEADLINE_UNREACHABLE
                waiting.granted.set_result(self._refusal(code, waiting.work))
                continue
            self._count_grant(waiting.work)
            waiting.granted.set_result(None)

    def _count_grant(self, work: Work) -> None:
        self.running += 1
        self.departures.promise(work)
        self.grants += 1
        self.granted.add(self.timer.now(), self._tier(work), 1)

    def _next(self) -> Waiting:
        if self.grants % FLOOR_EVERY == FLOOR_EVERY - 1:
            return max(self.waiting, key=_least_urgent)
        order: Callable[[Work], tuple[bool, int, float]] = self._order
        return min(self.waiting, key=lambda each: order(each.work))

    def _order(self, work: Work) -> tuple[bool, int, float]:
        sent = self.timer.now() + self._least_seconds(work)
        return sent > work.on_time_until, work.rank, work.on_time_until

    def _least_seconds(self, work: Work) -> float:
        """Return the time until the answer of a slot granted now has left."""
        return self.departures.seconds(self.times.mean(work.kind), work)


def _least_urgent(waiting: Waiting) -> tuple[int, float]:
    return waiting.work.rank, -waiting.work.on_time_until
