"""Follows the configuration service: one listing, then its changes.

In a failure domain of many hosts one daemon reads and the others ask it.
"""

import asyncio
import contextlib
import random
from typing import Final, Protocol

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.changes import (
    Batch,
    HistoryGone,
    Item,
    PollReply,
    PollRequest,
    Removed,
    Unreadable,
    encode_reply,
)
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.link_use import CHANGES, SERVICE
from tanagerbend_proxy.news_age import NewsAge
from tanagerbend_proxy.peers import POLL_WAIT_SECONDS, Peers
from tanagerbend_proxy.relaying import ChangeLog
from tanagerbend_proxy.sources import Source
from tanagerbend_routing import ListedInstance, RoutingConfiguration

# A watch whose answer was lost must end, and the next one begin, within
# the three seconds after which a daemon counts as in touch again.
WATCH_SECONDS: Final = 2.0
ANSWER_SECONDS: Final = 0.7
# Shorter transfers are in the buffers before their time can be measured.
LEAST_MEASURED_BYTES: Final = 65536
# Shortest time for which a reading speed is computed.
LEAST_SECONDS: Final = 0.001
FIRST_BACKOFF_SECONDS: Final = 0.05
LONGEST_BACKOFF_SECONDS: Final = 0.5
# How often entries that were kept after an outage are checked.
EXPIRY_SECONDS: Final = 0.1
# Changes that come together are read together; well below the two seconds
# within which a configuration must be in force.
GATHER_SECONDS: Final = 0.4
# A daemon that peers ask notices a lost answer within the time in which its
# peers must still hear of a change elsewhere.
READER_WATCH_SECONDS: Final = 0.8
READER_GATHER_SECONDS: Final = 0.2
# What a peer tells is used if it heard the service at most this long ago:
# a whole watch of a reader, its answer, and the gathering before it.
MOST_AGE_SECONDS: Final = (
    READER_GATHER_SECONDS + READER_WATCH_SECONDS + ANSWER_SECONDS
)


class ItemService(Protocol):
    """The platform's service, read only; each call has its price."""

    async def listing(self, limit: float) -> Batch | Refusal:
        """Return all items."""

    async def changes(
        self,
        after: int,
        wait: float,
        limit: float,
    ) -> Batch | HistoryGone | Refusal:
        """Return the changes after a revision, waiting for the first."""

    async def close(self) -> None:
        """Close the connections to the service."""


class Follower:
    """Keeps the knowledge of a daemon up to date.

    Parameters
    ==========

    service : ItemService
    knowledge : Knowledge
    peers : Peers
    recorder : Recorder
    random : random.Random
    news : NewsAge
    """

    def __init__(
        self,
        service: ItemService,
        knowledge: Knowledge,
        peers: Peers,
        recorder: Recorder,
        chance: random.Random,
        news: NewsAge,
    ) -> None:
        self.service = service
        self.knowledge = knowledge
        self.peers = peers
        self.recorder = recorder
        self.timer = recorder.timer
        self.random = chance
        self.news = news
        self.revision: int | None = None
        self.speed = 0.0
        self.backoff = FIRST_BACKOFF_SECONDS
        self.log = ChangeLog()

    @property
    def watch_seconds(self) -> float:
        """How long a watch of the service lasts."""
        is_asked = self.peers.is_asked
        return READER_WATCH_SECONDS if is_asked else WATCH_SECONDS

    @property
    def gather_seconds(self) -> float:
        """How long further changes are waited for after one."""
        is_asked = self.peers.is_asked
        return READER_GATHER_SECONDS if is_asked else GATHER_SECONDS

    async def run(self) -> None:
        """Follow the service, or a peer that does, until cancelled."""
        while True:
            peer = self._choose_peer()
            if peer is None:
                await self._follow_service()
            else:
                await self.poll(peer)

    def _choose_peer(self) -> Source | None:
        if self.revision is None:
            return None
        peer = self.peers.choose(self.knowledge.registry)
        if peer is not None and peer.is_check:
            return peer
        source = '' if peer is None else peer.instance.identity
        if source != self.peers.source:
            self.peers.source = source
            self.knowledge.log.write('source_changed', instance=source)
        return peer

    async def _follow_service(self) -> None:
        got = await self.step()
        match got:
            case Refusal():
                self._failed(got)
                await self._back_off()
            case Batch(items=items) if items:
                self.backoff = FIRST_BACKOFF_SECONDS
                await self.timer.sleep(self.gather_seconds)
            case _:
                self.backoff = FIRST_BACKOFF_SECONDS

    def _failed(self, refusal: Refusal) -> None:
        self.knowledge.store_lost(refusal.reason)
        self.news.write('service_failed', reason=refusal.reason)

    async def step(self) -> Batch | HistoryGone | Refusal:
        """Read once and take what was read."""
        if self.revision is None:
            return await self._list()
        wait = self.watch_seconds
        got = await self.service.changes(
            self.revision,
            wait,
            wait + ANSWER_SECONDS,
        )
        match got:
            case Batch():
                self.news.link.received(SERVICE, got.size)
                self._measure(got)
                self._heard(0.0)
                self._take(got)
            case HistoryGone():
                self.revision = None
        return got

    async def poll(self, source: Source) -> PollReply | Refusal:
        """Ask a peer once and take what it tells."""
        peer = source.instance
        request = PollRequest(
            self.revision or 0,
            self.knowledge.version,
            0.0 if source.is_check else POLL_WAIT_SECONDS,
            self.peers.own_identity(self.knowledge.registry),
            self.speed,
        )
        reply = await self.peers.ask(
            peer,
            request,
            self.knowledge.configuration,
        )
        match reply:
            case PollReply(age=age) if age <= MOST_AGE_SECONDS:
                if source.is_check:
                    self.peers.sources.named = reply.reader
                self.news.link.received(CHANGES, reply.batch.size)
                self._heard(age)
                self._take(reply.batch)
                return reply
            case PollReply(age=age):
                reason = f'heard the service {age:.1f} s ago'
                reply = Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
        self.peers.sources.failed(peer.identity)
        self.recorder.count('peers_left')
        self.news.write(
            'peer_left',
            instance=peer.identity,
            reason=reply.reason,
        )
        return reply

    async def answer(self, request: PollRequest) -> bytes | Refusal:
        """Answer a peer when there is a change, or after its wait."""
        self.peers.sources.asked(request.host, request.speed)
        due = self.timer.now() + min(request.wait, POLL_WAIT_SECONDS)
        while True:
            if self.news.seconds > MOST_AGE_SECONDS:
                reason = f'heard the service {self.news.seconds:.1f} s ago'
                return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
            items = self.log.since(request.revision)
            if items is None:
                reason = f'changes after {request.revision} are not kept'
                return Refusal(ResultCode.VERSION_OLDER, reason)
            left = min(
                due - self.timer.now(), MOST_AGE_SECONDS - self.news.seconds
            )
            if items or left <= 0:
                return self._tell(request, items)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.log.changed.wait()

    def _tell(self, request: PollRequest, items: tuple[Item, ...]) -> bytes:
        own = self.peers.own_identity(self.knowledge.registry)
        self.peers.sources.asked(own, self.speed)
        reply = PollReply(
            Batch(items, self.revision or 0),
            self.news.seconds,
            self.peers.sources.fastest[0],
        )
        base = self.log.versions.get(request.version)
        return encode_reply(reply, base, self.timer.now())

    def _measure(self, batch: Batch) -> None:
        """Take the reading speed from a transfer that is long enough."""
        if batch.size >= LEAST_MEASURED_BYTES:
            self.speed = batch.size / max(batch.seconds, LEAST_SECONDS)

    def _heard(self, age: float) -> None:
        self.news.heard(age)
        self.knowledge.store_regained()

    async def _list(self) -> Batch | Refusal:
        got = await self.service.listing(ANSWER_SECONDS)
        match got:
            case Refusal():
                return got
        self.news.link.received(SERVICE, got.size)
        self._measure(got)
        self._heard(0.0)
        self._take_listing(got)
        return got

    def _take_listing(self, batch: Batch) -> None:
        listed = {}
        for item in batch.items:
            match item.fact:
                case ListedInstance():
                    listed[item.identity] = item.fact
                case RoutingConfiguration():
                    self._adopt(item.fact)
                case Unreadable(reason=reason):
                    self.knowledge.unreadable(item.identity, reason)
        registry = self.knowledge.registry
        gone = registry.entries.keys() - listed.keys()
        registry.replace(listed)
        self.knowledge.log.write(
            'service_listed',
            instances=len(listed),
            revision=batch.revision,
        )
        removed = tuple(Item(identity, Removed()) for identity in gone)
        whole = Batch((*removed, *batch.items), batch.revision)
        # A first listing says nothing of what was before it.
        known = self.log.batches[-1].revision if self.log.batches else None
        self.log.add(batch.revision if known is None else known, whole)
        self.revision = batch.revision

    def _take(self, batch: Batch) -> None:
        before = self.revision or 0
        for item in batch.items:
            self._take_item(item)
        self.revision = max(batch.revision, before)
        if batch.items:
            self.log.add(before, batch)

    def _take_item(self, item: Item) -> None:
        registry = self.knowledge.registry
        match item.fact:
            case ListedInstance():
                registry.put(item.fact)
            case RoutingConfiguration():
                self._adopt(item.fact)
            case Removed():
                registry.remove(item.identity)
            case Unreadable(reason=reason):
                self.knowledge.unreadable(item.identity, reason)
                registry.remove(item.identity)

    def _adopt(self, offered: RoutingConfiguration) -> None:
        self.knowledge.adopt(offered)
        if self.knowledge.configuration is not None:
            self.log.remember(self.knowledge.configuration)

    async def _back_off(self) -> None:
        share = 0.5 + self.random.random() / 2
        await self.timer.sleep(self.backoff * share)
        self.backoff = min(2 * self.backoff, LONGEST_BACKOFF_SECONDS)

    async def expire(self) -> None:
        """Drop entries that did not come back after an outage."""
        self.knowledge.registry.expire()
