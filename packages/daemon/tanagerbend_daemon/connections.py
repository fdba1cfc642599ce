"""Connections to other servers: limits, kept and silent connections."""

import asyncio
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from tanagerbend_daemon.send_mark import mark_sent

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
        # Answered by this daemon.
        'expect',
    )
)
# Raised before the request is written.
NOT_SENT: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


@attrs.define
class Attempt:
    """One request on its way to a connection.

    Parameters
    ==========

    limit : asyncio.Timeout
        Ends the wait for an answer.
    reuse_timeout : float
        Seconds after which a kept connection without an answer counts as
        silent; 0 to wait for the deadline.
    send_before : float
        Monotonic seconds; nothing is written later.
    is_connected : bool
        Whether a connection was found.  Nothing is written before.
    is_new : bool
        Whether the connection was opened for this request.
    """

    limit: asyncio.Timeout
    reuse_timeout: float = 0.0
    send_before: float = float('inf')
    is_connected: bool = False
    is_new: bool = False

    def is_too_late(self) -> bool:
        """Tell whether the request must not be written any more."""
        return asyncio.get_running_loop().time() >= self.send_before

    def connected(self) -> None:
        """Note that a connection was found."""
        self.is_connected = True
        mark_sent()
        if self.reuse_timeout and not self.is_new:
            now = asyncio.get_running_loop().time()
            self.limit.reschedule(now + self.reuse_timeout)


ATTEMPT: Final[ContextVar[Attempt | None]] = ContextVar('ATTEMPT', default=None)


class Connector(aiohttp.TCPConnector):
    """Connector that tells the attempt about its connection.

    The attempt is a context variable, because aiohttp passes nothing from
    the request to the connector.
    """

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Return a kept or a new connection."""
        connection = await super().connect(*args, **options)
        attempt = ATTEMPT.get()
        if attempt is not None:
            if attempt.is_too_late():
                connection.release()
                raise TimeoutError('connected too late')
            attempt.connected()
        return connection

    async def _create_connection(
        self,
        *args: Any,
        **options: Any,
    ) -> ResponseHandler:
        attempt = ATTEMPT.get()
        if attempt is not None:
            attempt.is_new = True
        return await super()._create_connection(*args, **options)

    def drop_idle(self, address: str) -> None:
        """Close the kept connections to ``address:port``.

        When one of them is silent, the others usually are as well.
        """
        kept = self._conns
        for key in list(kept):
            if f'{key.host}:{key.port}' == address:
                for protocol, _since in kept.pop(key):
                    protocol.close()


def make_session(connections: int) -> aiohttp.ClientSession:
    """Return a session that passes requests on as they are.

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
    # aiohttp sends PUT and DELETE again when a kept connection is lost,
    # which could run an order twice; it offers no public switch.
    session._retry_connection = False  # noqa: SLF001
    return session
