"""Order of the entries of one instance, by when the instance wrote them.

The platform takes entries in the order of their arrival.  An entry that was
held up on its way may arrive after a later one of the same start, or after the
first one of a later start.
"""

from typing import Final, Protocol

import attrs

from tanagerbend_timer import Timer

# Time after which an entry that seemed outdated is believed if it still stands.
# A live instance writes about every 1.5 s, so it would have replaced an entry
# that says otherwise, and platforms remove one after three intervals without
# a write.
STANDING_SECONDS: Final = 10.0


class Entry(Protocol):
    """Entry in which an instance describes itself."""

    identity: str
    born: int
    sequence: int | None


def is_written_before(entry: Entry, other: Entry) -> bool:
    """Return whether an entry was written before another one.

    It is not if a start is unknown, or the sequence within the same start.

    Examples
    ========

    >>> from tanagerbend_routing import ListedInstance
    >>> seventh = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 6,
    ...                          born=900, sequence=7)
    >>> sixth = attrs.evolve(seventh, sequence=6)
    >>> is_written_before(sixth, seventh), is_written_before(seventh, sixth)
    (True, False)
    >>> is_written_before(seventh, attrs.evolve(sixth, born=950))
    True
    """
    if not entry.born or not other.born:
        return False
    if entry.born != other.born:
        return entry.born < other.born
    if entry.sequence is None or other.sequence is None:
        return False
    return entry.sequence < other.sequence


@attrs.frozen
class OutdatedEntry:
    """Entry that seems outdated.

    ``since`` is in monotonic seconds.
    """

    entry: Entry
    since: float


@attrs.define
class EntryOrder:
    """Newest entries of instances, and later arrivals that seem outdated.

    Explanation
    ===========

    Times of birth are of wall clocks, which may be set back between two
    starts.  Platforms do not show that an instance has written the same again,
    so a late entry may be the last that they show of a live one.  A seemingly
    outdated entry is therefore believed if it stands for so long that its
    instance must have written it, or the same, since.

    Parameters
    ==========

    timer : Timer
    newest : dict of str to Entry
        By the identities of the instances.
    outdated : dict of str to OutdatedEntry
        They stand in the platform as far as is known.
    """

    timer: Timer
    newest: dict[str, Entry] = attrs.field(factory=dict)
    outdated: dict[str, OutdatedEntry] = attrs.field(factory=dict)

    def accept(self, entry: Entry) -> bool:
        """Record an entry; return whether it is the newest one."""
        known = self.newest.get(entry.identity)
        if known is None or not is_written_before(entry, known):
            self.believe(entry)
            return True
        # The entry that arrived last is the one that stands.
        standing = self.outdated.get(entry.identity)
        since = self.timer.now() if standing is None else standing.since
        self.outdated[entry.identity] = OutdatedEntry(entry, since)
        return False

    def believe(self, entry: Entry) -> None:
        """Record an entry as the newest one."""
        self.newest[entry.identity] = entry
        self.outdated.pop(entry.identity, None)

    def standing(self) -> list[Entry]:
        """Return the seemingly outdated entries that must be the newest."""
        oldest = self.timer.now() - STANDING_SECONDS
        return [
            found.entry
            for found in self.outdated.values()
            if found.since <= oldest
        ]

    def remove(self, identity: str) -> None:
        """Record that the platform has no entry of an instance any more."""
        self.outdated.pop(identity, None)

    def forget(self, identity: str) -> None:
        """Forget an instance that the platform has removed."""
        self.newest.pop(identity, None)
