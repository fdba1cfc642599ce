"""Reduces successive entries of instances to those that still matter."""

from collections.abc import Iterable

from tanagerbend_proxy.changes import Item
from tanagerbend_routing import ListedInstance
from tanagerbend_routing.entry_order import is_written_before


def without_superseded(items: Iterable[Item]) -> tuple[Item, ...]:
    """Return the items of instances without their superseded entries.

    Of the successive entries of one start, the one that was written last is
    left, and the one that arrived last if that is unknown.  Entries before
    and after a removal and those of other starts are left in their order,
    since a receiver may know what decides between them.

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
        if own and _is_same_start(own[-1], item):
            if is_written_before(item.value, own[-1].value):
                continue
            own.pop()
        own.append(item)
    return tuple(item for own in kept.values() for item in own)


def _is_same_start(item: Item, other: Item) -> bool:
    match item.value, other.value:
        case ListedInstance(born=born), ListedInstance(born=other_born):
            return born == other_born
    return False
