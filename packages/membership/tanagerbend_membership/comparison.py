"""Comparison of the member records of two daemons."""

from typing import Final

import attrs

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership.index import MemberIndex
from tanagerbend_membership.records import BUCKETS, bucket_of

# A record is repeated in this many exchanges, a little over the logarithm
# of the target fleet size, and then left to the bucket comparison.
REPEATS: Final = 8
MAX_RECENT: Final = 64
MAX_REPLY_MEMBERS: Final = 256


@attrs.frozen
class Comparison:
    """Records of buckets that differ between two daemons.

    Parameters
    ==========

    covered : tuple of int
        Buckets of which all records are included.
    members : tuple of Member
    """

    covered: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()


def compare(
    index: MemberIndex,
    buckets: tuple[int, ...],
    start: int,
) -> Comparison:
    """Return own records of buckets whose hashes differ.

    Explanation
    ===========

    A reply holds about ``MAX_REPLY_MEMBERS`` records.  It takes whole
    buckets from ``start`` on; with a random start repeated exchanges
    reach all of the differing buckets.

    Parameters
    ==========

    index : MemberIndex
    buckets : tuple of int
        Hashes of the peer.
    start : int
        Bucket to begin with.
    """
    if len(buckets) != BUCKETS:
        return Comparison()
    covered: list[int] = []
    found: list[Member] = []
    for step in range(BUCKETS):
        bucket = (start + step) % BUCKETS
        if buckets[bucket] == index.hashes[bucket]:
            continue
        members = index.buckets[bucket].values()
        if found and len(found) + len(members) > MAX_REPLY_MEMBERS:
            break
        covered.append(bucket)
        found.extend(members)
    return Comparison(tuple(covered), tuple(found))


def lacking(
    index: MemberIndex,
    comparison: Comparison,
) -> tuple[Member, ...]:
    """Return own records that the sender of a comparison lacks."""
    theirs = {member.host: member for member in comparison.members}
    covered = frozenset(comparison.covered).intersection(range(BUCKETS))
    buckets = covered.union(map(bucket_of, theirs))
    found = [
        member
        for bucket in sorted(buckets)
        for member in index.buckets[bucket].values()
        if _is_lacking(member, theirs.get(member.host), bucket in covered)
    ]
    return tuple(found[:MAX_REPLY_MEMBERS])


def _is_lacking(
    member: Member,
    record: Member | None,
    is_covered: bool,
) -> bool:
    if record is None:
        return is_covered and member.state is not MemberState.GONE
    return member.freshness > record.freshness


class Recent:
    """Hosts whose records changed lately and how often to repeat them.

    Examples
    ========

    >>> recent = Recent()
    >>> recent.add('host-1')
    >>> sum(len(recent.take()) for _ in range(20)) == REPEATS
    True
    """

    def __init__(self) -> None:
        self.repeats: dict[str, int] = {}

    def add(self, host: str) -> None:
        """Repeat a host's record from now on."""
        self.repeats.pop(host, None)
        self.repeats[host] = REPEATS

    def drop(self, *hosts: str) -> None:
        """Repeat the records of hosts no more."""
        for host in hosts:
            self.repeats.pop(host, None)

    def take(self) -> tuple[str, ...]:
        """Return the hosts of the next exchange, the latest ones."""
        hosts = list(self.repeats)[-MAX_RECENT:]
        for host in hosts:
            self.repeats[host] -= 1
            if not self.repeats[host]:
                self.repeats.pop(host)
        return tuple(hosts)
