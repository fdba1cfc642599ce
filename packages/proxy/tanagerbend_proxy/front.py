"""HTTP handlers for the requests of callers and of other daemons."""

import asyncio
import math
from http import HTTPStatus
from typing import Final

import attrs
from aiohttp import web

from tanagerbend_daemon.connections import HOP_BY_HOP
from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import REFUSALS
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy import headers as own_headers
from tanagerbend_proxy.body_memory import BodyMemory, HeldBody
from tanagerbend_proxy.crash_exchange import CrashCaseExchange
from tanagerbend_proxy.endpoint import DUE, IDENTIFIER, status_of
from tanagerbend_proxy.entry import Entry
from tanagerbend_proxy.exchange import without_connection
from tanagerbend_proxy.following import Follower
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
from tanagerbend_proxy.poll_request import PollRequest
from tanagerbend_proxy.reading import read_body, refuse_body
from tanagerbend_proxy.results import sending_limits
from tanagerbend_proxy.uplink import SendingLimits

# Applies until a configuration sets a limit.
DEFAULT_BODY_LIMIT_BYTES: Final = 1048576
# Requests with bodies from this size on are refused before the body is read
# if it is already known that they can't be served.
LARGE_BODY_BYTES: Final = 16384
# Enough for all crash cases that one daemon reports, with their crashes.
MAX_CASES_BYTES: Final = 2097152
# Headers that the server sets or that apply to another connection.
NOT_COPIED: Final = HOP_BY_HOP | {'content-length', 'date', 'server'}


@attrs.define
class CallerHandler:
    """Handles the HTTP requests of callers."""

    entry: Entry
    names: own_headers.HeaderNames
    recorder: Recorder
    caller_service: str
    lifetime: Lifetime
    memory: BodyMemory

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        if not http.body_exists:
            return await self._handle(http, None)
        with self.memory.hold() as held:
            return await self._handle(http, held)

    async def _handle(
        self, http: web.BaseRequest, held: HeldBody | None
    ) -> web.StreamResponse:
        begun = self.begin(http)
        request = self._refuse_early(http, begun)
        if request is None:
            request = await self.read(http, begun, held)
        match request:
            case Refusal():
                return refuse_unread(http, self.refuse(request, begun))
        result = await self._answer_in_time(request)
        match result:
            case Refusal():
                return self.refuse(result, request)
        self.entry.link.sent(ANSWERS, len(result.body))
        response = respond(result)
        if self.entry.owner.uplink.is_large(len(result.body)):
            response[DUE] = sending_limits(
                request, self.entry.route_of(request)
            )
        response[IDENTIFIER] = request.identifier
        return response

    def _limit_to_stop(self, request: Request) -> Request | Refusal:
        """Limit the deadline of a request to the end of this process.

        Refuses it if the time left doesn't cover both the work and sending
        the answer over the link of this host.
        """
        route = self.entry.route_of(request)
        if route is None:
            return request
        work = self.entry.placement.work_of(route.name)
        left = self.lifetime.seconds_left
        work_seconds = left - self.entry.placement.link_delay(work.size)
        if work_seconds < work.seconds:
            reason = (
                f'the daemon stops, {work_seconds:.3f} s are left for the work'
            )
            return Refusal(ResultCode.DRAINING, reason)
        ends = self.recorder.timer.now() + left
        return attrs.evolve(request, ends=ends)

    async def _answer_in_time(self, request: Request) -> Answer | Refusal:
        """Answer a request, or refuse it, before this process ends."""
        limited = (
            self._limit_to_stop(request) if self.lifetime.is_ending else request
        )
        match limited:
            case Refusal():
                self.recorder.count(REFUSALS, limited.code.name)
                return limited
        try:
            async with asyncio.timeout(None) as limit:
                with self.lifetime.bounded(limit):
                    return await self.entry.handle(limited)
        except TimeoutError:
            self.recorder.count('requests_ended_by_stop')
            reason = 'the daemon stopped before the answer arrived'
            return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)

    def _refuse_early(
        self,
        http: web.BaseRequest,
        begun: Request,
    ) -> Refusal | None:
        """Refuse a large body before it is read, None to read it."""
        length = http.content_length
        if length is None or length < LARGE_BODY_BYTES:
            return None
        max_bytes = self._max_body_bytes()
        if length > max_bytes:
            refusal = refuse_body(max_bytes)
        else:
            refusal = self.entry.refuse_early(begun)
        if refusal is not None:
            self.recorder.count('uploads_refused_early', refusal.code.name)
        return refusal

    def _max_body_bytes(self) -> int:
        configuration = self.entry.knowledge.configuration
        limits = None if configuration is None else configuration.limits
        return limits.body_bytes if limits else DEFAULT_BODY_LIMIT_BYTES

    async def read(
        self,
        http: web.BaseRequest,
        begun: Request,
        held: HeldBody | None,
    ) -> Request | Refusal:
        """Return a request with its body, or a refusal.

        ``held`` is None for a request without a body.
        """
        if held is None:
            return begun
        seconds_left = begun.deadline - self.recorder.timer.now()
        body = await read_body(http, held, self._max_body_bytes(), seconds_left)
        match body:
            case Refusal():
                return body
        return attrs.evolve(begun, body=body)

    def begin(self, http: web.BaseRequest) -> Request:
        """Return a request without its body, from the HTTP headers."""
        headers = without_connection(http.headers, NOT_COPIED)
        headers[self.names.caller_service] = self.caller_service
        headers.popall(self.names.expected_instance, None)
        headers.popall(own_headers.PLACED, None)
        headers.popall(own_headers.REPEATED, None)
        headers.popall(own_headers.CRASHES, None)
        return Request(
            http.headers.get(self.names.request_id, ''),
            http.method,
            http.headers.get('Host', '').partition(':')[0].lower(),
            http.raw_path,
            headers,
            b'',
            parse_time_left(http.headers.get(self.names.time_left)),
            self.recorder.timer.now(),
        )

    def refuse(
        self,
        refusal: Refusal,
        request: Request | None,
    ) -> web.Response:
        """Return the response to a refused request."""
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
    """Handles the HTTP requests of other daemons.

    These place requests at the instance here, poll for changes and report
    crashes.
    """

    owner: Owner
    follower: Follower
    names: own_headers.HeaderNames
    case_exchange: CrashCaseExchange
    memory: BodyMemory

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of another daemon."""
        poll = http.headers.get(own_headers.FOLLOW)
        if poll is not None:
            era = http.headers.get(own_headers.FOLLOW_ERA, '')
            return await self.answer_poll(PollRequest.decode(poll, era))
        if own_headers.CRASH_NEWS in http.headers:
            return await self.receive_crash_cases(http)
        with self.memory.hold() as held:
            return await self.run(http, held)

    async def receive_crash_cases(self, http: web.BaseRequest) -> web.Response:
        """Take the crash evidence that another daemon reports."""
        with self.memory.hold() as held:
            text = await read_body(http, held, MAX_CASES_BYTES)
        reply = (
            self.case_exchange.answer(text) if isinstance(text, bytes) else text
        )
        match reply:
            case Refusal(reason=reason):
                self.case_exchange.suspicions.log.write(
                    'crashes_unreadable',
                    reason=reason,
                )
                return web.Response(status=HTTPStatus.BAD_REQUEST, text=reason)
        return web.Response(text=reply)

    async def answer_poll(self, request: PollRequest | Refusal) -> web.Response:
        """Return the changes that another daemon polls for."""
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

    async def run(
        self, http: web.BaseRequest, held: HeldBody
    ) -> web.StreamResponse:
        """Run a request that another daemon placed at the instance here."""
        arrived = self.owner.recorder.timer.now()
        placed = Placed.decode(
            http.headers.get(own_headers.PLACED, ''),
            http.headers.get(own_headers.REPEATED, ''),
            http.headers.get(own_headers.CRASHES, ''),
        )
        identifier = http.headers.get(self.names.request_id, '')
        match placed:
            case Refusal():
                return refuse_unread(
                    http, self._respond(identifier, Outcome(placed))
                )
        # The daemon that sends it has checked its size.
        body = await read_body(http, held, seconds_left=placed.time_left)
        match body:
            case Refusal():
                return refuse_unread(
                    http, self._respond(identifier, Outcome(body))
                )
        if self.owner.is_leaving:
            reason = 'the daemon beside the instance is stopping'
            refusal = Refusal(ResultCode.DRAINING, reason)
            return self._respond(identifier, Outcome(refusal))
        headers = without_connection(http.headers, NOT_COPIED)
        headers.popall(own_headers.PLACED, None)
        headers.popall(own_headers.REPEATED, None)
        headers.popall(own_headers.CRASHES, None)
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
        # Reading the body may have taken long.
        passed = self.owner.recorder.timer.now() - arrived
        outcome = await self.owner.run(request, placed.after(passed))
        response = self._respond(identifier, outcome)
        response[DUE] = SendingLimits(
            placed.rank,
            request.arrived + placed.on_time,
            request.arrived + placed.time_left,
        )
        response[IDENTIFIER] = identifier
        return response

    def _respond(self, identifier: str, outcome: Outcome) -> web.Response:
        match outcome.result:
            case Answer(body=body):
                self.follower.staleness.link.sent(PLACED, len(body))
                response = respond(outcome.result)
            case Refusal(reason=reason):
                response = web.Response(text=reason)
                response.headers[self.names.request_id] = identifier
        response.headers[own_headers.OUTCOME] = outcome.encode()
        if outcome.evidence:
            response.headers[own_headers.CRASHES] = outcome.evidence
        return response


def refuse_unread(
    http: web.BaseRequest, response: web.Response
) -> web.Response:
    """Close the connection after a refusal before the body was read."""
    if not http.content.is_eof():
        response.force_close()
    return response


def respond(answer: Answer) -> web.Response:
    """Return the response that passes an answer on unchanged."""
    headers = without_connection(answer.headers, NOT_COPIED)
    return web.Response(status=answer.status, headers=headers, body=answer.body)


def parse_time_left(text: str | None) -> float:
    """Return the seconds for which a caller waits, infinite if unknown.

    Examples
    ========

    >>> [parse_time_left(text) for text in ('800', None, 'soon')]
    [0.8, inf, inf]
    """
    try:
        return math.inf if text is None else float(text) / MILLISECONDS
    except ValueError:
        return math.inf
