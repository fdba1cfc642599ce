"""Room that the services which a run calls have for its calls.

If a called service is short of room, a run whose call is refused fails after
it has held a slot, and the calls that succeeded were wasted.  The daemon on
the host of the calling instance sees how many of its calls are served.  It
admits only as many runs as make somewhat more calls, urgent ranks first, and
refuses the others before they take a slot.

References
==========

.. [1] B. Beyer et al., "Site Reliability Engineering", O'Reilly, 2016,
   chapter 21, "Client-Side Throttling".
"""

from collections import deque
from collections.abc import Mapping
from typing import Final

import attrs

from tanagerbend_timer import Timer

# Long enough for the calls of some twenty runs of an instance, short enough
# to follow a burst.
WINDOW_SECONDS: Final = 2.0
# Runs are admitted for this multiple of the calls that were served, so that
# more are admitted as soon as the called service has room again.
HEADROOM: Final = 1.3
# Calls in a window below which no run is refused; with fewer, a share says
# little.
MIN_CALLS: Final = 8.0
# Runs with fewer expected calls count as making none: requests of callers are
# now and then mistaken for calls.
MIN_CALLS_PER_RUN: Final = 0.05
# Share of the runs of each rank that are admitted in any case, so that no
# rank starves, also if others take the room of the called service.
MIN_ADMITTED: Final = 0.25


@attrs.define
class WindowedCounts:
    """Amounts by key in the last ``WINDOW_SECONDS``."""

    entries: deque[tuple[float, int, float]] = attrs.field(factory=deque)
    totals: dict[int, float] = attrs.field(factory=dict)

    def add(self, key: int, amount: float, now: float) -> None:
        """Add an amount at the current time."""
        self.entries.append((now, key, amount))
        self.totals[key] = self.totals.get(key, 0.0) + amount
        self.discard(now)

    def discard(self, now: float) -> None:
        """Discard the amounts that are older than the window."""
        while self.entries and self.entries[0][0] <= now - WINDOW_SECONDS:
            _at, key, amount = self.entries.popleft()
            self.totals[key] -= amount
        if not self.entries:
            # Resetting keeps rounding errors from accumulating.
            self.totals.clear()


@attrs.define
class CalledService:
    """Calls to one service: expected of runs, by rank, and their results.

    Parameters
    ==========

    demand : WindowedCounts
        Expected calls of the runs that asked for a slot, by their rank.
    outcomes : WindowedCounts
        Calls that ended, by whether they were served.
    credits : dict of int to float
        Fraction of a run that each rank may still admit.
    """

    demand: WindowedCounts = attrs.field(factory=WindowedCounts)
    outcomes: WindowedCounts = attrs.field(factory=WindowedCounts)
    credits: dict[int, float] = attrs.field(factory=dict)

    def admitted_share(self, rank: int, now: float) -> float:
        """Return the share of the runs of a rank to admit, from 0 to 1."""
        self.outcomes.discard(now)
        self.demand.discard(now)
        served = self.outcomes.totals.get(True, 0.0)
        refused = self.outcomes.totals.get(False, 0.0)
        if refused < 1 or served + refused < MIN_CALLS:
            return 1.0
        more_urgent = sum(
            amount
            for other, amount in self.demand.totals.items()
            if other < rank
        )
        room = HEADROOM * served - more_urgent
        share = room / max(self.demand.totals.get(rank, 0.0), 1.0)
        return min(max(share, MIN_ADMITTED), 1.0)

    def admit(self, rank: int, share: float) -> bool:
        """Admit a ``share`` of the runs of a rank, evenly spread."""
        credit = self.credits.get(rank, 1.0) + share
        is_admitted = credit >= 1
        self.credits[rank] = credit - 1 if is_admitted else credit
        return is_admitted


class CallRoom:
    """Decides which runs of an instance may start, by room for their calls.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> room = CallRoom(ManualTimer())
    >>> for number in range(20):
    ...     room.record_result('price', is_served=number % 2 == 0)
    >>> [room.short_service(2, {'price': 1.0}) for _ in range(20)].count('')
    19

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.services: dict[str, CalledService] = {}

    def record_result(self, service: str, *, is_served: bool) -> None:
        """Record a call of a run that was answered or refused."""
        known = self.services.setdefault(service, CalledService())
        known.outcomes.add(is_served, 1.0, self.timer.now())

    def recent_results(self, service: str) -> tuple[float, float]:
        """Return the numbers of served and of refused recent calls."""
        totals = self.services[service].outcomes.totals
        return totals.get(True, 0.0), totals.get(False, 0.0)

    def short_service(self, rank: int, calls: Mapping[str, float]) -> str:
        """Return the called service that has no room for a run.

        ``calls`` holds the expected calls of the run by service.  Returns an
        empty string if the run may start.
        """
        now = self.timer.now()
        shortest, least_share = '', 1.0
        for service, amount in calls.items():
            known = self.services.get(service)
            if known is None or amount < MIN_CALLS_PER_RUN:
                continue
            known.demand.add(rank, amount, now)
            share = known.admitted_share(rank, now)
            if share < least_share:
                shortest, least_share = service, share
        if shortest and not self.services[shortest].admit(rank, least_share):
            return shortest
        return ''
