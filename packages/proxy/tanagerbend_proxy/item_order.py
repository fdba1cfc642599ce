"""Reduces successive entries of instances to those that still matter."""

from collections.abc import Iterable

from tanagerbend_proxy.changes import Item
from tanagerbend_routing import ListedInstance
from tanagerbend_routing.entry_order import is_written_before


def without_superseded(items: Iterable[Item]) -> tuple[Item, ...]:
    """Return the items of instances without their superseded entries.

    Of the successive entries of one start, the one that was written last is
    left, and the one that arrived last if that is unknown.  Before a removal,
    only a departure is left.  Entries after a removal and those of other
    starts are left in their order, since a receiver may know what decides
    between them.

    Examples
    ========

    >>> import attrs
    >>> ready = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 6,
    ...                        born=900, sequence=6)
    >>> leaving = attrs.evolve(ready, is_leaving=True, sequence=7)
    >>> found = without_superseded([Item('i-1', leaving), Item('i-1', ready)])
    >>> [item.value.sequence for item in found]
    [7]
    """
    kept: dict[str, list[Item]] = {}
    for item in items:
        if not item.identity:
            continue
        own = kept.setdefault(item.identity, [])
        if own and _is_late(item, own[-1]):
            continue
        while own and _is_superseded(own[-1], item):
            own.pop()
        own.append(item)
    return tuple(item for own in kept.values() for item in own)


def _is_late(item: Item, other: Item) -> bool:
    """Return whether an entry was written before another of its start."""
    match item.value, other.value:
        case ListedInstance() as entry, ListedInstance() as known:
            is_same_start = entry.born == known.born
            return is_same_start and is_written_before(entry, known)
    return False


def _is_superseded(item: Item, later: Item) -> bool:
    """Return whether an item doesn't matter any more after a later one."""
    match item.value, later.value:
        case ListedInstance(born=born), ListedInstance(born=later_born):
            return born == later_born
        case ListedInstance(is_leaving=is_leaving), _:
            return not is_leaving
        case _, ListedInstance():
            return False
    return True
