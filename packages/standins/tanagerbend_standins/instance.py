"""Stand-in for an instance of the users' platform, with its faults."""

import asyncio
import socket
import struct
from collections import Counter
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

# Time between the parts of what a faulty instance sends.
LATE_SECONDS: Final = 0.02


@attrs.define
class InstanceFaults:
    """What an instance does wrong, each counted down to zero.

    Parameters
    ==========

    sheds : int
        Answers 503 and says that it did not run the request.
    fails : int
        Runs the request and answers 500.
    foreign : int
        Answers with the identifier of another request.
    truncates : int
        Ends its answer early.
    resets : int
        Runs the request and resets the connection without an answer.
    unstamped : int
        Answers 200 without its stamp.
    early_reset : int
        Sends an answer without length and resets the connection.
    extra_late : int
        Sends a second answer after the first.
    """

    sheds: int = 0
    fails: int = 0
    foreign: int = 0
    truncates: int = 0
    resets: int = 0
    unstamped: int = 0
    early_reset: int = 0
    extra_late: int = 0

    def take(self, name: str) -> bool:
        """Tell whether a fault is due, and count it."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


@attrs.define
class Crashes:
    """Ends of the process of an instance.

    Parameters
    ==========

    mark : str
        A request with it in its path ends the instance; empty for none.
    down_seconds : float
        Time after which the instance has started again.
    times : list of float
        Seconds of the event loop.
    starts : int
    restart : asyncio.Task or None
    """

    mark: str = ''
    down_seconds: float = 1.0
    times: list[float] = attrs.field(factory=list)
    starts: int = 1
    restart: 'asyncio.Task[None] | None' = None

    @property
    def is_down(self) -> bool:
        """Whether the instance has not started again yet."""
        return len(self.times) >= self.starts

    def are_due(self, path: str) -> bool:
        """Tell whether a request ends the instance."""
        return bool(self.mark) and self.mark in path


class StandinInstance:
    """Instance that runs requests and counts them.

    Parameters
    ==========

    identity, service : str
    seconds : float
        Time of one request.

    Attributes
    ==========

    extra_bytes : int
        Added to the body of each answer.
    crashes : Crashes
    """

    def __init__(
        self,
        identity: str,
        service: str,
        seconds: float = 0.0,
    ) -> None:
        self.identity = identity
        self.service = service
        self.seconds = seconds
        self.extra_bytes = 0
        self.crashes = Crashes()
        self.site: web.TCPSite | None = None
        self.faults = InstanceFaults()
        self.runs: Counter[str] = Counter()
        self.order: list[str] = []
        self.headers: dict[str, Any] = {}
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        self.address = ''
        self.runner: web.ServerRunner | None = None

    async def start(self, address: str = '127.0.0.1') -> str:
        """Listen; return ``address:port``."""
        server = web.Server(self.serve, handler_cancellation=True)
        self.runner = web.ServerRunner(server, shutdown_timeout=0)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, address, 0)
        await self.site.start()
        host, port = self.runner.addresses[0]
        self.address = f'{host}:{port}'
        return self.address

    async def close(self) -> None:
        """Stop listening."""
        restart = self.crashes.restart
        if restart is not None:
            restart.cancel()
            await asyncio.wait((restart,))
        await self.runner.cleanup()

    async def crash(self) -> None:
        """End all connections, and start again after a while."""
        self.crashes.times.append(asyncio.get_running_loop().time())
        await self.site.stop()
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                _reset(connection.transport)
        self.crashes.restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self.crashes.down_seconds)
        self.crashes.starts += 1
        host, _, port = self.address.rpartition(':')
        self.site = web.TCPSite(self.runner, host, int(port))
        await self.site.start()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the entry that the instance writes of itself."""
        return {
            'address': self.address,
            'born': self.crashes.starts,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'north',
                'slots': 2,
            },
            'status': {
                'state': changes.get('state', 'ready'),
                'sequence': 1,
                'coldRemainingS': 0,
            },
        }

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request, or do not and say so."""
        identifier = request.headers.get('Request-Id', '')
        body = await request.read()
        expected = request.headers.get('Expect-Instance')
        if expected not in {None, self.identity}:
            return web.Response(
                status=HTTPStatus.MISDIRECTED_REQUEST,
                headers={
                    'Instance-Id': self.identity,
                    'Request-Id': identifier,
                },
            )
        if self.faults.take('sheds'):
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={'Not-Executed': '1', 'Request-Id': identifier},
            )
        self.runs[identifier] += 1
        self.order.append(request.raw_path)
        self.headers = dict(request.headers)
        if self.crashes.are_due(request.raw_path):
            await self.crash()
        return await self._run(request, identifier, body)

    async def _run(
        self,
        request: web.BaseRequest,
        identifier: str,
        body: bytes,
    ) -> web.StreamResponse:
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        return await self._answer(request, identifier, body)

    async def _answer(
        self,
        request: web.BaseRequest,
        identifier: str,
        body: bytes,
    ) -> web.StreamResponse:
        faults = self.faults
        headers = {'Request-Id': identifier, 'Server-Stamp': 'mark'}
        if faults.take('resets'):
            _reset(request.transport)
        if faults.take('fails'):
            return web.Response(
                status=HTTPStatus.INTERNAL_SERVER_ERROR, headers=headers
            )
        if faults.take('foreign'):
            headers['Request-Id'] = 'another'
        if faults.take('unstamped'):
            headers.pop('Server-Stamp')
        whole = f'{self.identity} {request.raw_path} '.encode() + body
        whole += bytes(self.extra_bytes)
        if faults.take('truncates'):
            return await self._break_off(request, headers, len(whole) + 9)
        if faults.take('early_reset'):
            return await self._break_off(request, headers, 0)
        if faults.take('extra_late'):
            asyncio.get_running_loop().call_later(
                LATE_SECONDS,
                request.transport.write,
                b'HTTP/1.1 200 OK\r\nRequest-Id: '
                + identifier.encode()
                + b'\r\nServer-Stamp: mark\r\n'
                b'Content-Length: 5\r\n\r\nextra',
            )
        return web.Response(headers=headers, body=whole)

    async def _break_off(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        length: int,
    ) -> web.StreamResponse:
        lines = [f'{name}: {text}' for name, text in headers.items()]
        if length:
            lines.append(f'Content-Length: {length}')
        else:
            lines.append('Connection: close')
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', 'part'))
        request.transport.write(head.encode())
        await asyncio.sleep(LATE_SECONDS)
        _reset(request.transport)
        return web.Response()


def _reset(transport: asyncio.Transport) -> None:
    """Reset a connection instead of closing it."""
    linger = struct.pack('ii', 1, 0)
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
