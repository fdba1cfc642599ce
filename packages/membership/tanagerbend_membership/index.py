"""Member records with the indexes and views that each round needs."""

from collections.abc import Callable
from typing import Final

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership.records import BUCKETS, bucket_of, record_hash

# The host list of the target size times four; a faulty peer that invents
# hosts cannot fill the memory.
MAX_MEMBERS: Final = 16384


class MemberIndex:
    """Records by host, by service and by bucket.

    Explanation
    ===========

    At the target size a scan of all members in each round would take most
    of the control work's share of a core.  So services and buckets are
    indexed, and lists of members are kept until a record changes.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.services: dict[str, dict[str, Member]] = {}
        self.buckets: list[dict[str, Member]] = [{} for _ in range(BUCKETS)]
        self.hashes = [0] * BUCKETS
        self.views: dict[str, tuple[Member, ...]] = {}

    def store(self, member: Member) -> None:
        """Put a record in the place of the one of the same host."""
        self.remove(member.host)
        bucket = bucket_of(member.host)
        self.members[member.host] = member
        self.services.setdefault(member.service, {})[member.host] = member
        self.buckets[bucket][member.host] = member
        self.hashes[bucket] ^= record_hash(member)

    def remove(self, host: str) -> None:
        """Remove the record of a host, if there is one."""
        self.views.clear()
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
        is_in: Callable[[Member], bool],
    ) -> tuple[Member, ...]:
        """Return the members of a named view, kept until a change."""
        found = self.views.get(name)
        if found is None:
            found = tuple(filter(is_in, self.members.values()))
            self.views[name] = found
        return found

    def of_service(self, service: str) -> tuple[Member, ...]:
        """Return all members of a service."""
        return tuple(self.services.get(service, {}).values())

    def has_room(self, host: str) -> bool:
        """Tell whether the record of a host can be stored."""
        return host in self.members or len(self.members) < MAX_MEMBERS


def is_in_use(member: Member) -> bool:
    """Tell whether a member is worth a message."""
    return member.state < MemberState.SUSPECTED
