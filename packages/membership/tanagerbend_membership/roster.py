"""Member records of one daemon, merged from peers and the host list."""

from collections.abc import Iterable
from typing import Final

import attrs

from tanagerbend_interfaces import Host, HostListing, Member, MemberState
from tanagerbend_membership.comparison import Recent
from tanagerbend_membership.index import MemberIndex, is_in_use
from tanagerbend_membership.readers import READERS_PER_DOMAIN, readers
from tanagerbend_membership.records import fault_of, placeholder
from tanagerbend_metrics import Recorder

GONE_SECONDS: Final = 600.0
# Ordinary failures and restarts change a record about once a minute in a
# fleet of the target size.
BULK_CHANGES: Final = 16


@attrs.frozen
class Change:
    """A member record replaced another one; ``before`` is None if new."""

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
        self.recent = Recent()
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
        """Whether this daemon reads the service for its failure domain."""
        domain = self.own.failure_domain
        view = self.index.view(
            'domain',
            lambda member: member.failure_domain == domain,
        )
        return self.own_host in readers(view, domain, self.readers_per_domain)

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

        Returns the changes.  A claim about this daemon is refuted;
        records that are not valid are counted and passed over.  Changes
        that come in bulk are not repeated to other members: they show
        that this daemon lacked what the others know, as after a restart.
        """
        taken = [self._take(record) for record in records]
        changes = tuple(change for change in taken if change is not None)
        if len(changes) > BULK_CHANGES:
            self.recent.drop(*(change.after.host for change in changes))
        return changes

    def _take(self, record: Member) -> Change | None:
        held = self.members.get(record.host)
        if held is not None and record.freshness <= held.freshness:
            return None
        if fault_of(record):
            self.recorder.count('records_refused', 'invalid')
        elif record.host == self.own_host:
            self._refute(record)
        elif self._is_welcome(record, held):
            self._replace(record)
            return Change(held, record)
        return None

    def _is_welcome(self, record: Member, held: Member | None) -> bool:
        if held is None and record.state is MemberState.GONE:
            return False
        if self.index.has_room(record.host):
            return True
        for host in self.claimed_at:
            if self.members[host].state is MemberState.GONE:
                self._forget(host)
                return True
        self.recorder.count('records_refused', 'roster_full')
        return False

    def _refute(self, record: Member) -> None:
        own = self.own
        is_older = record.incarnation > own.incarnation
        # No other process can listen on the address that this one holds.
        has_address = record.peer_address == own.peer_address
        if is_older and not (has_address or record.is_claimed):
            self._yield_to(record)
            return
        # An incarnation above the own one is left from an earlier process
        # of this host whose clock was ahead, or is claimed to be dead.
        incarnation = record.incarnation + is_older
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
        self.recorder.note('claim_refuted', own.host, record.state.name)

    def _yield_to(self, record: Member) -> None:
        if self.is_superseded:
            return
        # Two processes claim one host; the younger one is right, and this
        # one takes no new work.
        if self.own.state is MemberState.LIVE:
            self.is_superseded = True
            self.set_own_state(MemberState.DRAINING)
        self.recorder.note(
            'own_host_taken_over',
            self.own_host,
            record.peer_address,
        )

    def suspect(self, host: str) -> Member | None:
        """Claim that a member is unreachable; return the claim if new.

        A draining member that stops to answer has left.
        """
        held = self.members.get(host)
        if held is None or host == self.own_host or held.is_claimed:
            return None
        state = MemberState.SUSPECTED
        if held.state is MemberState.DRAINING:
            state = MemberState.GONE
        claim = attrs.evolve(held, state=state)
        self._replace(claim)
        self.recorder.note('member_suspected', host, state.name)
        return claim

    def observe_host_list(self, listing: HostListing) -> None:
        """Add listed hosts that are unknown; remember what is listed.

        Explanation
        ===========

        A host that the list dropped stays a member until it is also
        suspected, because the list lags and can be wrong.  A list that
        lacks most of the known members takes no member away at all.
        """
        hosts = [host for host in listing.hosts if not fault_of(host)]
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
        if held is not None and (held.incarnation or held.is_claimed):
            return
        listed = placeholder(host)
        if held != listed and self.index.has_room(host.host):
            self._replace(listed)
            # Every daemon reads the list, so placeholders do not spread.
            self.recent.drop(host.host)

    def expire(self) -> None:
        """Turn members suspected for long, and unlisted ones, to gone."""
        now = self.timer.now()
        for host, since in list(self.claimed_at.items()):
            member = self.members[host]
            is_unlisted = self.is_list_plausible and host not in self.listed
            is_due = now - since > GONE_SECONDS
            if member.state is MemberState.SUSPECTED:
                if is_unlisted or is_due:
                    self._replace(attrs.evolve(member, state=MemberState.GONE))
                    self.recorder.note('member_gone', host)
            elif is_unlisted and is_due and host != self.own_host:
                self._forget(host)

    def _forget(self, host: str) -> None:
        self.index.remove(host)
        self.claimed_at.pop(host, None)
        self.recent.drop(host)

    def _replace(self, member: Member) -> None:
        self._store(member)
        for listener in self.listeners:
            listener(member)

    def _store(self, member: Member) -> None:
        held = self.members.get(member.host)
        self.index.store(member)
        self.recent.add(member.host)
        if not member.is_claimed:
            self.claimed_at.pop(member.host, None)
        elif held is None or held.state is not member.state:
            self.claimed_at[member.host] = self.timer.now()

    def known(self) -> tuple[Member, ...]:
        """Return all other members, also those that are gone."""
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
        """Return other members worth a message: not suspected, not gone."""
        return self.index.view(
            'reachable',
            lambda member: is_in_use(member) and member.host != self.own_host,
        )

    def instances(self, service: str) -> tuple[Member, ...]:
        """Return the members that may serve, the best known state first.

        Explanation
        ===========

        Live members are returned if they are at least half of those
        not leaving.  Otherwise suspicion is more likely a fault of this
        daemon's network than of the members, and the suspected ones are
        returned as well, so that no partition can empty a route.  Gone
        members are the last resort.
        """
        by_state: dict[MemberState, list[Member]] = {}
        for member in self.index.of_service(service):
            by_state.setdefault(member.state, []).append(member)
        live = by_state.get(MemberState.LIVE, [])
        suspected = by_state.get(MemberState.SUSPECTED, [])
        if len(live) < len(suspected) or not live:
            live.extend(suspected)
        return tuple(live or by_state.get(MemberState.GONE, ()))
