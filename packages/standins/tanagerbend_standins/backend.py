"""Stand-in for a backend server."""

import asyncio
import random
from collections import Counter
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

READY_PATH: Final = '/ready'


@attrs.define
class Behaviour:
    """How the stand-in behaves, switchable at run time.

    Parameters
    ==========

    work_seconds : float
        Time that a request takes.
    sheds_load : bool
        Every request is answered with status 503.
    load_percent : int
        Load that the stand-in reports, true or not.
    crash_path : str
        A request with this path ends all connections, as a crash does.
    down_seconds : float
        Time after a crash in which nothing listens.
    lost_answers : float
        Share of requests that run, but whose answer is lost.
    is_ready : bool
        What ``GET /ready`` answers.
    """

    work_seconds: float = 0.0
    sheds_load: bool = False
    load_percent: int = 0
    crash_path: str = ''
    down_seconds: float = 0.2
    lost_answers: float = 0.0
    is_ready: bool = True


class StandinBackend:
    """Backend server that counts what it runs.

    Parameters
    ==========

    name : str
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.running = 0
        self.most_running = 0
        self.runs: Counter[str] = Counter()
        self.runner: web.AppRunner | None = None
        self.random = random.Random(name)  # noqa: S311
        self.crashes = 0
        self.restart: asyncio.Task[None] | None = None

    def behave(self, **changes: Any) -> None:
        """Change the behaviour."""
        self.behaviour = attrs.evolve(self.behaviour, **changes)

    async def start(self, address: str = '127.0.0.1', port: int = 0) -> str:
        """Listen; return ``address:port``."""
        application = web.Application(client_max_size=0)
        application.router.add_route('*', '/{path:.*}', self.answer)
        self.runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, address, port).start()
        bound = self.runner.addresses[0]
        return f'{bound[0]}:{bound[1]}'

    async def answer(self, request: web.Request) -> web.Response:
        """Run one request."""
        if request.path == READY_PATH:
            return self._answer_probe()
        if self.behaviour.sheds_load:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        body = await request.read()
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs[request.headers.get('Idempotency-Key', request.path)] += 1
        try:
            await asyncio.sleep(self.behaviour.work_seconds)
        finally:
            self.running -= 1
        if request.path == self.behaviour.crash_path:
            self.crash()
        elif self.random.random() < self.behaviour.lost_answers:
            request.transport.abort()
        return web.Response(
            body=b'%s ran %s' % (self.name.encode(), body),
            headers={'Load-Percent': str(self.behaviour.load_percent)},
        )

    def _answer_probe(self) -> web.Response:
        if self.behaviour.is_ready:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    def crash(self) -> None:
        """End all connections and listen again after a while."""
        self.crashes += 1
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        if self.restart is None or self.restart.done():
            self.restart = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        address, port = self.runner.addresses[0][:2]
        for site in self.runner.sites:
            await site.stop()
        await asyncio.sleep(self.behaviour.down_seconds)
        await web.TCPSite(self.runner, address, port).start()

    async def close(self) -> None:
        """Stop listening."""
        if self.restart is not None:
            await asyncio.gather(self.restart, return_exceptions=True)
        if self.runner is not None:
            await self.runner.cleanup()
