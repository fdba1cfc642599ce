"""Outgoing HTTP to the local backend server and to other daemons."""

import asyncio
from collections.abc import Callable
from functools import lru_cache
from typing import Final

import aiohttp
from yarl import URL

from tanagerbend_daemon.connections import (
    CONNECT_SECONDS,
    CURRENT_ATTEMPT,
    HOP_BY_HOP,
    NOT_SENT_ERRORS,
    Attempt,
    is_answer_status,
    make_session,
)
from tanagerbend_interfaces import BackendRequest, BackendResponse
from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_timer import Timer

__all__ = ('HttpServer', 'clients_of', 'make_session')

MAX_CLIENTS: Final = 1024
ORDER_KEY: Final = headers.ORDER_KEY.lower()


class HttpServer:
    """Client of a server reached over HTTP: a backend server or a daemon.

    Explanation
    ===========

    A request that may be retried waits on a reused connection for at most
    half of its remaining time, so that a silent connection leaves time for
    a retry on a new one.  The idle connections to the address are then
    closed.

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
        """Send the request once; ``deadline`` is in monotonic seconds."""
        remaining = deadline - self.timer.now()
        if remaining <= 0:
            return Refusal(ResultCode.DEADLINE_PASSED, 'before it was sent')
        limit = asyncio.timeout(None)
        reuse_timeout = remaining / 2 if _may_repeat(request) else 0
        attempt = Attempt(limit, reuse_timeout, request.send_before)
        try:
            async with limit:
                response = await self._send(request, remaining, attempt)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # TimeoutError is an OSError.
            return self._refuse(error, attempt)
        if not is_answer_status(response.status):
            response.close()
            reason = f'{self.address}: status {response.status}'
            return Refusal(ResultCode.ANSWER_TRUNCATED, reason, Ran.UNKNOWN)
        return BackendResponse(
            response.status,
            _end_to_end_headers(response.raw_headers),
            ResponseBody(response),
        )

    def close_idle_connections(self) -> None:
        """Close the idle connections; the next request opens a new one."""
        self.session.connector.close_idle(self.address)

    def _refuse(self, error: Exception, attempt: Attempt) -> Refusal:
        """Return the refusal of a request that got no answer."""
        reason = f'{self.address}: {type(error).__name__}'
        if isinstance(error, NOT_SENT_ERRORS) or not attempt.is_connected:
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
        if attempt.limit.expired():
            self.close_idle_connections()
            reason = f'{self.address}: silent connection'
            return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
        if isinstance(error, TimeoutError):
            reason = f'{self.address}: no answer in time'
            return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
        return Refusal(ResultCode.CONNECTION_LOST, reason, Ran.UNKNOWN)

    async def _send(
        self,
        request: BackendRequest,
        remaining: float,
        attempt: Attempt,
    ) -> aiohttp.ClientResponse:
        token = CURRENT_ATTEMPT.set(attempt)
        try:
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
        finally:
            CURRENT_ATTEMPT.reset(token)


def clients_of(
    session: aiohttp.ClientSession,
    timer: Timer,
) -> Callable[[str], HttpServer]:
    """Return a function that returns the client of an address.

    At most ``MAX_CLIENTS`` clients are cached, the least recently used being
    evicted: addresses change over the life of a daemon.
    """

    @lru_cache(MAX_CLIENTS)
    def client_of(address: str) -> HttpServer:  # noqa: WPS430
        return HttpServer(session, address, timer)

    return client_of


class ResponseBody:
    """Body of an answer; raises ``ConnectionError`` if it ends early."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response

    def __aiter__(self) -> 'ResponseBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            chunk = await self.response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            self.response.close()
            raise ConnectionError(f'answer ended early: {error!r}') from error
        except BaseException:
            self.response.close()
            raise
        if not chunk:
            self.response.release()
            raise StopAsyncIteration
        return chunk

    async def aclose(self) -> None:
        """Reuse the connection only if the whole body has arrived."""
        if self.response.content.is_eof():
            self.response.release()
        else:
            self.response.close()


def _may_repeat(request: BackendRequest) -> bool:
    if not isinstance(request.body, bytes):
        return False
    return all(name.lower() != ORDER_KEY for name, _value in request.headers)


def _end_to_end_headers(
    raw_headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[str, str], ...]:
    pairs = [(_decode(name), _decode(text)) for name, text in raw_headers]
    return tuple(
        (name, text) for name, text in pairs if name.lower() not in HOP_BY_HOP
    )


def _decode(raw: bytes) -> str:
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode('latin-1')
