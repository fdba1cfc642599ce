"""Share of one daemon in the budget of repeats of the whole fleet.

The load it answers: many requests that fail at once.  All daemons draw on
one budget for each service and share no state, so each keeps to the ratio
for the requests that it has seen itself and to its part of the rest.

Calls of a run that is a repeat are repeats at the service that is called.
They are charged to that service by the daemon beside the calling instance,
which sees the requests for the service as well, so that what it allows
below covers what it lets run again above.
"""

import math
from collections import defaultdict, deque
from typing import Final

import attrs

# Part of the fleet's budget that is given out; the rest covers daemons
# that count a request in another window than the platform does.
SAFETY: Final = 0.7
# Repeats that a daemon may send at once after its start, if its part of the
# fixed ones is as large.
FIRST_REPEATS: Final = 1.0


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


@attrs.define
class Spending:
    """What was counted for a service in a sliding window."""

    counted: deque[tuple[float, float]] = attrs.field(factory=deque)
    whole: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.counted.append((now, amount))
        self.whole += amount

    def since(self, begin: float) -> float:
        """Return what was counted after ``begin``, and forget the rest."""
        while self.counted and self.counted[0][0] <= begin:
            self.whole -= self.counted.popleft()[1]
        if not self.counted:
            # Rounding errors of fractions would add up.
            self.whole = 0.0
        return self.whole


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
    began : float
        Monotonic seconds at which counting began.  A daemon that has just
        started does not know what it sent before, so its part of the fixed
        repeats grows over the first window.
    """

    def __init__(self, terms: BudgetTerms, began: float = -math.inf) -> None:
        self.terms = terms
        self.began = began
        self.requests: defaultdict[str, Spending] = defaultdict(Spending)
        self.repeats: defaultdict[str, Spending] = defaultdict(Spending)

    def requested(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._add(self.requests[service], 1, now)

    def take(self, service: str, now: float, daemons: int) -> bool:
        """Take one repeat; False if this daemon has none left."""
        if self.left(service, now, daemons) < 1:
            return False
        self.charge(service, 1, now)
        return True

    def charge(self, service: str, amount: float, now: float) -> None:
        """Count repeats that can't be refused any more."""
        self._add(self.repeats[service], amount, now)

    def left(self, service: str, now: float, daemons: int) -> float:
        """Return the repeats that this daemon may still send."""
        begin = now - self.terms.window
        allowed = self.terms.ratio * self.requests[service].since(begin)
        given_out = SAFETY * allowed + self._fixed(now, daemons)
        return given_out - self.repeats[service].since(begin)

    def _add(self, spending: Spending, amount: float, now: float) -> None:
        spending.add(amount, now)
        # In calm nobody asks what is left.
        spending.since(now - self.terms.window)

    def _fixed(self, now: float, daemons: int) -> float:
        """Return the repeats that don't depend on requests."""
        part = SAFETY * self.terms.extra / max(daemons, 1)
        grown = part * (now - self.began) / self.terms.window
        return min(part, max(grown, FIRST_REPEATS))
