"""Decision journal: a bounded record of changes of state."""

from collections import deque
from typing import Final

import attrs

DEFAULT_CAPACITY: Final = 2000
# Reasons can quote a caller or a sheet; this bounds the ring to 2 MB.
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
    """Ring of the latest entries.

    Examples
    ========

    >>> journal = Journal(capacity=1)
    >>> journal.note(1.0, 'version_adopted', '-/1')
    >>> journal.note(2.0, 'version_adopted', '-/2')
    >>> [entry.subject for entry in journal.entries]
    ['-/2']
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.entries: deque[Entry] = deque(maxlen=capacity)
        self.listeners: list = []

    def note(
        self,
        wall: float,
        event: str,
        subject: str,
        reason: str = '',
    ) -> None:
        """Add an entry and pass it to the listeners, such as the log."""
        entry = Entry(wall, event, subject[:MAX_TEXT], reason[:MAX_TEXT])
        self.entries.append(entry)
        for listener in self.listeners:
            listener(entry)
