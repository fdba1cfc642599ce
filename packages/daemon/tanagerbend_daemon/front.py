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
from tanagerbend_daemon.call import Answer, Call, header_of, read_limits
from tanagerbend_daemon.connections import HOP_BY_HOP
from tanagerbend_daemon.cutting import cut
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.listener import Listener, make_runner, unsent_bytes
from tanagerbend_daemon.order_answers import order_headers
from tanagerbend_daemon.peer_hop import peer_proof
from tanagerbend_daemon.statuses import status_of
from tanagerbend_metrics.names import ADDED_TIME, REFUSALS, REFUSALS_TO_PEERS
from tanagerbend_model import Ran, Refusal, ResultCode, headers

# Bodies up to this size are held, so that they can be sent again.
MAX_HELD_BYTES: Final = 65536
# A caller that takes nothing for this time would hold a slot for ever.
STALL_SECONDS: Final = 10.0
OWN_HEADERS: Final = frozenset(
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
NOT_PASSED_ON: Final = HOP_BY_HOP | OWN_HEADERS
NAMED_ID: Final = re.compile('[A-Za-z0-9_-]{1,64}')
# Answers that are still streamed after a drain are cut after this time.
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
        # Passes calls on to the handler, by way of the path of orders.
        self.drain = drain
        self.active = 0
        self.listener: Listener | None = None
        self.recorder = handler.recorder
        self.runner: web.ServerRunner | None = None
        self.prefix = secrets.token_hex(6)
        self.numbers = itertools.count(1)

    async def start(self, address: str, port: int) -> str:
        """Listen; return ``address:port``."""
        self.runner = make_runner(self.serve, SHUTDOWN_SECONDS)
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
        """Whether no request is answered and no bytes of answers wait."""
        return not (self.active or unsent_bytes(self.runner))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.active += 1
        try:
            return await self._serve(request)
        finally:
            self.active -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started = self.recorder.timer.now()
        call = await self.read_call(request)
        named = request.headers.get(headers.REQUEST_ID, '')
        match call:
            case Refusal():
                return self._refuse(call, named)
        behind = await self._catch_up(request, call)
        if behind is not None:
            return self._refuse(behind, named or call.request_id)
        outcome = await (self.drain or self.handler).handle(call)
        match outcome:
            case Refusal():
                counter = REFUSALS_TO_PEERS if call.instance else REFUSALS
                shown = named or call.request_id
                return self._refuse(outcome, shown, counter)
        return await self._pass_on(request, call, outcome, started)

    def _record_added_time(self, call: Call, started: float) -> None:
        passed = self.recorder.timer.now() - started
        self.recorder.histograms.record(
            ADDED_TIME,
            call.tenant,
            call.times.rank,
            passed - call.times.waited,
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
        # "Not run" about an order may only come from the owner of its key.
        return None if call.order_key else refusal

    async def read_call(self, request: web.BaseRequest) -> Call | Refusal:
        """Read the headers, and the body if it is small."""
        limits = read_limits(request.headers, self.recorder.timer.now())
        match limits:
            case Refusal():
                return limits
        pairs = _passed_on(request)
        if pairs is None:
            reason = 'header that is not UTF-8'
            return Refusal(ResultCode.HEADER_INVALID, reason)
        instance = request.headers.get(headers.INSTANCE, '')
        request_id = request.headers.get(headers.REQUEST_ID, '')
        if not instance:
            request_id = self._new_id(request_id)
        elif not self._is_peer(request, request_id, instance):
            reason = 'forwarded call without a valid proof'
            return Refusal(ResultCode.FRAME_UNAUTHENTICATED, reason)
        if instance and self.drain is not None:
            self.drain.note_sender(request.headers.get(headers.SENDER, ''))
        await _continue(request)
        return Call(
            service=_service(request),
            method=request.method,
            path=request.path_qs,
            header_pairs=pairs,
            body=await _body(request),
            tenant=limits.tenant,
            rank=limits.rank,
            deadline=limits.deadline,
            hops=limits.hops,
            request_id=request_id,
            order_key=request.headers.get(headers.ORDER_KEY, ''),
            instance=instance,
        )

    def _new_id(self, named: str) -> str:
        """Return an id that no other call has.

        A caller may use one id for many calls, and crossed answers would
        then look right.  Its id is kept as the beginning.
        """
        unique = f'{self.prefix}-{next(self.numbers):x}'
        if not named:
            return unique
        named = named.partition('.')[0]
        if NAMED_ID.fullmatch(named) is None:
            return unique
        return f'{named}.{unique}'

    def _is_peer(
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
                **self._own_headers(refusal.code, refusal.ran, request_id),
                **order_headers(refusal),
            },
        )
        self._close_at_stop(response)
        return response

    def _close_at_stop(self, response: web.StreamResponse) -> None:
        # The caller opens its next connection to another daemon.
        if self.drain is not None and self.drain.is_stopping:
            response.force_close()

    def _own_headers(
        self,
        code: ResultCode,
        ran: Ran,
        request_id: str,
    ) -> dict[str, str]:
        own = {headers.RESULT: str(int(code)), headers.RAN: ran.value}
        if request_id.isascii() and request_id.isprintable():
            own[headers.REQUEST_ID] = request_id
        if self.handler.table is not None:
            own[headers.VERSION] = self.handler.table.version_text
        return own

    async def _pass_on(
        self,
        request: web.BaseRequest,
        call: Call,
        answer: Answer,
        started: float,
    ) -> web.StreamResponse:
        named = request.headers.get(headers.REQUEST_ID) or call.request_id
        is_small = _is_small(answer)
        response = self._make_response(call, answer, named, is_small=is_small)
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                async with _stall_limit(is_small=is_small):
                    await response.write(chunk)
            await response.write_eof()
        except (ConnectionError, TimeoutError):
            self.recorder.count('answers_cut')
            cut(request.transport)
        finally:
            await close_body(answer.chunks)
        if is_small and not call.order_key:
            self._record_added_time(call, started)
        return response

    def _make_response(
        self,
        call: Call,
        answer: Answer,
        named: str,
        *,
        is_small: bool,
    ) -> web.StreamResponse:
        make_response = CoalescedResponse if is_small else web.StreamResponse
        response = make_response(status=answer.status)
        self._close_at_stop(response)
        for name, text in answer.header_pairs:
            if name.lower() not in NOT_PASSED_ON:
                response.headers.add(name, text)
        own = self._own_headers(answer.code, answer.ran, named)
        if call.instance and answer.load:
            own[headers.LOAD] = answer.load
        response.headers.update(own)
        return response


class CoalescedResponse(web.StreamResponse):
    """Response whose headers are sent together with the first chunk."""

    _send_headers_immediately = False


def _is_small(answer: Answer) -> bool:
    length = header_of(answer.header_pairs, 'Content-Length')
    is_number = length.isascii() and length.isdecimal() and len(length) < 9
    return is_number and int(length) <= MAX_HELD_BYTES


def _stall_limit(*, is_small: bool) -> AbstractAsyncContextManager[Any]:
    # The write buffer takes a small answer without waiting.
    return nullcontext() if is_small else asyncio.timeout(STALL_SECONDS)


async def _continue(request: web.BaseRequest) -> None:
    """Let the caller send its body if it waits to be asked."""
    expected: Any = request.headers.get('Expect', '')
    if expected.lower() == '100-continue' and request.transport is not None:
        request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')


def _service(request: web.BaseRequest) -> str:
    named = request.headers.get(headers.SERVICE)
    if named:
        return named
    return request.host.partition(':')[0].partition('.')[0]


def _passed_on(
    request: web.BaseRequest,
) -> tuple[tuple[str, str], ...] | None:
    pairs = tuple(
        (name, text)
        for name, text in request.headers.items()
        if name.lower() not in NOT_PASSED_ON
    )
    # aiohttp reads invalid UTF-8 as surrogates, which it cannot write.
    for _name, text in pairs:
        if not text.isascii() and '\udc80' <= max(text) <= '\udcff':
            return None
    return pairs


async def _body(request: web.BaseRequest) -> bytes | AsyncIterator[bytes]:
    if not request.body_exists:
        return b''
    length = request.content_length
    if length is not None and length <= MAX_HELD_BYTES:
        return await request.read()
    return request.content.iter_any()
