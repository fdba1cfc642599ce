"""Named counters."""

from collections import Counter
from typing import Final

# Further labels are counted as ``OTHER_LABEL``, which bounds the number of
# time series.
MAX_LABELS: Final = 128
OTHER_LABEL: Final = 'other'


class Counters:
    """Counters by name and label.

    Explanation
    ===========

    A counter has at most ``MAX_LABELS`` labels; later ones are counted
    as ``other``, so that labels sent by callers cannot exhaust memory.

    Examples
    ========

    >>> counters = Counters()
    >>> counters.add('refusals', 'QUEUE_FULL')
    >>> counters.get('refusals', 'QUEUE_FULL')
    1
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        # Number of labels of each name.
        self.label_counts: Counter[str] = Counter()

    def add(self, name: str, label: str = '', amount: int = 1) -> None:
        """Increment a counter."""
        if (name, label) not in self.counts:
            if self.label_counts[name] >= MAX_LABELS:
                label = OTHER_LABEL
            self.label_counts[name] += 1
        self.counts[name, label] += amount

    def get(self, name: str, label: str = '') -> int:
        """Return the value of a counter; 0 if it was never incremented."""
        return self.counts[name, label]

    def total(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(
            count
            for (key_name, _), count in self.counts.items()
            if key_name == name
        )

    def by_name(self) -> dict[str, dict[str, int]]:
        """Return the counts of each name by label."""
        table: dict[str, dict[str, int]] = {}
        for (name, label), count in sorted(self.counts.items()):
            table.setdefault(name, {})[label] = count
        return table
