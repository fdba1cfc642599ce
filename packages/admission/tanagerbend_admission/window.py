"""Sums over a sliding window of time, by rank."""

from typing import Final

# Long enough to hold several calls of a rank with a floor of 5%, short
# enough that a rank which was idle does not claim much at once.
WINDOW_SECONDS: Final = 2.0
BUCKETS: Final = 20
BUCKET_SECONDS: Final = WINDOW_SECONDS / BUCKETS


class RankWindow:
    """Amounts by rank in the last ``WINDOW_SECONDS``.

    Examples
    ========

    >>> window = RankWindow()
    >>> window.add(0.0, 3, 1.5)
    >>> window.total(1.0, 3), window.total(9.0, 3)
    (1.5, 0.0)
    """

    def __init__(self) -> None:
        self.buckets: list[dict[int, float]] = [{} for _ in range(BUCKETS)]
        self.totals: dict[int, float] = {}
        self.newest = 0

    def add(self, now: float, rank: int, amount: float) -> None:
        """Add an amount at this moment."""
        self._slide(now)
        bucket = self.buckets[self.newest % BUCKETS]
        bucket[rank] = bucket.get(rank, 0.0) + amount
        self.totals[rank] = self.totals.get(rank, 0.0) + amount

    def total(self, now: float, rank: int) -> float:
        """Return the amount of a rank within the window."""
        self._slide(now)
        return self.totals.get(rank, 0.0)

    def _slide(self, now: float) -> None:
        newest = int(now / BUCKET_SECONDS)
        if newest <= self.newest:
            return
        for index in range(min(newest - self.newest, BUCKETS)):
            self.buckets[(newest - index) % BUCKETS].clear()
        self.newest = newest
        # Summed anew, so that rounding errors do not add up.
        self.totals = {}
        for bucket in self.buckets:
            for rank, amount in bucket.items():
                self.totals[rank] = self.totals.get(rank, 0.0) + amount


class SlotUsage:
    """Slot time of each rank, including calls that still run.

    Parameters
    ==========

    now : float
        Monotonic seconds at the start.
    """

    def __init__(self, now: float) -> None:
        self.window = RankWindow()
        self.started = now
        self.advanced = now
        self.running: dict[int, int] = {}

    def advance(self, now: float) -> None:
        """Charge the time since the last event to the running calls."""
        passed = now - self.advanced
        if passed <= 0:
            return
        self.advanced = now
        # After a pause only the last window matters.
        passed = min(passed, WINDOW_SECONDS)
        for rank, calls in self.running.items():
            if calls:
                self.window.add(now, rank, passed * calls)

    def start(self, rank: int) -> None:
        """Count a call that got a slot."""
        self.running[rank] = self.running.get(rank, 0) + 1

    def stop(self, rank: int) -> None:
        """Count a call that gave its slot back."""
        self.running[rank] -= 1

    def used(self, rank: int) -> float:
        """Return the slot seconds of a rank within the window."""
        return self.window.total(self.advanced, rank)

    def share(self, rank: int, slots: int) -> float:
        """Return the share of slot time of a rank, 0 to 1."""
        age = self.advanced - self.started
        seconds = min(WINDOW_SECONDS, max(age, BUCKET_SECONDS))
        return min(1.0, self.used(rank) / (seconds * slots))
