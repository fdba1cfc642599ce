"""Decision journal: a bounded record of state changes."""

import heapq
import itertools
from collections import deque
from typing import Final

import attrs

# Exceeds the 3,200 versions that one night has at the target size.
DEFAULT_CAPACITY: Final = 5000
# Bounds subjects and reasons, which can quote a caller or a sheet.
MAX_TEXT_CHARACTERS: Final = 500


@attrs.frozen
class Entry:
    """One state change.

    Parameters
    ==========

    wall : float
        Seconds since the epoch.
    event : str
        One of ``tanagerbend_metrics.Event``.
    subject : str
        Version, host, service or other item that changed.
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
    is removed, so that thousands of adopted versions in a night cannot
    evict the only entry about a convicted request.

    Examples
    ========

    >>> journal = Journal(capacity=2)
    >>> journal.record_event(1.0, 'drain_started', 'host-1')
    >>> journal.record_event(2.0, 'version_adopted', '-/1')
    >>> journal.record_event(3.0, 'version_adopted', '-/2')
    >>> [entry.subject for entry in journal.entries]
    ['host-1', '-/2']

    Parameters
    ==========

    capacity : int
        Largest number of entries of all events together.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.sequence_numbers = itertools.count()
        self.size = 0
        # Entries of each event with their sequence number, oldest first.
        self.entries_by_event: dict[str, deque[tuple[int, Entry]]] = {}
        self.listeners: list = []

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All entries, oldest first."""
        numbered = heapq.merge(
            *self.entries_by_event.values(), key=_sequence_number
        )
        return tuple(entry for _, entry in numbered)

    def latest(self, event: str, subject: str) -> Entry | None:
        """Return the last stored entry of an event and a subject."""
        for _, entry in reversed(self.entries_by_event.get(event, ())):
            if entry.subject == subject:
                return entry
        return None

    def record_event(
        self,
        wall: float,
        event: str,
        subject: str,
        reason: str = '',
    ) -> None:
        """Add an entry and pass it to the listeners, such as the log."""
        entry = Entry(
            wall,
            event,
            subject[:MAX_TEXT_CHARACTERS],
            reason[:MAX_TEXT_CHARACTERS],
        )
        event_entries = self.entries_by_event.setdefault(event, deque())
        event_entries.append((next(self.sequence_numbers), entry))
        self.size += 1
        if self.size > self.capacity:
            max(self.entries_by_event.values(), key=len).popleft()
            self.size -= 1
        for listener in self.listeners:
            listener(entry)


def _sequence_number(numbered: tuple[int, Entry]) -> int:
    return numbered[0]
