"""Which of several listed instances runs at an address.

An instance that ends without notice stays listed until its entry lapses.  A
restart under another identity at the same address then makes two entries, of
which only the later one can be alive: an address has one listening process.
"""

from collections.abc import Collection, Container, Mapping
from typing import Protocol

import attrs

NOTHING_DISPLACED: Mapping[str, str] = {}


class Start(Protocol):
    """Start of an instance that an entry announces."""

    identity: str
    address: str
    born: int


class Entry(Protocol):
    """Entry of the listing, and when it arrived."""

    instance: Start
    arrival: int


@attrs.frozen
class Occupancy:
    """Instances at their addresses, and those that others displaced.

    Parameters
    ==========

    holders : mapping of str to Entry
        Entry of the latest start at each address.
    displaced : mapping of str to str
        Identities of the earlier starts, with that of the latest one; of
        absent instances, with an empty text.
    address_count : int
        Number of addresses, also of absent instances.
    """

    holders: Mapping[str, Entry]
    displaced: Mapping[str, str]
    address_count: int

    @classmethod
    def of(
        cls, entries: Collection[Entry], absent: Container[str]
    ) -> 'Occupancy':
        """Compare the entries at each address.

        ``absent`` holds the identities of instances that are known not to be
        there; they displace no others.
        """
        holders: dict[str, Entry] = {}
        displaced = {}
        sharing = []
        for entry in entries:
            if entry.instance.identity in absent:
                displaced[entry.instance.identity] = ''
                continue
            holder = holders.setdefault(entry.instance.address, entry)
            if holder is entry:
                continue
            sharing.extend((holder, entry))
            if is_later(entry, holder):
                holders[entry.instance.address] = entry
        for entry in sharing:
            holder = holders[entry.instance.address]
            if is_later(holder, entry):
                displaced[entry.instance.identity] = holder.instance.identity
        addresses = {entry.instance.address for entry in entries}
        return cls(holders, displaced, len(addresses))


def is_later(entry: Entry, other: Entry) -> bool:
    """Return whether an entry announces a later start than another one.

    The order of arrival decides where the times of the starts don't.
    """
    born, other_born = entry.instance.born, other.instance.born
    if born and other_born and born != other_born:
        return born > other_born
    return entry.arrival > other.arrival
