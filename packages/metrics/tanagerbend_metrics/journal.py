"""Decision journal: a bounded record of changes of state."""

import heapq
import itertools
from collections import deque
from typing import Final

import attrs

# More than the 3,200 versions of a night at target size.
DEFAULT_CAPACITY: Final = 5000
# Reasons can quote a caller or a sheet.
MAX_TEXT: Final = 500


@attrs.frozen
class Entry:
    """One change of state.

    Parameters
    ==========

    wall : float
        Seconds since the epoch.
    event : str
        One of ``tanagerbend_metrics.Event``.
    subject : str
        What it is about: a version, a host, a service.
    reason : str
    """

    wall: float
    event: str
    subject: str
    reason: str = ''


class Journal:
    """Bounded journal that keeps rare events longest.

    Explanation
    ===========

    When it is full, the oldest entry of the event with the most entries
    goes.  Thousands of adoptions in a night thus cannot push out the one
    entry that tells of a convicted request.

    Examples
    ========

    >>> journal = Journal(capacity=2)
    >>> journal.note(1.0, 'drain_started', 'host-1')
    >>> journal.note(2.0, 'version_adopted', '-/1')
    >>> journal.note(3.0, 'version_adopted', '-/2')
    >>> [entry.subject for entry in journal.entries]
    ['host-1', '-/2']

    Parameters
    ==========

    capacity : int
        Entries of all events together.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.numbers = itertools.count()
        self.size = 0
        # Entries of each event with their number, oldest first.
        self.rings: dict[str, deque[tuple[int, Entry]]] = {}
        self.listeners: list = []

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All entries, oldest first."""
        numbered = heapq.merge(*self.rings.values(), key=_number_of)
        return tuple(entry for _, entry in numbered)

    def latest(self, event: str, subject: str) -> Entry | None:
        """Return the last entry of an event and a subject, if held."""
        for _, entry in reversed(self.rings.get(event, ())):
            if entry.subject == subject:
                return entry
        return None

    def note(
        self,
        wall: float,
        event: str,
        subject: str,
        reason: str = '',
    ) -> None:
        """Add an entry and pass it to the listeners, such as the log."""
        entry = Entry(wall, event, subject[:MAX_TEXT], reason[:MAX_TEXT])
        ring = self.rings.setdefault(event, deque())
        ring.append((next(self.numbers), entry))
        self.size += 1
        if self.size > self.capacity:
            max(self.rings.values(), key=len).popleft()
            self.size -= 1
        for listener in self.listeners:
            listener(entry)


def _number_of(numbered: tuple[int, Entry]) -> int:
    return numbered[0]
