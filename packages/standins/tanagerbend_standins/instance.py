"""Stand-in for an instance of the users' platform, with faults to inject."""

import asyncio
import socket
import struct
from collections import Counter
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web

# Delay between the two parts that a faulty instance sends.
FAULT_DELAY_SECONDS: Final = 0.02


@attrs.define
class InstanceFaults:
    """Number of requests that each fault still affects.

    Parameters
    ==========

    sheds : int
        Returns status 503 and reports that the request did not run.
    fails : int
        Runs the request and returns ``fail_status``.
    foreign : int
        Returns the identifier of another request.
    truncates : int
        Resets the connection before the announced length is sent.
    resets : int
        Runs the request and resets the connection without an answer.
    unstamped : int
        Returns status 200 without the ``Server-Stamp`` header.
    early_reset : int
        Sends an answer without a length and resets the connection.
    extra_late : int
        Sends a second answer after the first.
    fail_status : int
    """

    sheds: int = 0
    fails: int = 0
    foreign: int = 0
    truncates: int = 0
    resets: int = 0
    unstamped: int = 0
    early_reset: int = 0
    extra_late: int = 0
    fail_status: int = HTTPStatus.INTERNAL_SERVER_ERROR

    def consume(self, name: str) -> bool:
        """Return whether a fault applies now, and decrement its count."""
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return bool(remaining)


@attrs.define
class CrashState:
    """Simulated crashes of the process of an instance.

    Parameters
    ==========

    trigger : str
        A request whose path contains it crashes the instance; empty to
        disable crashes.
    down_seconds : float
        Time between a crash and the restart.
    delay_seconds : float
        Time between the start of such a request and the crash.
    crash_times : list of float
        Event loop times of the crashes.
    starts : int
        Number of starts, including the first one.
    restart : asyncio.Task or None
    pending : set of asyncio.Task
        Crashes whose delay has not passed yet.
    """

    trigger: str = ''
    down_seconds: float = 1.0
    delay_seconds: float = 0.0
    crash_times: list[float] = attrs.field(factory=list)
    starts: int = 1
    restart: 'asyncio.Task[None] | None' = None
    pending: 'set[asyncio.Task[None]]' = attrs.field(factory=set)

    @property
    def is_down(self) -> bool:
        """Whether the instance has crashed and not restarted yet."""
        return len(self.crash_times) >= self.starts

    def is_triggered_by(self, path: str) -> bool:
        """Return whether a request with this path crashes the instance."""
        return bool(self.trigger) and self.trigger in path


class StandinInstance:
    """HTTP server of an instance that records the requests it runs.

    Parameters
    ==========

    identity, service : str
    work_seconds : float
        Processing time of a request.

    Attributes
    ==========

    extra_bytes : int
        Number of zero bytes appended to the body of each answer.
    crashes : CrashState
    run_counts : Counter of str
        Number of started requests by request identifier.
    requested_paths : list of str
        Paths of the started requests, in order of arrival.
    last_headers : dict of str to str
        Headers of the last started request.
    peak_running : int
        Highest number of requests that ran concurrently.
    cancelled : int
        Number of requests cancelled while they ran.
    misdirected : int
        Number of requests for another instance.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        work_seconds: float = 0.0,
    ) -> None:
        self.identity = identity
        self.service = service
        self.work_seconds = work_seconds
        self.extra_bytes = 0
        self.crashes = CrashState()
        self.site: web.TCPSite | None = None
        self.faults = InstanceFaults()
        self.run_counts: Counter[str] = Counter()
        self.requested_paths: list[str] = []
        self.last_headers: dict[str, Any] = {}
        self.running = 0
        self.peak_running = 0
        self.cancelled = 0
        self.misdirected = 0
        self.address = ''
        self.runner: web.ServerRunner | None = None

    async def start(self, address: str = '127.0.0.1') -> str:
        """Start listening and return ``address:port``."""
        server = web.Server(self.serve, handler_cancellation=True)
        self.runner = web.ServerRunner(server, shutdown_timeout=0)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, address, 0)
        await self.site.start()
        host, port = self.runner.addresses[0]
        self.address = f'{host}:{port}'
        return self.address

    async def close(self) -> None:
        """Stop the server and any pending restart."""
        tasks = set(self.crashes.pending)
        if self.crashes.restart is not None:
            tasks.add(self.crashes.restart)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        await self.runner.cleanup()

    async def crash(self) -> None:
        """Reset all connections, stop listening and schedule a restart."""
        self.crashes.crash_times.append(asyncio.get_running_loop().time())
        await self.site.stop()
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                _reset(connection.transport)
        self.crashes.restart = asyncio.create_task(self._restart())

    async def _crash_after_delay(self) -> None:
        """Crash once the delay has passed, also if the caller leaves."""
        seconds = self.crashes.delay_seconds
        if not seconds:
            await self.crash()
            return
        task = asyncio.create_task(self._crash_later(seconds))
        self.crashes.pending.add(task)
        task.add_done_callback(self.crashes.pending.discard)

    async def _crash_later(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.crash()

    async def _restart(self) -> None:
        await asyncio.sleep(self.crashes.down_seconds)
        self.crashes.starts += 1
        host, _, port = self.address.rpartition(':')
        self.site = web.TCPSite(self.runner, host, int(port))
        await self.site.start()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the store entry in which the instance describes itself."""
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
                'sequence': changes.get('sequence', 1),
                'coldRemainingS': 0,
            },
        }

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request, or refuse it and report that it did not run."""
        identifier = request.headers.get('Request-Id', '')
        # `request.read` refuses more than 1 MiB.
        body = await request.content.read()
        expected = request.headers.get('Expect-Instance')
        if expected not in {None, self.identity}:
            self.misdirected += 1
            return web.Response(
                status=HTTPStatus.MISDIRECTED_REQUEST,
                headers={
                    'Instance-Id': self.identity,
                    'Request-Id': identifier,
                },
            )
        if self.faults.consume('sheds'):
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={'Not-Executed': '1', 'Request-Id': identifier},
            )
        self.run_counts[identifier] += 1
        self.requested_paths.append(request.raw_path)
        self.last_headers = dict(request.headers)
        if self.crashes.is_triggered_by(request.raw_path):
            await self._crash_after_delay()
        return await self._run(request, identifier, body)

    async def _run(
        self,
        request: web.BaseRequest,
        identifier: str,
        body: bytes,
    ) -> web.StreamResponse:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await asyncio.sleep(self.work_seconds)
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
        if faults.consume('resets'):
            _reset(request.transport)
        if faults.consume('fails'):
            return web.Response(status=faults.fail_status, headers=headers)
        if faults.consume('foreign'):
            headers['Request-Id'] = 'another'
        if faults.consume('unstamped'):
            headers.pop('Server-Stamp')
        answer_body = f'{self.identity} {request.raw_path} '.encode() + body
        answer_body += bytes(self.extra_bytes)
        if faults.consume('truncates'):
            return await self._abort_answer(
                request, headers, len(answer_body) + 9
            )
        if faults.consume('early_reset'):
            return await self._abort_answer(request, headers, 0)
        if faults.consume('extra_late'):
            asyncio.get_running_loop().call_later(
                FAULT_DELAY_SECONDS,
                request.transport.write,
                b'HTTP/1.1 200 OK\r\nRequest-Id: '
                + identifier.encode()
                + b'\r\nServer-Stamp: mark\r\n'
                b'Content-Length: 5\r\n\r\nextra',
            )
        return web.Response(headers=headers, body=answer_body)

    async def _abort_answer(
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
        answer_start = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', 'part'))
        request.transport.write(answer_start.encode())
        await asyncio.sleep(FAULT_DELAY_SECONDS)
        _reset(request.transport)
        return web.Response()


def _reset(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset."""
    linger = struct.pack('ii', 1, 0)
    tcp_socket = transport.get_extra_info('socket')
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
