"""Pooled HTTP connections to other servers, and limits of their use."""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from http import HTTPStatus
from typing import Any, Final

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from tanagerbend_daemon.send_state import mark_sent
from tanagerbend_model import Refusal

CONNECT_SECONDS: Final = 1.0
KEEPALIVE_SECONDS: Final = 30
AUTOMATIC_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)
HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        # Not forwarded, since this daemon answers it.
        'expect',
    )
)
# Errors raised before anything of the request is written.
NOT_SENT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

SWITCHING_PROTOCOLS: Final = int(HTTPStatus.SWITCHING_PROTOCOLS)
# RFC 9110, 15: a status is in the range 100 to 599.
LOWEST_STATUS: Final = 100
HIGHEST_STATUS: Final = 599


def is_answer_status(status: int) -> bool:
    """Return whether an answer, or an interim answer, has such a status.

    Status 101 answers an ``Upgrade``, which no request of a daemon has.

    Examples
    ========

    >>> [is_answer_status(status) for status in (0, 99, 100, 101, 599, 600)]
    [False, False, True, False, True, False]
    """
    is_in_range = LOWEST_STATUS <= status <= HIGHEST_STATUS
    return is_in_range and status != SWITCHING_PROTOCOLS


class StartRefusedError(aiohttp.ClientError):
    """A request was refused when it could have been written."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def start_always() -> None:
    """Refuse no request."""


@attrs.define
class Attempt:
    """State of one attempt to send a request.

    Parameters
    ==========

    limit : asyncio.Timeout
        Ends the wait for an answer.
    reuse_timeout : float
        Seconds without an answer after which a reused connection counts as
        silent; 0 to wait for the deadline.
    send_before : float
        Monotonic seconds after which the request must not be written.
    is_connected : bool
        Whether the attempt has a connection.  Nothing is written before.
    is_new : bool
        Whether the connection was opened for this request.
    refuse_start : callable
        Returns why the request must not be written any more, else None.
    """

    limit: asyncio.Timeout
    reuse_timeout: float = 0.0
    send_before: float = float('inf')
    is_connected: bool = False
    is_new: bool = False
    refuse_start: Callable[[], Refusal | None] = start_always

    def is_too_late(self) -> bool:
        """Return whether the request must no longer be written."""
        return asyncio.get_running_loop().time() >= self.send_before

    def note_connected(self) -> None:
        """Record the connection and limit the wait on a reused one."""
        self.is_connected = True
        mark_sent()
        if self.reuse_timeout and not self.is_new:
            now = asyncio.get_running_loop().time()
            self.limit.reschedule(now + self.reuse_timeout)


CURRENT_ATTEMPT: Final[ContextVar[Attempt | None]] = ContextVar(
    'ATTEMPT', default=None
)


class Connector(aiohttp.TCPConnector):
    """Connector that records on the current attempt how it connected.

    The attempt is a context variable, because aiohttp passes nothing from
    the request to the connector.
    """

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Return a pooled or a new connection."""
        connection = await super().connect(*args, **options)
        attempt = CURRENT_ATTEMPT.get()
        if attempt is not None:
            if attempt.is_too_late():
                connection.release()
                raise TimeoutError('connected too late')
            refusal = attempt.refuse_start()
            if refusal is not None:
                connection.release()
                raise StartRefusedError(refusal)
            attempt.note_connected()
        return connection

    async def _create_connection(
        self,
        *args: Any,
        **options: Any,
    ) -> ResponseHandler:
        attempt = CURRENT_ATTEMPT.get()
        if attempt is not None:
            attempt.is_new = True
        return await super()._create_connection(*args, **options)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to ``address:port``.

        When one connection is silent, the others usually are as well.
        """
        idle = self._conns
        for key in list(idle):
            if f'{key.host}:{key.port}' == address:
                for protocol, _since in idle.pop(key):
                    protocol.close()


def make_session(connections: int) -> aiohttp.ClientSession:
    """Return a session that sends requests and answers unmodified.

    Parameters
    ==========

    connections : int
        Limit of open connections, 0 for no limit.
    """
    session = aiohttp.ClientSession(
        connector=Connector(
            limit=connections,
            keepalive_timeout=KEEPALIVE_SECONDS,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
    )
    # aiohttp retries PUT and DELETE when a reused connection is lost, which
    # could run an order twice; it has no public option to disable this.
    session._retry_connection = False  # noqa: SLF001
    return session
