"""Passing on changes of the service to the daemons of a failure domain."""

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
    PollRequest,
    decode_reply,
)
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.messages import Answer
from tanagerbend_routing import RoutingConfiguration

# Batches and versions that are kept for peers; a peer that lags further
# reads the service.
KEPT_BATCHES: Final = 64
KEPT_VERSIONS: Final = 16
OK: Final = 200
FOLLOW_PATH: Final = '/follow'


class ChangeLog:
    """Recent changes, as peers ask for them.

    Attributes
    ==========

    covered_from : int or None
        Revision after which all changes are known.
    changed : asyncio.Event
        Is set, and replaced, at each change.
    """

    def __init__(self) -> None:
        self.batches: collections.deque[Batch] = collections.deque()
        self.versions: dict[int, RoutingConfiguration] = {}
        self.covered_from: int | None = None
        self.changed = asyncio.Event()

    def add(self, after: int, batch: Batch) -> None:
        """Keep the changes after a revision."""
        if self.covered_from is None:
            self.covered_from = after
        self.batches.append(batch)
        if len(self.batches) > KEPT_BATCHES:
            self.covered_from = self.batches.popleft().revision
        self.changed.set()
        self.changed = asyncio.Event()

    def remember(self, configuration: RoutingConfiguration) -> None:
        """Keep a version from which differences can be told."""
        self.versions[configuration.version] = configuration
        if len(self.versions) > KEPT_VERSIONS:
            self.versions.pop(next(iter(self.versions)))

    def since(self, revision: int) -> tuple[Item, ...] | None:
        """Return the newest items after a revision, None if unknown."""
        if self.covered_from is None or revision < self.covered_from:
            return None
        newest = {}
        for batch in self.batches:
            if batch.revision > revision:
                newest.update({item.identity: item for item in batch.items})
        return tuple(newest.values())


async def poll_peer(
    session: aiohttp.ClientSession,
    address: str,
    request: PollRequest,
    known: RoutingConfiguration | None,
    limit: float,
    connect_limit: float,
) -> PollReply | Refusal:
    """Ask the daemon at ``address:port`` for changes; limits in seconds."""
    headers = CIMultiDict({own_headers.FOLLOW: request.encode()})
    got = await send(
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
    match got:
        case Answer(status=status, body=body) if status == OK:
            now = asyncio.get_running_loop().time()
            return decode_reply(body, known, now)
        case Answer(body=body):
            reason = body.decode('utf-8', 'replace')
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
    return got
