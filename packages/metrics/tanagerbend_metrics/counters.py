"""Named counters."""

from collections import Counter


class Counters:
    """Counters by name and label.

    Examples
    ========

    >>> counters = Counters()
    >>> counters.add('refusals', 'QUEUE_FULL')
    >>> counters.get('refusals', 'QUEUE_FULL')
    1
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add to one counter."""
        self.counts[name, label] += amount

    def get(self, name: str, label: str = '') -> int:
        """Return one counter; 0 if nothing was added."""
        return self.counts[name, label]

    def total(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(
            count for (key, _), count in self.counts.items() if key == name
        )
