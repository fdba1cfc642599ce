"""Budget of calls to the configuration service."""

import math
from typing import Final

from tanagerbend_interfaces import Randomness
from tanagerbend_timer import Timer

# Half of the service's rate is left to readers outside of the system.
SHARE_OF_SERVICE: Final = 0.5
# A fleet a little above its expected size stays under the other half.
GROWTH: Final = 1.1


class CallBudget:
    """Token bucket with a burst of one call, at fixed times.

    Explanation
    ===========

    The rate of one daemon is a share of the service's limit divided by
    the size of the fleet.  So all daemons together stay under the limit
    even if each of them believes that it is a reader.

    A token can be used only at the daemon's own slots, one in each
    interval, with a random phase.  Tokens that any time could use would
    let a whole fleet call at once after an idle interval: one changed
    value ends all watches, and all daemons begin the next one.

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
        self.rate = service_calls_per_second * SHARE_OF_SERVICE
        self.fleet_size = expected_fleet_size
        self.interval = 0.0
        self.next_slot = 0.0
        self._place_slots(timer.now())

    def _place_slots(self, earliest: float) -> None:
        self.interval = self.fleet_size / self.rate
        self.next_slot = earliest + self.random.uniform(0, self.interval)

    def observe_fleet_size(self, members: int) -> None:
        """Lower the rate if the fleet has outgrown the setting."""
        if members > GROWTH * self.fleet_size:
            self.fleet_size = members
            self._place_slots(max(self.timer.now(), self.next_slot))

    async def acquire(self) -> None:
        """Wait until one call is allowed."""
        now = self.timer.now()
        missed = math.ceil((now - self.next_slot) / self.interval)
        slot = self.next_slot + max(missed, 0) * self.interval
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
