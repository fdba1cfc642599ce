"""Index of member records by host, service and bucket."""

from collections.abc import Callable
from typing import Final

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership.records import BUCKETS, bucket_of, record_hash

# Four times the host list of the target size.  The limit keeps a faulty
# peer that invents hosts from filling the memory.
MAX_MEMBERS: Final = 16384


class MemberIndex:
    """Records by host, service and bucket, with cached views.

    Explanation
    ===========

    At the target fleet size, a scan of all members in each round would
    use most of the share of a core that control work may take.  So
    services and buckets are indexed, and views are cached until a record
    changes.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.services: dict[str, dict[str, Member]] = {}
        self.buckets: list[dict[str, Member]] = [{} for _ in range(BUCKETS)]
        self.hashes = [0] * BUCKETS
        self.cached_views: dict[str, tuple[Member, ...]] = {}

    def store(self, member: Member) -> None:
        """Add a record, or replace the one of the same host."""
        self.remove(member.host)
        bucket = bucket_of(member.host)
        self.members[member.host] = member
        self.services.setdefault(member.service, {})[member.host] = member
        self.buckets[bucket][member.host] = member
        self.hashes[bucket] ^= record_hash(member)

    def remove(self, host: str) -> None:
        """Remove the record of a host, if present."""
        self.cached_views.clear()
        held = self.members.pop(host, None)
        if held is None:
            return
        bucket = bucket_of(host)
        self.buckets[bucket].pop(host)
        self.hashes[bucket] ^= record_hash(held)
        service = self.services[held.service]
        service.pop(host)
        if not service:
            self.services.pop(held.service)

    def view(
        self,
        name: str,
        predicate: Callable[[Member], bool],
    ) -> tuple[Member, ...]:
        """Return the members of a view, cached under its name."""
        members = self.cached_views.get(name)
        if members is None:
            members = tuple(filter(predicate, self.members.values()))
            self.cached_views[name] = members
        return members

    def of_service(self, service: str) -> tuple[Member, ...]:
        """Return all members of a service."""
        return tuple(self.services.get(service, {}).values())

    def can_store(self, host: str) -> bool:
        """Tell whether the record of a host can be stored."""
        return host in self.members or len(self.members) < MAX_MEMBERS


def is_reachable(member: Member) -> bool:
    """Tell whether a member is neither suspected nor gone."""
    return member.state < MemberState.SUSPECTED
