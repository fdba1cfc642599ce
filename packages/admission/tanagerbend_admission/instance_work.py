"""Requests that hold the slots of an instance, and what requests cost it."""

from typing import Final

import attrs

from tanagerbend_admission.cost import CostEstimate, CostModel
from tanagerbend_admission.estimate import TrialTimes
from tanagerbend_admission.slots_ahead import SlotWait, likelihood_within
from tanagerbend_admission.speed import InstanceSpeed
from tanagerbend_admission.work import Work
from tanagerbend_timer import Timer

# A request is kept rather than sent on if the likelihood of an answer on
# time is at least this share of that at another instance with a free slot.
# If the others are as full, it keeps the queue short enough for the accepted
# requests to be on time.
KEEP_SHARE: Final = 0.9


@attrs.frozen(eq=False)
class RunningRequest:
    """A request that holds a slot.

    Parameters
    ==========

    work : Work
    estimate : CostEstimate
    begin : float
        `InstanceSpeed.work_done` when it got the slot.
    """

    work: Work
    estimate: CostEstimate
    begin: float


class InstanceWork:
    """Work that an instance does, and the cost of further work.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> instance, page = InstanceWork(ManualTimer()), Work('page', 0, 1.0, 2.0)
    >>> instance.begin(page)
    >>> instance.end(page, 0.2, is_complete=True)
    >>> round(instance.seconds(page), 3)
    0.2

    Attributes
    ==========

    active : list of RunningRequest
    costs : CostModel
        Learned from the requests that the instance ran.
    speed : InstanceSpeed
    trials : TrialTimes
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.active: list[RunningRequest] = []
        self.costs = CostModel()
        self.speed = InstanceSpeed()
        self.trials = TrialTimes()

    def estimate(self, work: Work) -> CostEstimate:
        """Return the estimated cost of a request."""
        return work.estimate or self.costs.estimate(work.known_features)

    def seconds(self, work: Work) -> float:
        """Return the expected time of a request that gets a slot now."""
        return self.estimate(work).mean * self.speed.at(self.timer.now())

    def remaining_seconds(self) -> list[float]:
        """Return the expected seconds until each running request ends."""
        now = self.timer.now()
        done = self.speed.work_done(now)
        speed = self.speed.at(now)
        return [
            speed
            * each.estimate.remaining((done - each.begin) / self.speed.ratio)
            for each in self.active
        ]

    def is_likely_on_time(
        self, work: Work, wait: SlotWait, left: float
    ) -> bool:
        """Return whether a request is better kept than sent on.

        ``left`` is the time in seconds until the answer must be complete.
        """
        estimate = self.estimate(work)
        speed = self.speed.at(self.timer.now() + wait.mean)
        here = likelihood_within(left, wait, estimate, speed)
        elsewhere = likelihood_within(left, SlotWait(), estimate, 1.0)
        return here >= KEEP_SHARE * elsewhere

    def begin(self, work: Work) -> None:
        """Record that a request got a slot."""
        done = self.speed.work_done(self.timer.now())
        self.active.append(RunningRequest(work, self.estimate(work), done))

    def end(self, work: Work, seconds: float, *, is_complete: bool) -> None:
        """Record that a request released its slot after ``seconds``.

        If it is not complete, its time is only a lower bound.
        """
        ended = self._remove(work)
        now = self.timer.now()
        done = self.speed.work_done(now) - ended.begin
        speed = seconds / done if done > 0 and seconds > 0 else 1.0
        expected = ended.estimate.mean * speed
        if not is_complete and seconds <= expected * self.speed.ratio:
            return
        self.trials.observed(work.kind, now)
        self.costs.observe(work.known_features, seconds, speed)
        if expected:
            self.speed.observe_ratio(seconds / expected)

    def _remove(self, work: Work) -> RunningRequest:
        """Remove a request from those that hold a slot."""
        for running in self.active:
            if running.work == work:
                self.active.remove(running)
                return running
        # It was entered as another object; the oldest one ends.
        return self.active.pop(0)
