"""Order of the entries of one instance, by when the instance wrote them.

The platform takes entries in the order of their arrival.  An entry that was
held up on its way may arrive after a later one of the same start, or after the
first one of a later start.
"""

from collections.abc import Container
from typing import Final, Protocol

import attrs

from tanagerbend_timer import Timer

# Longest time that an entry is assumed to need on its way.  A sender that is
# cut off sends again with growing pauses, the longest about as long as the cut.
MAX_ENTRY_DELAY_SECONDS: Final = 30.0
# Earlier starts that are remembered of an instance that starts again and again.
MAX_EARLIER_STARTS: Final = 16


class Entry(Protocol):
    """Entry in which an instance describes itself."""

    identity: str
    is_leaving: bool
    born: int
    sequence: int | None


@attrs.frozen
class StartHistory:
    """Latest start of an instance as far as this daemon has seen it.

    Parameters
    ==========

    newest : Entry
        Newest entry of the start.
    first_seen : float
        Monotonic seconds at which its first entry was seen.
    earlier : tuple of int
        Times of birth of the starts that were seen before it.
    """

    newest: Entry
    first_seen: float
    earlier: tuple[int, ...] = ()

    def is_outdated(self, entry: Entry, now: float) -> bool:
        """Return whether an entry was written before the newest one.

        Explanation
        ===========

        Entries of one start are ordered by their sequence, and a start that
        another one followed here is over.  Times of birth, which are of wall
        clocks, decide on other starts, except that a lower one may also be of
        a later start after its clock was set back.  It is taken for that if
        no departure depends on it, or if the known start was seen so long ago
        that no earlier entry can still be on its way.

        Examples
        ========

        >>> from tanagerbend_routing import ListedInstance
        >>> leaving = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 6,
        ...                          is_leaving=True, born=900, sequence=7)
        >>> history = StartHistory(leaving, first_seen=50.0)
        >>> ready = attrs.evolve(leaving, is_leaving=False, sequence=6)
        >>> history.is_outdated(ready, now=60.0)
        True
        >>> next_start = attrs.evolve(ready, born=950, sequence=1)
        >>> history.is_outdated(next_start, now=60.0)
        False
        """
        known = self.newest
        if entry.born in self.earlier:
            return True
        if is_written_before(entry, known):
            return True
        if not entry.born or entry.born >= known.born:
            return False
        has_departure = entry.is_leaving or known.is_leaving
        return has_departure and now - self.first_seen < MAX_ENTRY_DELAY_SECONDS

    def followed_by(self, entry: Entry, now: float) -> 'StartHistory':
        """Return the history after an entry that is not outdated."""
        if entry.born == self.newest.born:
            return attrs.evolve(self, newest=entry)
        earlier = self.earlier
        if entry.born and self.newest.born:
            earlier = (*earlier, self.newest.born)[-MAX_EARLIER_STARTS:]
        return StartHistory(entry, now, earlier)


def is_written_before(entry: Entry, other: Entry) -> bool:
    """Return whether an entry precedes another one of the same start.

    It is not known to if their start or a sequence is unknown.
    """
    if not entry.born or entry.born != other.born:
        return False
    if entry.sequence is None or other.sequence is None:
        return False
    return entry.sequence < other.sequence


@attrs.define
class StartHistories:
    """Histories of instances, by their identities.

    Parameters
    ==========

    timer : Timer
    known : dict of str to StartHistory
    """

    timer: Timer
    known: dict[str, StartHistory] = attrs.field(factory=dict)

    def is_outdated(self, entry: Entry) -> bool:
        """Return whether an entry was written before the newest one known."""
        history = self.known.get(entry.identity)
        return history is not None and history.is_outdated(
            entry, self.timer.now()
        )

    def record(self, entry: Entry) -> None:
        """Record an entry that is not outdated."""
        now = self.timer.now()
        history = self.known.get(entry.identity)
        self.known[entry.identity] = (
            StartHistory(entry, now)
            if history is None
            else history.followed_by(entry, now)
        )

    def retain(self, identities: Container[str]) -> None:
        """Forget all other instances."""
        self.known = {
            identity: history
            for identity, history in self.known.items()
            if identity in identities
        }
