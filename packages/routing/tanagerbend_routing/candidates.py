"""Instances to choose from, and those of them that may be chosen now.

The load it answers: hundreds of instances.  A choice that looks at each of
them takes longer than the rest of a request, and reports that are older
than a request do not tell the best of all anyway.
"""

import itertools
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from tanagerbend_interfaces import Randomness
from tanagerbend_routing.registry import ListedInstance
from tanagerbend_routing.seen import Seen

# Instances that are compared for one request.  The best of some drawn at
# random is nearly as good as the best of all.
MOST_COMPARED: Final = 24
# An instance on the own host that is slower than typical by more than this
# factor is compared with the others.
MOST_OWN_SLOWNESS: Final = 1.5

Instances = tuple[ListedInstance, ...]
Candidate = tuple[ListedInstance, Seen]


@attrs.frozen
class Candidates:
    """Instances to choose from, with what was seen of them.

    Parameters
    ==========

    instances : tuple of ListedInstance
        Held, so that no other tuple gets its identity.
    pairs : list of pair of ListedInstance and Seen
    own : pair or None
        The one on the own host.

    References
    ==========

    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12 (10), 2001.
    """

    instances: Instances
    pairs: list[Candidate]
    own: Candidate | None

    @classmethod
    def build(
        cls,
        instances: Instances,
        pairs: list[Candidate],
        own_address: str,
        random: Randomness,
    ) -> 'Candidates':
        """Put many in an order that differs from daemon to daemon."""
        own = [pair for pair in pairs if pair[0].address == own_address]
        if len(pairs) > MOST_COMPARED:
            pairs = sorted(pairs, key=lambda _pair: random.random())
        return cls(instances, pairs, own[-1] if own else None)

    def is_own_idle(self, rank: int, free: int, now: float) -> bool:
        """Return whether the own instance is to be used without comparison.

        Its load is known at any time, and its answers pass one daemon and
        one link only.  ``free`` is the number of its free slots.
        """
        if self.own is None or free <= 0:
            return False
        instance, seen = self.own
        return (
            now >= instance.cold_until
            and seen.speed <= MOST_OWN_SLOWNESS
            and seen.is_preferred(now)
            and not seen.is_full(rank, now)
        )

    def drawn(self, random: Randomness) -> Iterable[Candidate]:
        """Return all of a few, and many from anywhere on."""
        if len(self.pairs) <= MOST_COMPARED:
            return self.pairs
        begin = int(random.random() * len(self.pairs))
        return itertools.chain(
            itertools.islice(self.pairs, begin, None),
            itertools.islice(self.pairs, begin),
        )


def allowed(
    known: Iterable[Candidate],
    rank: int,
    exclude: frozenset[str],
    now: float,
) -> Iterator[Candidate]:
    """Yield those that may be chosen; the avoided if all are avoided.

    An owner that is full for the rank is not asked.
    """
    avoided = []
    is_any_preferred = False
    for pair in known:
        if not pair[1].is_preferred(now):
            avoided.append(pair)
            continue
        is_any_preferred = True
        if _is_open(pair, rank, exclude, now):
            yield pair
    if not is_any_preferred:
        yield from (
            pair for pair in avoided if _is_open(pair, rank, exclude, now)
        )


def _is_open(
    pair: Candidate,
    rank: int,
    exclude: frozenset[str],
    now: float,
) -> bool:
    instance, seen = pair
    return instance.identity not in exclude and not seen.is_full(rank, now)
