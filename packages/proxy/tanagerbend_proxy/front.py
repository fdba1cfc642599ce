"""HTTP servers: for callers, for other daemons, and for the ready question."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import attrs
from aiohttp import web

from tanagerbend_daemon.connections import HOP_BY_HOP
from tanagerbend_daemon.listener import Listener, make_runner, unsent_bytes
from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import REFUSALS
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy import headers as own_headers
from tanagerbend_proxy.changes import PollRequest
from tanagerbend_proxy.delivery import Delivery, DeliveryLog
from tanagerbend_proxy.entry import Entry, due_of
from tanagerbend_proxy.exchange import without_connection
from tanagerbend_proxy.following import Follower
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.lifetime import Lifetime
from tanagerbend_proxy.link_use import ANSWERS, CHANGES, PLACED
from tanagerbend_proxy.messages import (
    MILLISECONDS,
    Answer,
    Outcome,
    Placed,
    Request,
)
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.uplink import Due, Transfer, Uplink, parts_of

# Longer than any idle time that the platform grants to callers.
KEEP_SECONDS: Final = 75.0
SHUTDOWN_SECONDS: Final = 0.5
# How often it is checked whether all answers have been written.
POLL_SECONDS: Final = 0.02
# Largest body before a configuration names its own limit, in bytes.
FIRST_BODY_LIMIT: Final = 1048576
HEADER_LIMIT: Final = 65536
# Another daemon is asked when the caller comes back.
STOPPING_RETURN_SECONDS: Final = 0.01
# Set by the server itself, or meant for another connection.
NOT_COPIED: Final = HOP_BY_HOP | {'content-length', 'date', 'server'}
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


@attrs.define
class CallerHandler:
    """Turns the requests of callers into answers."""

    entry: Entry
    names: HeaderNames
    recorder: Recorder
    caller_service: str
    lifetime: Lifetime

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        request = await self.read(http)
        match request:
            case Refusal():
                return self.refuse(request, None)
        end = await self._answer(request)
        match end:
            case Refusal():
                return self.refuse(end, request)
        self.entry.link.sent(ANSWERS, len(end.body))
        response = respond(end)
        if self.entry.owner.uplink.is_large(len(end.body)):
            response[DUE] = due_of(request, self.entry.route_of(request))
        response[IDENTIFIER] = request.identifier
        return response

    def _limited(self, request: Request) -> Request | Refusal:
        """Leave no time that ends after this process, refuse if too little.

        The answer still has to wait for the link of this host then.
        """
        route = self.entry.route_of(request)
        if route is None:
            return request
        work = self.entry.placement.work_of(route.name)
        left = self.lifetime.seconds_left
        spare = left - self.entry.placement.sending(work.size)
        if spare < work.seconds:
            reason = f'the daemon stops, {spare:.3f} s are left for the answer'
            return Refusal(ResultCode.DRAINING, reason)
        ends = self.recorder.timer.now() + left
        return attrs.evolve(request, ends=ends)

    async def _answer(self, request: Request) -> Answer | Refusal:
        """Answer a request before this process ends."""
        limited = self._limited(request) if self.lifetime.is_ending else request
        match limited:
            case Refusal():
                self.recorder.count(REFUSALS, limited.code.name)
                return limited
        try:
            async with asyncio.timeout(None) as limit:
                with self.lifetime.counted(limit):
                    return await self.entry.handle(limited)
        except TimeoutError:
            self.recorder.count('requests_ended_by_stop')
            reason = 'the daemon stops before there is an answer'
            return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)

    async def read(self, http: web.BaseRequest) -> Request | Refusal:
        """Read a whole request."""
        arrived = self.recorder.timer.now()
        configuration = self.entry.knowledge.configuration
        limits = None if configuration is None else configuration.limits
        most = limits.body_bytes if limits else FIRST_BODY_LIMIT
        body = await read_body(http, most)
        match body:
            case Refusal():
                return body
        headers = without_connection(http.headers, NOT_COPIED)
        headers[self.names.caller_service] = self.caller_service
        headers.popall(self.names.expected_instance, None)
        headers.popall(own_headers.PLACED, None)
        return Request(
            http.headers.get(self.names.request_id, ''),
            http.method,
            http.headers.get('Host', '').partition(':')[0].lower(),
            http.raw_path,
            headers,
            body,
            time_left(http.headers.get(self.names.time_left)),
            arrived,
        )

    def refuse(
        self,
        refusal: Refusal,
        request: Request | None,
    ) -> web.Response:
        """Return the answer of a refused request."""
        headers = {}
        if request is not None and request.identifier:
            headers[self.names.request_id] = request.identifier
        status = status_of(refusal)
        if status == HTTPStatus.SERVICE_UNAVAILABLE and request is not None:
            wait = self.entry.retry_after(request)
            headers['Retry-After'] = f'{wait:.3f}'
        return web.json_response(
            {'code': int(refusal.code), 'reason': refusal.reason},
            status=status,
            headers=headers,
        )


@attrs.define
class PeerHandler:
    """Answers other daemons: runs what they place here, tells changes."""

    owner: Owner
    follower: Follower
    names: HeaderNames

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of another daemon."""
        question = http.headers.get(own_headers.FOLLOW)
        if question is not None:
            return await self.tell(question)
        return await self.run(http)

    async def tell(self, text: str) -> web.Response:
        """Tell the changes that another daemon asks for."""
        request = PollRequest.decode(text)
        match request:
            case PollRequest():
                reply = await self.follower.answer(request)
            case _:
                reply = request
        match reply:
            case Refusal(reason=reason):
                status = HTTPStatus.SERVICE_UNAVAILABLE
                return web.Response(status=status, text=reason)
        self.follower.staleness.link.sent(CHANGES, len(reply))
        return web.Response(body=reply)

    async def run(self, http: web.BaseRequest) -> web.StreamResponse:
        """Run one request at the instance here."""
        arrived = self.owner.recorder.timer.now()
        placed = Placed.decode(http.headers.get(own_headers.PLACED, ''))
        identifier = http.headers.get(self.names.request_id, '')
        body = await http.content.read(-1)
        match placed:
            case Refusal():
                return self._respond(identifier, Outcome(placed))
        if self.owner.is_leaving:
            reason = 'the daemon beside the instance is stopping'
            refusal = Refusal(ResultCode.DRAINING, reason)
            return self._respond(identifier, Outcome(refusal))
        headers = without_connection(http.headers, NOT_COPIED)
        headers.popall(own_headers.PLACED, None)
        request = Request(
            identifier,
            http.method,
            http.host,
            http.raw_path,
            headers,
            body,
            placed.time_left,
            arrived,
        )
        # The body may have been long on its way.
        passed = self.owner.recorder.timer.now() - arrived
        outcome = await self.owner.run(request, placed.after(passed))
        response = self._respond(identifier, outcome)
        response[DUE] = Due(
            placed.rank,
            request.arrived + placed.on_time,
            request.arrived + placed.time_left,
        )
        response[IDENTIFIER] = identifier
        return response

    def _respond(self, identifier: str, outcome: Outcome) -> web.Response:
        match outcome.end:
            case Answer(body=body):
                self.follower.staleness.link.sent(PLACED, len(body))
                response = respond(outcome.end)
            case Refusal(reason=reason):
                response = web.Response(text=reason)
                response.headers[self.names.request_id] = identifier
        response.headers[own_headers.OUTCOME] = outcome.encode()
        return response


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


def respond(answer: Answer) -> web.Response:
    """Return the response that carries an answer unchanged."""
    headers = without_connection(answer.headers, NOT_COPIED)
    return web.Response(status=answer.status, headers=headers, body=answer.body)


def time_left(text: str | None) -> float:
    """Return the seconds for which a caller waits.

    Examples
    ========

    >>> time_left('800'), time_left(None), time_left('soon')
    (0.8, inf, inf)
    """
    try:
        return math.inf if text is None else float(text) / MILLISECONDS
    except ValueError:
        return math.inf


async def read_body(http: web.BaseRequest, most: int) -> bytes | Refusal:
    """Read a body of at most ``most`` bytes."""
    if not http.body_exists:
        return b''
    chunks = []
    size = 0
    async for chunk in http.content.iter_any():
        size += len(chunk)
        if size > most:
            reason = f'body of more than {most} bytes'
            return Refusal(ResultCode.BODY_TOO_LARGE, reason)
        chunks.append(chunk)
    return b''.join(chunks)


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
