"""Member records of one daemon, merged from peers and the host list."""

import zlib
from collections.abc import Iterable
from typing import Final

import attrs

from tanagerbend_interfaces import Host, HostListing, Member, MemberState
from tanagerbend_metrics import Recorder

BUCKETS: Final = 64
# A record is repeated in this many exchanges, a little over the logarithm
# of the target fleet size, and then left to the bucket comparison.
REPEATS: Final = 8
MAX_RECENT: Final = 64
MAX_REPLY_MEMBERS: Final = 256
GONE_SECONDS: Final = 600.0


@attrs.frozen
class Change:
    """A member record replaced another one; ``before`` is None if new."""

    before: Member | None
    after: Member


def bucket_of(host: str) -> int:
    """Return the bucket of a host for comparison between daemons."""
    return zlib.crc32(host.encode()) % BUCKETS


def record_hash(member: Member) -> int:
    """Return a 32-bit hash of what may change in a record."""
    text = f'{member.host}/{member.freshness}/{int(member.state)}'
    return zlib.crc32(text.encode())


class Roster:
    """All members known to a daemon, including itself.

    Parameters
    ==========

    own : Member
        Record of this daemon.
    recorder : Recorder

    See Also
    ========

    tanagerbend_membership.detector.Detector
    """

    def __init__(self, own: Member, recorder: Recorder) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.own_host = own.host
        self.members: dict[str, Member] = {}
        self.listed: dict[str, Host] = {}
        self.has_listing = False
        self.hashes = [0] * BUCKETS
        self.recent: dict[str, int] = {}
        self.suspected_since: dict[str, float] = {}
        self.listeners: list = []
        self._store(own)

    @property
    def own(self) -> Member:
        """Record of this daemon."""
        return self.members[self.own_host]

    def set_own_state(self, state: MemberState) -> Member:
        """Change the own state under a higher sequence."""
        own = attrs.evolve(
            self.own,
            state=state,
            sequence=self.own.sequence + 1,
        )
        self._replace(own)
        return own

    def merge(self, records: Iterable[Member]) -> tuple[Change, ...]:
        """Take the records that are fresher than the ones held.

        Returns the changes.  A claim about this daemon is refuted.
        """
        changes = []
        for record in records:
            if record.host == self.own_host:
                self._refute(record)
                continue
            held = self.members.get(record.host)
            if held is None or record.freshness > held.freshness:
                if self._is_forgotten(record, held):
                    continue
                self._replace(record)
                changes.append(Change(held, record))
        return tuple(changes)

    def _is_forgotten(self, record: Member, held: Member | None) -> bool:
        return held is None and record.state is MemberState.GONE

    def _refute(self, record: Member) -> None:
        own = self.own
        if record.incarnation > own.incarnation:
            # Two processes claim one host; the younger one is right.
            self.recorder.count('own_host_taken_over')
            return
        if record.freshness > own.freshness:
            sequence = max(own.sequence, record.sequence) + 1
            self._replace(attrs.evolve(own, sequence=sequence))
            self.recorder.note('claim_refuted', own.host, record.state.name)

    def suspect(self, host: str) -> Member | None:
        """Claim that a member is unreachable; return the claim if new."""
        held = self.members.get(host)
        if held is None or host == self.own_host or held.is_claimed:
            return None
        claim = attrs.evolve(held, state=MemberState.SUSPECTED)
        self._replace(claim)
        self.recorder.note('member_suspected', host)
        return claim

    def observe_host_list(self, listing: HostListing) -> None:
        """Add listed hosts that are unknown; remember what is listed.

        Explanation
        ===========

        A host that the list dropped stays a member until it is also
        suspected, because the list lags and can be wrong.
        """
        self.has_listing = True
        self.listed = {host.host: host for host in listing.hosts}
        for host in listing.hosts:
            if host.host not in self.members:
                self._replace(placeholder(host))

    def expire(self) -> None:
        """Turn members suspected for long, and unlisted ones, to gone."""
        now = self.timer.now()
        for host, since in list(self.suspected_since.items()):
            unlisted = self.has_listing and host not in self.listed
            if unlisted or now - since > GONE_SECONDS:
                self._expire_member(host, now - since)

    def _expire_member(self, host: str, age: float) -> None:
        member = self.members[host]
        if member.state is MemberState.SUSPECTED:
            self._replace(attrs.evolve(member, state=MemberState.GONE))
            self.recorder.note('member_gone', host)
        elif age > 2 * GONE_SECONDS:
            self._forget(member)

    def _forget(self, member: Member) -> None:
        self.members.pop(member.host)
        self.hashes[bucket_of(member.host)] ^= record_hash(member)
        self.suspected_since.pop(member.host, None)
        self.recent.pop(member.host, None)

    def _replace(self, member: Member) -> None:
        self._store(member)
        for listener in self.listeners:
            listener(member)

    def _store(self, member: Member) -> None:
        bucket = bucket_of(member.host)
        held = self.members.get(member.host)
        if held is not None:
            self.hashes[bucket] ^= record_hash(held)
        self.hashes[bucket] ^= record_hash(member)
        self.members[member.host] = member
        self.recent.pop(member.host, None)
        self.recent[member.host] = REPEATS
        if member.is_claimed:
            self.suspected_since.setdefault(member.host, self.timer.now())
        else:
            self.suspected_since.pop(member.host, None)

    def take_recent(self) -> tuple[Member, ...]:
        """Return recently changed records and count their repetition."""
        hosts = list(self.recent)[-MAX_RECENT:]
        for host in hosts:
            self.recent[host] -= 1
            if not self.recent[host]:
                self.recent.pop(host)
        return tuple(self.members[host] for host in hosts)

    def differing(self, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        """Return own records of buckets whose hashes differ.

        At most ``MAX_REPLY_MEMBERS``; the next exchange continues.
        """
        if len(buckets) != BUCKETS:
            return ()
        different = {
            index
            for index, theirs in enumerate(buckets)
            if theirs != self.hashes[index]
        }
        found = [
            member
            for member in self.members.values()
            if bucket_of(member.host) in different
        ]
        return tuple(found[:MAX_REPLY_MEMBERS])

    def fresher_than(self, records: Iterable[Member]) -> tuple[Member, ...]:
        """Return own records that are fresher than the given ones."""
        return tuple(
            self.members[record.host]
            for record in records
            if record.host in self.members
            and self.members[record.host].freshness > record.freshness
        )

    def others(self) -> tuple[Member, ...]:
        """Return all other members that are not gone."""
        return tuple(
            member
            for member in self.members.values()
            if member.host != self.own_host
            and member.state is not MemberState.GONE
        )

    def reachable(self) -> tuple[Member, ...]:
        """Return other members worth a message: not suspected, not gone."""
        return tuple(
            member for member in self.others() if not member.is_claimed
        )

    def instances(self, service: str) -> tuple[Member, ...]:
        """Return the members that may serve, the best known state first.

        Explanation
        ===========

        Live members are returned if they are at least half of those
        not leaving.  Otherwise suspicion is more likely a fault of this
        daemon's network than of the members, and the suspected ones are
        returned as well, so that no partition can empty a route.
        """
        live, suspected = [], []
        for member in self.members.values():
            if member.service != service or self._is_leaving(member):
                continue
            if member.state is MemberState.LIVE:
                live.append(member)
            elif member.state is MemberState.SUSPECTED:
                suspected.append(member)
        if len(live) < len(suspected) or not live:
            return tuple(live + suspected)
        return tuple(live)

    def _is_leaving(self, member: Member) -> bool:
        listed = self.listed.get(member.host)
        # A live record of the daemon itself is newer than the lagging list
        # only if it has restarted since; placeholders follow the list.
        return member.incarnation == 0 and listed is not None and listed.leaving


def placeholder(host: Host) -> Member:
    """Return the record of a host known from the host list alone."""
    state = MemberState.DRAINING if host.leaving else MemberState.LIVE
    return Member(
        host=host.host,
        service=host.service,
        failure_domain=host.failure_domain,
        region=host.region,
        incarnation=0,
        sequence=0,
        state=state,
        call_address=host.call_address,
        peer_address=host.peer_address,
    )
