"""Selection of the members that read the configuration service."""

import functools
import hashlib
from collections.abc import Iterable
from typing import Final

from tanagerbend_interfaces import Member

READERS_PER_DOMAIN: Final = 2
# Two purposes for each member of a fleet of the target size.
CACHED_WEIGHTS: Final = 16384


@functools.lru_cache(maxsize=CACHED_WEIGHTS)
def rendezvous_weight(host: str, purpose: str) -> bytes:
    """Return the rendezvous weight of a host, equal on all daemons."""
    return hashlib.blake2b(f'{purpose}/{host}'.encode(), digest_size=8).digest()


def choose_readers(
    members: Iterable[Member],
    failure_domain: str,
    count: int = READERS_PER_DOMAIN,
) -> tuple[str, ...]:
    """Return the hosts that read for a failure domain.

    Explanation
    ===========

    The members with the highest rendezvous weights are selected.  Every
    daemon computes this from its own roster, without an election.  While
    rosters differ there are more readers; the call budget of each daemon
    allows for that.

    Examples
    ========

    >>> choose_readers((), 'kingston')
    ()

    Parameters
    ==========

    members : iterable of Member
        Suspected and gone members are skipped.
    failure_domain : str
    count : int
        0 makes every member a reader.
    """
    candidates = [
        member.host
        for member in members
        if member.failure_domain == failure_domain
        and not member.is_suspected_or_gone
    ]
    candidates.sort(
        key=lambda host: rendezvous_weight(host, 'reader'), reverse=True
    )
    return tuple(candidates[:count] if count else candidates)
