"""Stand-in for the users' metadata store, with faults to inject."""

import asyncio
import base64
import json
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

PAGE_SIZE: Final = 50
# The protocol requires only that revisions are above zero.
FIRST_REVISION: Final = 100
# A watch returns when less than this remains of its wait time.
MIN_WAIT_SECONDS: Final = 0.001
ERA_HEADER: Final = 'Store-Era'


@attrs.frozen
class StoreCopy:
    """Items and history of a store at one revision."""

    items: dict[str, dict[str, Any]]
    log: list[dict[str, Any]]
    revision: int


class StandinItemStore:
    """Key-value store with one revision counter, read-only over HTTP.

    Attributes
    ==========

    calls : int
        Number of HTTP requests received.
    forced_status : int
        Status of every answer, or 0 to serve requests normally.
    is_silent : bool
        Whether requests are left without an answer.
    forced_body : bytes or None
        Body of every answer, or None for the correct one.
    compacted_revision : int
        Changes up to this revision are no longer available to watches.
    era : int or None
        Number of returns from a copy, stated in all answers; None if answers
        state none.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.log: list[dict[str, Any]] = []
        self.revision = FIRST_REVISION
        self.compacted_revision = FIRST_REVISION
        self.era: int | None = None
        self.calls = 0
        self.forced_status = 0
        self.is_silent = False
        self.forced_body: bytes | None = None
        self.changed = asyncio.Event()
        self.runner: web.ServerRunner | None = None
        self.waiting_watches: set[asyncio.Transport] = set()

    async def start(self) -> str:
        """Start listening on loopback and return ``address:port``."""
        self.runner = web.ServerRunner(
            web.Server(self.serve, handler_cancellation=True),
            shutdown_timeout=0,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        host, port = self.runner.addresses[0]
        return f'{host}:{port}'

    async def close(self) -> None:
        """Stop the server."""
        await self.runner.cleanup()

    def put(self, key: str, fields: Any) -> None:
        """Store a value as JSON, or unchanged if it is bytes."""
        encoded = fields if isinstance(fields, bytes) else _encode_json(fields)
        self.revision += 1
        created_revision = self.items.get(key, {}).get(
            'createRev', self.revision
        )
        self._apply_event(
            {
                'key': key,
                'value': base64.b64encode(encoded).decode(),
                'revision': self.revision,
                'createRev': created_revision,
                'leaseId': 0,
            },
        )

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        self._apply_event(
            {'key': key, 'revision': self.revision, 'tombstone': True},
        )

    def compact(self) -> None:
        """Discard the change history; watches of earlier revisions get 410."""
        self.compacted_revision = self.revision
        self.log.clear()
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the store, to be restored later."""
        return StoreCopy(dict(self.items), list(self.log), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Return to an older copy; later revisions are given out again."""
        self.items = dict(copy.items)
        self.log = list(copy.log)
        self.revision = copy.revision
        self.era = (self.era or 0) + 1
        self._notify_watches()

    def cut_watches(self) -> None:
        """Close the connections of the watches that wait."""
        for transport in self.waiting_watches:
            transport.close()

    def _apply_event(self, event: dict[str, Any]) -> None:
        self.items.pop(event['key'], None)
        if 'value' in event:
            self.items[event['key']] = event
        self.log.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Handle one request."""
        answer = await self._answer(request)
        if self.era is not None:
            answer.headers[ERA_HEADER] = str(self.era)
        return answer

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        if self.is_silent:
            await asyncio.Event().wait()
        if self.forced_status:
            return web.Response(status=self.forced_status)
        if self.forced_body is not None:
            return web.Response(body=self.forced_body)
        if request.path == '/v1/kv-range':
            return self._range(request.query)
        if request.path == '/v1/kv-watch':
            transport = request.transport
            self.waiting_watches.add(transport)
            try:
                return await self._watch(request.query)
            finally:
                self.waiting_watches.discard(transport)
        return web.Response(status=HTTPStatus.NOT_FOUND)

    def _range(self, query: Any) -> web.Response:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > after
        )
        return web.json_response(
            {
                'items': [self.items[key] for key in keys[:PAGE_SIZE]],
                'hasMore': len(keys) > PAGE_SIZE,
                'atRev': self.revision,
            },
        )

    async def _watch(self, query: Any) -> web.Response:
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query['waitMs']) / 1000
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return web.Response(status=HTTPStatus.GONE)
            events = [
                event
                for event in self.log
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            if events or deadline - loop.time() < MIN_WAIT_SECONDS:
                return web.json_response(
                    {'events': events, 'atRev': self.revision},
                )
            changed = asyncio.create_task(self.changed.wait())
            await asyncio.wait({changed}, timeout=deadline - loop.time())
            changed.cancel()


def _encode_json(fields: Any) -> bytes:
    return json.dumps(fields).encode()
