"""HTTP server for callers and entry daemons."""

import asyncio
import itertools
import re
import secrets
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, nullcontext
from typing import Any, Final

from aiohttp import web

from tanagerbend_daemon.body import close_body
from tanagerbend_daemon.bounded_server import InputLimits
from tanagerbend_daemon.call import Answer, Call, header_of, read_limits
from tanagerbend_daemon.connection_reset import reset_connection
from tanagerbend_daemon.connections import HOP_BY_HOP
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.listener import Listener, make_runner, unsent_bytes
from tanagerbend_daemon.order_answers import order_headers
from tanagerbend_daemon.peer_hop import peer_proof
from tanagerbend_daemon.statuses import status_of
from tanagerbend_metrics.names import ADDED_TIME, REFUSALS, REFUSALS_TO_PEERS
from tanagerbend_model import Ran, Refusal, ResultCode, headers

# Request bodies up to this size are buffered, so that they can be resent;
# answers up to this size are sent without waiting for the caller.
MAX_BUFFERED_BYTES: Final = 65536
# A caller that reads nothing for this time is cut off, since it could hold
# a slot indefinitely.
STALL_SECONDS: Final = 10.0
DAEMON_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        headers.SERVICE,
        headers.TENANT,
        headers.RANK,
        headers.DEADLINE_MS,
        headers.HOPS,
        headers.REQUEST_ID,
        headers.VERSION,
        headers.INSTANCE,
        headers.PEER_PROOF,
        headers.RESULT,
        headers.RAN,
        headers.LOAD,
        headers.FRESH_ORDER_KEY,
        headers.ORDER_OWNER,
        headers.SENDER,
    )
)
HEADERS_NOT_FORWARDED: Final = HOP_BY_HOP | DAEMON_HEADERS
REQUEST_ID_PATTERN: Final = re.compile('[A-Za-z0-9_-]{1,64}')
# Answers still being streamed after a drain are cut after this time.
SHUTDOWN_SECONDS: Final = 1.0


class CallServer:
    """Turns HTTP requests into calls and answers into responses.

    Parameters
    ==========

    handler : CallHandler
    drain : Drain or None
    """

    def __init__(
        self,
        handler: CallHandler,
        drain: Drain | None = None,
    ) -> None:
        self.handler = handler
        # Forwards calls to the handler through the path of orders.
        self.drain = drain
        self.active = 0
        self.listener: Listener | None = None
        self.recorder = handler.recorder
        self.runner: web.ServerRunner | None = None
        self.id_prefix = secrets.token_hex(6)
        self.request_numbers = itertools.count(1)

    async def start(self, address: str, port: int) -> str:
        """Start to listen and return ``address:port``."""
        limits = InputLimits(count=self.recorder.count)
        self.runner = make_runner(self.serve, SHUTDOWN_SECONDS, limits)
        await self.runner.setup()
        self.listener = Listener(self.runner)
        return await self.listener.start(address, port)

    async def close(self) -> None:
        """Stop listening and end the connections."""
        if self.runner is not None:
            await self.listener.close()
            await self.runner.cleanup()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no answer is unsent."""
        return not (self.active or unsent_bytes(self.runner))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request, counted as active until its answer ends."""
        self.active += 1
        try:
            return await self._serve(request)
        finally:
            self.active -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started = self.recorder.timer.now()
        call = await self.read_call(request)
        received_id = request.headers.get(headers.REQUEST_ID, '')
        match call:
            case Refusal():
                return self._refuse(call, received_id)
        version_refusal = await self._catch_up(request, call)
        if version_refusal is not None:
            return self._refuse(version_refusal, received_id or call.request_id)
        outcome = await (self.drain or self.handler).handle(call)
        match outcome:
            case Refusal():
                counter = REFUSALS_TO_PEERS if call.instance else REFUSALS
                response_id = received_id or call.request_id
                return self._refuse(outcome, response_id, counter)
        return await self._send_answer(request, call, outcome, started)

    def _record_added_time(self, call: Call, started: float) -> None:
        elapsed = self.recorder.timer.now() - started
        self.recorder.histograms.record(
            ADDED_TIME,
            call.tenant,
            call.times.rank,
            elapsed - call.times.waited,
        )

    async def _catch_up(
        self,
        request: web.BaseRequest,
        call: Call,
    ) -> Refusal | None:
        text = request.headers.get(headers.VERSION)
        if text is None or self.handler.catch_up is None:
            return None
        sender = request.headers.get(headers.SENDER, '')
        refusal = await self.handler.catch_up.await_version_header(
            text,
            sender if call.instance else '',
        )
        # Only the owner of an order's key may state that it was not run.
        return None if call.order_key else refusal

    async def read_call(self, request: web.BaseRequest) -> Call | Refusal:
        """Read the headers, and the body if it is small."""
        limits = read_limits(request.headers, self.recorder.timer.now())
        match limits:
            case Refusal():
                return limits
        pairs = _forwarded_headers(request)
        if pairs is None:
            reason = 'header that is not UTF-8'
            return Refusal(ResultCode.HEADER_INVALID, reason)
        instance = request.headers.get(headers.INSTANCE, '')
        request_id = request.headers.get(headers.REQUEST_ID, '')
        if not instance:
            request_id = self._make_request_id(request_id)
        elif not self._has_valid_proof(request, request_id, instance):
            reason = 'forwarded call without a valid proof'
            return Refusal(ResultCode.FRAME_UNAUTHENTICATED, reason)
        if instance and self.drain is not None:
            self.drain.note_sender(request.headers.get(headers.SENDER, ''))
        await _send_continue(request)
        return Call(
            service=_service_of(request),
            method=request.method,
            path=request.path_qs,
            header_pairs=pairs,
            body=await _read_body(request),
            tenant=limits.tenant,
            rank=limits.rank,
            deadline=limits.deadline,
            hops=limits.hops,
            request_id=request_id,
            order_key=request.headers.get(headers.ORDER_KEY, ''),
            instance=instance,
        )

    def _make_request_id(self, received_id: str) -> str:
        """Return an id that no other call has.

        If a caller uses one id for many calls, crossed answers could not be
        detected by it.  A valid id of a caller becomes the prefix.
        """
        unique = f'{self.id_prefix}-{next(self.request_numbers):x}'
        if not received_id:
            return unique
        received_id = received_id.partition('.')[0]
        if REQUEST_ID_PATTERN.fullmatch(received_id) is None:
            return unique
        return f'{received_id}.{unique}'

    def _has_valid_proof(
        self,
        request: web.BaseRequest,
        request_id: str,
        instance: str,
    ) -> bool:
        expected = peer_proof(self.handler.key, request_id, instance)
        proof = request.headers.get(headers.PEER_PROOF, '')
        return secrets.compare_digest(
            proof.encode('utf-8', 'replace'),
            expected.encode(),
        )

    def _refuse(
        self,
        refusal: Refusal,
        request_id: str,
        counter: str = REFUSALS,
    ) -> web.Response:
        self.recorder.count(counter, refusal.code.name)
        response = web.json_response(
            {
                'code': int(refusal.code),
                'name': refusal.code.name,
                'reason': refusal.reason,
                'ran': refusal.ran.value,
            },
            status=status_of(refusal.code),
            headers={
                **self._daemon_headers(refusal.code, refusal.ran, request_id),
                **order_headers(refusal),
            },
        )
        self._close_at_stop(response)
        return response

    def _close_at_stop(self, response: web.StreamResponse) -> None:
        # The caller then opens its next connection to another daemon.
        if self.drain is not None and self.drain.is_stopping:
            response.force_close()

    def _daemon_headers(
        self,
        code: ResultCode,
        ran: Ran,
        request_id: str,
    ) -> dict[str, str]:
        daemon_headers = {
            headers.RESULT: str(int(code)),
            headers.RAN: ran.value,
        }
        if request_id.isascii() and request_id.isprintable():
            daemon_headers[headers.REQUEST_ID] = request_id
        if self.handler.table is not None:
            daemon_headers[headers.VERSION] = self.handler.table.version_text
        return daemon_headers

    async def _send_answer(
        self,
        request: web.BaseRequest,
        call: Call,
        answer: Answer,
        started: float,
    ) -> web.StreamResponse:
        response_id = request.headers.get(headers.REQUEST_ID) or call.request_id
        is_small = _is_small(answer)
        response = self._make_response(
            call, answer, response_id, is_small=is_small
        )
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                async with _stall_limit(is_small=is_small):
                    await response.write(chunk)
            await response.write_eof()
        except (ConnectionError, TimeoutError):
            self.recorder.count('answers_cut')
            reset_connection(request.transport)
        finally:
            await close_body(answer.chunks)
        if is_small and not call.order_key:
            self._record_added_time(call, started)
        return response

    def _make_response(
        self,
        call: Call,
        answer: Answer,
        response_id: str,
        *,
        is_small: bool,
    ) -> web.StreamResponse:
        response_class = CoalescedResponse if is_small else web.StreamResponse
        response = response_class(status=answer.status)
        self._close_at_stop(response)
        for name, text in answer.header_pairs:
            if name.lower() not in HEADERS_NOT_FORWARDED:
                response.headers.add(name, text)
        daemon_headers = self._daemon_headers(
            answer.code, answer.ran, response_id
        )
        if call.instance and answer.load:
            daemon_headers[headers.LOAD] = answer.load
        response.headers.update(daemon_headers)
        return response


class CoalescedResponse(web.StreamResponse):
    """Response whose headers are sent together with the first chunk."""

    _send_headers_immediately = False


def _is_small(answer: Answer) -> bool:
    length = header_of(answer.header_pairs, 'Content-Length')
    is_number = length.isascii() and length.isdecimal() and len(length) < 9
    return is_number and int(length) <= MAX_BUFFERED_BYTES


def _stall_limit(*, is_small: bool) -> AbstractAsyncContextManager[Any]:
    # A small answer fits into the write buffer, so writing does not wait.
    return nullcontext() if is_small else asyncio.timeout(STALL_SECONDS)


async def _send_continue(request: web.BaseRequest) -> None:
    """Send ``100 Continue`` if the caller waits for it."""
    expected: Any = request.headers.get('Expect', '')
    if expected.lower() == '100-continue' and request.transport is not None:
        request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')


def _service_of(request: web.BaseRequest) -> str:
    service = request.headers.get(headers.SERVICE)
    if service:
        return service
    return request.host.partition(':')[0].partition('.')[0]


def _forwarded_headers(
    request: web.BaseRequest,
) -> tuple[tuple[str, str], ...] | None:
    pairs = tuple(
        (name, text)
        for name, text in request.headers.items()
        if name.lower() not in HEADERS_NOT_FORWARDED
    )
    # aiohttp decodes invalid UTF-8 to surrogates, which it cannot encode.
    for _name, text in pairs:
        if not text.isascii() and '\udc80' <= max(text) <= '\udcff':
            return None
    return pairs


async def _read_body(request: web.BaseRequest) -> bytes | AsyncIterator[bytes]:
    if not request.body_exists:
        return b''
    length = request.content_length
    if length is not None and length <= MAX_BUFFERED_BYTES:
        return await request.read()
    return request.content.iter_any()
