"""Stand-in for the configuration service, which also holds the host list."""

import asyncio
import json
import random
from collections import Counter, deque
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

REVISION_HEADER: Final = 'Platform-Revision'
CALLS_PER_SECOND: Final = 2000


@attrs.define
class Faults:
    """Faults of the stand-in that can be injected at run time.

    Parameters
    ==========

    outage : bool
        Every read gets status 503.
    silent : bool
        Reads are never answered.
    stale : bool
        Reads return the values at the time when the fault was switched on.
    delay_seconds : float
        Delay before every answer.
    lost, crossed : float
        Fractions of the answers that are never sent, or that carry the
        value of another key.
    cut_off : frozenset of str
        Hosts that cannot reach the service.
    """

    outage: bool = False
    silent: bool = False
    stale: bool = False
    delay_seconds: float = 0.0
    lost: float = 0.0
    crossed: float = 0.0
    cut_off: frozenset[str] = frozenset()


@attrs.define
class RateMeter:
    """Number of calls in the last second and its maximum so far."""

    recent_times: deque[float] = attrs.field(factory=deque)
    peak: int = 0

    def count(self, now: float) -> int:
        """Count a call and return the number of calls in the last second.

        Examples
        ========

        >>> meter = RateMeter()
        >>> [meter.count(now) for now in (0.0, 0.5, 1.2)], meter.peak
        ([1, 2, 2], 2)
        """
        self.recent_times.append(now)
        while self.recent_times[0] <= now - 1:
            self.recent_times.popleft()
        self.peak = max(self.peak, len(self.recent_times))
        return len(self.recent_times)


class StandinPlatform:
    """Configuration service with reads and long-polling watches over HTTP.

    Explanation
    ===========

    ``GET /keys/KEY`` returns the value with its revision in a header;
    ``?after=N&wait=S`` waits up to S seconds for a revision other than N
    and returns status 304 if there is none.  The host list is stored
    under its own key.  Only the test or demo that runs the stand-in
    writes values.  Calls beyond the limit per second get status 429.
    Each host can get its own port, by which its calls are identified.

    Attributes
    ==========

    calls, over_limit : int
        Number of all calls, and of those refused because of the limit.
    calls_by_host : Counter of str
        Number of calls by host.
    meter : RateMeter
        ``meter.peak`` is the highest number of calls in one second.
    """

    def __init__(self, seed: int = 1) -> None:
        self.keys: dict[str, tuple[int, bytes]] = {}
        self.history: dict[str, dict[int, bytes]] = {}
        self.frozen: dict[str, tuple[int, bytes]] = {}
        self.revision = 0
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.random = random.Random(seed)  # noqa: S311
        self.calls = 0
        self.over_limit = 0
        self.host_by_port: dict[int, str] = {}
        self.calls_by_host: Counter[str] = Counter()
        self.call_timestamps: list[float] = []
        self.meter = RateMeter()
        self.limit = CALLS_PER_SECOND
        self.runner: web.AppRunner | None = None

    async def publish(
        self,
        key: str,
        content: bytes,
        revision: int | None = None,
    ) -> int:
        """Publish a value; ``revision`` sets the revision counter.

        Publishing another value under the current revision makes the
        service return two contents for one revision.
        """
        self.revision = self.revision + 1 if revision is None else revision
        self.keys[key] = (self.revision, content)
        self.history.setdefault(key, {})[self.revision] = content
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def restore(self, key: str, revision: int) -> None:
        """Return to an older revision, as after restoring a backup."""
        await self.publish(key, self.history[key][revision], revision)

    async def publish_hosts(self, key: str, hosts: list[dict]) -> int:
        """Publish the host list."""
        return await self.publish(key, json.dumps({'hosts': hosts}).encode())

    def update_faults(self, **changes: Any) -> None:
        """Replace fields of the faults."""
        was_stale = self.faults.stale
        self.faults = attrs.evolve(self.faults, **changes)
        if self.faults.stale != was_stale:
            self.frozen = dict(self.keys) if self.faults.stale else {}

    def freeze(self, key: str) -> None:
        """Serve the current value of a key until it is unfrozen."""
        self.frozen[key] = self.keys.get(key, (0, b''))

    async def unfreeze(self, key: str) -> None:
        """Serve the newest value of a key again."""
        self.frozen.pop(key, None)
        async with self.changed:
            self.changed.notify_all()

    async def start(self, address: str = '127.0.0.1', port: int = 0) -> str:
        """Start listening and return the URL."""
        application = web.Application()
        application.router.add_get('/keys/{key}', self.serve)
        self.runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self.runner.setup()
        return await self._listen(address, port)

    async def listen_for_host(self, host: str) -> str:
        """Listen on a separate port for one host and return its URL.

        Calls to this port are attributed to the host, which ``cut_off``
        can disconnect.
        """
        url = await self._listen('127.0.0.1', 0)
        self.host_by_port[int(url.rpartition(':')[2])] = host
        return url

    async def _listen(self, address: str, port: int) -> str:
        site = web.TCPSite(self.runner, address, port, backlog=1024)
        await site.start()
        bound_address = self.runner.addresses[-1]
        return f'http://{bound_address[0]}:{bound_address[1]}'

    def _host_of(self, request: web.Request) -> str:
        if request.transport is None:
            return ''
        _address, port = request.transport.get_extra_info('sockname')
        return self.host_by_port.get(port, '')

    async def serve(self, request: web.Request) -> web.Response:
        """Handle a read or a watch."""
        host = self._host_of(request)
        if host in self.faults.cut_off:
            return _abort(request)
        if not self._count(host):
            return web.Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        if self.faults.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.outage:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        key = request.match_info['key']
        after = request.query.get('after')
        if after is not None:
            await self._wait_for_change(
                key, int(after), float(request.query['wait'])
            )
        if self._occurs(self.faults.lost) or host in self.faults.cut_off:
            return _abort(request)
        return self._respond(key, after)

    def _count(self, host: str) -> bool:
        now = asyncio.get_running_loop().time()
        self.calls += 1
        self.calls_by_host[host] += 1
        self.call_timestamps.append(now)
        is_within_limit = self.meter.count(now) <= self.limit
        self.over_limit += not is_within_limit
        return is_within_limit

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self.random.random() < probability

    def _served_value(self, key: str) -> tuple[int, bytes]:
        if self._occurs(self.faults.crossed):
            key = next((other for other in self.keys if other != key), key)
        return self.frozen.get(key) or self.keys.get(key, (0, b''))

    async def _wait_for_change(
        self, key: str, after: int, seconds: float
    ) -> None:
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(
                    lambda: self._served_value(key)[0] != after,
                )
        except TimeoutError:
            return

    def _respond(self, key: str, after: str | None) -> web.Response:
        revision, content = self._served_value(key)
        if not revision:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if after is not None and revision == int(after):
            return web.Response(status=HTTPStatus.NOT_MODIFIED)
        return web.Response(
            body=content,
            headers={REVISION_HEADER: str(revision)},
        )

    async def close(self) -> None:
        """Stop the server."""
        if self.runner is not None:
            await self.runner.cleanup()


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
