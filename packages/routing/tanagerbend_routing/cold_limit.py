"""Limit of the requests that a cold instance gets.

An instance is cold for some seconds after its start, or at other times by its
entry, and a high rate of requests then ends its process.  Every request to an
instance passes through the daemon beside it, its owner, so the limit of all
hosts together is exact there and needs no messages.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from tanagerbend_routing.listed_instance import ListedInstance
from tanagerbend_timer import Timer

# Rate and time that are assumed where the tolerance is known but not the rate
# of the service, for example before the first configuration.  Below what any
# service in use tolerates (4.8 a second), and its usual cold time.
DEFAULT_PER_SECOND: Final = 2.0
DEFAULT_START_SECONDS: Final = 3.0
# Least sustained rate, so that each cold instance gets a request at times.
MIN_PER_SECOND: Final = 0.1


@attrs.frozen
class ColdRate:
    """What the cold instances of a service tolerate, by the configuration.

    Parameters
    ==========

    per_second : float
        Requests a second.
    start_seconds : float
        Seconds for which an instance is cold after its start.
    """

    per_second: float = DEFAULT_PER_SECOND
    start_seconds: float = DEFAULT_START_SECONDS


DEFAULT_RATE: Final = ColdRate()
NO_RATES: Final[Mapping[str, ColdRate]] = {}


@attrs.frozen
class ColdTolerance:
    """Bound of the requests that a cold instance gets in any one second.

    It is ``overshoot`` times the rate of its service, plus ``slack``.

    Parameters
    ==========

    overshoot : float
    slack : float
        Number of requests.
    """

    overshoot: float
    slack: float


class ColdLimit:
    """Limits the starts of requests at the instance of this host.

    Explanation
    ===========

    An allowance of some starts is filled again at a constant rate, so that
    the number of starts in any span is at most the whole allowance plus what
    is filled in the span [1]_.  The rate is the tolerated one with its
    overshoot; the allowance is half of the slack, for requests that arrive
    together.  The other half covers requests that reach the instance closer
    together than they were sent.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> limit = ColdLimit(ManualTimer(), ColdTolerance(1.5, 4.0))
    >>> limit.rate = ColdRate(4.0)
    >>> [limit.take() for _ in range(3)]
    [True, True, False]

    Parameters
    ==========

    timer : Timer
    tolerance : ColdTolerance or None
        None for no limit.

    Attributes
    ==========

    rate : ColdRate
    full_at : float
        Monotonic seconds at which the whole allowance is available again.
    is_down : bool
        Whether the instance refused the last connection.
    assumed_until : float
        Monotonic seconds until which it counts as cold since it came back.
    unlisted : str
        Identity of the instance without an entry that was asked for last.
    unlisted_since : float
        Monotonic seconds of the first such request.

    References
    ==========

    .. [1] ITU-T Recommendation I.371, "Traffic control and congestion control
       in B-ISDN", annex on the generic cell rate algorithm.
    """

    def __init__(
        self, timer: Timer, tolerance: ColdTolerance | None = None
    ) -> None:
        self.timer = timer
        self.tolerance = tolerance
        self.rate = DEFAULT_RATE
        self.full_at = 0.0
        self.is_down = False
        self.assumed_until = 0.0
        self.unlisted = ''
        self.unlisted_since = 0.0

    def applies(self, instance: ListedInstance) -> bool:
        """Return whether a listed instance is cold."""
        return self._applies_until(instance.cold_until)

    def applies_unlisted(self, identity: str) -> bool:
        """Return whether an instance without an entry may be cold.

        It may have just started, or this daemon has started and can't read
        the entries yet.  Called for each request to such an instance.
        """
        if identity != self.unlisted:
            self.unlisted = identity
            self.unlisted_since = self.timer.now()
        return self._applies_until(
            self.unlisted_since + self.rate.start_seconds
        )

    def _applies_until(self, cold_until: float) -> bool:
        if self.tolerance is None:
            return False
        is_cold = self.timer.now() < max(cold_until, self.assumed_until)
        return is_cold or self.is_down

    def available(self) -> float:
        """Return the number of requests that may start now."""
        allowance, per_second = self._allowance()
        missing = max(self.full_at - self.timer.now(), 0.0) * per_second
        return allowance - missing

    def has_room(self, ahead: int) -> bool:
        """Return whether a request may start after ``ahead`` others."""
        # Rounding must not delay a start that is due at this moment.
        return round(self.available(), 6) >= ahead + 1

    def take(self) -> bool:
        """Count a start if it is within the limit; return whether it is."""
        if not self.has_room(0):
            return False
        self.record()
        return True

    def record(self) -> None:
        """Count a start, also at an instance that isn't known to be cold.

        It may become cold at any moment, and the news comes late.
        """
        if self.tolerance is None:
            return
        allowance, per_second = self._allowance()
        now = self.timer.now()
        filled = max(self.full_at, now) + 1 / per_second
        self.full_at = min(filled, now + allowance / per_second)

    def record_refused_connection(self) -> None:
        """Record that the instance is down, so it will come back cold."""
        self.is_down = True

    def record_answer(self) -> None:
        """Record that the instance answers; it may have just started."""
        if self.is_down:
            self.is_down = False
            self.assumed_until = self.timer.now() + self.rate.start_seconds

    def _allowance(self) -> tuple[float, float]:
        """Return the number of starts at once, and the rate a second."""
        if self.tolerance is None:
            return float('inf'), 1.0
        sustained = self.tolerance.overshoot * self.rate.per_second
        allowance = max(self.tolerance.slack / 2, 1.0)
        spare = sustained + self.tolerance.slack - allowance
        return allowance, max(min(sustained, spare), MIN_PER_SECOND)
