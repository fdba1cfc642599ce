"""Stand-in for a backend server."""

import asyncio
import random
from collections import Counter
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

from tanagerbend_model import headers
from tanagerbend_standins.behaviour import Behaviour, Excess

FULL_PERCENT: Final = 100
READY_PATH: Final = '/ready'
OTHER_REQUEST: Final = 'request-of-another-caller'


class StandinBackend:
    """Backend server that counts what it runs.

    Parameters
    ==========

    name : str
    seed : int
        For the faults that concern a share of the answers.

    Attributes
    ==========

    runs : Counter of str
        Requests begun, by order key, else by path.
    bodies : Counter of bytes
        Requests begun with a body, by that body.
    excess, crashes, refused_connections : int
        Requests begun without a free slot, crashes, and connections over
        the limit.
    """

    def __init__(self, name: str, seed: int = 1) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.random = random.Random(f'{name}/{seed}')  # noqa: S311
        self.running = 0
        self.most_running = 0
        self.excess = 0
        self.crashes = 0
        self.refused_connections = 0
        self.runs: Counter[str] = Counter()
        self.bodies: Counter[bytes] = Counter()
        self.silent: set[Any] = set()
        self.tasks: set[asyncio.Task] = set()
        self.runner: web.ServerRunner | None = None
        self.site: web.TCPSite | None = None
        self.bound: tuple[str, int] = ('127.0.0.1', 0)
        self.started = 0.0
        self.restarting: asyncio.Task | None = None

    def behave(self, **changes: Any) -> None:
        """Change the behaviour."""
        self.behaviour = attrs.evolve(self.behaviour, **changes)

    async def start(self, address: str = '127.0.0.1', port: int = 0) -> str:
        """Listen; return ``address:port``."""
        server = web.Server(
            self.answer,
            # A closed connection cancels its request.
            handler_cancellation=True,
            access_log=None,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        await self._listen(address, port)
        self.bound = self.runner.addresses[0][:2]
        return f'{self.bound[0]}:{self.bound[1]}'

    async def _listen(self, address: str, port: int) -> None:
        self.started = asyncio.get_running_loop().time()
        self.site = web.TCPSite(self.runner, address, port)
        await self.site.start()

    def silence_connections(self) -> None:
        """Never answer again on the connections now open."""
        self.silent = {
            connection.transport for connection in self._connections()
        }

    def _connections(self) -> list[Any]:
        return list(self.runner.server.connections)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request, with the faults that are switched on."""
        if request.transport in self.silent:
            await asyncio.Event().wait()
        if request.path == READY_PATH:
            return self._answer_probe()
        if self._connections().index(request.protocol) >= (
            self.behaviour.connections
        ):
            self.refused_connections += 1
            return _cut(request)
        if self._is_refused():
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers=self._load_header(),
            )
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            return await self._run(request)
        finally:
            self.tasks.discard(task)

    def _is_refused(self) -> bool:
        behaviour = self.behaviour
        if self.running >= behaviour.slots:
            self.excess += 1
            if behaviour.excess is Excess.REFUSED:
                return True
        return behaviour.sheds_load or behaviour.draining

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            body = await request.read()
            self._count(request, body)
            mark = self.behaviour.crash_mark
            if mark and (mark in body or mark in request.path_qs.encode()):
                return await self._crash(request)
            await asyncio.sleep(self._work_seconds())
        finally:
            self.running -= 1
        return await self._respond(request, body)

    def _count(self, request: web.BaseRequest, body: bytes) -> None:
        self.runs[request.headers.get(headers.ORDER_KEY, request.path)] += 1
        if body:
            self.bodies[body] += 1

    def _work_seconds(self) -> float:
        behaviour = self.behaviour
        age = asyncio.get_running_loop().time() - self.started
        cold = behaviour.cold_factor if age < behaviour.cold_seconds else 1.0
        crowding = max(1.0, self.running / behaviour.slots)
        return behaviour.work_seconds * cold * crowding

    async def _respond(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.StreamResponse:
        behaviour = self.behaviour
        if self._happens(behaviour.lost):
            return _cut(request)
        text = b'%s ran %s' % (self.name.encode(), body)
        own = self._load_header()
        request_id = request.headers.get(headers.REQUEST_ID, '')
        if self._happens(behaviour.crossed):
            request_id = OTHER_REQUEST
            text = b'%s ran %s' % (self.name.encode(), b'another request')
        if request_id:
            own[headers.REQUEST_ID] = request_id
        if self._happens(behaviour.truncated):
            return await _truncate(request, own, text)
        return web.Response(body=text, headers=own)

    def _happens(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def _load_header(self) -> dict[str, str]:
        load = self.behaviour.load_percent
        if load is None:
            load = FULL_PERCENT * self.running // self.behaviour.slots
        return {'Load-Percent': str(load)}

    async def _crash(self, request: web.BaseRequest) -> web.StreamResponse:
        self.crashes += 1
        if self.site is not None:
            await self.site.stop()
            self.site = None
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()
        for connection in self._connections():
            if connection.transport is not None:
                connection.transport.abort()
        if self.restarting is None or self.restarting.done():
            self.restarting = asyncio.create_task(self._restart())
        return _cut(request)

    async def _restart(self) -> None:
        await asyncio.sleep(self.behaviour.crash_seconds)
        await self._listen(*self.bound)

    def _answer_probe(self) -> web.Response:
        if not self.behaviour.draining:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def close(self) -> None:
        """Stop listening."""
        if self.restarting is not None:
            self.restarting.cancel()
        if self.runner is not None:
            await self.runner.cleanup()


def _cut(request: web.BaseRequest) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _truncate(
    request: web.BaseRequest,
    own: dict[str, str],
    text: bytes,
) -> web.StreamResponse:
    response = web.StreamResponse(headers=own)
    response.content_length = len(text)
    await response.prepare(request)
    await response.write(text[: len(text) // 2])
    _cut(request)
    return response
