"""HTTP server for callers and entry daemons."""

import secrets
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from tanagerbend_daemon.call import Answer, Call, CallLimits, read_limits
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler, peer_proof
from tanagerbend_daemon.order_answers import ORDER_STATUS, order_headers
from tanagerbend_daemon.listener import Listener
from tanagerbend_daemon.outbound import HOP_BY_HOP
from tanagerbend_model import Ran, Refusal, ResultCode, headers

# Bodies up to this size are held, so that they can be sent again.
MAX_HELD_BYTES: Final = 65536
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
        headers.FRESH_ORDER_KEY,
        headers.ORDER_OWNER,
        headers.SENDER,
    )
)
NOT_PASSED_ON: Final = HOP_BY_HOP | OWN_HEADERS
STATUS: Final = {
    ResultCode.HEADER_INVALID: 400,
    ResultCode.ROUTE_UNKNOWN: 404,
    ResultCode.TOO_MANY_HOPS: 508,
    **ORDER_STATUS,
    ResultCode.QUEUE_FULL: 429,
    ResultCode.DEADLINE_PASSED: 504,
    ResultCode.DEADLINE_UNREACHABLE: 504,
    ResultCode.OUTCOME_UNKNOWN: 502,
    ResultCode.ANSWER_CROSSED: 502,
}
DEFAULT_STATUS: Final = 503
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

    async def start(self, address: str, port: int) -> str:
        """Listen; return ``address:port``."""
        server = web.Server(self.serve, access_log=None)
        self.runner = web.ServerRunner(
            server,
            access_log=None,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
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
        """Whether no request is being answered."""
        return not self.active

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.active += 1
        try:
            return await self._serve(request)
        finally:
            self.active -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        call = await self.read_call(request)
        match call:
            case Refusal():
                return self._refuse(call, '')
        outcome = await (self.drain or self.handler).handle(call)
        match outcome:
            case Refusal():
                return self._refuse(outcome, call.request_id)
        return await self._pass_on(request, call, outcome)

    async def read_call(self, request: web.BaseRequest) -> Call | Refusal:
        """Read the headers, and the body if it is small."""
        limits = read_limits(request.headers, self.recorder.timer.now())
        match limits:
            case Refusal():
                return limits
        instance = request.headers.get(headers.INSTANCE, '')
        request_id = request.headers.get(headers.REQUEST_ID, '')
        if instance and not self._is_peer(request, request_id, instance):
            reason = 'forwarded call without a valid proof'
            return Refusal(ResultCode.FRAME_UNAUTHENTICATED, reason)
        return await self._make_call(request, limits, instance, request_id)

    def _is_peer(
        self,
        request: web.BaseRequest,
        request_id: str,
        instance: str,
    ) -> bool:
        expected = peer_proof(self.handler.key, request_id, instance)
        proof = request.headers.get(headers.PEER_PROOF, '')
        return secrets.compare_digest(proof.encode(), expected.encode())

    async def _make_call(
        self,
        request: web.BaseRequest,
        limits: CallLimits,
        instance: str,
        request_id: str,
    ) -> Call:
        return Call(
            service=_service(request),
            method=request.method,
            path=request.path_qs,
            header_pairs=_passed_on(request),
            body=await _body(request),
            tenant=limits.tenant,
            rank=limits.rank,
            deadline=limits.deadline,
            hops=limits.hops,
            request_id=request_id or secrets.token_hex(8),
            order_key=request.headers.get(headers.ORDER_KEY, ''),
            instance=instance,
        )

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self.recorder.count('refusals', refusal.code.name)
        response = web.json_response(
            {
                'code': int(refusal.code),
                'name': refusal.code.name,
                'reason': refusal.reason,
                'ran': refusal.ran.value,
            },
            status=STATUS.get(refusal.code, DEFAULT_STATUS),
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
        own = {
            headers.RESULT: str(int(code)),
            headers.RAN: ran.value,
            headers.REQUEST_ID: request_id,
        }
        if self.handler.table is not None:
            own[headers.VERSION] = str(self.handler.table.version)
        return own

    async def _pass_on(
        self,
        request: web.BaseRequest,
        call: Call,
        answer: Answer,
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=answer.status)
        self._close_at_stop(response)
        for name, text in answer.header_pairs:
            if name.lower() not in OWN_HEADERS:
                response.headers.add(name, text)
        response.headers.update(
            self._own_headers(answer.code, answer.ran, call.request_id),
        )
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                await response.write(chunk)
            await response.write_eof()
        except ConnectionError:
            self.recorder.count('answers_cut')
            # Without the end of the body the caller sees a truncated
            # answer, never one that looks whole.
            if request.transport is not None:
                request.transport.abort()
        finally:
            await answer.chunks.aclose()
        return response


def _service(request: web.BaseRequest) -> str:
    named = request.headers.get(headers.SERVICE)
    if named:
        return named
    return request.host.partition(':')[0].partition('.')[0]


def _passed_on(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in request.headers.items()
        if name.lower() not in NOT_PASSED_ON
    )


async def _body(request: web.BaseRequest) -> bytes | AsyncIterator[bytes]:
    if not request.body_exists:
        return b''
    length = request.content_length
    if length is not None and length <= MAX_HELD_BYTES:
        return await request.read()
    return request.content.iter_any()
