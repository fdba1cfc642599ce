"""One listening socket: answers in turns on the link, and its end."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import attrs
from aiohttp import web

from tanagerbend_daemon.listener import Listener, make_runner, unsent_bytes
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.delivery import Delivery, DeliveryLog
from tanagerbend_proxy.lifetime import Lifetime
from tanagerbend_proxy.uplink import Due, Transfer, Uplink, parts_of

# Longer than any idle time that the platform grants to callers.
KEEP_SECONDS: Final = 75.0
SHUTDOWN_SECONDS: Final = 0.5
# How often it is checked whether all answers have been written.
POLL_SECONDS: Final = 0.02
HEADER_LIMIT: Final = 65536
# Another daemon is asked when the caller comes back.
STOPPING_RETURN_SECONDS: Final = 0.01
# Keys under which a response holds until when it is of use and the
# identifier of its request.
DUE: Final = web.ResponseKey('due', Due)
IDENTIFIER: Final = web.ResponseKey('identifier', str)
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define
class Endpoint:
    """One listening socket and its requests.

    Parameters
    ==========

    handler : callable
    recorder : Recorder
    uplink : Uplink
    lifetime : Lifetime
    deliveries : DeliveryLog or None
        Told of each large answer.
    active : int
        Requests that are being answered.
    begun : set of int
        Numbers of the large answers that are leaving.
    is_shut : bool
        Whether new requests are refused.
    is_closing : bool
        Whether answers ask their callers to close the connection.
    """

    handler: Handler
    recorder: Recorder
    uplink: Uplink
    lifetime: Lifetime
    deliveries: DeliveryLog | None = None
    active: int = 0
    begun: set[int] = attrs.field(factory=set)
    is_shut: bool = False
    is_closing: bool = False
    runner: web.ServerRunner | None = None
    listener: Listener | None = None

    async def open(self, address: str) -> None:
        """Listen at ``address:port``."""
        self.runner = make_runner(
            self.serve,
            SHUTDOWN_SECONDS,
            keepalive_timeout=KEEP_SECONDS,
            max_line_size=HEADER_LIMIT,
            max_field_size=HEADER_LIMIT,
        )
        await self.runner.setup()
        self.listener = Listener(self.runner)
        host, _, port = address.rpartition(':')
        await self.listener.start(host, int(port))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if self.is_shut:
            return stopping_response()
        self.active += 1
        try:
            response = await self.handler(request)
            if self.is_closing:
                response.force_close()
            return await self._send(request, response)
        finally:
            self.active -= 1

    async def _send(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        """Write a large answer in turns; the server writes a small one."""
        body = body_of(response)
        if self.uplink.send_now(len(body)):
            return response
        due = response.get(DUE, Due())
        delivery = Delivery.begin(
            response.get(IDENTIFIER, ''),
            Transfer(self.uplink, due.rank, len(body), due),
        )
        try:
            return await self._deliver(request, response, body, delivery)
        finally:
            if self.deliveries is not None:
                self.deliveries.ended(delivery)

    async def _deliver(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        body: bytes,
        delivery: Delivery,
    ) -> web.StreamResponse:
        first, *rest = parts_of(body)
        if not await self._begin(delivery.transfer, len(first)):
            self.recorder.count('answers_given_up')
            return self._close_like(response, given_up_response())
        sent = web.StreamResponse(
            status=response.status,
            headers=response.headers,
        )
        sent.content_length = len(body)
        self._close_like(response, sent)
        number = delivery.transfer.number
        self.begun.add(number)
        try:
            await sent.prepare(request)
            await self._write(sent, first, delivery)
            await self._write_rest(sent, rest, delivery)
        except ConnectionError:
            # Its caller has gone; the server closes the connection.
            self.recorder.count('answers_cut')
        finally:
            self.begun.discard(number)
        return sent

    def hurry(self) -> None:
        """Let answers that are leaving go before all others."""
        self.uplink.hurry(self.begun)

    def _close_like(
        self,
        response: web.StreamResponse,
        sent: web.StreamResponse,
    ) -> web.StreamResponse:
        """Close the connection after an answer if it was to be closed."""
        # None means that the request decides.
        if response.keep_alive is False:
            sent.force_close()
        return sent

    async def _begin(self, transfer: Transfer, size: int) -> bool:
        """Wait for the first turn; return whether the answer may be whole.

        At a stop an answer is not begun that would break off, and none
        after the time that its request had.
        """
        kept = transfer.left / self.uplink.pace
        if self.lifetime.seconds_left < kept:
            return False
        try:
            async with (
                asyncio.timeout(self._seconds_until(transfer)),
                asyncio.timeout(None) as limit,
            ):
                with self.lifetime.counted(limit, kept):
                    await transfer.turn(size)
        except TimeoutError:
            return False
        return True

    def _seconds_until(self, transfer: Transfer) -> float | None:
        """Return the time in which an answer must begin, None for any."""
        left = transfer.due.ends - self.uplink.timer.now()
        return left if left < math.inf else None

    async def _write(
        self,
        sent: web.StreamResponse,
        part: bytes,
        delivery: Delivery,
    ) -> None:
        await sent.write(part)
        delivery.written += len(part)

    async def _write_rest(
        self,
        sent: web.StreamResponse,
        parts: list[bytes],
        delivery: Delivery,
    ) -> None:
        for part in parts:
            if self.lifetime.is_ending:
                delivery.transfer.hurry()
            await delivery.transfer.turn(len(part))
            await self._write(sent, part, delivery)
        await sent.write_eof()
        delivery.is_whole = True

    @property
    def unsent(self) -> int:
        """Bytes of answers that wait in this process."""
        return unsent_bytes(self.runner)

    @property
    def is_busy(self) -> bool:
        """Whether a request is answered or bytes of answers wait here."""
        return bool(self.active or self.unsent)

    async def finish(self) -> None:
        """Stop listening; return once all answers have been written."""
        self.is_closing = True
        if self.listener is not None:
            await self.listener.close()
        while self.is_busy:
            await self.recorder.timer.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """Stop listening and end the connections."""
        listener = self.listener
        self.listener = None
        if listener is not None:
            await listener.close()
            await self.runner.cleanup()


def stopping_response() -> web.Response:
    """Refuse a request that came late in a stop, and has not run."""
    response = _refused(Refusal(ResultCode.DRAINING, 'the daemon stops'))
    response.headers['Retry-After'] = f'{STOPPING_RETURN_SECONDS}'
    response.force_close()
    return response


def given_up_response() -> web.Response:
    """Answer a request that has run, and whose answer can't leave in time."""
    reason = 'the answer can not leave in time'
    return _refused(Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN))


def _refused(refusal: Refusal) -> web.Response:
    return web.json_response(
        {'code': int(refusal.code), 'reason': refusal.reason},
        status=status_of(refusal),
    )


def body_of(response: web.StreamResponse) -> bytes:
    """Return the body of an answer that has not been sent."""
    match response:
        case web.Response(body=bytes() as body):
            return body
    return b''


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal; 503 promises "not run".

    Examples
    ========

    >>> status_of(Refusal(ResultCode.QUEUE_FULL, ''))
    503
    >>> status_of(Refusal(ResultCode.OUTCOME_UNKNOWN, '', Ran.UNKNOWN))
    504
    """
    match refusal:
        case Refusal(code=ResultCode.ROUTE_UNKNOWN):
            return int(HTTPStatus.NOT_FOUND)
        case Refusal(code=ResultCode.BODY_TOO_LARGE):
            return int(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        case Refusal(ran=Ran.NO):
            return int(HTTPStatus.SERVICE_UNAVAILABLE)
        case Refusal(code=ResultCode.OUTCOME_UNKNOWN):
            return int(HTTPStatus.GATEWAY_TIMEOUT)
    return int(HTTPStatus.BAD_GATEWAY)
