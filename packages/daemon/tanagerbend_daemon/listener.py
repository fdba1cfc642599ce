"""Listening socket that can be closed without losing a request."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web

from tanagerbend_daemon.bounded_server import BoundedServer, InputLimits

BACKLOG: Final = 1024
POLL_SECONDS: Final = 0.02
SETTLE_ROUNDS: Final = 5
# Time for which a stop waits for requests on idle connections.
LINGER_SECONDS: Final = 1.0


def make_runner(
    serve: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    shutdown_seconds: float,
    limits: InputLimits | None = None,
    **options: Any,
) -> web.ServerRunner:
    """Return a runner that answers requests with ``serve``.

    ``options`` are passed to ``web.Server``.
    """
    server = BoundedServer(
        serve,
        limits or InputLimits(),
        # Frees the slot of a caller that disconnects.
        handler_cancellation=True,
        auto_decompress=False,
        access_log=None,
        **options,
    )
    return web.ServerRunner(
        server,
        access_log=None,
        shutdown_timeout=shutdown_seconds,
    )


def unsent_bytes(runner: web.ServerRunner | None) -> int:
    """Return the number of bytes of answers not yet sent to the kernel."""
    if runner is None or runner.server is None:
        return 0
    transports = (protocol.transport for protocol in runner.server.connections)
    return sum(
        transport.get_write_buffer_size()
        for transport in transports
        if transport is not None
    )


class Listener:
    """Accepts connections for a server runner.

    Parameters
    ==========

    runner : web.ServerRunner
    """

    def __init__(self, runner: web.ServerRunner) -> None:
        self.runner = runner
        self.socket: socket.socket | None = None

    async def start(self, address: str, port: int) -> str:
        """Start to listen and return ``address:port``."""
        self.socket = socket.create_server((address, port), backlog=BACKLOG)
        await web.SockSite(self.runner, self.socket, backlog=BACKLOG).start()
        bound = self.runner.addresses[0]
        return f'{bound[0]}:{bound[1]}'

    async def close(self) -> None:
        """Stop listening and serve the connections that are established.

        Explanation
        ===========

        Closing a listening socket resets the connections in its backlog,
        whose requests may have been sent already.  Therefore the remaining
        connections are accepted from a duplicate of the socket, which is
        closed once its backlog is empty.
        """
        if self.socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket.fileno())
        # Let asyncio set up the connections that it has accepted: stopping
        # the server would drop them.
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)
        duplicate = self.socket.dup()
        for site in list(self.runner.sites):
            await site.stop()
        accepted = _accept_all(duplicate)
        duplicate.close()
        self.socket = None
        for connection in accepted:
            await loop.connect_accepted_socket(self.runner.server, connection)
        await self._linger()

    async def _linger(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + LINGER_SECONDS
        while self.runner.server.connections and loop.time() < end:
            await asyncio.sleep(POLL_SECONDS)


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    listening.setblocking(False)  # noqa: FBT003
    accepted = []
    while True:
        try:
            connection, _address = listening.accept()
        except BlockingIOError:
            return accepted
        connection.setblocking(False)  # noqa: FBT003
        accepted.append(connection)
