"""Relays changes of the service between daemons."""

import asyncio
import collections
from typing import Final

import aiohttp
from multidict import CIMultiDict

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy import headers as own_headers
from tanagerbend_proxy.changes import (
    Batch,
    Item,
    PollReply,
    decode_reply,
)
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.item_order import without_superseded
from tanagerbend_proxy.messages import Answer
from tanagerbend_proxy.poll_request import PollRequest
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_routing import RoutingConfiguration

# Batches and versions that are retained for peers; a peer that lags further
# behind reads the service.
MAX_BATCHES: Final = 64
MAX_VERSIONS: Final = 16
OK: Final = 200
FOLLOW_PATH: Final = '/follow'


class ChangeLog:
    """Log of recent changes of instances, and recent configurations.

    Polls of peers are answered from it.

    Attributes
    ==========

    complete_after : StorePosition or None
        After which the log holds all changes of instances.
    changed : asyncio.Event
        Set, and replaced by a new event, at each change.
    """

    def __init__(self) -> None:
        self.batches: collections.deque[Batch] = collections.deque()
        self.versions: dict[int, RoutingConfiguration] = {}
        self.complete_after: StorePosition | None = None
        self.changed = asyncio.Event()

    def add(self, after: StorePosition, batch: Batch) -> None:
        """Append a batch that follows the position ``after``."""
        if self.complete_after is None:
            self.complete_after = after
        self.batches.append(batch)
        if len(self.batches) > MAX_BATCHES:
            self.complete_after = self.batches.popleft().position
        self._notify()

    def add_version(self, configuration: RoutingConfiguration) -> None:
        """Retain a version as a base for differences."""
        self.versions[configuration.version] = configuration
        if len(self.versions) > MAX_VERSIONS:
            self.versions.pop(next(iter(self.versions)))
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def since(self, position: StorePosition) -> tuple[Item, ...] | None:
        """Return the changes after a position, None if not retained.

        Of each instance, only what a receiver may need for its newest entry.
        """
        if self.complete_after is None or position < self.complete_after:
            return None
        changes = (
            item
            for batch in self.batches
            if batch.position > position
            for item in batch.items
        )
        return without_superseded(changes)


async def poll_peer(
    session: aiohttp.ClientSession,
    address: str,
    request: PollRequest,
    current: RoutingConfiguration | None,
    limit: float,
    connect_limit: float,
) -> PollReply | Refusal:
    """Ask the daemon at ``address:port`` for changes.

    ``limit`` and ``connect_limit`` are in seconds; ``current`` is the
    configuration in force here.
    """
    headers = CIMultiDict(
        {
            own_headers.FOLLOW: request.encode(),
            own_headers.FOLLOW_ERA: request.encode_era(),
        }
    )
    response = await send(
        session,
        Outgoing(
            address,
            'GET',
            FOLLOW_PATH,
            headers,
            b'',
            limit,
            connect_limit=connect_limit,
        ),
    )
    match response:
        case Answer(status=status, body=body) if status == OK:
            now = asyncio.get_running_loop().time()
            return decode_reply(body, current, now)
        case Answer(body=body):
            reason = body.decode('utf-8', 'replace')
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
    return response
