"""Candidate instances of a request, and those that are eligible now.

With hundreds of instances, comparing all of them would take longer than the
rest of a request.  Reports that are older than a request do not identify the
best of all instances anyway, so only some of them are compared.
"""

import itertools
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from tanagerbend_interfaces import Randomness
from tanagerbend_routing.observations import ObservedInstance
from tanagerbend_routing.listed_instance import ListedInstance

# Instances that are compared for one request.  The best of a random sample is
# nearly as good as the best of all.
MAX_COMPARED: Final = 24
# The local instance, on the host of this daemon, is compared with the others
# if it is slower than typical by more than this factor.
MAX_LOCAL_SLOWDOWN: Final = 1.5

Instances = tuple[ListedInstance, ...]
Candidate = tuple[ListedInstance, ObservedInstance]


@attrs.frozen
class Candidates:
    """Instances to choose from, with their observed state.

    Parameters
    ==========

    instances : tuple of ListedInstance
        The tuple that was chosen from.  It is kept alive so that no other
        tuple gets the same ``id``.
    pairs : list of pair of ListedInstance and ObservedInstance
    local : pair or None
        The instance on the host of this daemon.

    References
    ==========

    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12 (10), 2001.
    """

    instances: Instances
    pairs: list[Candidate]
    local: Candidate | None

    @classmethod
    def build(
        cls,
        instances: Instances,
        pairs: list[Candidate],
        own_address: str,
        random: Randomness,
    ) -> 'Candidates':
        """Shuffle a large set, so that daemons compare different instances."""
        local = [pair for pair in pairs if pair[0].address == own_address]
        if len(pairs) > MAX_COMPARED:
            pairs = sorted(pairs, key=lambda _pair: random.random())
        return cls(instances, pairs, local[-1] if local else None)

    def is_local_preferred(
        self, rank: int, free_slots: int, now: float
    ) -> bool:
        """Return whether to use the local instance without comparison.

        Its load is always known, and its answers pass only one daemon and
        one link.  ``free_slots`` is the number of its free slots.
        """
        if self.local is None or free_slots <= 0:
            return False
        instance, observed = self.local
        return (
            now >= instance.cold_until
            and observed.slowdown <= MAX_LOCAL_SLOWDOWN
            and observed.is_preferred(now)
            and not observed.is_refusing(rank, now)
        )

    def rotated(self, random: Randomness) -> Iterable[Candidate]:
        """Return all pairs; a large set starts at a random position."""
        if len(self.pairs) <= MAX_COMPARED:
            return self.pairs
        begin = int(random.random() * len(self.pairs))
        return itertools.chain(
            itertools.islice(self.pairs, begin, None),
            itertools.islice(self.pairs, begin),
        )


def eligible_candidates(
    candidates: Iterable[Candidate],
    rank: int,
    exclude: frozenset[str],
    now: float,
) -> Iterator[Candidate]:
    """Yield the eligible candidates; the avoided ones if all are avoided.

    Owners that are expected to refuse the rank are not eligible.
    """
    avoided = []
    is_any_preferred = False
    for pair in candidates:
        if not pair[1].is_preferred(now):
            avoided.append(pair)
            continue
        is_any_preferred = True
        if _is_eligible(pair, rank, exclude, now):
            yield pair
    if not is_any_preferred:
        yield from (
            pair for pair in avoided if _is_eligible(pair, rank, exclude, now)
        )


def _is_eligible(
    pair: Candidate,
    rank: int,
    exclude: frozenset[str],
    now: float,
) -> bool:
    instance, observed = pair
    return instance.identity not in exclude and not observed.is_refusing(
        rank, now
    )
