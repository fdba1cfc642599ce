"""Propagation of versions between daemons: announce, fetch, sync."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from tanagerbend_distribution.store import Adopted, InForce, VersionStore
from tanagerbend_distribution.transfer import answer_fetch, unpack
from tanagerbend_interfaces import (
    Ack,
    Announce,
    Content,
    Fetch,
    Member,
    Message,
    PeerTransport,
    Randomness,
    Sync,
    Update,
)
from tanagerbend_membership import Roster, readers
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, Version

FANOUT: Final = 4
ANNOUNCE_TIMEOUT_SECONDS: Final = 2.0
FETCH_TIMEOUT_SECONDS: Final = 5.0
SYNC_TIMEOUT_SECONDS: Final = 2.0
OWN_DOMAIN_SHARE: Final = 0.5


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
    ) -> None:
        self.store = store
        self.roster = roster
        self.transport = transport
        self.random = random
        self.recorder = recorder
        self.fetching: Version | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        store.listeners.append(self.adopted)

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
                self.transport.request(
                    member.peer_address,
                    Announce(version),
                    ANNOUNCE_TIMEOUT_SECONDS,
                )
                for member in self.announce_targets()
            ),
        )

    def announce_targets(self) -> list[Member]:
        """Return random members of the own domain and, for a reader,
        one of each other domain.
        """
        domains: dict[str, list[Member]] = {}
        for member in self.roster.reachable():
            domains.setdefault(member.failure_domain, []).append(member)
        own = self.roster.own
        near = domains.pop(own.failure_domain, [])
        targets = self.random.sample(near, min(FANOUT, len(near)))
        if own.host in readers(
            self.roster.members.values(),
            own.failure_domain,
        ):
            targets.extend(
                self.random.choice(members) for members in domains.values()
            )
        return targets

    def is_newer(self, version: Version | None) -> bool:
        """Tell whether a version is newer than the one in force."""
        if version is None:
            return False
        current = self.store.current
        return current is None or version.is_newer_than(current.version)

    def answer_announce(self, sender: str, announce: Announce) -> Ack:
        """Start to fetch an announced version that is newer."""
        member = self.roster.members.get(sender)
        wanted = self.is_newer(announce.version) and member is not None
        if wanted and not self._is_being_fetched(announce.version):
            self._spawn(self.fetch(member.peer_address, announce.version))
        return Ack(wanted)

    def _is_being_fetched(self, version: Version) -> bool:
        fetching = self.fetching
        return fetching is not None and not version.is_newer_than(fetching)

    async def fetch(self, peer: str, version: Version) -> bool:
        """Fetch a version from a peer; return whether it was adopted."""
        current = self.store.current
        held = b'' if current is None else current.version.digest
        self.fetching = version
        try:
            answer = await self.transport.request(
                peer,
                Fetch(version, held),
                FETCH_TIMEOUT_SECONDS,
            )
        finally:
            self.fetching = None
        match answer:
            case Content():
                return self._take(answer)
        return False

    def _take(self, content: Content) -> bool:
        plain = unpack(self.store, content)
        match plain:
            case Refusal(code=code):
                self.recorder.count('fetches_refused', code.name)
                return False
        verdict = self.store.offer(content.version.revision, plain)
        return isinstance(verdict, Adopted)

    def answer_sync(self, sync: Sync) -> Sync:
        """Merge a peer's records and return what it lacks."""
        self.roster.merge(sync.members)
        return Sync(
            self.version,
            (),
            self.roster.differing(sync.buckets),
        )

    @property
    def version(self) -> Version | None:
        """Version in force, if any."""
        current = self.store.current
        return None if current is None else current.version

    async def sync_round(self) -> None:
        """Sync with one random member."""
        members = self.roster.reachable()
        own_domain = self.roster.own.failure_domain
        near = [
            member for member in members if member.failure_domain == own_domain
        ]
        if near and self.random.random() < OWN_DOMAIN_SHARE:
            members = near
        if members:
            await self.sync_with(self.random.choice(members).peer_address)

    async def sync_with(self, peer: str) -> Version | Refusal | None:
        """Exchange records and versions with one peer.

        Returns the peer's version, or None if it has none in force.
        """
        request = Sync(
            self.version,
            tuple(self.roster.hashes),
            (self.roster.own, *self.roster.take_recent()),
        )
        answer = await self.transport.request(
            peer,
            request,
            SYNC_TIMEOUT_SECONDS,
        )
        match answer:
            case Sync():
                await self._take_sync(peer, answer)
                return answer.version
            case Refusal():
                return answer
        return None

    async def _take_sync(self, peer: str, answer: Sync) -> None:
        self.roster.merge(answer.members)
        fresher = self.roster.fresher_than(answer.members)
        if fresher:
            await self.transport.request(
                peer,
                Update(fresher),
                SYNC_TIMEOUT_SECONDS,
            )
        if self.is_newer(answer.version):
            await self.fetch(peer, answer.version)
        elif self._is_behind(answer.version):
            await self.transport.request(
                peer,
                Announce(self.version),
                ANNOUNCE_TIMEOUT_SECONDS,
            )

    def _is_behind(self, version: Version | None) -> bool:
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
            case Update(members=members):
                self.roster.merge(members)
                return Ack()
        return None

    async def close(self) -> None:
        """Cancel announcements and fetches under way."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
