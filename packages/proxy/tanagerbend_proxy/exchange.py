"""Sends one HTTP request to an instance or daemon and reads the answer."""

import asyncio
import functools
import math
import socket
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Final

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from tanagerbend_daemon.connections import (
    AUTOMATIC_HEADERS,
    CURRENT_ATTEMPT,
    HOP_BY_HOP,
    NOT_SENT_ERRORS,
    Attempt,
    Connector,
    StartRefusedError,
    is_answer_status,
    start_always,
)
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.answer_body import limited_parts, skip_body
from tanagerbend_proxy.messages import Answer

Headers = CIMultiDict[str]
OK: Final = int(HTTPStatus.OK)
# A connection is closed when sent bytes stay unacknowledged for this time.
# A host that lost power sends no reset, and enough time must remain to send
# the request to another instance.
UNACKED_TIMEOUT_MS: Final = 700
# TCP keepalive while a connection waits for an answer.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
CONNECT_SECONDS: Final = 0.4
# Late answers to earlier requests that may be skipped on a connection.
MAX_SKIPPED_ANSWERS: Final = 4
# Interim answers (status 1xx) before the answer to a request.
MAX_INTERIM_ANSWERS: Final = 16
READ_BUFFER_BYTES: Final = 262144
# Number of values of the header `Connection` whose parsed names are cached.
CONNECTION_HEADER_CACHE_SIZE: Final = 64
# Raised for bytes that are no HTTP answer, and for truncated answers.
BROKEN_ANSWERS: Final = (
    aiohttp.ClientPayloadError,
    aiohttp.ClientResponseError,
)


class InvalidStatusError(aiohttp.ClientPayloadError):
    """The status line has a status that no answer has."""


@attrs.define
class IdentifiedAttempt(Attempt):
    """Attempt whose answer must carry an identifier.

    Parameters
    ==========

    header : str
        Name of the header with the identifier; empty to accept any answer.
    identifier : str
    after_mismatch : float
        Seconds to keep waiting after an answer to another request;
        infinite to wait until the limit.
    started : float
        Event loop time at which the attempt began.
    interim_answers : int
        Number of interim answers received.
    """

    header: str = ''
    identifier: str = ''
    after_mismatch: float = math.inf
    started: float = 0.0
    interim_answers: int = 0

    def describe(self) -> str:
        """Return the phase that the attempt reached and its duration."""
        seconds = asyncio.get_running_loop().time() - self.started
        phase = 'new connection' if self.is_new else 'kept connection'
        if not self.is_connected:
            phase = 'no connection'
        return f'{phase}, {seconds:.2f} s'

    def shorten_limit(self) -> None:
        """Shorten the limit, as the expected answer may never come."""
        due = asyncio.get_running_loop().time() + self.after_mismatch
        if due < (self.limit.when() or math.inf):
            self.limit.reschedule(due)

    def extend_limit(self, due: float) -> None:
        """Extend the limit to ``due``, an event loop time."""
        if due > (self.limit.when() or math.inf):
            self.limit.reschedule(due)

    def check_status(self, status: int) -> None:
        """Check the status of an answer and count interim answers.

        Raises
        ======

        InvalidStatusError
            If no answer has this status.
        aiohttp.ClientPayloadError
            If there are too many interim answers.
        """
        if not is_answer_status(status):
            raise InvalidStatusError(f'status {status}')
        self.interim_answers += status < OK
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            raise aiohttp.ClientPayloadError('too many interim answers')

    def is_mismatched(self, headers: Any) -> bool:
        """Return whether an answer carries another identifier."""
        if not self.header:
            return False
        named = headers.get(self.header)
        return named is not None and named != self.identifier


class MatchingHandler(ResponseHandler):
    """Connection that skips late answers to earlier requests."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.lost_error: BaseException | None = None
        self.received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Count and parse bytes of the connection."""
        self.received_bytes += len(data)
        super().data_received(data)

    def count_received(self) -> int:
        """Return the number of bytes received on the connection."""
        return self.received_bytes

    def connection_lost(self, exc: BaseException | None) -> None:
        """Store the error that ended the connection."""
        self.lost_error = exc
        super().connection_lost(exc)

    async def read(self) -> Any:
        """Return the next message that answers the current request."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            message, payload = await super().read()
            attempt = CURRENT_ATTEMPT.get()
            if not isinstance(attempt, IdentifiedAttempt):
                return message, payload
            attempt.check_status(message.code)
            if not attempt.is_mismatched(message.headers):
                return message, payload
            attempt.shorten_limit()
            await skip_body(payload, self.count_received)
        raise aiohttp.ServerDisconnectedError(
            'too many answers to other requests'
        )


class OverlappingConnector(Connector):
    """Connector that opens further connections while the first is late.

    TCP retransmits a lost SYN only after a second, so a second connection
    may open sooner.  A SYN that is queued on a full link still arrives, so
    the first attempt continues.  The first connection to open is used.
    """

    async def _create_connection(
        self,
        req: Any,
        traces: Any,
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        limit = timeout.sock_connect or CONNECT_SECONDS
        pending: set[asyncio.Task[ResponseHandler]] = set()
        try:
            for _ in range(math.ceil(limit / CONNECT_SECONDS)):
                pending.add(
                    asyncio.create_task(
                        super()._create_connection(req, traces, timeout),
                    ),
                )
                opened = await _pop_first_done(pending, CONNECT_SECONDS)
                if opened is not None:
                    return opened.result()
            opened = await _pop_first_done(pending, None)
            return opened.result()
        finally:
            _cancel_connections(pending)


async def _pop_first_done(
    pending: set[asyncio.Task[ResponseHandler]],
    seconds: float | None,
) -> 'asyncio.Task[ResponseHandler] | None':
    """Remove a finished task from the set; None after ``seconds``."""
    done = (
        await asyncio.wait(
            pending,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
    )[0]
    if not done:
        return None
    ended = done.pop()
    pending.discard(ended)
    return ended


def _cancel_connections(
    pending: Iterable[asyncio.Task[ResponseHandler]],
) -> None:
    """Cancel connection attempts; close those that open nevertheless."""
    for task in pending:
        task.add_done_callback(_close_if_opened)
        task.cancel()


def _close_if_opened(task: 'asyncio.Task[ResponseHandler]') -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


def make_socket(
    info: Any, unacked_timeout_ms: int = UNACKED_TIMEOUT_MS
) -> socket.socket:
    """Return a socket that detects a peer that stopped responding."""
    family, kind, protocol = info[:3]
    tcp_socket = socket.socket(family, kind, protocol)
    tcp_socket.setblocking(False)  # noqa: FBT003
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)
    return tcp_socket


def make_session(
    keep_seconds: float,
    connections: int,
    unacked_timeout_ms: int = UNACKED_TIMEOUT_MS,
) -> aiohttp.ClientSession:
    """Return a session whose connections detect unresponsive peers.

    Parameters
    ==========

    keep_seconds : float
        How long an idle connection stays open.
    connections : int
        Limit of open connections, 0 for no limit.
    unacked_timeout_ms : int
        Milliseconds after which a connection with unacknowledged bytes is
        closed.
    """
    connector = OverlappingConnector(
        limit=connections,
        keepalive_timeout=keep_seconds,
        socket_factory=functools.partial(
            make_socket, unacked_timeout_ms=unacked_timeout_ms
        ),
    )
    connector._factory = functools.partial(  # noqa: SLF001
        MatchingHandler,
        loop=asyncio.get_running_loop(),
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
    )
    # aiohttp retries PUT and DELETE when a kept connection is lost, which
    # could run an order twice.  It has no public option for this.
    session._retry_connection = False  # noqa: SLF001
    return session


def ignore_headers() -> None:
    """Do nothing when the headers of an answer arrive."""


@attrs.frozen
class Outgoing:
    """A request that is sent once.

    Parameters
    ==========

    address : str
        ``address:port``.
    method, path : str
    headers : CIMultiDict
    body : bytes
    limit : float
        Seconds within which the whole answer must arrive.
    header, identifier : str
        Name and value of the header that the answer must echo.
    after_mismatch : float
        Seconds to keep waiting after an answer to another request.
    body_limit : float
        Seconds for reading the body, even if ``limit`` passes meanwhile.
    connect_limit : float
        Seconds within which the connection must open.
    on_headers : callable
        Called when the headers of the answer have arrived.
    refuse_start : callable
        Called directly before the request is written; returns a refusal in
        place of the exchange, or None.
    """

    address: str
    method: str
    path: str
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    limit: float
    header: str = ''
    identifier: str = ''
    after_mismatch: float = math.inf
    body_limit: float = 0.0
    connect_limit: float = CONNECT_SECONDS
    on_headers: Callable[[], None] = ignore_headers
    refuse_start: Callable[[], Refusal | None] = start_always


async def send(
    session: aiohttp.ClientSession,
    outgoing: Outgoing,
) -> Answer | Refusal:
    """Send a request once and read the whole answer.

    A refusal has ``Ran.NO`` only if no byte was written.
    """
    attempt = IdentifiedAttempt(
        asyncio.timeout(outgoing.limit),
        header=outgoing.header,
        identifier=outgoing.identifier,
        after_mismatch=outgoing.after_mismatch,
        started=asyncio.get_running_loop().time(),
        refuse_start=outgoing.refuse_start,
    )
    token = CURRENT_ATTEMPT.set(attempt)
    try:
        async with attempt.limit:
            return await _exchange(session, outgoing, attempt)
    except StartRefusedError as error:
        return error.refusal
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return _refusal_of(outgoing.address, error, attempt)
    finally:
        CURRENT_ATTEMPT.reset(token)


async def _exchange(
    session: aiohttp.ClientSession,
    outgoing: Outgoing,
    attempt: IdentifiedAttempt,
) -> Answer | Refusal:
    response = await session.request(
        outgoing.method,
        URL(f'http://{outgoing.address}{outgoing.path}', encoded=True),
        headers=outgoing.headers,
        data=outgoing.body or None,
        allow_redirects=False,
        timeout=aiohttp.ClientTimeout(sock_connect=outgoing.connect_limit),
        read_bufsize=READ_BUFFER_BYTES,
    )
    connection = response.connection
    protocol = None if connection is None else connection.protocol
    started = asyncio.get_running_loop().time()
    attempt.extend_limit(started + outgoing.body_limit)
    outgoing.on_headers()
    try:
        body = await _read_body(response, protocol)
    except BaseException:
        response.close()
        raise
    if _was_reset(response, protocol):
        reason = f'{outgoing.address}: answer without length ended by a reset'
        return Refusal(ResultCode.ANSWER_TRUNCATED, reason, Ran.UNKNOWN)
    headers = without_connection(response.headers, HOP_BY_HOP)
    seconds = asyncio.get_running_loop().time() - started
    return Answer(response.status, headers, body, seconds, attempt.is_new)


async def _read_body(
    response: aiohttp.ClientResponse,
    protocol: ResponseHandler | None,
) -> bytes:
    received = _count_nothing
    if isinstance(protocol, MatchingHandler):
        received = protocol.count_received
    parts = [part async for part in limited_parts(response.content, received)]
    return b''.join(parts)


def _count_nothing() -> int:
    """Return 0: without a connection, the whole body has been received."""
    return 0


def _was_reset(
    response: aiohttp.ClientResponse,
    protocol: ResponseHandler | None,
) -> bool:
    """Return whether a reset ended an answer without a length.

    Such an answer ends when its connection closes, so a reset means that
    it is incomplete.
    """
    if not isinstance(protocol, MatchingHandler):
        return False
    if 'Content-Length' in response.headers:
        return False
    if 'chunked' in response.headers.get('Transfer-Encoding', '').lower():
        return False
    return protocol.lost_error is not None


def without_connection(found: Any, dropped: frozenset[str]) -> Headers:
    """Return a copy of headers without those of a single connection.

    ``dropped`` holds the lowercase names to remove; the headers that
    ``Connection`` lists are removed as well.
    """
    dropped = _add_listed_names(dropped, found.get('Connection', ''))
    kept = CIMultiDict(found)
    for name in found:
        if name.lower() in dropped:
            kept.popall(name, None)
    return kept


@functools.lru_cache(CONNECTION_HEADER_CACHE_SIZE)
def _add_listed_names(
    dropped: frozenset[str], connection: str
) -> frozenset[str]:
    return dropped | {name.strip() for name in connection.lower().split(',')}


def _refusal_of(
    address: str,
    error: Exception,
    attempt: IdentifiedAttempt,
) -> Refusal:
    reason = f'{address}: {type(error).__name__}, {attempt.describe()}'
    if isinstance(error, NOT_SENT_ERRORS) or not attempt.is_connected:
        return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
    if isinstance(error, TimeoutError) and attempt.limit.expired():
        return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
    if isinstance(error, BROKEN_ANSWERS):
        return Refusal(ResultCode.ANSWER_TRUNCATED, reason, Ran.UNKNOWN)
    return Refusal(ResultCode.CONNECTION_LOST, reason, Ran.UNKNOWN)
