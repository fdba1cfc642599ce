"""Share of one daemon in the retry budget of the whole fleet.

When many requests fail at once, retries must not multiply the load.  All
daemons draw on one budget for each service but share no state.  Each daemon
therefore applies the ratio of the budget to the requests that it has seen
itself, and takes an equal part of the retries that are allowed beyond the
ratio.

The calls that an instance makes while it serves a retry are retries at the
services that it calls.  They are charged to the called service by the daemon
on the host of the calling instance.  That daemon also sees the requests to
the called service, so the retries that it allows there account for the
calls that its own instance repeats.
"""

import math
from collections import defaultdict, deque
from typing import Final

import attrs

# Fraction of the budget that daemons may use.  The rest is a margin for
# requests that a daemon counts in another window than the platform does.
USABLE_BUDGET_RATIO: Final = 0.7
# Fixed retries that a daemon may send immediately after its start, limited
# by its part of the fixed retries.
INITIAL_RETRIES: Final = 1.0


@attrs.frozen
class RetryBudgetSettings:
    """Retry budget of one service for the whole fleet.

    Parameters
    ==========

    ratio : float
        Retries allowed for each request.
    window : float
        Length of the sliding window in seconds.
    extra : float
        Fixed retries allowed in a window in addition to the ratio.
    """

    ratio: float
    window: float
    extra: float


@attrs.define
class WindowedSum:
    """Sum of the amounts that were counted in a sliding window."""

    entries: deque[tuple[float, float]] = attrs.field(factory=deque)
    total: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.entries.append((now, amount))
        self.total += amount

    def total_since(self, begin: float) -> float:
        """Return the sum after ``begin`` and discard older entries."""
        while self.entries and self.entries[0][0] <= begin:
            self.total -= self.entries.popleft()[1]
        if not self.entries:
            # Resetting keeps rounding errors of fractions from accumulating.
            self.total = 0.0
        return self.total


class RetryAllowance:
    """Counts requests and retries of each service in a sliding window.

    Examples
    ========

    >>> settings = RetryBudgetSettings(ratio=0.2, window=10.0, extra=20.0)
    >>> allowance = RetryAllowance(settings)
    >>> for _ in range(100):
    ...     allowance.record_request('shop', 1.0)
    >>> sum(allowance.take('shop', 1.0, daemons=2) for _ in range(99))
    21
    >>> allowance.take('shop', 12.0, daemons=2)
    True

    Parameters
    ==========

    settings : RetryBudgetSettings
    started_at : float
        Monotonic seconds at which counting began.  A daemon that has just
        started does not know which retries it sent before its restart, so
        its part of the fixed retries grows linearly over the first window.
    """

    def __init__(
        self, settings: RetryBudgetSettings, started_at: float = -math.inf
    ) -> None:
        self.settings = settings
        self.started_at = started_at
        self.requests: defaultdict[str, WindowedSum] = defaultdict(WindowedSum)
        self.retries: defaultdict[str, WindowedSum] = defaultdict(WindowedSum)

    def record_request(self, service: str, now: float) -> None:
        """Count a request to a service."""
        self._add(self.requests[service], 1, now)

    def take(self, service: str, now: float, daemons: int) -> bool:
        """Spend one retry; return False if this daemon has none left."""
        if self.remaining(service, now, daemons) < 1:
            return False
        self.charge(service, 1, now)
        return True

    def charge(self, service: str, amount: float, now: float) -> None:
        """Count retries that are already sent and cannot be refused."""
        self._add(self.retries[service], amount, now)

    def remaining(self, service: str, now: float, daemons: int) -> float:
        """Return the number of retries that this daemon may still send."""
        begin = now - self.settings.window
        allowed = self.settings.ratio * self.requests[service].total_since(
            begin
        )
        usable = USABLE_BUDGET_RATIO * allowed + self._fixed_share(now, daemons)
        return usable - self.retries[service].total_since(begin)

    def _add(self, amounts: WindowedSum, amount: float, now: float) -> None:
        amounts.add(amount, now)
        # ``remaining`` is only called when requests fail, so old entries are
        # also discarded here.
        amounts.total_since(now - self.settings.window)

    def _fixed_share(self, now: float, daemons: int) -> float:
        """Return this daemon's part of the fixed retries."""
        part = USABLE_BUDGET_RATIO * self.settings.extra / max(daemons, 1)
        grown = part * (now - self.started_at) / self.settings.window
        return min(part, max(grown, INITIAL_RETRIES))
