"""Sums by rank over a sliding time window."""

from typing import Final

# Long enough for several calls of a rank with a floor of 5%, short enough
# that a rank that was idle does not claim many slots at once.
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
        self.newest_index = 0

    def add(self, now: float, rank: int, amount: float) -> None:
        """Add an amount at the current time."""
        self._slide(now)
        bucket = self.buckets[self.newest_index % BUCKETS]
        bucket[rank] = bucket.get(rank, 0.0) + amount
        self.totals[rank] = self.totals.get(rank, 0.0) + amount

    def total(self, now: float, rank: int) -> float:
        """Return the amount of a rank within the window."""
        self._slide(now)
        return self.totals.get(rank, 0.0)

    def _slide(self, now: float) -> None:
        newest_index = int(now / BUCKET_SECONDS)
        if newest_index <= self.newest_index:
            return
        for index in range(min(newest_index - self.newest_index, BUCKETS)):
            self.buckets[(newest_index - index) % BUCKETS].clear()
        self.newest_index = newest_index
        # Recomputed from the buckets so that rounding errors do not add up.
        self.totals = {}
        for bucket in self.buckets:
            for rank, amount in bucket.items():
                self.totals[rank] = self.totals.get(rank, 0.0) + amount


class SlotUsage:
    """Slot time used by each rank, including calls that still run.

    Parameters
    ==========

    now : float
        Monotonic seconds at the start.
    """

    def __init__(self, now: float) -> None:
        self.window = RankWindow()
        self.started_at = now
        self.advanced_at = now
        self.running: dict[int, int] = {}

    def advance(self, now: float) -> None:
        """Charge the time since the last event to the running calls."""
        elapsed = now - self.advanced_at
        if elapsed <= 0:
            return
        self.advanced_at = now
        # After a pause only the time within the window counts.
        elapsed = min(elapsed, WINDOW_SECONDS)
        for rank, calls in self.running.items():
            if calls:
                self.window.add(now, rank, elapsed * calls)

    def start(self, rank: int) -> None:
        """Count a call that got a slot."""
        self.running[rank] = self.running.get(rank, 0) + 1

    def stop(self, rank: int) -> None:
        """Count a call that released its slot."""
        self.running[rank] -= 1

    def used(self, rank: int) -> float:
        """Return the slot seconds used by a rank within the window."""
        return self.window.total(self.advanced_at, rank)

    def share(self, rank: int, slots: int) -> float:
        """Return the share of slot time used by a rank, 0 to 1."""
        age = self.advanced_at - self.started_at
        seconds = min(WINDOW_SECONDS, max(age, BUCKET_SECONDS))
        return min(1.0, self.used(rank) / (seconds * slots))
