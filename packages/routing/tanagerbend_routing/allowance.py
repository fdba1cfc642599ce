"""Share of one daemon in the budget of repeats of the whole fleet.

The load it answers: many requests that fail at once.  All daemons draw on
one budget for each service and share no state, so each keeps to the ratio
for the requests that it has seen itself and to its part of the rest.
"""

from collections import deque
from typing import Final

import attrs

# Part of the fleet's budget that is given out; the rest covers daemons
# that count a request in another window than the platform does.
SAFETY: Final = 0.7


@attrs.frozen
class BudgetTerms:
    """Budget of repeats of one service, over the whole fleet.

    Parameters
    ==========

    ratio : float
        Repeats for each request.
    window : float
        Seconds.
    extra : float
        Repeats in a window beyond the ratio.
    """

    ratio: float
    window: float
    extra: float


class RetryAllowance:
    """Counts requests and repeats of each service in a sliding window.

    Examples
    ========

    >>> terms = BudgetTerms(ratio=0.2, window=10.0, extra=20.0)
    >>> allowance = RetryAllowance(terms)
    >>> for _ in range(100):
    ...     allowance.requested('shop', 1.0)
    >>> sum(allowance.take('shop', 1.0, daemons=2) for _ in range(99))
    21
    >>> allowance.take('shop', 12.0, daemons=2)
    True

    Parameters
    ==========

    terms : BudgetTerms
    """

    def __init__(self, terms: BudgetTerms) -> None:
        self.terms = terms
        self.requests: dict[str, deque[float]] = {}
        self.repeats: dict[str, deque[float]] = {}

    def requested(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self.requests.setdefault(service, deque()).append(now)

    def take(self, service: str, now: float, daemons: int) -> bool:
        """Take one repeat; False if this daemon has none left."""
        if self.left(service, now, daemons) < 1:
            return False
        self.repeats.setdefault(service, deque()).append(now)
        return True

    def left(self, service: str, now: float, daemons: int) -> float:
        """Return the repeats that this daemon may still send."""
        terms = self.terms
        allowed = terms.ratio * self._count(self.requests, service, now)
        allowed += terms.extra / max(daemons, 1)
        return allowed * SAFETY - self._count(self.repeats, service, now)

    def _count(
        self,
        times: dict[str, deque[float]],
        service: str,
        now: float,
    ) -> int:
        seen = times.get(service)
        if seen is None:
            return 0
        while seen and seen[0] <= now - self.terms.window:
            seen.popleft()
        return len(seen)
