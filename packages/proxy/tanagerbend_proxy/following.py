"""Follows the configuration service: one listing, then its changes."""

import asyncio
import random
from typing import Final, Protocol

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_routing import ListedInstance, RoutingConfiguration

# A watch whose answer was lost must end, and the next one begin, within
# the three seconds after which a daemon counts as in touch again.
WATCH_SECONDS: Final = 2.0
ANSWER_SECONDS: Final = 0.7
FIRST_BACKOFF_SECONDS: Final = 0.05
LONGEST_BACKOFF_SECONDS: Final = 0.5
# How often entries that were kept after an outage are checked.
EXPIRY_SECONDS: Final = 0.1
# Changes that come together are read together; well below the two seconds
# within which a configuration must be in force.
GATHER_SECONDS: Final = 0.4


@attrs.frozen
class Unreadable:
    """Value that names no configuration and no instance.

    Parameters
    ==========

    reason : str
    """

    reason: str


@attrs.frozen
class Removed:
    """Value that was removed."""


Fact = RoutingConfiguration | ListedInstance | Unreadable | Removed


@attrs.frozen
class Item:
    """One key and what its value says.

    Parameters
    ==========

    identity : str
        Identity of an instance; empty for a configuration.
    fact : RoutingConfiguration, ListedInstance, Unreadable or Removed
    """

    identity: str
    fact: Fact


@attrs.frozen
class Batch:
    """Items up to one revision of the service."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class HistoryGone:
    """The changes since a revision are no longer available."""


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
    recorder : Recorder
    random : random.Random
    """

    def __init__(
        self,
        service: ItemService,
        knowledge: Knowledge,
        recorder: Recorder,
        chance: random.Random,
    ) -> None:
        self.service = service
        self.knowledge = knowledge
        self.recorder = recorder
        self.timer = recorder.timer
        self.random = chance
        self.revision: int | None = None
        self.backoff = FIRST_BACKOFF_SECONDS
        self.is_heard = asyncio.Event()

    async def run(self) -> None:
        """Follow the service until cancelled."""
        while True:
            got = await self.step()
            match got:
                case Refusal(reason=reason):
                    self.knowledge.store_lost(reason)
                    await self._back_off()
                case Batch(items=items) if items:
                    self.backoff = FIRST_BACKOFF_SECONDS
                    await self.timer.sleep(GATHER_SECONDS)
                case _:
                    self.backoff = FIRST_BACKOFF_SECONDS

    async def step(self) -> Batch | HistoryGone | Refusal:
        """Read once and take what was read."""
        if self.revision is None:
            return await self._list()
        got = await self.service.changes(
            self.revision,
            WATCH_SECONDS,
            WATCH_SECONDS + ANSWER_SECONDS,
        )
        match got:
            case Batch():
                self.knowledge.store_regained()
                self._take(got)
            case HistoryGone():
                self.revision = None
        return got

    async def _list(self) -> Batch | Refusal:
        got = await self.service.listing(ANSWER_SECONDS)
        match got:
            case Refusal():
                return got
        self.knowledge.store_regained()
        self._take_listing(got)
        self.is_heard.set()
        return got

    def _take_listing(self, batch: Batch) -> None:
        listed = {}
        for item in batch.items:
            match item.fact:
                case ListedInstance():
                    listed[item.identity] = item.fact
                case RoutingConfiguration():
                    self.knowledge.adopt(item.fact)
                case Unreadable(reason=reason):
                    self._count_unreadable(item.identity, reason)
        self.knowledge.registry.replace(listed)
        self.knowledge.log.write(
            'service_listed',
            instances=len(listed),
            revision=batch.revision,
        )
        self.revision = batch.revision

    def _take(self, batch: Batch) -> None:
        for item in batch.items:
            self._take_item(item)
        self.revision = max(batch.revision, self.revision or 0)

    def _take_item(self, item: Item) -> None:
        registry = self.knowledge.registry
        match item.fact:
            case ListedInstance():
                registry.put(item.fact)
            case RoutingConfiguration():
                self.knowledge.adopt(item.fact)
            case Removed():
                registry.remove(item.identity)
            case Unreadable(reason=reason):
                self._count_unreadable(item.identity, reason)
                registry.remove(item.identity)

    def _count_unreadable(self, identity: str, reason: str) -> None:
        self.recorder.count('entries_unreadable')
        self.knowledge.log.write(
            'entry_unreadable',
            instance=identity,
            reason=reason,
        )

    async def _back_off(self) -> None:
        share = 0.5 + self.random.random() / 2
        await self.timer.sleep(self.backoff * share)
        self.backoff = min(2 * self.backoff, LONGEST_BACKOFF_SECONDS)

    async def expire(self) -> None:
        """Drop entries that did not come back after an outage."""
        self.knowledge.registry.expire()
