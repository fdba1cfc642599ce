"""What a daemon itself observes of the instances that it calls."""

import enum
from typing import Final

import attrs

LATENCY_WEIGHT: Final = 0.2
REFUSAL_WEIGHT: Final = 0.2
# One refusal of ten makes an instance look half as attractive.
REFUSAL_PENALTY: Final = 10.0
# Half of what was observed counts after this time without a call.  An
# instance that is not chosen any more could otherwise never show that it
# has recovered.
HALF_LIFE_SECONDS: Final = 2.0
SLOW_START_SECONDS: Final = 10.0
LEAST_WEIGHT: Final = 0.1
EJECTION_FAILURES: Final = 3
FIRST_EJECTION_SECONDS: Final = 1.0
LONGEST_EJECTION_SECONDS: Final = 60.0
# After this time without failures the next ejection is short again.
FORGIVE_SECONDS: Final = 300.0
HINT_SECONDS: Final = 5.0
# A reported load of 100% counts like half a call more for each call.
HINT_WEIGHT: Final = 0.5
FULL_PERCENT: Final = 100.0


class Result(enum.Enum):
    """How a call to an instance ended, as its entry daemon sees it."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@attrs.define(eq=False)
class InstanceStats:
    """Statistics of one incarnation of a host.

    Parameters
    ==========

    incarnation : int
    warm_at : float
        Monotonic seconds at which slow start is over.
    outstanding : int
    latency : float
        Recent seconds until the answer begins, 0 if unknown.
    refusals : float
        Recent share of refused calls.
    failures : int
        Failures since the last answer.
    ejected_until, ejection_seconds, failed_at : float
    observed_at : float
        Monotonic seconds of the last observation.
    reported, reported_at : float
        Load in percent that the instance reports.
    """

    incarnation: int
    warm_at: float = 0.0
    outstanding: int = 0
    latency: float = 0.0
    refusals: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    ejection_seconds: float = 0.0
    failed_at: float = float('-inf')
    observed_at: float = 0.0
    reported: float = 0.0
    reported_at: float = float('-inf')

    def observe(self, result: Result, seconds: float, now: float) -> None:
        """Take the end of a call that was answered after ``seconds``."""
        self.refusals *= self._memory(now)
        self.observed_at = now
        match result:
            case Result.ANSWERED:
                self.failures = 0
                self.refusals -= REFUSAL_WEIGHT * self.refusals
                known = self.latency or seconds
                self.latency = known + LATENCY_WEIGHT * (seconds - known)
            case Result.REFUSED:
                self.failures = 0
                self.refusals += REFUSAL_WEIGHT * (1 - self.refusals)
            case Result.FAILED:
                self.failures += 1

    def score(self, now: float, typical: float) -> float:
        """Return how unattractive the instance is.

        ``typical`` is the latency assumed for an instance that has not
        answered yet.
        """
        memory = self._memory(now)
        latency = (self.latency or typical) * memory + typical * (1 - memory)
        load = (self.outstanding + 1) * latency
        load *= 1 + REFUSAL_PENALTY * self.refusals * memory
        if now - self.reported_at < HINT_SECONDS:
            # The report may be old or false, so it only tips a balance.
            load *= 1 + HINT_WEIGHT * self.reported / FULL_PERCENT
        if now < self.warm_at:
            load /= self.weight(now)
        return load

    def recent_refusals(self, now: float) -> float:
        """Return the share of refused calls, which fades with time."""
        return self.refusals * self._memory(now)

    def _memory(self, now: float) -> float:
        return 0.5 ** ((now - self.observed_at) / HALF_LIFE_SECONDS)

    def weight(self, now: float) -> float:
        """Return the share of work during slow start, up to 1."""
        cold = (self.warm_at - now) / SLOW_START_SECONDS
        return max(LEAST_WEIGHT, 1 - cold)

    def report(self, now: float, percent: float) -> None:
        """Take the load that the instance reports, 0 to 100."""
        self.reported = min(max(percent, 0), FULL_PERCENT)
        self.reported_at = now

    def is_outlier(self) -> bool:
        """Return whether the failures call for an ejection."""
        return self.failures >= EJECTION_FAILURES

    def eject(self, now: float) -> None:
        """Take no work for a time that doubles with each ejection."""
        longer = FIRST_EJECTION_SECONDS
        if now - self.failed_at < FORGIVE_SECONDS:
            longer = max(longer, 2 * self.ejection_seconds)
        self.ejection_seconds = min(longer, LONGEST_EJECTION_SECONDS)
        self.failed_at = now
        self.ejected_until = now + self.ejection_seconds
        self.warm_at = self.ejected_until + SLOW_START_SECONDS
        # A single failure after the return ejects again.
        self.failures = EJECTION_FAILURES - 1
