"""A listening socket: sends answers in turns and closes gracefully."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import attrs
from aiohttp import web

from tanagerbend_daemon.bounded_server import InputLimits
from tanagerbend_daemon.listener import Listener, make_runner, unsent_bytes
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.answer_memory import HELD_ANSWER_BYTES, AnswerMemory
from tanagerbend_proxy.delivery import Delivery, DeliveryLog
from tanagerbend_proxy.lifetime import Lifetime
from tanagerbend_proxy.uplink import SendingLimits, Transfer, Uplink, split_body

# Longer than any idle timeout that the platform allows callers.
KEEPALIVE_SECONDS: Final = 75.0
SHUTDOWN_SECONDS: Final = 0.5
# Interval of the checks whether all answers have been written.
POLL_SECONDS: Final = 0.02
HEADER_LIMIT_BYTES: Final = 65536
# Short, since the retry of the caller reaches another daemon.
STOPPING_RETRY_SECONDS: Final = 0.01
# Keys of a response for its `SendingLimits` and the identifier of its request.
DUE: Final = web.ResponseKey('due', SendingLimits)
IDENTIFIER: Final = web.ResponseKey('identifier', str)
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define
class Endpoint:
    """A listening socket and the requests that arrive on it.

    Parameters
    ==========

    handler : callable
    recorder : Recorder
    uplink : Uplink
    lifetime : Lifetime
    deliveries : DeliveryLog or None
        Records each large answer.
    limits : InputLimits
    answers : AnswerMemory or None
        Accounts for answers that are not read yet.
    active : int
        Number of requests that are being answered.
    started_numbers : set of int
        Numbers of the large answers that are being sent.
    is_refusing : bool
        Whether new requests are refused.
    is_closing : bool
        Whether answers tell their callers to close the connection.
    """

    handler: Handler
    recorder: Recorder
    uplink: Uplink
    lifetime: Lifetime
    deliveries: DeliveryLog | None = None
    limits: InputLimits = attrs.field(factory=InputLimits)
    answers: AnswerMemory | None = None
    active: int = 0
    started_numbers: set[int] = attrs.field(factory=set)
    is_refusing: bool = False
    is_closing: bool = False
    runner: web.ServerRunner | None = None
    listener: Listener | None = None

    async def open(self, address: str) -> None:
        """Listen on ``address:port``."""
        self.runner = make_runner(
            self.serve,
            SHUTDOWN_SECONDS,
            self.limits,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
        )
        await self.runner.setup()
        self.listener = Listener(self.runner)
        host, _, port = address.rpartition(':')
        await self.listener.start(host, int(port))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        if self.is_refusing:
            return stopping_response()
        self.active += 1
        try:
            response = await self.handler(request)
            if self.is_closing:
                response.force_close()
            return await self._send_held(request, response)
        except asyncio.CancelledError as error:
            # The task keeps the error until the garbage collector runs, and
            # its traceback the frames with the bodies.
            raise error.with_traceback(None)
        finally:
            self.active -= 1

    async def _send_held(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        """Send an answer; account for its memory until it is written."""
        size = len(body_of(response))
        if self.answers is None or size <= HELD_ANSWER_BYTES:
            return await self._send(request, response)
        with self.answers.hold(size, request.transport):
            try:
                return await self._send_whole(request, response)
            finally:
                # Cancelled timers of the request refer to its task, and so
                # to its result, until the event loop drops them.
                drop_body(response)

    async def _send_whole(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        """Send an answer; the server would write a small one later."""
        sent = await self._send(request, response)
        try:
            await sent.prepare(request)
            await sent.write_eof()
        except ConnectionError:
            self.recorder.count('answers_cut')
        return sent

    async def _send(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        """Send a large answer in turns.

        A small answer is returned, and the server writes it.
        """
        body = body_of(response)
        if self.uplink.send_now(len(body)):
            return response
        due = response.get(DUE, SendingLimits())
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
        first, *rest = split_body(body)
        if not await self._wait_for_start(delivery.transfer, len(first)):
            self.recorder.count('answers_given_up')
            return self._copy_close(response, undeliverable_response())
        sent = web.StreamResponse(
            status=response.status,
            headers=response.headers,
        )
        sent.content_length = len(body)
        self._copy_close(response, sent)
        number = delivery.transfer.number
        self.started_numbers.add(number)
        try:
            await sent.prepare(request)
            await self._write_part(sent, first, delivery)
            await self._write_rest_parts(sent, rest, delivery)
        except ConnectionError:
            # The caller disconnected; the server closes the connection.
            self.recorder.count('answers_cut')
        finally:
            self.started_numbers.discard(number)
        return sent

    def prioritize_started(self) -> None:
        """Let answers that are being sent precede all others."""
        self.uplink.hurry(self.started_numbers)

    def _copy_close(
        self,
        response: web.StreamResponse,
        sent: web.StreamResponse,
    ) -> web.StreamResponse:
        """Copy to ``sent`` whether to close the connection after it."""
        # None leaves the decision to the request.
        if response.keep_alive is False:
            sent.force_close()
        return sent

    async def _wait_for_start(self, transfer: Transfer, size: int) -> bool:
        """Wait for the first turn; return whether the answer may be sent.

        An answer isn't started if it would be cut off by the end of the
        process, nor after the time limit of its request.
        """
        sending_seconds = transfer.left / self.uplink.bytes_per_second
        if self.lifetime.seconds_left < sending_seconds:
            return False
        try:
            async with (
                asyncio.timeout(self._seconds_to_start(transfer)),
                asyncio.timeout(None) as limit,
            ):
                with self.lifetime.bounded(limit, sending_seconds):
                    await transfer.turn(size)
        except TimeoutError:
            return False
        return True

    def _seconds_to_start(self, transfer: Transfer) -> float | None:
        """Return the seconds left to start an answer, None for no limit."""
        left = transfer.due.abandon_at - self.uplink.timer.now()
        return left if left < math.inf else None

    async def _write_part(
        self,
        sent: web.StreamResponse,
        part: bytes,
        delivery: Delivery,
    ) -> None:
        await sent.write(part)
        delivery.written += len(part)

    async def _write_rest_parts(
        self,
        sent: web.StreamResponse,
        parts: list[bytes],
        delivery: Delivery,
    ) -> None:
        for part in parts:
            if self.lifetime.is_ending:
                delivery.transfer.hurry()
            await delivery.transfer.turn(len(part))
            await self._write_part(sent, part, delivery)
        await sent.write_eof()
        delivery.is_whole = True

    @property
    def unsent(self) -> int:
        """Bytes of answers that are buffered in this process."""
        return unsent_bytes(self.runner)

    @property
    def is_busy(self) -> bool:
        """Whether requests are being answered or answers are buffered."""
        return bool(self.active or self.unsent)

    async def finish(self) -> None:
        """Stop listening and wait until all answers have been written."""
        self.is_closing = True
        if self.listener is not None:
            await self.listener.close()
        while self.is_busy:
            await self.recorder.timer.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        listener = self.listener
        self.listener = None
        if listener is not None:
            await listener.close()
            await self.runner.cleanup()


def stopping_response() -> web.Response:
    """Refuse a request that arrived late in a stop and has not run."""
    response = _refusal_response(
        Refusal(ResultCode.DRAINING, 'the daemon stops')
    )
    response.headers['Retry-After'] = f'{STOPPING_RETRY_SECONDS}'
    response.force_close()
    return response


def undeliverable_response() -> web.Response:
    """Answer a request that ran but whose answer can't be sent in time."""
    reason = 'the answer cannot be sent in time'
    return _refusal_response(
        Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
    )


def _refusal_response(refusal: Refusal) -> web.Response:
    return web.json_response(
        {'code': int(refusal.code), 'reason': refusal.reason},
        status=status_of(refusal),
    )


def body_of(response: web.StreamResponse) -> bytes:
    """Return the body of a response that has not been sent."""
    match response:
        case web.Response(body=bytes() as body):
            return body
    return b''


def drop_body(response: web.StreamResponse) -> None:
    """Release the body of a response that has been sent or given up."""
    match response:
        case web.Response():
            response.body = None


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal; 503 means that it did not run.

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
