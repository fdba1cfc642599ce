"""Conversion between orders and HTTP: bodies, status codes, headers."""

import json
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, Final

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders import OrderRefusal, RecordedAnswer

# The body of an order is kept in memory, since the owner compares its
# digest.
MAX_ORDER_BYTES: Final = 1_048_576
# An answer is kept in memory until it is complete and recorded.
MAX_ANSWER_BYTES: Final = 16_777_216
ORDER_STATUS: Final = {
    ResultCode.ORDER_KEY_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    ResultCode.ORDER_KEY_INVALID: HTTPStatus.BAD_REQUEST,
    ResultCode.ORDER_KEY_EXPIRED: HTTPStatus.GONE,
    ResultCode.ORDER_KEY_VOID: HTTPStatus.CONFLICT,
    ResultCode.ORDER_OWNER_GONE: HTTPStatus.BAD_GATEWAY,
    ResultCode.ORDER_LEDGER_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    ResultCode.ORDER_IN_PROGRESS: HTTPStatus.CONFLICT,
    ResultCode.ORDER_NOT_BEGUN: HTTPStatus.NOT_FOUND,
    ResultCode.ORDER_ANSWER_DROPPED: HTTPStatus.GONE,
    ResultCode.ORDER_REQUEST_DIFFERS: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.ORDER_BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
}


def order_headers(refusal: Refusal) -> dict[str, str]:
    """Return the additional headers of a refused order."""
    match refusal:
        case OrderRefusal():
            return dict(refusal.header_pairs)
    return {}


async def single_chunk(body: bytes) -> AsyncIterator[bytes]:
    """Yield a complete body as one chunk."""
    if body:
        yield body


async def read_up_to(
    chunks: bytes | AsyncIterator[bytes],
    limit: int,
) -> bytes | None:
    """Return a complete body, or None if it exceeds ``limit`` bytes.

    Raises
    ======

    ConnectionError
        If the body ends early.
    """
    if isinstance(chunks, bytes):
        return chunks if len(chunks) <= limit else None
    received = bytearray()
    async for chunk in chunks:
        received.extend(chunk)
        if len(received) > limit:
            return None
    return bytes(received)


async def read_order_body(call: Call) -> bytes | Refusal:
    """Return the body of an order, or refuse one that is too large."""
    body = await read_up_to(call.body, MAX_ORDER_BYTES)
    if body is None:
        reason = f'the body of an order exceeds {MAX_ORDER_BYTES} bytes'
        return Refusal(ResultCode.ORDER_BODY_TOO_LARGE, reason, Ran.UNKNOWN)
    return body


async def read_complete_answer(answer: Answer) -> RecordedAnswer | Refusal:
    """Return the complete answer to an order.

    Raises
    ======

    ConnectionError
        If the answer ends early.
    """
    try:
        body = await read_up_to(answer.chunks, MAX_ANSWER_BYTES)
    finally:
        await answer.chunks.aclose()
    if body is None:
        reason = f'the answer exceeds {MAX_ANSWER_BYTES} bytes'
        return Refusal(ResultCode.ORDER_ANSWER_DROPPED, reason, Ran.YES)
    return RecordedAnswer(answer.status, answer.header_pairs, body)


def to_answer(outcome: RecordedAnswer | Refusal) -> Answer | Refusal:
    """Convert a recorded answer to one that can be sent to the caller."""
    match outcome:
        case RecordedAnswer(status=status, header_pairs=pairs, body=body):
            return Answer(status, pairs, single_chunk(body))
    return outcome


def json_answer(status: HTTPStatus, content: dict[str, Any]) -> Answer:
    """Return a JSON answer that the daemon itself gives."""
    body = json.dumps(content).encode()
    pairs = (
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    )
    return Answer(int(status), pairs, single_chunk(body))
