"""Stand-in for a backend server, with faults that can be injected."""

import asyncio
import random
from collections import Counter
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

from tanagerbend_model import headers
from tanagerbend_standins.behaviour import Behaviour, OverloadResponse

FULL_PERCENT: Final = 100
READY_PATH: Final = '/ready'
OTHER_REQUEST_ID: Final = 'request-of-another-caller'


class StandinBackend:
    """HTTP server that counts the requests it runs.

    Parameters
    ==========

    name : str
    seed : int
        Seed for the faults that affect a fraction of the answers.

    Attributes
    ==========

    run_counts : Counter of str
        Number of started requests by order key, or by path for requests
        without a key.
    run_counts_by_body : Counter of bytes
        Number of started requests with a body, by body.
    overload_requests, crashes, refused_connections : int
        Number of requests that arrived without a free slot, of crashes,
        and of requests on connections over the limit.
    peak_running : int
        Highest number of requests that ran concurrently.
    """

    def __init__(self, name: str, seed: int = 1) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.random = random.Random(f'{name}/{seed}')  # noqa: S311
        self.running = 0
        self.peak_running = 0
        self.overload_requests = 0
        self.crashes = 0
        self.refused_connections = 0
        self.run_counts: Counter[str] = Counter()
        self.run_counts_by_body: Counter[bytes] = Counter()
        self.silent_transports: set[Any] = set()
        self.request_tasks: set[asyncio.Task] = set()
        self.runner: web.ServerRunner | None = None
        self.site: web.TCPSite | None = None
        self.bound_address: tuple[str, int] = ('127.0.0.1', 0)
        self.started_at = 0.0
        self.restart_task: asyncio.Task | None = None

    def update_behaviour(self, **changes: Any) -> None:
        """Replace fields of the behaviour."""
        self.behaviour = attrs.evolve(self.behaviour, **changes)

    async def start(self, address: str = '127.0.0.1', port: int = 0) -> str:
        """Start listening and return ``address:port``."""
        server = web.Server(
            self.serve,
            # Cancels the handler when its connection is closed.
            handler_cancellation=True,
            access_log=None,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        await self._listen(address, port)
        self.bound_address = self.runner.addresses[0][:2]
        return f'{self.bound_address[0]}:{self.bound_address[1]}'

    async def _listen(self, address: str, port: int) -> None:
        self.started_at = asyncio.get_running_loop().time()
        self.site = web.TCPSite(self.runner, address, port)
        await self.site.start()

    def silence_connections(self) -> None:
        """Stop answering on all connections that are open now."""
        self.silent_transports = {
            connection.transport for connection in self._connections()
        }

    def _connections(self) -> list[Any]:
        return list(self.runner.server.connections)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and apply the active faults."""
        if request.transport in self.silent_transports:
            await asyncio.Event().wait()
        if request.path == READY_PATH:
            return self._serve_probe()
        if self._connections().index(request.protocol) >= (
            self.behaviour.connections
        ):
            self.refused_connections += 1
            return _abort(request)
        if self._should_refuse():
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers=self._load_header(),
            )
        task = asyncio.current_task()
        self.request_tasks.add(task)
        try:
            return await self._run(request)
        finally:
            self.request_tasks.discard(task)

    def _should_refuse(self) -> bool:
        behaviour = self.behaviour
        if self.running >= behaviour.slots:
            self.overload_requests += 1
            if behaviour.overload_response is OverloadResponse.REFUSED:
                return True
        return behaviour.sheds_load or behaviour.draining

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            body = await request.read()
            self._count_run(request, body)
            crash_trigger = self.behaviour.crash_trigger
            if crash_trigger and (
                crash_trigger in body
                or crash_trigger in request.path_qs.encode()
            ):
                return await self._crash(request)
            await asyncio.sleep(self._work_seconds())
        finally:
            self.running -= 1
        return await self._respond(request, body)

    def _count_run(self, request: web.BaseRequest, body: bytes) -> None:
        self.run_counts[
            request.headers.get(headers.ORDER_KEY, request.path)
        ] += 1
        if body:
            self.run_counts_by_body[body] += 1

    def _work_seconds(self) -> float:
        behaviour = self.behaviour
        age = asyncio.get_running_loop().time() - self.started_at
        cold_factor = (
            behaviour.cold_factor if age < behaviour.cold_seconds else 1.0
        )
        slowdown = max(1.0, self.running / behaviour.slots)
        return behaviour.work_seconds * cold_factor * slowdown

    async def _respond(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.StreamResponse:
        behaviour = self.behaviour
        if self._occurs(behaviour.lost_share):
            return _abort(request)
        content = b'%s ran %s' % (self.name.encode(), body)
        response_headers = self._load_header()
        request_id = request.headers.get(headers.REQUEST_ID, '')
        if self._occurs(behaviour.crossed_share):
            request_id = OTHER_REQUEST_ID
            content = b'%s ran %s' % (self.name.encode(), b'another request')
        if request_id:
            response_headers[headers.REQUEST_ID] = request_id
        if self._occurs(behaviour.truncated_share):
            return await _truncate(request, response_headers, content)
        return web.Response(body=content, headers=response_headers)

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self.random.random() < probability

    def _load_header(self) -> dict[str, str]:
        load_percent = self.behaviour.load_percent
        if load_percent is None:
            load_percent = FULL_PERCENT * self.running // self.behaviour.slots
        return {'Load-Percent': str(load_percent)}

    async def _crash(self, request: web.BaseRequest) -> web.StreamResponse:
        self.crashes += 1
        if self.site is not None:
            await self.site.stop()
            self.site = None
        for task in self.request_tasks - {asyncio.current_task()}:
            task.cancel()
        for connection in self._connections():
            if connection.transport is not None:
                connection.transport.abort()
        if self.restart_task is None or self.restart_task.done():
            self.restart_task = asyncio.create_task(self._restart())
        return _abort(request)

    async def _restart(self) -> None:
        await asyncio.sleep(self.behaviour.crash_seconds)
        await self._listen(*self.bound_address)

    def _serve_probe(self) -> web.Response:
        if not self.behaviour.draining:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def close(self) -> None:
        """Stop the server and any pending restart."""
        if self.restart_task is not None:
            self.restart_task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()


def _abort(request: web.BaseRequest) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _truncate(
    request: web.BaseRequest,
    response_headers: dict[str, str],
    content: bytes,
) -> web.StreamResponse:
    response = web.StreamResponse(headers=response_headers)
    response.content_length = len(content)
    await response.prepare(request)
    await response.write(content[: len(content) // 2])
    _abort(request)
    return response
