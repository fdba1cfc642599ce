"""Stand-in for the platform: configuration service and host list."""

import asyncio
import json
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

REVISION_HEADER: Final = 'Platform-Revision'


@attrs.define
class Faults:
    """Faults of the stand-in, switchable at run time.

    Parameters
    ==========

    outage : bool
        Every read is answered with status 503.
    silent : bool
        Reads are never answered.
    stale : bool
        Reads return the value held when the fault was switched on.
    delay_seconds : float
        Added to every answer.
    """

    outage: bool = False
    silent: bool = False
    stale: bool = False
    delay_seconds: float = 0.0


class StandinPlatform:
    """Configuration service with read and watch, over HTTP.

    Explanation
    ===========

    ``GET /keys/KEY`` returns the value with its revision in a header;
    ``?after=N&wait=S`` waits up to S seconds for a revision other than N
    and answers 304 if there is none.  The host list is the value of its
    own key.  Only the test or demo that runs the stand-in writes values.
    """

    def __init__(self) -> None:
        self.keys: dict[str, tuple[int, bytes]] = {}
        self.stale_keys: dict[str, tuple[int, bytes]] = {}
        self.revision = 0
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.calls = 0
        self.call_times: list[float] = []
        self.runner: web.AppRunner | None = None

    async def publish(
        self,
        key: str,
        content: bytes,
        revision: int | None = None,
    ) -> int:
        """Publish a value; ``revision`` restores an older one."""
        self.revision = self.revision + 1 if revision is None else revision
        self.keys[key] = (self.revision, content)
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def publish_hosts(self, key: str, hosts: list[dict]) -> int:
        """Publish the host list."""
        return await self.publish(key, json.dumps({'hosts': hosts}).encode())

    def switch(self, **changes: Any) -> None:
        """Switch faults on or off."""
        self.faults = attrs.evolve(self.faults, **changes)
        self.stale_keys = dict(self.keys) if self.faults.stale else {}

    async def start(self, address: str = '127.0.0.1', port: int = 0) -> str:
        """Listen; return the URL."""
        application = web.Application()
        application.router.add_get('/keys/{key}', self.answer)
        self.runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, address, port, backlog=1024)
        await site.start()
        bound = self.runner.addresses[0]
        return f'http://{bound[0]}:{bound[1]}'

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a read or a watch."""
        self.calls += 1
        self.call_times.append(asyncio.get_running_loop().time())
        if self.faults.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.outage:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        key = request.match_info['key']
        after = request.query.get('after')
        if after is not None:
            await self._wait(key, int(after), float(request.query['wait']))
        return self._respond(key, after)

    def _held(self, key: str) -> tuple[int, bytes]:
        keys = self.stale_keys or self.keys
        return keys.get(key, (0, b''))

    async def _wait(self, key: str, after: int, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(
                    lambda: self._held(key)[0] != after,
                )
        except TimeoutError:
            return

    def _respond(self, key: str, after: str | None) -> web.Response:
        revision, content = self._held(key)
        if not revision:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if after is not None and revision == int(after):
            return web.Response(status=HTTPStatus.NOT_MODIFIED)
        return web.Response(
            body=content,
            headers={REVISION_HEADER: str(revision)},
        )

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()
