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

# The owner answers at the deadline; its verdict needs a moment to arrive.
ANSWER_MARGIN_SECONDS: Final = 0.1
SHORTEST_ATTEMPT_SECONDS: Final = 0.3
MAX_REFUSAL_BYTES: Final = 65536


@attrs.frozen
class Lost:
    """No verdict of the owner arrived; the order may have run."""

    reason: str


class OrderHop(Protocol):
    """Carries an order to the daemon that its key names."""

    async def send(
        self,
        call: Call,
        member: Member,
        key: OrderKey,
    ) -> Answer | Refusal | Lost:
        """Send once and return the owner's verdict, or ``Lost``."""


@attrs.define
class HttpOrderHop:
    """Order hop over HTTP.

    Parameters
    ==========

    calls : CallHandler
        Knows the clients of other daemons and the headers between them.
    """

    calls: CallHandler

    async def send(
        self,
        call: Call,
        member: Member,
        key: OrderKey,
    ) -> Answer | Refusal | Lost:
        """Send once; an attempt may use half of the remaining time.

        Explanation
        ===========

        A connection that has gone silent then leaves time for another
        attempt on a new one.
        """
        now = self.calls.recorder.timer.now()
        half = max(SHORTEST_ATTEMPT_SECONDS, (call.deadline - now) / 2)
        daemon = self.calls.daemon_at(member.call_address)
        response = await daemon.exchange(
            BackendRequest(
                call.method,
                call.path,
                call.header_pairs + self.calls.peer_headers(call, member.host),
                call.body,
                call.request_id,
            ),
            min(now + half, call.deadline + ANSWER_MARGIN_SECONDS),
        )
        match response:
            case Refusal(reason=reason):
                return Lost(reason)
        return await _read_verdict(call, response, key)


async def _read_verdict(
    call: Call,
    response: BackendResponse,
    key: OrderKey,
) -> Answer | Refusal | Lost:
    received = {name.lower(): text for name, text in response.headers}
    if received.get(headers.REQUEST_ID.lower()) != call.request_id:
        return Lost('answer to another request')
    try:
        code = ResultCode(int(received[headers.RESULT.lower()]))
        ran = Ran(received[headers.RAN.lower()])
    except (KeyError, ValueError):
        return Lost('answer without a result')
    if code is ResultCode.OK:
        return Answer(response.status, response.headers, response.chunks)
    owner = received.get(headers.ORDER_OWNER.lower(), '')
    if owner != f'{key.host}/{key.incarnation}' and ran is Ran.NO:
        # Only the owner of the key has voided it.
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
