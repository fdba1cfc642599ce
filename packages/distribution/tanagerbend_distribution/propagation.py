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
    lacking,
    weight,
)
from tanagerbend_membership.records import BUCKETS
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, Version

FANOUT: Final = 4
RING: Final = 'ring'
ANNOUNCE_TIMEOUT_SECONDS: Final = 2.0
SYNC_TIMEOUT_SECONDS: Final = 2.0
OWN_DOMAIN_SHARE: Final = 0.5
# Share of syncs with seeds and members held as suspected or gone, which
# joins the two sides again after a long partition.
REPAIR_SHARE: Final = 0.05


class Propagation:
    """Passes versions and member records on to other daemons.

    Explanation
    ===========

    A daemon that adopts a version announces it to a few random members
    of its failure domain; a reader also announces it to one member of
    each other domain.  Members that lack it fetch the value from the
    daemon that announced it.  Random announcements miss a few members;
    the periodic ``sync_round`` repairs these and all other losses.

    Parameters
    ==========

    store : VersionStore
    roster : Roster
    transport : PeerTransport
    random : Randomness
    recorder : Recorder
    seeds : tuple of str
        ``address:port`` of daemons that may be up.

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
        self.last_heard: float | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        store.listeners.append(self.adopted)

    @property
    def version(self) -> Version | None:
        """Version in force, if any."""
        current = self.store.current
        return None if current is None else current.version

    @property
    def is_provisional(self) -> bool:
        """Whether no peer that serves has been heard since the start."""
        return self.last_heard is None

    def adopted(self, in_force: InForce) -> None:
        """Announce a version that was adopted from any source."""
        self._spawn(self.announce(in_force.version))

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def announce(self, version: Version) -> None:
        """Announce a version to the chosen members."""
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
        """Return members of the own domain, one of them the next in the
        ring and the others random, and for a reader one of each other
        domain.
        """
        if not self.roster.readers_per_domain:
            return []
        near = self._near()
        targets = self.random.sample(near, min(FANOUT, len(near)))
        if len(near) > FANOUT:
            targets[0] = self._next_in_ring(near)
        if self.roster.is_reader:
            domains: dict[str, list[Member]] = {}
            for member in self.roster.reachable():
                domains.setdefault(member.failure_domain, []).append(member)
            domains.pop(self.roster.own.failure_domain, None)
            targets.extend(map(self.random.choice, domains.values()))
        return targets

    def _next_in_ring(self, near: tuple[Member, ...]) -> Member:
        # Of 4 random targets alone, each adoption misses 2% of the domain,
        # which a sync repairs a second later.  If every member announces
        # to its successor too, nobody alive is left out.
        own = weight(self.roster.own_host, RING)
        later = [one for one in near if weight(one.host, RING) > own]
        return min(later or near, key=lambda one: weight(one.host, RING))

    def _near(self) -> tuple[Member, ...]:
        own_domain = self.roster.own.failure_domain
        return self.roster.index.view(
            'near',
            lambda member: (
                member.failure_domain == own_domain
                and not member.is_claimed
                and member.host != self.roster.own_host
            ),
        )

    def answer_announce(self, sender: str, announce: Announce) -> Ack:
        """Start to fetch an announced version that is newer."""
        self.notice_version(announce.version)
        member = self.roster.members.get(sender)
        if member is None:
            return Ack()
        wanted = self.fetcher.offer(member.peer_address, announce.version)
        return Ack(wanted)

    def notice_version(self, version: Version | None) -> None:
        """Report a version that conflicts with the one in force."""
        own = self.version
        if own is not None and version is not None:
            if version.conflicts_with(own):
                self.store.report_conflict(version)

    def answer_sync(self, sync: Sync) -> Sync:
        """Merge a peer's records and return what it lacks."""
        self.roster.merge(sync.members)
        self.notice_version(sync.version)
        start = int(self.random.uniform(0, BUCKETS))
        found = compare(self.roster.index, sync.buckets, start)
        return Sync(self.version, found.covered, found.members)

    async def sync_round(self) -> None:
        """Sync with one random member."""
        peers = self._sync_candidates()
        if peers:
            await self.sync_with(self.random.choice(peers))

    def _sync_candidates(self) -> list[str]:
        members = self.roster.reachable()
        if not members or self.random.random() < REPAIR_SHARE:
            claimed = [
                member for member in self.roster.known() if member.is_claimed
            ]
            own = self.roster.own.peer_address
            peers = {member.peer_address for member in claimed}
            repair = sorted(peers.union(self.seeds) - {own})
            if repair:
                return repair
        near = self._near()
        if near and self.random.random() < OWN_DOMAIN_SHARE:
            members = near
        return [member.peer_address for member in members]

    async def sync_with(
        self,
        peer: str,
        timeout: float = SYNC_TIMEOUT_SECONDS,
    ) -> Version | Refusal | None:
        """Exchange records and versions with one peer.

        Returns the peer's version, or None if it has none in force;
        ``timeout`` in seconds is that of the first exchange.
        """
        own = self.roster.own
        recent = dict.fromkeys((own.host, *self.roster.recent.take()))
        request = Sync(
            self.version,
            tuple(self.roster.index.hashes),
            tuple(self.roster.members[host] for host in recent),
        )
        answer = await self.transport.request(peer, request, timeout)
        match answer:
            case Sync():
                await self._take_sync(peer, answer)
                return answer.version
            case Refusal():
                return answer
        return None

    async def _take_sync(self, peer: str, answer: Sync) -> None:
        if answer.version is not None:
            self.last_heard = self.recorder.timer.now()
        self.notice_version(answer.version)
        self.roster.merge(answer.members)
        records = lacking(
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
            await self.fetcher.obtain(peer, answer.version)
        elif self._is_ahead_of(answer.version):
            await self._announce_to(peer, self.version)

    def _is_ahead_of(self, version: Version | None) -> bool:
        if self.version is None:
            return False
        return version is None or self.version.is_newer_than(version)

    def answer(self, sender: str, message: Message) -> Message | None:
        """Answer the messages of this package; None for others."""
        match message:
            case Sync():
                return self.answer_sync(message)
            case Announce():
                return self.answer_announce(sender, message)
            case Fetch():
                return answer_fetch(self.store, message)
        return None

    async def close(self) -> None:
        """Cancel announcements and fetches under way."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.fetcher.close()
