"""Hop of an order from an entry daemon to the owner of its key."""

import json
from collections.abc import AsyncIterator
from typing import Final, Protocol

import attrs

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.order_answers import read_up_to
from tanagerbend_interfaces import BackendRequest, BackendResponse, Member
from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_orders import OrderKey, OrderRefusal

# The owner answers by the deadline; this is the time for its answer to
# arrive.
ANSWER_MARGIN_SECONDS: Final = 0.1
MIN_ATTEMPT_SECONDS: Final = 0.3
MAX_REFUSAL_BYTES: Final = 65536


@attrs.frozen
class AnswerLost:
    """No answer of the owner arrived; the order may have run."""

    reason: str


class OrderHop(Protocol):
    """Sends an order to the daemon that its key names."""

    async def send(
        self,
        call: Call,
        member: Member,
        key: OrderKey,
    ) -> Answer | Refusal | AnswerLost:
        """Send once and return the answer of the owner, or ``AnswerLost``."""


@attrs.define
class HttpOrderHop:
    """Order hop over HTTP.

    Parameters
    ==========

    calls : CallHandler
        Provides the clients of other daemons and the peer headers.
    """

    calls: CallHandler

    async def send(
        self,
        call: Call,
        member: Member,
        key: OrderKey,
    ) -> Answer | Refusal | AnswerLost:
        """Send once; an attempt may use half of the remaining time.

        Explanation
        ===========

        If a connection stops responding, this leaves time for another
        attempt on a new connection.
        """
        now = self.calls.recorder.timer.now()
        attempt_seconds = max(MIN_ATTEMPT_SECONDS, (call.deadline - now) / 2)
        daemon = self.calls.client_for(member.call_address)
        response = await daemon.exchange(
            BackendRequest(
                call.method,
                call.path,
                call.header_pairs + self.calls.peer_headers(call, member.host),
                call.body,
                call.request_id,
            ),
            min(now + attempt_seconds, call.deadline + ANSWER_MARGIN_SECONDS),
        )
        match response:
            case Refusal(reason=reason):
                return AnswerLost(reason)
        return await _read_outcome(call, response, key)


async def _read_outcome(
    call: Call,
    response: BackendResponse,
    key: OrderKey,
) -> Answer | Refusal | AnswerLost:
    received = {name.lower(): text for name, text in response.headers}
    if received.get(headers.REQUEST_ID.lower()) != call.request_id:
        return AnswerLost('answer to another request')
    try:
        code = ResultCode(int(received[headers.RESULT.lower()]))
        ran = Ran(received[headers.RAN.lower()])
    except (KeyError, ValueError):
        return AnswerLost('answer without a result')
    if code is ResultCode.OK:
        return Answer(response.status, response.headers, response.chunks)
    owner = received.get(headers.ORDER_OWNER.lower(), '')
    if owner != f'{key.host}/{key.incarnation}' and ran is Ran.NO:
        # Only the owner voids a key, so another daemon can't know that the
        # order did not run.
        ran = Ran.UNKNOWN
    reason = await _read_reason(response.chunks)
    return OrderRefusal(code, reason, ran, owner=owner)


async def _read_reason(chunks: AsyncIterator[bytes]) -> str:
    try:
        body = await read_up_to(chunks, MAX_REFUSAL_BYTES)
        return str(json.loads(body or b'{}').get('reason', ''))
    except (ConnectionError, ValueError, AttributeError):
        return 'refused by the owner daemon'
    finally:
        await chunks.aclose()
