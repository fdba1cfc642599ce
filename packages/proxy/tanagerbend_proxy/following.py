"""Follows the configuration service: one listing, then its changes.

In a large failure domain one daemon reads the service and the others poll
that daemon.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.applying import Applier
from tanagerbend_proxy.attempts import Attempts
from tanagerbend_proxy.changes import (
    Batch,
    HistoryUnavailable,
    PollReply,
)
from tanagerbend_proxy.entries_watch import EntriesWatch, EntryService
from tanagerbend_proxy.exchange import CONNECT_SECONDS
from tanagerbend_proxy.following_limits import (
    ANSWER_SECONDS,
    COALESCE_SECONDS,
    HEDGE_DELAY_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    MAX_AGE_SECONDS,
    MAX_VERSION_AGE_SECONDS,
    MAX_BACKOFF_SECONDS,
    MIN_MEASURED_BYTES,
    MIN_SECONDS,
    READER_COALESCE_SECONDS,
    READER_WATCH_SECONDS,
    SLOW_TRANSFER_SECONDS,
    WATCH_SECONDS,
)
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.link_use import CHANGES, SERVICE
from tanagerbend_proxy.peers import Peers
from tanagerbend_proxy.poll_answers import PollAnswers
from tanagerbend_proxy.poll_request import PollRequest
from tanagerbend_proxy.positions import START, StorePosition
from tanagerbend_proxy.sources import Source
from tanagerbend_proxy.staleness import Staleness


class ItemService(EntryService, Protocol):
    """Read-only client of the platform's service, which bills each call."""

    async def listing(
        self,
        limit: float,
        on_headers: Callable[[], None],
    ) -> Batch | Refusal:
        """Return all items.

        ``on_headers`` is called when an answer has begun to arrive.
        """

    async def changes(
        self,
        after: StorePosition,
        wait: float,
        limit: float,
        on_headers: Callable[[], None],
    ) -> Batch | HistoryUnavailable | Refusal:
        """Return the changes after a position; wait until there is one.

        A service of another era does not have them.
        """

    async def close(self) -> None:
        """Close the connections to the service."""


# Returns the client of the configuration service.
Connect = Callable[[Recorder], ItemService]


class Follower:
    """Keeps a daemon's configuration and instance registry up to date.

    Parameters
    ==========

    service : ItemService
    knowledge : DeploymentState
    peers : Peers
    recorder : Recorder
    rng : random.Random
    staleness : Staleness
    """

    def __init__(
        self,
        service: ItemService,
        knowledge: DeploymentState,
        peers: Peers,
        recorder: Recorder,
        rng: random.Random,
        staleness: Staleness,
    ) -> None:
        self.service = service
        self.knowledge = knowledge
        self.peers = peers
        self.recorder = recorder
        self.timer = recorder.timer
        self.rng = rng
        self.staleness = staleness
        # Whether the next call doesn't wait, since the last one was a watch
        # that ended while it waited, or an old listing.
        self.is_watch_cut = False
        # Whether reading changes is too slow to keep up with new versions.
        self.prefers_listing = False
        self.backoff = INITIAL_BACKOFF_SECONDS
        self.applier = Applier(knowledge)
        self.entries_watch = EntriesWatch(
            service, self.applier, staleness, recorder
        )
        self.poll_answers = PollAnswers(
            self.applier, knowledge, peers, staleness
        )
        self.answer = self.poll_answers.answer
        self.attempts: Attempts[Batch | HistoryUnavailable | PollReply] = (
            Attempts()
        )

    @property
    def watch_seconds(self) -> float:
        """Seconds for which a watch of the service waits for a change."""
        is_asked = self.peers.uses_relay
        return READER_WATCH_SECONDS if is_asked else WATCH_SECONDS

    @property
    def coalesce_seconds(self) -> float:
        """Seconds to wait for further changes after one arrived."""
        is_asked = self.peers.uses_relay
        return READER_COALESCE_SECONDS if is_asked else COALESCE_SECONDS

    async def run(self) -> None:
        """Follow the service, or a peer that reads it, until cancelled."""
        try:
            while True:
                if not await _follow_safely(self):
                    # The last batch may be applied only in part; list anew.
                    self.applier.reset()
                    await self._back_off()
        finally:
            await self.attempts.close()
            await self.entries_watch.close()

    async def follow_once(self) -> None:
        """Poll the current source once, and others if it fails."""
        source = self._choose_peer()
        if source is None:
            await self._follow_service()
            return
        timeout = source.wait + HEDGE_DELAY_SECONDS
        match await self.attempts.first(timeout, self.poll(source)):
            case PollReply():
                return
            case None:
                self._drop_source(source, f'no answer after {timeout:.2f} s')
        await self._ask_fallback_peers()

    async def _ask_fallback_peers(self) -> None:
        """Poll daemons in and outside this domain as a fallback."""
        fallback_peers = self.peers.fallback_peers(
            self.knowledge.registry, self.rng
        )
        if fallback_peers:
            polls = (
                self.poll(Source(each, wait=0.0)) for each in fallback_peers
            )
            await self.attempts.first(HEDGE_DELAY_SECONDS, *polls)

    def _choose_peer(self) -> Source | None:
        if self.applier.position is None:
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
        result = await self._read()
        match result:
            case Refusal() if self.is_watch_cut:
                # The service cuts waiting watches also while it answers; the
                # next call, which doesn't wait, tells whether it is lost.
                self.recorder.count('watches_cut')
                await self._back_off()
            case Refusal():
                self._record_service_failure(result)
                await self._ask_fallback_peers()
                await self._back_off()
            case Batch(items=items, age=age) if items:
                self.backoff = INITIAL_BACKOFF_SECONDS
                if age:
                    await self._catch_up()
                await self.timer.sleep(self.coalesce_seconds)
            case _:
                self.backoff = INITIAL_BACKOFF_SECONDS

    async def _catch_up(self) -> None:
        """Read the changes since an old listing, without waiting for more.

        The usual pause follows, after which other daemons that started at
        the same time can be polled.
        """
        self.is_watch_cut = True
        await self._read()

    async def _read(self) -> Batch | HistoryUnavailable | Refusal:
        """Read the service once; poll peers while the answer is late."""
        timeout = self.watch_seconds + HEDGE_DELAY_SECONDS
        if self.knowledge.is_service_lost or self.is_watch_cut:
            timeout = CONNECT_SECONDS
        reading = self.attempts.start(self.read_once())
        while True:
            await asyncio.wait({reading}, timeout=timeout)
            if reading.done():
                return reading.result()
            await self._ask_fallback_peers()

    def _record_service_failure(self, refusal: Refusal) -> None:
        self.knowledge.mark_service_lost(refusal.reason)
        self.staleness.write('service_failed', reason=refusal.reason)

    async def read_once(self) -> Batch | HistoryUnavailable | Refusal:
        """Read the service once and apply the result."""
        try:
            return await self._read_changes()
        finally:
            self.entries_watch.end()

    async def _read_changes(self) -> Batch | HistoryUnavailable | Refusal:
        is_check = self.is_watch_cut
        self.is_watch_cut = False
        if self.applier.position is None or self.prefers_listing:
            return await self._read_listing()
        began = self.timer.now()
        wait = MIN_SECONDS if is_check else self.watch_seconds
        result = await self.service.changes(
            self.applier.position,
            wait,
            wait + ANSWER_SECONDS,
            self.entries_watch.begin,
        )
        match result:
            case Batch():
                self.prefers_listing = result.seconds >= SLOW_TRANSFER_SECONDS
                with self.staleness.arriving('', result, result.seconds):
                    self._record_service_contact(result)
                    self.applier.apply(result)
            case HistoryUnavailable():
                self.applier.reset()
            case _:
                seconds = self.timer.now() - began
                # The answer may have been too large for the link.
                self.prefers_listing = seconds > self.watch_seconds
                is_lost = self.knowledge.is_service_lost
                self.is_watch_cut = not (is_check or is_lost)
        return result

    async def poll(self, source: Source) -> PollReply | Refusal:
        """Poll a peer once and apply its reply."""
        peer = source.instance
        request = PollRequest(
            self.applier.entries_position,
            self.knowledge.version,
            source.wait,
            self.peers.own_identity(self.knowledge.registry),
            self.poll_answers.speed,
            source.is_reader,
        )
        sent_at = self.timer.now()
        reply = await self.peers.ask(
            peer,
            request,
            self.knowledge.configuration,
        )
        match reply:
            case PollReply(batch=batch) if self.applier.is_outdated(
                batch.position
            ):
                reason = f'era {batch.position.era} of the service is over'
                reply = Refusal(ResultCode.VERSION_OLDER, reason)
            case PollReply(age=age) if not is_recent(reply):
                reason = f'no contact with the service for {age:.1f} s'
                reply = Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
            case PollReply():
                # Time beyond the wait is transit; it adds to the age.
                transit = max(self.timer.now() - sent_at - source.wait, 0.0)
                batch = attrs.evolve(reply.batch, after=request.position)
                is_partial = batch.evacuated is None
                if is_partial:
                    # Read the evacuations again from another source.
                    batch = attrs.evolve(batch, complete=START)
                reply = attrs.evolve(reply, batch=batch).aged(transit)
                with self.staleness.arriving(peer.identity, batch, transit):
                    self._apply_reply(source, reply)
                if is_partial:
                    reason = 'its release does not report evacuations'
                    self._drop_source(source, reason)
                return reply
        self._drop_source(source, reply.reason)
        return reply

    def _apply_reply(
        self,
        source: Source,
        reply: PollReply,
    ) -> None:
        if source.is_check:
            self.peers.sources.named_reader = reply.reader
        self.staleness.link.received(CHANGES, reply.batch.size)
        if reply.batch.evacuated is not None:
            self.staleness.record_contact(reply.age)
        self.staleness.record_entries_contact(reply.entries_age)
        _adopt_outage(self, reply)
        self.applier.apply(reply.batch)

    def _drop_source(self, source: Source, reason: str) -> None:
        identity = source.instance.identity
        self.peers.sources.record_failure(identity)
        self.recorder.count('peers_left')
        self.staleness.write('peer_left', instance=identity, reason=reason)

    def _record_service_contact(self, batch: Batch) -> None:
        self.staleness.link.received(SERVICE, batch.size)
        # A transfer during the start also waits for the processor.
        if batch.size >= MIN_MEASURED_BYTES and not batch.age:
            self.poll_answers.measured_speed = batch.size / max(
                batch.seconds, MIN_SECONDS
            )
        self.staleness.record_contact(batch.seconds + batch.age)
        self.knowledge.mark_service_available()

    async def _read_listing(self) -> Batch | Refusal:
        result = await self.service.listing(
            ANSWER_SECONDS, self.entries_watch.begin
        )
        match result:
            case Refusal():
                return result
        if self.applier.is_outdated(result.position):
            reason = f'listing of era {result.position.era}, which is over'
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
        version = self.knowledge.version
        with self.staleness.arriving('', result, result.seconds):
            self._record_service_contact(result)
            self.applier.apply_listing(result)
        is_update = 0 < version < self.knowledge.version
        self.prefers_listing = (
            is_update and result.seconds >= SLOW_TRANSFER_SECONDS
        )
        return result

    async def _back_off(self) -> None:
        jitter = 0.5 + self.rng.random() / 2
        await self.timer.sleep(self.backoff * jitter)
        self.backoff = min(2 * self.backoff, MAX_BACKOFF_SECONDS)

    async def expire(self) -> None:
        """Drop what was not listed again after an outage."""
        registry = self.knowledge.registry
        registry.expire()
        if self.applier.has_unlisted_orders and registry.is_settled:
            # An order that the operator has not written again by now was
            # taken back, which only a listing shows.
            self.prefers_listing = True


def is_recent(reply: PollReply) -> bool:
    """Return whether what a peer knows is recent enough to rely on."""
    entries_age = reply.aged(0.0).entries_age
    return (
        entries_age <= MAX_AGE_SECONDS and reply.age <= MAX_VERSION_AGE_SECONDS
    )


def _adopt_outage(follower: Follower, reply: PollReply) -> None:
    """Adopt what a peer knows of an outage of the service."""
    registry = follower.knowledge.registry
    now = follower.timer.now()
    if reply.lost_seconds is None:
        registry.outage.adopt_grace_period(
            reply.settled_after, now - reply.entries_age
        )
        return
    lost_at = now - reply.lost_seconds
    # A daemon that was in contact later knows that the service answers.
    if lost_at > follower.staleness.last_entries_contact:
        registry.outage.begin(lost_at)


async def _follow_safely(follower: Follower) -> bool:
    """Follow once; log an unexpected exception and return False for it."""
    try:
        await follower.follow_once()
    except Exception as error:  # noqa: BLE001
        follower.staleness.write_unexpected(error)
        return False
    return True
