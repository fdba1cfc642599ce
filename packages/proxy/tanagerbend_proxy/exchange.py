"""One request to an instance or a daemon over HTTP, and its whole answer."""

import asyncio
import functools
import math
import socket
from collections.abc import Iterable
from typing import Any, Final

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from tanagerbend_daemon.connections import (
    ATTEMPT,
    AUTOMATIC_HEADERS,
    HOP_BY_HOP,
    NOT_SENT,
    Attempt,
    Connector,
)
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer

Headers = CIMultiDict[str]
# Unacknowledged bytes end a connection after this time: a host without
# power answers nothing, and a request must still be placed elsewhere.
SILENCE_MS: Final = 700
# Probes of a connection that waits for an answer, in seconds.
PROBE_AFTER: Final = 1
PROBE_EVERY: Final = 1
PROBES: Final = 2
CONNECT_SECONDS: Final = 0.4
# Answers of earlier requests that are skipped on one connection.
MOST_SKIPPED: Final = 4
UNREAD_LIMIT: Final = 262144
# Longest answer that is read: several times a batch of large versions, and
# with three at once, held twice, half of the memory of a small host.
MOST_ANSWER_BYTES: Final = 16777216
# Values of the header `Connection` whose names are kept.
KEPT_NAMES: Final = 64
# Raised by bytes that are no answer, and by answers that end early.
BROKEN_ANSWERS: Final = (
    aiohttp.ClientPayloadError,
    aiohttp.ClientResponseError,
)


@attrs.define
class IdentifiedAttempt(Attempt):
    """Attempt whose answer must carry an identifier.

    Parameters
    ==========

    header : str
        Name of the header that carries it; empty to take any answer.
    identifier : str
    after_foreign : float
        Seconds that are left once an answer to another request has come,
        infinite to wait until the limit.
    started : float
        Time of the event loop.
    """

    header: str = ''
    identifier: str = ''
    after_foreign: float = math.inf
    started: float = 0.0

    def describe(self) -> str:
        """Return how far the attempt came, and in which time."""
        seconds = asyncio.get_running_loop().time() - self.started
        phase = 'new connection' if self.is_new else 'kept connection'
        if not self.is_connected:
            phase = 'no connection'
        return f'{phase}, {seconds:.2f} s'

    def skipped(self) -> None:
        """Wait less, since the own answer may never come."""
        due = asyncio.get_running_loop().time() + self.after_foreign
        if due < (self.limit.when() or math.inf):
            self.limit.reschedule(due)

    def extend(self, due: float) -> None:
        """Wait longer; ``due`` is a time of the event loop."""
        if due > (self.limit.when() or math.inf):
            self.limit.reschedule(due)

    def is_foreign(self, headers: Any) -> bool:
        """Return whether an answer names another request."""
        if not self.header:
            return False
        named = headers.get(self.header)
        return named is not None and named != self.identifier


class MatchingHandler(ResponseHandler):
    """Connection that skips late answers to earlier requests."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.lost_error: BaseException | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remember how the connection ended."""
        self.lost_error = exc
        super().connection_lost(exc)

    async def read(self) -> Any:
        """Return the next message that belongs to the present request."""
        for _ in range(MOST_SKIPPED):
            message, payload = await super().read()
            attempt = ATTEMPT.get()
            if not isinstance(attempt, IdentifiedAttempt):
                return message, payload
            if not attempt.is_foreign(message.headers):
                return message, payload
            attempt.skipped()
            await payload.read()
        raise aiohttp.ServerDisconnectedError('answers of other requests')


class OverlappingConnector(Connector):
    """Connector that begins a late connection again beside the first.

    A packet that was lost is sent again only after a second, while one
    behind a full link arrives; the first connection that opens is used.
    """

    async def _create_connection(
        self,
        req: Any,
        traces: Any,
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        limit = timeout.sock_connect or CONNECT_SECONDS
        begun: set[asyncio.Task[ResponseHandler]] = set()
        try:
            for _ in range(math.ceil(limit / CONNECT_SECONDS)):
                begun.add(
                    asyncio.create_task(
                        super()._create_connection(req, traces, timeout),
                    ),
                )
                opened = await _first_done(begun, CONNECT_SECONDS)
                if opened is not None:
                    return opened.result()
            opened = await _first_done(begun, None)
            return opened.result()
        finally:
            _abandon(begun)


async def _first_done(
    begun: set[asyncio.Task[ResponseHandler]],
    seconds: float | None,
) -> 'asyncio.Task[ResponseHandler] | None':
    """Take one that has ended out of the set, None after ``seconds``."""
    done = (
        await asyncio.wait(
            begun,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
    )[0]
    if not done:
        return None
    ended = done.pop()
    begun.discard(ended)
    return ended


def _abandon(begun: Iterable[asyncio.Task[ResponseHandler]]) -> None:
    """Close connections that are not needed once they are open."""
    for task in begun:
        task.add_done_callback(_close_opened)
        task.cancel()


def _close_opened(task: 'asyncio.Task[ResponseHandler]') -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


def make_socket(info: Any) -> socket.socket:
    """Return a socket that notices a peer that fell silent."""
    family, kind, protocol = info[:3]
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)  # noqa: FBT003
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    made.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER)
    made.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_EVERY)
    made.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(tcp, socket.TCP_USER_TIMEOUT, SILENCE_MS)
    return made


def make_session(
    keep_seconds: float, connections: int
) -> aiohttp.ClientSession:
    """Return a session with connections that notice silence.

    Parameters
    ==========

    keep_seconds : float
        How long an idle connection is kept.
    connections : int
        Limit of open connections, 0 for no limit.
    """
    connector = OverlappingConnector(
        limit=connections,
        keepalive_timeout=keep_seconds,
        socket_factory=make_socket,
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
    # aiohttp sends PUT and DELETE again when a kept connection is lost,
    # which could run an order twice; it offers no public switch.
    session._retry_connection = False  # noqa: SLF001
    return session


@attrs.frozen
class Outgoing:
    """A request to be sent once.

    Parameters
    ==========

    address : str
        ``address:port``.
    method, path : str
    headers : CIMultiDict
    body : bytes
    limit : float
        Seconds until there must be a whole answer.
    header, identifier : str
        Header and identifier that the answer must echo.
    after_foreign : float
        Seconds to wait on after an answer to another request.
    body_limit : float
        Seconds that the body may take even if ``limit`` passes meanwhile.
    connect_limit : float
        Seconds until there must be a connection.
    """

    address: str
    method: str
    path: str
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    limit: float
    header: str = ''
    identifier: str = ''
    after_foreign: float = math.inf
    body_limit: float = 0.0
    connect_limit: float = CONNECT_SECONDS


async def send(
    session: aiohttp.ClientSession,
    outgoing: Outgoing,
) -> Answer | Refusal:
    """Send a request once and read the whole answer.

    A refusal says ``Ran.NO`` only if nothing was written.
    """
    attempt = IdentifiedAttempt(
        asyncio.timeout(outgoing.limit),
        header=outgoing.header,
        identifier=outgoing.identifier,
        after_foreign=outgoing.after_foreign,
        started=asyncio.get_running_loop().time(),
    )
    token = ATTEMPT.set(attempt)
    try:
        async with attempt.limit:
            return await _exchange(session, outgoing, attempt)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return _refuse(outgoing.address, error, attempt)
    finally:
        ATTEMPT.reset(token)


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
        read_bufsize=UNREAD_LIMIT,
    )
    connection = response.connection
    protocol = None if connection is None else connection.protocol
    started = asyncio.get_running_loop().time()
    attempt.extend(started + outgoing.body_limit)
    try:
        body = await _read_body(response)
    except BaseException:
        response.close()
        raise
    if _is_cut(response, protocol):
        reason = f'{outgoing.address}: answer without length was reset'
        return Refusal(ResultCode.ANSWER_TRUNCATED, reason, Ran.UNKNOWN)
    headers = without_connection(response.headers, HOP_BY_HOP)
    seconds = asyncio.get_running_loop().time() - started
    return Answer(response.status, headers, body, seconds, attempt.is_new)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > MOST_ANSWER_BYTES:
            reason = f'answer of more than {MOST_ANSWER_BYTES} bytes'
            raise aiohttp.ClientPayloadError(reason)
        parts.append(part)
    return b''.join(parts)


def _is_cut(
    response: aiohttp.ClientResponse,
    protocol: ResponseHandler | None,
) -> bool:
    """Tell whether an answer that ends with its connection was reset."""
    if not isinstance(protocol, MatchingHandler):
        return False
    if 'Content-Length' in response.headers:
        return False
    if 'chunked' in response.headers.get('Transfer-Encoding', '').lower():
        return False
    return protocol.lost_error is not None


def without_connection(found: Any, dropped: frozenset[str]) -> Headers:
    """Return the headers that do not concern one connection.

    ``dropped`` holds names in small letters; those that the header
    ``Connection`` names are dropped as well.
    """
    dropped = _with_named(dropped, found.get('Connection', ''))
    kept = CIMultiDict(found)
    for name in found:
        if name.lower() in dropped:
            kept.popall(name, None)
    return kept


@functools.lru_cache(KEPT_NAMES)
def _with_named(dropped: frozenset[str], connection: str) -> frozenset[str]:
    return dropped | {name.strip() for name in connection.lower().split(',')}


def _refuse(
    address: str,
    error: Exception,
    attempt: IdentifiedAttempt,
) -> Refusal:
    reason = f'{address}: {type(error).__name__}, {attempt.describe()}'
    if isinstance(error, NOT_SENT) or not attempt.is_connected:
        return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
    if isinstance(error, TimeoutError) and attempt.limit.expired():
        return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
    if isinstance(error, BROKEN_ANSWERS):
        return Refusal(ResultCode.ANSWER_TRUNCATED, reason, Ran.UNKNOWN)
    return Refusal(ResultCode.CONNECTION_LOST, reason, Ran.UNKNOWN)
