"""Comparison of the member records that two daemons hold."""

from typing import Final

import attrs

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership.index import MemberIndex
from tanagerbend_membership.records import BUCKETS, bucket_of

# A changed record is sent in this many exchanges, a little over the
# logarithm of the target fleet size; then the bucket comparison spreads it.
REPEATS: Final = 8
MAX_RECENT_CHANGES: Final = 64
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
    """Return the records of this daemon in buckets whose hashes differ.

    Explanation
    ===========

    A reply holds about ``MAX_REPLY_MEMBERS`` records, as it consists of
    whole buckets from ``start`` on.  With a random start, repeated
    exchanges cover all differing buckets.

    Parameters
    ==========

    index : MemberIndex
    buckets : tuple of int
        Bucket hashes of the peer.
    start : int
        Bucket to begin with.
    """
    if len(buckets) != BUCKETS:
        return Comparison()
    covered: list[int] = []
    records: list[Member] = []
    for step in range(BUCKETS):
        bucket = (start + step) % BUCKETS
        if buckets[bucket] == index.hashes[bucket]:
            continue
        members = index.buckets[bucket].values()
        if records and len(records) + len(members) > MAX_REPLY_MEMBERS:
            break
        covered.append(bucket)
        records.extend(members)
    return Comparison(tuple(covered), tuple(records))


def missing_at_peer(
    index: MemberIndex,
    comparison: Comparison,
) -> tuple[Member, ...]:
    """Return records that the sender of a comparison does not hold.

    These are records of this daemon that the sender lacks or holds in an
    older form.
    """
    peer_records = {member.host: member for member in comparison.members}
    covered = frozenset(comparison.covered).intersection(range(BUCKETS))
    buckets = covered.union(map(bucket_of, peer_records))
    records = [
        member
        for bucket in sorted(buckets)
        for member in index.buckets[bucket].values()
        if _is_missing(member, peer_records.get(member.host), bucket in covered)
    ]
    return tuple(records[:MAX_REPLY_MEMBERS])


def _is_missing(
    member: Member,
    peer_record: Member | None,
    is_covered: bool,
) -> bool:
    if peer_record is None:
        return is_covered and member.state is not MemberState.GONE
    return member.freshness > peer_record.freshness


class RecentChanges:
    """Hosts whose records changed recently, with the sends that remain.

    Examples
    ========

    >>> changes = RecentChanges()
    >>> changes.add('host-1')
    >>> sum(len(changes.take()) for _ in range(20)) == REPEATS
    True
    """

    def __init__(self) -> None:
        self.remaining: dict[str, int] = {}

    def add(self, host: str) -> None:
        """Send the record of a host in the next ``REPEATS`` exchanges."""
        self.remaining.pop(host, None)
        self.remaining[host] = REPEATS

    def drop(self, *hosts: str) -> None:
        """Stop sending the records of hosts."""
        for host in hosts:
            self.remaining.pop(host, None)

    def take(self) -> tuple[str, ...]:
        """Return the hosts for the next exchange, the latest changes only."""
        hosts = list(self.remaining)[-MAX_RECENT_CHANGES:]
        for host in hosts:
            self.remaining[host] -= 1
            if not self.remaining[host]:
                self.remaining.pop(host)
        return tuple(hosts)
