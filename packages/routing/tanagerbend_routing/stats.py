"""Statistics of the calls from one daemon to each instance."""

import enum
from typing import Final

import attrs

LATENCY_WEIGHT: Final = 0.2
REFUSAL_WEIGHT: Final = 0.2
# A refusal ratio of 10% doubles the score of an instance.
REFUSAL_PENALTY: Final = 10.0
# Half-life of the observations while there are no calls.  Without decay, an
# instance that is no longer chosen could never show that it has recovered.
HALF_LIFE_SECONDS: Final = 2.0
SLOW_START_SECONDS: Final = 10.0
# Minimum share of work during slow start.
MIN_WEIGHT: Final = 0.1
# Consecutive failures after which an instance is ejected.
EJECTION_FAILURES: Final = 3
MIN_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 60.0
# If the last ejection began longer ago than this, the next one is short again.
EJECTION_RESET_SECONDS: Final = 300.0
# Time for which a reported load is considered.
LOAD_REPORT_SECONDS: Final = 5.0
# A reported load of 100% increases the score of an instance by this ratio.
LOAD_REPORT_WEIGHT: Final = 0.5
FULL_PERCENT: Final = 100.0


class Result(enum.Enum):
    """Result of a call to an instance, as observed by the entry daemon."""

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
        Monotonic seconds at which slow start ends.
    outstanding : int
    latency : float
        Moving average of the seconds until an answer begins; 0 if unknown.
    refusal_ratio : float
        Moving average of the ratio of refused calls.
    consecutive_failures : int
        Failures since the last answer or refusal.
    ejected_until, ejection_seconds, ejected_at : float
        Monotonic seconds of the end of the last ejection, its length, and
        the monotonic seconds of its beginning.
    observed_at : float
        Monotonic seconds of the last observation.
    reported_load, load_reported_at : float
        Load in percent that the instance reports.
    """

    incarnation: int
    warm_at: float = 0.0
    outstanding: int = 0
    latency: float = 0.0
    refusal_ratio: float = 0.0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    ejection_seconds: float = 0.0
    ejected_at: float = float('-inf')
    observed_at: float = 0.0
    reported_load: float = 0.0
    load_reported_at: float = float('-inf')

    def observe(self, result: Result, seconds: float, now: float) -> None:
        """Update the statistics at the end of a call of ``seconds``."""
        self.refusal_ratio *= self._decay(now)
        self.observed_at = now
        match result:
            case Result.ANSWERED:
                self.consecutive_failures = 0
                self.refusal_ratio -= REFUSAL_WEIGHT * self.refusal_ratio
                known = self.latency or seconds
                self.latency = known + LATENCY_WEIGHT * (seconds - known)
            case Result.REFUSED:
                self.consecutive_failures = 0
                self.refusal_ratio += REFUSAL_WEIGHT * (1 - self.refusal_ratio)
            case Result.FAILED:
                self.consecutive_failures += 1

    def score(self, now: float, default_latency: float) -> float:
        """Return the score of the instance, which is lower for better ones.

        ``default_latency`` is assumed for an instance that has not answered
        yet.
        """
        decay = self._decay(now)
        latency = (
            self.latency or default_latency
        ) * decay + default_latency * (1 - decay)
        load = (self.outstanding + 1) * latency
        load *= 1 + REFUSAL_PENALTY * self.refusal_ratio * decay
        if now - self.load_reported_at < LOAD_REPORT_SECONDS:
            # The report may be outdated or false, so its weight is limited.
            load *= 1 + LOAD_REPORT_WEIGHT * self.reported_load / FULL_PERCENT
        if now < self.warm_at:
            load /= self.weight(now)
        return load

    def recent_refusals(self, now: float) -> float:
        """Return the ratio of refused calls, decayed by its age."""
        return self.refusal_ratio * self._decay(now)

    def _decay(self, now: float) -> float:
        """Return the factor by which the observations have decayed."""
        return 0.5 ** ((now - self.observed_at) / HALF_LIFE_SECONDS)

    def weight(self, now: float) -> float:
        """Return the share of work during slow start, at most 1."""
        cold = (self.warm_at - now) / SLOW_START_SECONDS
        return max(MIN_WEIGHT, 1 - cold)

    def record_load(self, now: float, percent: float) -> None:
        """Record the load that the instance reports, from 0 to 100."""
        self.reported_load = min(max(percent, 0), FULL_PERCENT)
        self.load_reported_at = now

    def is_outlier(self) -> bool:
        """Return whether the consecutive failures require an ejection."""
        return self.consecutive_failures >= EJECTION_FAILURES

    def eject(self, now: float) -> None:
        """Eject the instance for a time that doubles with each ejection."""
        duration = MIN_EJECTION_SECONDS
        if now - self.ejected_at < EJECTION_RESET_SECONDS:
            duration = max(duration, 2 * self.ejection_seconds)
        self.ejection_seconds = min(duration, MAX_EJECTION_SECONDS)
        self.ejected_at = now
        self.ejected_until = now + self.ejection_seconds
        self.warm_at = self.ejected_until + SLOW_START_SECONDS
        # A single failure after this ejection causes the next one.
        self.consecutive_failures = EJECTION_FAILURES - 1
