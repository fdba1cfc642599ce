"""Propagation of versions between daemons: announce, fetch, sync."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from tanagerbend_distribution.fetching import Fetcher
from tanagerbend_distribution.store import InForce, VersionStore
from tanagerbend_distribution.transfer import answer_fetch
from tanagerbend_interfaces import (
    Ack,
    Announce,
    Fetch,
    Member,
    Message,
    PeerTransport,
    Randomness,
    Sync,
    Update,
)
from tanagerbend_membership import (
    Comparison,
    Roster,
    compare,
    missing_at_peer,
    rendezvous_weight,
)
from tanagerbend_membership.records import BUCKETS
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, Version

FANOUT: Final = 4
RING_PURPOSE: Final = 'ring'
ANNOUNCE_TIMEOUT_SECONDS: Final = 2.0
SYNC_TIMEOUT_SECONDS: Final = 2.0
OWN_DOMAIN_SYNC_SHARE: Final = 0.5
# Share of syncs that go to seeds and to members held as suspected or gone.
# They merge the two sides again after a long partition.
REPAIR_SYNC_SHARE: Final = 0.05


class Propagation:
    """Propagates versions and member records to other daemons.

    Explanation
    ===========

    A daemon that adopts a version announces it to a few random members
    of its failure domain and to its successor in a ring; a reader also
    announces it to one member of each other domain.  Members that do not
    hold the version fetch it from the daemon that announced it.  The
    periodic ``sync_round`` makes up for lost announcements and updates.

    Parameters
    ==========

    store : VersionStore
    roster : Roster
    transport : PeerTransport
    random : Randomness
    recorder : Recorder
    seeds : tuple of str
        ``address:port`` of daemons that may be running.

    References
    ==========

    A. Demers et al., Epidemic algorithms for replicated database
    maintenance, PODC 1987.
    """

    def __init__(
        self,
        store: VersionStore,
        roster: Roster,
        transport: PeerTransport,
        random: Randomness,
        recorder: Recorder,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.store = store
        self.roster = roster
        self.transport = transport
        self.random = random
        self.recorder = recorder
        self.seeds = seeds
        self.fetcher = Fetcher(store, transport, recorder)
        self.last_answer_at: float | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        store.listeners.append(self.announce_adopted)

    @property
    def version(self) -> Version | None:
        """Version in force, if any."""
        current = self.store.current
        return None if current is None else current.version

    @property
    def is_provisional(self) -> bool:
        """Whether no serving peer has answered since the start."""
        return self.last_answer_at is None

    def announce_adopted(self, in_force: InForce) -> None:
        """Announce an adopted version, whatever its source."""
        self._spawn(self.announce(in_force.version))

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def announce(self, version: Version) -> None:
        """Announce a version to the members of ``announce_targets``."""
        await asyncio.gather(
            *(
                self._announce_to(member.peer_address, version)
                for member in self.announce_targets()
            ),
        )

    async def _announce_to(self, peer: str, version: Version) -> None:
        await self.transport.request(
            peer,
            Announce(version),
            ANNOUNCE_TIMEOUT_SECONDS,
        )

    def announce_targets(self) -> list[Member]:
        """Return the members to announce a version to.

        These are random members of the same failure domain and the next
        one in its ring, and for a reader one member of each other domain.
        """
        if not self.roster.readers_per_domain:
            return []
        domain_members = self._own_domain_members()
        targets = self.random.sample(
            domain_members, min(FANOUT, len(domain_members))
        )
        if len(domain_members) > FANOUT:
            targets[0] = self._next_in_ring(domain_members)
        if self.roster.is_reader:
            domains: dict[str, list[Member]] = {}
            for member in self.roster.reachable():
                domains.setdefault(member.failure_domain, []).append(member)
            domains.pop(self.roster.own.failure_domain, None)
            targets.extend(map(self.random.choice, domains.values()))
        return targets

    def _next_in_ring(self, domain_members: tuple[Member, ...]) -> Member:
        # With 4 random targets alone, each version would miss 2% of the
        # domain until a sync about a second later.  As every member also
        # announces to its successor, each live member is reached.
        own = rendezvous_weight(self.roster.own_host, RING_PURPOSE)
        successors = [
            member
            for member in domain_members
            if rendezvous_weight(member.host, RING_PURPOSE) > own
        ]
        return min(
            successors or domain_members,
            key=lambda member: rendezvous_weight(member.host, RING_PURPOSE),
        )

    def _own_domain_members(self) -> tuple[Member, ...]:
        own_domain = self.roster.own.failure_domain
        return self.roster.index.view(
            'near',
            lambda member: (
                member.failure_domain == own_domain
                and not member.is_suspected_or_gone
                and member.host != self.roster.own_host
            ),
        )

    def answer_announce(self, sender: str, announce: Announce) -> Ack:
        """Start to fetch an announced version if it is newer."""
        self.check_conflict(announce.version)
        member = self.roster.members.get(sender)
        if member is None:
            return Ack()
        wanted = self.fetcher.offer(member.peer_address, announce.version)
        return Ack(wanted)

    def check_conflict(self, version: Version | None) -> None:
        """Report a version that conflicts with the one in force."""
        own = self.version
        if own is not None and version is not None:
            if version.conflicts_with(own):
                self.store.report_conflict(version)

    def answer_sync(self, sync: Sync) -> Sync:
        """Merge the records of a peer and answer its sync.

        The answer holds the version in force and the records of this
        daemon in buckets that differ.
        """
        self.roster.merge(sync.members)
        self.check_conflict(sync.version)
        start = int(self.random.uniform(0, BUCKETS))
        comparison = compare(self.roster.index, sync.buckets, start)
        return Sync(self.version, comparison.covered, comparison.members)

    async def sync_round(self) -> None:
        """Sync with one random member."""
        peers = self._sync_candidates()
        if peers:
            await self.sync_with(self.random.choice(peers))

    def _sync_candidates(self) -> list[str]:
        members = self.roster.reachable()
        if not members or self.random.random() < REPAIR_SYNC_SHARE:
            claimed_members = [
                member
                for member in self.roster.known()
                if member.is_suspected_or_gone
            ]
            own = self.roster.own.peer_address
            peers = {member.peer_address for member in claimed_members}
            repair_peers = sorted(peers.union(self.seeds) - {own})
            if repair_peers:
                return repair_peers
        domain_members = self._own_domain_members()
        if domain_members and self.random.random() < OWN_DOMAIN_SYNC_SHARE:
            members = domain_members
        return [member.peer_address for member in members]

    async def sync_with(
        self,
        peer: str,
        timeout: float = SYNC_TIMEOUT_SECONDS,
    ) -> Version | Refusal | None:
        """Exchange records and versions with one peer.

        Returns the version of the peer, or None if it has none in force.
        ``timeout`` is in seconds and holds for the first request only.
        """
        own = self.roster.own
        recent = dict.fromkeys((own.host, *self.roster.recent_changes.take()))
        request = Sync(
            self.version,
            tuple(self.roster.index.hashes),
            tuple(self.roster.members[host] for host in recent),
        )
        answer = await self.transport.request(peer, request, timeout)
        match answer:
            case Sync():
                await self._apply_sync(peer, answer)
                return answer.version
            case Refusal():
                return answer
        return None

    async def _apply_sync(self, peer: str, answer: Sync) -> None:
        if answer.version is not None:
            self.last_answer_at = self.recorder.timer.now()
        self.check_conflict(answer.version)
        self.roster.merge(answer.members)
        records = missing_at_peer(
            self.roster.index,
            Comparison(answer.buckets, answer.members),
        )
        if records:
            await self.transport.request(
                peer,
                Update(records),
                SYNC_TIMEOUT_SECONDS,
            )
        if self.fetcher.is_wanted(answer.version):
            await self.fetcher.fetch_and_wait(peer, answer.version)
        elif self._is_ahead_of(answer.version):
            await self._announce_to(peer, self.version)

    def _is_ahead_of(self, version: Version | None) -> bool:
        if self.version is None:
            return False
        return version is None or self.version.is_newer_than(version)

    def answer(self, sender: str, message: Message) -> Message | None:
        """Answer a message of this package; return None for others."""
        match message:
            case Sync():
                return self.answer_sync(message)
            case Announce():
                return self.answer_announce(sender, message)
            case Fetch():
                return answer_fetch(self.store, message)
        return None

    async def close(self) -> None:
        """Cancel the announcements and the fetch that are running."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.fetcher.close()
