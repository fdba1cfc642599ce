"""Rate limit and backoff for calls to the configuration service."""

import math
from typing import Final

from tanagerbend_interfaces import Randomness
from tanagerbend_timer import Timer

# The other half is left to clients outside of the system.
RATE_SHARE: Final = 0.5
# Growth above the expected size that the reserved half absorbs.
FLEET_SIZE_TOLERANCE: Final = 1.1


class CallBudget:
    """Token bucket with a burst of one call and fixed call slots.

    Explanation
    ===========

    The rate of one daemon is a share of the service's limit divided by
    the size of the fleet, so all daemons together stay under the limit
    even if each of them considers itself a reader.

    A token is valid only at the daemon's own slots, one per interval, with
    a random phase.  Without fixed slots the whole fleet could call at once
    after an idle interval: one changed value ends all watches, and all
    daemons start the next one.

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
        self.random = random
        self.rate = service_calls_per_second * RATE_SHARE
        self.fleet_size = expected_fleet_size
        self.interval = 0.0
        self.next_slot = 0.0
        self._schedule_slots(timer.now())

    def _schedule_slots(self, earliest: float) -> None:
        self.interval = self.fleet_size / self.rate
        self.next_slot = earliest + self.random.uniform(0, self.interval)

    def observe_fleet_size(self, members: int) -> None:
        """Lower the rate if the fleet is larger than expected."""
        if members > FLEET_SIZE_TOLERANCE * self.fleet_size:
            self.fleet_size = members
            self._schedule_slots(max(self.timer.now(), self.next_slot))

    async def acquire(self) -> None:
        """Wait for the next slot."""
        now = self.timer.now()
        missed_slots = math.ceil((now - self.next_slot) / self.interval)
        slot = self.next_slot + max(missed_slots, 0) * self.interval
        self.next_slot = slot + self.interval
        if slot > now:
            await self.timer.sleep(slot - now)


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
    min_delay, max_delay : float
        Bounds of the delay in seconds before jitter.
    """

    def __init__(
        self,
        random: Randomness,
        min_delay: float,
        max_delay: float,
    ) -> None:
        self.random = random
        self.min_delay = min_delay
        self.max_delay = max_delay
        self.upper_bound = min_delay

    def next_delay(self) -> float:
        """Return the delay before the next attempt in seconds."""
        delay = self.random.uniform(0, self.upper_bound)
        self.upper_bound = min(self.max_delay, self.upper_bound * 2)
        return delay

    def reset(self) -> None:
        """Reset the delay to its minimum after a success."""
        self.upper_bound = self.min_delay
