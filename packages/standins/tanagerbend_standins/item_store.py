"""Stand-in for the users' metadata store, with its faults."""

import asyncio
import base64
import json
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web

PAGE: Final = 50
# The first revision; the protocol says only that it is above zero.
FIRST_REVISION: Final = 100
# A watch ends if it has less than this left.
LEAST_SECONDS: Final = 0.001


class StandinItemStore:
    """Store with one revision counter that processes can only read.

    Attributes
    ==========

    calls : int
    refuses_with : int
        Status of every answer, 0 to serve.
    loses_answers : bool
        Whether answers are never sent.
    answers_with : bytes or None
        Body of every answer instead of the right one.
    keeps_from : int
        Changes up to this revision are forgotten.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.log: list[dict[str, Any]] = []
        self.revision = FIRST_REVISION
        self.keeps_from = FIRST_REVISION
        self.calls = 0
        self.refuses_with = 0
        self.loses_answers = False
        self.answers_with: bytes | None = None
        self.changed = asyncio.Event()
        self.runner: web.ServerRunner | None = None

    async def start(self) -> str:
        """Listen on loopback; return ``address:port``."""
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
        """Stop listening."""
        await self.runner.cleanup()

    def put(self, key: str, fields: Any) -> None:
        """Write a value; bytes are stored as they are."""
        raw = fields if isinstance(fields, bytes) else _json(fields)
        self.revision += 1
        created = self.items.get(key, {}).get('createRev', self.revision)
        self._note(
            {
                'key': key,
                'value': base64.b64encode(raw).decode(),
                'revision': self.revision,
                'createRev': created,
                'leaseId': 0,
            },
        )

    def delete(self, key: str) -> None:
        """Remove a value."""
        self.revision += 1
        self._note(
            {'key': key, 'revision': self.revision, 'tombstone': True},
        )

    def forget_history(self) -> None:
        """Answer watches of earlier revisions with 410."""
        self.keeps_from = self.revision
        self.log.clear()
        self._wake()

    def _note(self, event: dict[str, Any]) -> None:
        self.items.pop(event['key'], None)
        if 'value' in event:
            self.items[event['key']] = event
        self.log.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        self.calls += 1
        if self.loses_answers:
            await asyncio.Event().wait()
        if self.refuses_with:
            return web.Response(status=self.refuses_with)
        if self.answers_with is not None:
            return web.Response(body=self.answers_with)
        if request.path == '/v1/kv-range':
            return self._range(request.query)
        if request.path == '/v1/kv-watch':
            return await self._watch(request.query)
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
                'items': [self.items[key] for key in keys[:PAGE]],
                'hasMore': len(keys) > PAGE,
                'atRev': self.revision,
            },
        )

    async def _watch(self, query: Any) -> web.Response:
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        last = loop.time() + int(query['waitMs']) / 1000
        while True:
            if after < self.keeps_from:
                return web.Response(status=HTTPStatus.GONE)
            events = [
                event
                for event in self.log
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            if events or last - loop.time() < LEAST_SECONDS:
                return web.json_response(
                    {'events': events, 'atRev': self.revision},
                )
            changed = asyncio.create_task(self.changed.wait())
            await asyncio.wait({changed}, timeout=last - loop.time())
            changed.cancel()


def _json(fields: Any) -> bytes:
    return json.dumps(fields).encode()
