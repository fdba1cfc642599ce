"""Answers polls of other daemons for changes."""

import asyncio
import contextlib

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.applying import Applier
from tanagerbend_proxy.changes import (
    Batch,
    Item,
    PollReply,
    encode_reply,
)
from tanagerbend_proxy.following_limits import (
    MAX_AGE_SECONDS,
    MAX_VERSION_AGE_SECONDS,
    MIN_SECONDS,
)
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.peers import Peers
from tanagerbend_proxy.poll_request import PollRequest
from tanagerbend_proxy.positions import START, StorePosition
from tanagerbend_proxy.sources import POLL_WAIT_SECONDS
from tanagerbend_proxy.staleness import Staleness


class PollAnswers:
    """Answers polls from the changes that this daemon applied.

    Parameters
    ==========

    applier : Applier
    knowledge : DeploymentState
    peers : Peers
    staleness : Staleness

    Attributes
    ==========

    measured_speed : float
        Speed at which this daemon read the service last, in bytes per
        second; 0 before a large answer.
    """

    def __init__(
        self,
        applier: Applier,
        knowledge: DeploymentState,
        peers: Peers,
        staleness: Staleness,
    ) -> None:
        self.applier = applier
        self.knowledge = knowledge
        self.peers = peers
        self.staleness = staleness
        self.timer = staleness.timer
        self.measured_speed = 0.0

    @property
    def speed(self) -> float:
        """Speed at which this daemon reads the service.

        In bytes per second; before a large answer that of the link, 0 if
        unknown.
        """
        return self.measured_speed or self.peers.link_speed

    async def answer(self, request: PollRequest) -> bytes | Refusal:
        """Answer a peer's poll at the next change, or after its wait."""
        self.peers.sources.record_speed(request.host, request.speed)
        if request.is_reader:
            self.peers.sources.hold_reader_role()
        if self.applier.era and not request.knows_eras:
            reason = 'revisions of this era mislead a daemon without eras'
            return Refusal(ResultCode.VERSION_OLDER, reason)
        deadline = self.timer.now() + min(request.wait, POLL_WAIT_SECONDS)
        while True:
            if self.seconds_left < MIN_SECONDS:
                reason = (
                    'no contact with the service for'
                    f' {self.staleness.seconds:.1f} s'
                )
                return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
            items = self._items_for(request)
            if items is None:
                reason = (
                    f'changes after revision {request.position.revision}'
                    f' of era {request.position.era}'
                    ' are not retained'
                )
                return Refusal(ResultCode.VERSION_OLDER, reason)
            remaining = min(deadline - self.timer.now(), self.seconds_left)
            if items or remaining < MIN_SECONDS:
                return self._encode_answer(request, items)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.applier.log.changed.wait()

    @property
    def seconds_left(self) -> float:
        """Seconds for which the changes known here are recent enough."""
        return min(
            MAX_AGE_SECONDS - self.staleness.entries_seconds,
            MAX_VERSION_AGE_SECONDS - self.staleness.seconds,
        )

    def _items_for(self, request: PollRequest) -> tuple[Item, ...] | None:
        """Return what the sender of a poll lacks, None if not retained."""
        entries = self.applier.log.since(request.position)
        configuration = self.knowledge.configuration
        if entries is None or self.knowledge.version <= request.version:
            return entries
        return (*entries, Item('', configuration))

    def _encode_answer(
        self, request: PollRequest, items: tuple[Item, ...]
    ) -> bytes:
        identity = self.peers.own_identity(self.knowledge.registry)
        self.peers.sources.record_speed(identity, self.speed)
        reply = PollReply(
            Batch(
                items,
                max(
                    self.applier.entries_position,
                    # Before a new listing: no position, but the era is known.
                    StorePosition(self.applier.era or 0),
                ),
                complete=self.applier.position or START,
                evacuated=self.knowledge.registry.evacuations.ordered,
            ),
            self.staleness.seconds,
            self.peers.sources.fastest_reader[0],
            self.knowledge.registry.outage.grace_seconds_left,
            self.knowledge.registry.outage.seconds,
            self.staleness.entries_seconds,
        )
        base = self.applier.log.versions.get(request.version)
        return encode_reply(reply, base, self.timer.now())
