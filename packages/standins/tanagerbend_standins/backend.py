"""Stand-in for a backend server."""

import asyncio
from collections import Counter
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import web


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
    """

    work_seconds: float = 0.0
    sheds_load: bool = False
    load_percent: int = 0


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
        return web.Response(
            body=b'%s ran %s' % (self.name.encode(), body),
            headers={'Load-Percent': str(self.behaviour.load_percent)},
        )

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()
