"""Record, state and outcome of one order in a ledger."""

import asyncio
import enum
import hashlib
from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_orders.keys import OrderKey

RETRY_AFTER: Final = 'Retry-After'


class OrderState(enum.Enum):
    """State of an order at the daemon that owns its key."""

    IN_PROGRESS = 'in progress'
    DONE = 'done'
    DONE_BODY_DROPPED = 'done, answer not kept'
    OUTCOME_UNKNOWN = 'outcome unknown'
    VOID = 'void'


@attrs.frozen
class RecordedAnswer:
    """Answer of a backend server to an order.

    Parameters
    ==========

    status : int
    header_pairs : tuple of pairs of str
    body : bytes
    """

    status: int
    header_pairs: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Size of the body and the headers in bytes."""
        pairs = self.header_pairs
        return len(self.body) + sum(len(''.join(pair)) for pair in pairs)


@attrs.frozen
class OrderRefusal(Refusal):
    """Refusal of an order, with details for a caller or an entry daemon.

    Parameters
    ==========

    fresh_key : str
        Token for another attempt; empty if no instance is known.
    owner : str
        ``host/incarnation`` if the owner of the key made the decision.
    retry_after_seconds : int
        Seconds to wait before sending the order again without a key; 0 if
        it can be sent at once.
    """

    fresh_key: str = ''
    owner: str = ''
    retry_after_seconds: int = 0

    @property
    def header_pairs(self) -> tuple[tuple[str, str], ...]:
        """Headers of the HTTP answer."""
        pairs = (
            (headers.FRESH_ORDER_KEY, self.fresh_key),
            (headers.ORDER_OWNER, self.owner),
            (RETRY_AFTER, str(self.retry_after_seconds or '')),
        )
        return tuple(pair for pair in pairs if pair[1])


@attrs.define(eq=False)
class OrderRecord:
    """One order that its owner has begun.

    Parameters
    ==========

    key : OrderKey
    request : bytes
        Digest of method, path and body.
    state : OrderState
    answer : RecordedAnswer or None
    refusal : Refusal or None
        Why the outcome is unknown, or why the order was not run.
    starts : int
        Number of times the order was sent to the backend server.
    ended : asyncio.Event
        Set when the order is no longer in progress.
    """

    key: OrderKey
    request: bytes
    state: OrderState = OrderState.IN_PROGRESS
    answer: RecordedAnswer | None = None
    refusal: Refusal | None = None
    starts: int = 0
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    def outcome(self) -> RecordedAnswer | Refusal:
        """Return the recorded answer, or a refusal that gives the reason."""
        if self.answer is not None and self.state is OrderState.DONE:
            return self.answer
        if self.state is OrderState.IN_PROGRESS:
            reason = 'the order is running; ask again later'
            return Refusal(ResultCode.ORDER_IN_PROGRESS, reason, Ran.UNKNOWN)
        if self.state is OrderState.DONE_BODY_DROPPED:
            reason = 'the order ran; its answer is no longer kept'
            return Refusal(ResultCode.ORDER_ANSWER_DROPPED, reason, Ran.YES)
        if self.refusal is not None:
            return self.refusal
        return Refusal(ResultCode.OUTCOME_UNKNOWN, '', Ran.UNKNOWN)


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that binds an order key to one request.

    Examples
    ========

    >>> request_digest('POST', '/a', b'b') == request_digest('POST', '/ab', b'')
    False
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        # Length prefixes keep other splits of the same bytes distinct.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
