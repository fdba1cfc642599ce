"""Named counters."""

from collections import Counter
from typing import Final

# Labels beyond this are counted together, which bounds the series.
MAX_LABELS: Final = 128
OTHER_LABELS: Final = 'other'


class Counters:
    """Counters by name and label.

    Explanation
    ===========

    A counter has at most ``MAX_LABELS`` labels; later ones are counted
    as ``other``, so that a label taken from a caller cannot grow memory.

    Examples
    ========

    >>> counters = Counters()
    >>> counters.add('refusals', 'QUEUE_FULL')
    >>> counters.get('refusals', 'QUEUE_FULL')
    1
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self.labels: Counter[str] = Counter()

    def add(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add to one counter."""
        if (name, label) not in self.counts:
            if self.labels[name] >= MAX_LABELS:
                label = OTHER_LABELS
            self.labels[name] += 1
        self.counts[name, label] += amount

    def get(self, name: str, label: str = '') -> int:
        """Return one counter; 0 if nothing was added."""
        return self.counts[name, label]

    def total(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(
            count for (key, _), count in self.counts.items() if key == name
        )

    def by_name(self) -> dict[str, dict[str, int]]:
        """Return the counts of each name by label."""
        table: dict[str, dict[str, int]] = {}
        for (name, label), count in sorted(self.counts.items()):
            table.setdefault(name, {})[label] = count
        return table
