"""Outgoing HTTP: to the backend server beside and to other daemons."""

from collections.abc import AsyncIterator
from typing import Final

import aiohttp
from yarl import URL

from tanagerbend_daemon.drain import mark_sent
from tanagerbend_interfaces import BackendRequest, BackendResponse
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_timer import Timer

HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Raised before the request is written.
NOT_SENT: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
CONNECT_SECONDS: Final = 1.0
KEEPALIVE_SECONDS: Final = 30
AUTOMATIC_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)


def make_session(connections: int) -> aiohttp.ClientSession:
    """Return a session that passes requests on as they are.

    Parameters
    ==========

    connections : int
        Limit of open connections, 0 for no limit.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=KEEPALIVE_SECONDS
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
    )
    # aiohttp sends PUT and DELETE again when a kept connection is lost,
    # which could run an order twice; it offers no public switch.
    session._retry_connection = False  # noqa: SLF001
    return session


class HttpServer:
    """A server reached over HTTP: backend server or daemon.

    Parameters
    ==========

    session : aiohttp.ClientSession
    address : str
        ``address:port``.
    timer : Timer
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timer: Timer,
    ) -> None:
        self.session = session
        self.address = address
        self.timer = timer

    async def exchange(
        self,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        """Send the request once; ``deadline`` in monotonic seconds."""
        remaining = deadline - self.timer.now()
        if remaining <= 0:
            return Refusal(ResultCode.DEADLINE_PASSED, 'before it was sent')
        mark_sent()
        try:
            response = await self._send(request, remaining)
        except NOT_SENT as error:
            mark_sent(is_sent=False)
            reason = f'{self.address}: {type(error).__name__}'
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
        except TimeoutError:
            reason = f'{self.address}: no answer in time'
            return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
        except (aiohttp.ClientError, OSError) as error:
            reason = f'{self.address}: {type(error).__name__} after sending'
            return Refusal(ResultCode.CONNECTION_LOST, reason, Ran.UNKNOWN)
        return BackendResponse(
            response.status,
            _forwarded(response.raw_headers),
            _chunks(response),
        )

    async def _send(
        self,
        request: BackendRequest,
        remaining: float,
    ) -> aiohttp.ClientResponse:
        return await self.session.request(
            request.method,
            URL(f'http://{self.address}{request.path}', encoded=True),
            headers=request.headers,
            data=request.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=remaining,
                connect=min(remaining, CONNECT_SECONDS),
            ),
        )


def _forwarded(
    raw_headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[str, str], ...]:
    pairs = (
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in raw_headers
    )
    return tuple(
        (name, text) for name, text in pairs if name.lower() not in HOP_BY_HOP
    )


async def _chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ConnectionError(f'answer ended early: {error!r}') from error
    finally:
        # Closes the connection if the body was not read to its end.
        response.release() if response.content.at_eof() else response.close()
