"""Member records of one daemon, merged from peers and the host list."""

from collections.abc import Iterable
from typing import Final

import attrs

from tanagerbend_interfaces import Host, HostListing, Member, MemberState
from tanagerbend_membership.comparison import RecentChanges
from tanagerbend_membership.index import MemberIndex, is_reachable
from tanagerbend_membership.readers import READERS_PER_DOMAIN, choose_readers
from tanagerbend_membership.records import find_fault, record_from_listing
from tanagerbend_metrics import Recorder

CLAIM_EXPIRY_SECONDS: Final = 600.0
# Above the changes of single failures and restarts, which are about one a
# minute in a fleet of the target size.
BULK_CHANGE_COUNT: Final = 16


@attrs.frozen
class Change:
    """Replacement of a member record; ``before`` is None for a new one."""

    before: Member | None
    after: Member


class Roster:
    """All members known to a daemon, including itself.

    Parameters
    ==========

    own : Member
        Record of this daemon.
    recorder : Recorder
    readers_per_domain : int
        0 makes every member a reader.

    See Also
    ========

    tanagerbend_membership.detector.Detector
    """

    def __init__(
        self,
        own: Member,
        recorder: Recorder,
        readers_per_domain: int = READERS_PER_DOMAIN,
    ) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.own_host = own.host
        self.readers_per_domain = readers_per_domain
        self.index = MemberIndex()
        self.members = self.index.members
        self.listed: dict[str, Host] = {}
        self.is_list_plausible = False
        self.recent_changes = RecentChanges()
        self.claimed_at: dict[str, float] = {}
        self.is_superseded = False
        self.listeners: list = []
        self._store(own)

    @property
    def own(self) -> Member:
        """Record of this daemon."""
        return self.members[self.own_host]

    @property
    def is_reader(self) -> bool:
        """Whether this daemon is a reader of its failure domain."""
        domain = self.own.failure_domain
        view = self.index.view(
            'domain',
            lambda member: member.failure_domain == domain,
        )
        return self.own_host in choose_readers(
            view, domain, self.readers_per_domain
        )

    def set_own_state(self, state: MemberState) -> Member:
        """Change the state of this daemon and increase its sequence."""
        own = attrs.evolve(
            self.own,
            state=state,
            sequence=self.own.sequence + 1,
        )
        self._replace(own)
        return own

    def merge(self, records: Iterable[Member]) -> tuple[Change, ...]:
        """Store the records that are fresher than the held ones.

        Returns the changes.  A claim about this daemon is refuted;
        invalid records are counted and skipped.  Bulk changes are not
        repeated to other members: they show that this daemon had missed
        what the others know already, as after a restart.
        """
        merged = [self._merge_record(record) for record in records]
        changes = tuple(change for change in merged if change is not None)
        if len(changes) > BULK_CHANGE_COUNT:
            self.recent_changes.drop(*(change.after.host for change in changes))
        return changes

    def _merge_record(self, record: Member) -> Change | None:
        held = self.members.get(record.host)
        if held is not None and record.freshness <= held.freshness:
            return None
        if find_fault(record):
            self.recorder.count('records_refused', 'invalid')
        elif record.host == self.own_host:
            self._refute(record)
        elif self._admit(record, held):
            self._replace(record)
            return Change(held, record)
        return None

    def _admit(self, record: Member, held: Member | None) -> bool:
        if held is None and record.state is MemberState.GONE:
            return False
        if self.index.can_store(record.host):
            return True
        for host in self.claimed_at:
            if self.members[host].state is MemberState.GONE:
                self._forget(host)
                return True
        self.recorder.count('records_refused', 'roster_full')
        return False

    def _refute(self, record: Member) -> None:
        own = self.own
        has_higher_incarnation = record.incarnation > own.incarnation
        # No other process can listen on the address of this one.
        has_address = record.peer_address == own.peer_address
        if has_higher_incarnation and not (
            has_address or record.is_suspected_or_gone
        ):
            self._drain_superseded(record)
            return
        # A higher incarnation comes from an earlier process of this host
        # whose clock was ahead, or from a process claimed to be dead.
        incarnation = record.incarnation + has_higher_incarnation
        sequence = max(own.sequence, record.sequence) + 1
        state = MemberState.LIVE if self.is_superseded else own.state
        self.is_superseded = False
        self._replace(
            attrs.evolve(
                own,
                incarnation=incarnation,
                sequence=sequence,
                state=state,
            ),
        )
        self.recorder.record_event('claim_refuted', own.host, record.state.name)

    def _drain_superseded(self, record: Member) -> None:
        if self.is_superseded:
            return
        # Two processes use one host name.  The younger one keeps it, and
        # this one drains.
        if self.own.state is MemberState.LIVE:
            self.is_superseded = True
            self.set_own_state(MemberState.DRAINING)
        self.recorder.record_event(
            'own_host_taken_over',
            self.own_host,
            record.peer_address,
        )

    def suspect(self, host: str) -> Member | None:
        """Claim that a member is unreachable; return the claim if new.

        A draining member that no longer answers is held as gone.
        """
        held = self.members.get(host)
        if held is None or host == self.own_host or held.is_suspected_or_gone:
            return None
        state = MemberState.SUSPECTED
        if held.state is MemberState.DRAINING:
            state = MemberState.GONE
        claim = attrs.evolve(held, state=state)
        self._replace(claim)
        self.recorder.record_event('member_suspected', host, state.name)
        return claim

    def observe_host_list(self, listing: HostListing) -> None:
        """Add unknown hosts of a host list and record which are listed.

        Explanation
        ===========

        A host that is no longer listed stays a member until it is also
        suspected, because the list lags and can be wrong.  A list without
        most of the known members removes no member at all.
        """
        hosts = [host for host in listing.hosts if not find_fault(host)]
        faulty = len(listing.hosts) - len(hosts)
        if faulty:
            self.recorder.count('hosts_refused', 'invalid', faulty)
        self.listed = {host.host: host for host in hosts}
        for host in hosts:
            self._observe_host(host)
        known = self.known()
        missing = sum(member.host not in self.listed for member in known)
        self.is_list_plausible = 2 * missing <= len(known) and bool(hosts)

    def _observe_host(self, host: Host) -> None:
        held = self.members.get(host.host)
        if held is not None and (held.incarnation or held.is_suspected_or_gone):
            return
        listed = record_from_listing(host)
        if held != listed and self.index.can_store(host.host):
            self._replace(listed)
            # Every daemon reads the list, so placeholders are not sent.
            self.recent_changes.drop(host.host)

    def expire(self) -> None:
        """Mark members suspected for long as gone; forget unlisted gone ones.

        A suspected member that is not listed is marked as gone at once.
        """
        now = self.timer.now()
        for host, since in list(self.claimed_at.items()):
            member = self.members[host]
            is_unlisted = self.is_list_plausible and host not in self.listed
            is_due = now - since > CLAIM_EXPIRY_SECONDS
            if member.state is MemberState.SUSPECTED:
                if is_unlisted or is_due:
                    self._replace(attrs.evolve(member, state=MemberState.GONE))
                    self.recorder.record_event('member_gone', host)
            elif is_unlisted and is_due and host != self.own_host:
                self._forget(host)

    def _forget(self, host: str) -> None:
        self.index.remove(host)
        self.claimed_at.pop(host, None)
        self.recent_changes.drop(host)

    def _replace(self, member: Member) -> None:
        self._store(member)
        for listener in self.listeners:
            listener(member)

    def _store(self, member: Member) -> None:
        held = self.members.get(member.host)
        self.index.store(member)
        self.recent_changes.add(member.host)
        if not member.is_suspected_or_gone:
            self.claimed_at.pop(member.host, None)
        elif held is None or held.state is not member.state:
            self.claimed_at[member.host] = self.timer.now()

    def known(self) -> tuple[Member, ...]:
        """Return all other members, including gone ones."""
        return self.index.view(
            'known',
            lambda member: member.host != self.own_host,
        )

    def others(self) -> tuple[Member, ...]:
        """Return all other members that are not gone."""
        return self.index.view(
            'others',
            lambda member: (
                member.state is not MemberState.GONE
                and member.host != self.own_host
            ),
        )

    def reachable(self) -> tuple[Member, ...]:
        """Return other members that are neither suspected nor gone."""
        return self.index.view(
            'reachable',
            lambda member: (
                is_reachable(member) and member.host != self.own_host
            ),
        )

    def instances(self, service: str) -> tuple[Member, ...]:
        """Return the members of a service that may serve calls.

        Explanation
        ===========

        Live members are returned if they are at least half of the live
        and suspected ones.  Otherwise the network of this daemon is a more
        likely cause than the members, and the suspected ones follow the
        live ones, so that no partition can empty a route.  Gone members
        are returned only if there are no others.
        """
        by_state: dict[MemberState, list[Member]] = {}
        for member in self.index.of_service(service):
            by_state.setdefault(member.state, []).append(member)
        live = by_state.get(MemberState.LIVE, [])
        suspected = by_state.get(MemberState.SUSPECTED, [])
        if len(live) < len(suspected) or not live:
            live.extend(suspected)
        return tuple(live or by_state.get(MemberState.GONE, ()))
