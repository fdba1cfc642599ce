"""HTTP server that bounds what a connection makes the process read."""

import asyncio
import functools
import resource
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

import attrs
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from tanagerbend_daemon.parse_queue import (
    MAX_LINES_AT_ONCE,
    ParseQueue,
    Piece,
    split_input,
)

# Bytes of a head, and of empty lines before it; twice the longest line that
# any listener accepts.
HEAD_BYTES: Final = 131072
# Longer than the time that any deployment allows for a head.
HEAD_SECONDS: Final = 30.0
# Bytes that one read takes, and from which on a body that is not consumed
# pauses its connection.
RECEIVE_BYTES: Final = 65536
# Share of the descriptors that the connections of one listener may use.
DESCRIPTOR_SHARE: Final = 0.6


def default_connections() -> int:
    """Return the connections that the descriptors of the process allow."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(DESCRIPTOR_SHARE * allowed)


def count_nothing(_name: str, _label: str = '') -> None:
    """Ignore a count."""


@attrs.define
class InputLimits:
    """Limits of the input of one listener.

    Parameters
    ==========

    head_bytes : int
        Bytes of a head, with empty lines before it.
    head_seconds : float
        Time from the first byte of a head to its last.
    connections : int
    count : callable
        Called with the name of a counter and a label.
    """

    head_bytes: int = HEAD_BYTES
    head_seconds: float = HEAD_SECONDS
    connections: int = attrs.field(factory=default_connections)
    count: Callable[..., None] = count_nothing


class BoundedHandler(RequestHandler):
    """Connection whose input is bounded.

    Explanation
    ===========

    The parser of aiohttp bounds a line but not a head, does not count empty
    lines before a head, and takes all chunks of a read in one step.  After
    invalid input it makes an error of each further read, and such errors
    hold the bytes that were read until the garbage collector finds them.
    """

    def __init__(self, server: 'BoundedServer', **options: Any) -> None:
        super().__init__(server, **options)
        self.limits = server.limits
        self.queue = server.queue
        self.pieces: deque[Piece] = deque()
        self.payload: Any = None
        self.head_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None
        self.last_used = self._loop.time()
        self.is_refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a connection."""
        # Public in effect: asyncio reads at most so many bytes at once.
        transport.max_size = RECEIVE_BYTES
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop the input that waits."""
        self.pieces.clear()
        self._end_head()
        super().connection_lost(exc)

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for the next request."""
        return self._waiter is not None and not self._messages

    @property
    def can_parse(self) -> bool:
        """Whether received bytes wait and may be parsed."""
        is_paused = self._reading_paused or self._buffer_paused
        return bool(self.pieces) and not is_paused and not self.is_refused

    def data_received(self, data: bytes) -> None:
        """Parse a little input at once, and more of it in turns."""
        if self.is_refused:
            return
        has_to_wait = self.pieces or data.count(b'\n') > MAX_LINES_AT_ONCE
        # Without input, the parser resumes with bytes that it kept.
        if data and has_to_wait:
            self.pieces.extend(split_input(data))
            self._pause_transport_reading()
            self.queue.add(self)
        else:
            self._parse(data)

    def parse_next(self) -> int:
        """Parse a piece of the input; return the number of its lines."""
        piece = self.pieces.popleft()
        self._parse(piece.received)
        is_paused = self._reading_paused or self._buffer_paused
        if not self.pieces and not is_paused:
            self._resume_transport_reading()
        return piece.lines

    def resume_reading(self, *args: Any, **options: Any) -> None:
        """Resume after a pause.

        aiohttp calls this for each chunk that is read, also without a pause.
        """
        if self._reading_paused:
            super().resume_reading(*args, **options)

    def _resume_transport_reading(self) -> None:
        if self.pieces:
            self.queue.add(self)
            return
        if not self.is_refused:
            super()._resume_transport_reading()

    def _parse(self, received: bytes) -> None:
        payload = self.payload
        was_in_body = payload is not None and not payload.is_eof()
        requests_before = self._request_count
        # `data_received` of this class splits its input first.
        super().data_received(received)  # noqa: WPS613
        if self._request_count != requests_before:
            self._take_message()
        elif received and not was_in_body and not self._is_in_body():
            self._count_head(len(received))

    def _is_in_body(self) -> bool:
        return self.payload is not None and not self.payload.is_eof()

    def _take_message(self) -> None:
        """Record the last message that the parser found."""
        message, payload = self._messages[-1]
        self.payload = payload
        self.last_used = self._loop.time()
        self._end_head()
        if not isinstance(message, RawRequestMessage):
            self.limits.count('input_refused', 'invalid')
            # The traceback holds the frames with the bytes that were read.
            message.exc.with_traceback(None)
            message.exc.__context__ = None
            self._stop_reading()

    def _count_head(self, received: int) -> None:
        """Count bytes of a head that is not complete."""
        self.head_bytes += received
        if self.head_bytes > self.limits.head_bytes:
            self._refuse_head(
                'head too large', HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
        elif self.head_timer is None:
            self.head_timer = self._loop.call_later(
                self.limits.head_seconds,
                self._refuse_head,
                'head too slow',
                HTTPStatus.REQUEST_TIMEOUT,
            )

    def _end_head(self) -> None:
        self.head_bytes = 0
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse_head(self, reason: str, status: HTTPStatus) -> None:
        """Answer an incomplete head and close the connection.

        While a request of the connection is in progress, the next answer
        belongs to it, so the connection is closed after that.
        """
        self.limits.count('input_refused', reason)
        self._end_head()
        self._stop_reading()
        if not self.is_idle or self.transport is None:
            self.close()
            return
        self.transport.write(
            f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            'Connection: close\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        self.force_close()

    def _stop_reading(self) -> None:
        self.is_refused = True
        self.pieces.clear()
        self._pause_transport_reading()

    def _make_error_handler(
        self, err_info: Any
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        """Return a handler that answers invalid input.

        That of aiohttp writes a traceback to standard error each time.
        """
        return functools.partial(_refuse_input, err_info)


async def _refuse_input(
    error: Any, _request: web.BaseRequest
) -> web.StreamResponse:
    response = web.Response(status=error.status, text=error.message)
    response.force_close()
    return response


class BoundedServer(web.Server):
    """Server of bounded connections.

    When it has as many connections as allowed, a new one replaces the one
    that has been idle for longest, or is reset if none is idle.

    Parameters
    ==========

    handler : callable
    limits : InputLimits
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: InputLimits,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.limits = limits
        self.queue = ParseQueue()

    def __call__(self) -> BoundedHandler:
        """Return the handler of a new connection."""
        return BoundedHandler(
            self,
            loop=self._loop,
            read_bufsize=RECEIVE_BYTES,
            **self._kwargs,
        )

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Take a new connection, or make room for it."""
        if len(self._connections) >= self.limits.connections:
            self._replace_idle(transport)
        super().connection_made(handler, transport)

    def _replace_idle(self, transport: asyncio.Transport) -> None:
        idle = [each for each in self._connections if each.is_idle]
        if not idle:
            self.limits.count('connections_refused')
            transport.abort()
            return
        self.limits.count('connections_replaced')
        min(idle, key=lambda each: each.last_used).force_close()
