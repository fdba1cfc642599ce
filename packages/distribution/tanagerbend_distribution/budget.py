"""Budget of calls to the configuration service."""

from typing import Final

from tanagerbend_interfaces import Randomness
from tanagerbend_timer import Timer

# Half of the service's rate is left to readers outside of the system.
SHARE_OF_SERVICE: Final = 0.5


class CallBudget:
    """Token bucket with a burst of one call.

    Explanation
    ===========

    The rate of one daemon is a share of the service's limit divided by
    the size of the fleet.  So all daemons together stay under the limit
    even if each of them believes that it is a reader.  The first call
    comes after a random delay of up to one refill, which spreads the
    calls of a fleet that restarts at once.

    Examples
    ========

    >>> import random
    >>> from tanagerbend_timer import ManualTimer
    >>> budget = CallBudget(ManualTimer(), random.Random(1), 2000, 3700)
    >>> round(budget.interval, 2)
    3.7

    Parameters
    ==========

    timer : Timer
    random : Randomness
    service_calls_per_second : float
    expected_fleet_size : int
    """

    def __init__(
        self,
        timer: Timer,
        random: Randomness,
        service_calls_per_second: float,
        expected_fleet_size: int,
    ) -> None:
        self.timer = timer
        self.interval = expected_fleet_size / (
            service_calls_per_second * SHARE_OF_SERVICE
        )
        self.free_at = timer.now() + random.uniform(0, self.interval)

    async def acquire(self) -> None:
        """Wait until one call is allowed."""
        now = self.timer.now()
        allowed_at = max(now, self.free_at)
        self.free_at = allowed_at + self.interval
        if allowed_at > now:
            await self.timer.sleep(allowed_at - now)


class Backoff:
    """Exponential backoff with full jitter.

    Examples
    ========

    >>> import random
    >>> backoff = Backoff(random.Random(1), 0.5, 30)
    >>> all(backoff.next_delay() <= 30 for _ in range(20))
    True

    Parameters
    ==========

    random : Randomness
    shortest, longest : float
        Bounds of the delay in seconds before jitter.
    """

    def __init__(
        self,
        random: Randomness,
        shortest: float,
        longest: float,
    ) -> None:
        self.random = random
        self.shortest = shortest
        self.longest = longest
        self.limit = shortest

    def next_delay(self) -> float:
        """Return the delay before the next attempt in seconds."""
        delay = self.random.uniform(0, self.limit)
        self.limit = min(self.longest, self.limit * 2)
        return delay

    def reset(self) -> None:
        """Start again after a success."""
        self.limit = self.shortest
