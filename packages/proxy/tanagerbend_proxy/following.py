"""Follows the configuration service: one listing, then its changes.

In a failure domain of many hosts one daemon reads and the others ask it.
"""

import asyncio
import contextlib
import random
import traceback
from typing import Final, Protocol

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.applying import Applier
from tanagerbend_proxy.attempts import Attempts
from tanagerbend_proxy.changes import (
    Batch,
    HistoryGone,
    Item,
    PollReply,
    PollRequest,
    encode_reply,
)
from tanagerbend_proxy.exchange import CONNECT_SECONDS
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.link_use import CHANGES, SERVICE
from tanagerbend_proxy.peers import Peers
from tanagerbend_proxy.sources import POLL_WAIT_SECONDS, Source
from tanagerbend_proxy.staleness import Staleness

# A watch whose answer was lost must end, and the next one begin, within
# the three seconds after which a daemon counts as in touch again.
WATCH_SECONDS: Final = 2.0
ANSWER_SECONDS: Final = 0.7
# An answer that is later than this has met a full link, a lost packet or a
# process that does not run; others are asked beside it.
LATE_SECONDS: Final = 0.25
# Shorter transfers are in the buffers before their time can be measured.
LEAST_MEASURED_BYTES: Final = 65536
# An answer that takes longer has grown while it waited: it holds each version
# since the last, and the next holds more.  A listing holds the newest only.
SLOW_SECONDS: Final = 0.4
# Shortest time for which a peer waits or a reading speed is computed.
LEAST_SECONDS: Final = 0.001
# Characters of an error that are logged.
MOST_REASON: Final = 200
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
    staleness : Staleness
    """

    def __init__(
        self,
        service: ItemService,
        knowledge: Knowledge,
        peers: Peers,
        recorder: Recorder,
        chance: random.Random,
        staleness: Staleness,
    ) -> None:
        self.service = service
        self.knowledge = knowledge
        self.peers = peers
        self.recorder = recorder
        self.timer = recorder.timer
        self.random = chance
        self.staleness = staleness
        self.speed = 0.0
        # Whether versions may be replaced faster than they are read.
        self.is_behind = False
        self.backoff = FIRST_BACKOFF_SECONDS
        self.applier = Applier(knowledge)
        self.attempts: Attempts[Batch | HistoryGone | PollReply] = Attempts()

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
        try:
            while True:
                if not await _follow_safely(self):
                    # What was read may have been taken in part.
                    self.applier.revision = None
                    await self._back_off()
        finally:
            await self.attempts.close()

    async def follow_once(self) -> None:
        """Ask the present source once, and others if it doesn't tell."""
        source = self._choose_peer()
        if source is None:
            await self._follow_service()
            return
        patience = source.wait + LATE_SECONDS
        match await self.attempts.first(patience, self.poll(source)):
            case PollReply():
                return
            case None:
                self._leave(source, f'no answer after {patience:.2f} s')
        await self._ask_others()

    async def _ask_others(self) -> None:
        """Ask daemons anywhere, since the usual source does not tell."""
        others = self.peers.others(self.knowledge.registry, self.random)
        if others:
            polls = (self.poll(Source(each, wait=0.0)) for each in others)
            await self.attempts.first(LATE_SECONDS, *polls)

    def _choose_peer(self) -> Source | None:
        if self.applier.revision is None:
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
        got = await self._read()
        match got:
            case Refusal():
                self._failed(got)
                await self._ask_others()
                await self._back_off()
            case Batch(items=items) if items:
                self.backoff = FIRST_BACKOFF_SECONDS
                await self.timer.sleep(self.gather_seconds)
            case _:
                self.backoff = FIRST_BACKOFF_SECONDS

    async def _read(self) -> Batch | HistoryGone | Refusal:
        """Read once, and ask others while that takes long."""
        patience = self.watch_seconds + LATE_SECONDS
        if self.knowledge.is_store_lost:
            patience = CONNECT_SECONDS
        reading = self.attempts.start(self.step())
        while True:
            await asyncio.wait({reading}, timeout=patience)
            if reading.done():
                return reading.result()
            await self._ask_others()

    def _failed(self, refusal: Refusal) -> None:
        self.knowledge.store_lost(refusal.reason)
        self.staleness.write('service_failed', reason=refusal.reason)

    async def step(self) -> Batch | HistoryGone | Refusal:
        """Read once and take what was read."""
        if self.applier.revision is None or self.is_behind:
            return await self._list()
        began = self.timer.now()
        wait = self.watch_seconds
        got = await self.service.changes(
            self.applier.revision,
            wait,
            wait + ANSWER_SECONDS,
        )
        match got:
            case Batch():
                self.is_behind = got.seconds >= SLOW_SECONDS
                self._heard_service(got)
                self.applier.take(got)
            case HistoryGone():
                self.applier.revision = None
            case _:
                # The answer may have been too long for the link.
                self.is_behind = self.timer.now() - began > wait
        return got

    async def poll(self, source: Source) -> PollReply | Refusal:
        """Ask a peer once and take what it tells."""
        peer = source.instance
        request = PollRequest(
            self.applier.revision or 0,
            self.knowledge.version,
            source.wait,
            self.peers.own_identity(self.knowledge.registry),
            self.speed,
            source.is_reader,
        )
        asked_at = self.timer.now()
        reply = await self.peers.ask(
            peer,
            request,
            self.knowledge.configuration,
        )
        match reply:
            case PollReply(age=age) if age <= MOST_AGE_SECONDS:
                # What took longer than the wait was spent on the way.
                passed = self.timer.now() - asked_at - source.wait
                self._take_reply(source, reply, age + max(passed, 0.0))
                return reply
            case PollReply(age=age):
                reason = f'heard the service {age:.1f} s ago'
                reply = Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
        self._leave(source, reply.reason)
        return reply

    def _take_reply(
        self,
        source: Source,
        reply: PollReply,
        age: float,
    ) -> None:
        if source.is_check:
            self.peers.sources.named = reply.reader
        self.staleness.link.received(CHANGES, reply.batch.size)
        self.staleness.heard(age)
        self.knowledge.registry.settle(reply.settled_after)
        self.applier.take(reply.batch)

    def _leave(self, source: Source, reason: str) -> None:
        identity = source.instance.identity
        self.peers.sources.failed(identity)
        self.recorder.count('peers_left')
        self.staleness.write('peer_left', instance=identity, reason=reason)

    async def answer(self, request: PollRequest) -> bytes | Refusal:
        """Answer a peer when there is a change, or after its wait."""
        self.peers.sources.asked(request.host, request.speed)
        if request.is_reader:
            self.peers.sources.asked_as_reader()
        due = self.timer.now() + min(request.wait, POLL_WAIT_SECONDS)
        while True:
            if self.staleness.seconds > MOST_AGE_SECONDS - LEAST_SECONDS:
                reason = f'heard the service {self.staleness.seconds:.1f} s ago'
                return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
            items = self.applier.log.since(request.revision)
            if items is None:
                reason = f'changes after {request.revision} are not kept'
                return Refusal(ResultCode.VERSION_OLDER, reason)
            left = min(
                due - self.timer.now(),
                MOST_AGE_SECONDS - self.staleness.seconds,
            )
            if items or left < LEAST_SECONDS:
                return self._tell(request, items)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.applier.log.changed.wait()

    def _tell(self, request: PollRequest, items: tuple[Item, ...]) -> bytes:
        own = self.peers.own_identity(self.knowledge.registry)
        self.peers.sources.asked(own, self.speed)
        reply = PollReply(
            Batch(items, self.applier.revision or 0),
            self.staleness.seconds,
            self.peers.sources.fastest[0],
            self.knowledge.registry.settled_after,
        )
        base = self.applier.log.versions.get(request.version)
        return encode_reply(reply, base, self.timer.now())

    def _heard_service(self, batch: Batch) -> None:
        self.staleness.link.received(SERVICE, batch.size)
        if batch.size >= LEAST_MEASURED_BYTES:
            self.speed = batch.size / max(batch.seconds, LEAST_SECONDS)
        self.staleness.heard(batch.seconds)
        self.knowledge.store_regained()

    async def _list(self) -> Batch | Refusal:
        got = await self.service.listing(ANSWER_SECONDS)
        match got:
            case Refusal():
                return got
        version = self.knowledge.version
        self._heard_service(got)
        self.applier.take_listing(got)
        is_news = 0 < version < self.knowledge.version
        self.is_behind = is_news and got.seconds >= SLOW_SECONDS
        return got

    async def _back_off(self) -> None:
        share = 0.5 + self.random.random() / 2
        await self.timer.sleep(self.backoff * share)
        self.backoff = min(2 * self.backoff, LONGEST_BACKOFF_SECONDS)

    async def expire(self) -> None:
        """Drop entries that did not come back after an outage."""
        self.knowledge.registry.expire()


async def _follow_safely(follower: Follower) -> bool:
    """Follow, and log an error of our own, which must not end it."""
    try:
        await follower.follow_once()
    except Exception as error:  # noqa: BLE001
        _log_unexpected(follower, error)
        return False
    return True


def _log_unexpected(follower: Follower, error: Exception) -> None:
    """Count and log an error of our own, which must not end the following."""
    follower.recorder.count('following_failed')
    where = traceback.extract_tb(error.__traceback__)[-1]
    follower.staleness.write(
        'following_failed',
        reason=f'{type(error).__name__}: {error}'[:MOST_REASON],
        place=f'{where.name}, line {where.lineno}',
    )
