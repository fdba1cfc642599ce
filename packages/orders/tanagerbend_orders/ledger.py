"""Ledger of the orders that one incarnation of a daemon owns."""

import heapq
from collections import OrderedDict
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders.keys import OrderKey
from tanagerbend_orders.record import OrderRecord, OrderState, RecordedAnswer

# Time after which an order that was running when its key expired is checked
# again.
RUNNING_RECHECK_SECONDS: Final = 60
DEFAULT_ANSWER_BYTES: Final = 16_777_216
DEFAULT_BODY_BYTES: Final = 262_144


@attrs.frozen
class LedgerLimits:
    """Capacity limits of a ledger.

    Parameters
    ==========

    records : int
        Maximum number of begun orders whose keys have not expired.
    voids : int
        Maximum number of void keys that have not expired.  They have a
        limit of their own, so that a flood of refused orders cannot use up
        the records.
    answer_bytes : int
        Maximum total size of the recorded answers.
    body_bytes : int
        Maximum size of one recorded answer.
    """

    records: int = 20_000
    voids: int = 100_000
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES


@attrs.frozen
class NewOrder:
    """The order is new; only the caller of ``begin`` may run it."""

    record: OrderRecord


@attrs.frozen
class DuplicateOrder:
    """The order was begun by an earlier request with the same key."""

    record: OrderRecord


class Ledger:
    """Keeps a record of each order until its key expires.

    Explanation
    ===========

    Records are evicted only after their keys have expired, and expired keys
    are refused.  Both checks read the same clock, which never decreases;
    therefore a key that was begun or voided can never be begun again.

    Parameters
    ==========

    recorder : Recorder
    limits : LedgerLimits
    """

    def __init__(
        self,
        recorder: Recorder,
        limits: LedgerLimits | None = None,
    ) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.limits = limits or LedgerLimits()
        self.records: dict[str, OrderRecord] = {}
        self.voids: dict[str, int] = {}
        self.expiries: list[tuple[int, str]] = []
        # Sizes of the recorded answers in bytes by nonce, the oldest first.
        self.answer_sizes: OrderedDict[str, int] = OrderedDict()
        self.answer_bytes = 0

    def begin(
        self, key: OrderKey, request: bytes
    ) -> NewOrder | DuplicateOrder | Refusal:
        """Begin an order unless its key was used, voided or has expired.

        ``request`` is the digest of the request.
        """
        known = self.records.get(key.nonce)
        if known is not None:
            return self._match_request(known, request)
        self.evict()
        refusal = self._refuse_unusable(key)
        if refusal is not None:
            return refusal
        if len(self.records) >= self.limits.records:
            return self._refuse_full(key)
        record = OrderRecord(key, request)
        self.records[key.nonce] = record
        heapq.heappush(self.expiries, (key.expiry, key.nonce))
        return NewOrder(record)

    def _match_request(
        self,
        record: OrderRecord,
        request: bytes,
    ) -> DuplicateOrder | Refusal:
        """Refuse a key that was begun with a different request."""
        if record.request != request:
            reason = 'the key was used for another request'
            return Refusal(
                ResultCode.ORDER_REQUEST_DIFFERS,
                reason,
                Ran.UNKNOWN,
            )
        return DuplicateOrder(record)

    def _refuse_unusable(self, key: OrderKey) -> Refusal | None:
        """Refuse a key that is void or has expired."""
        if key.nonce in self.voids:
            return _refuse_void()
        if key.expiry <= self.timer.wall():
            reason = 'the key has expired'
            return Refusal(ResultCode.ORDER_KEY_EXPIRED, reason, Ran.UNKNOWN)
        return None

    def _refuse_full(self, key: OrderKey) -> Refusal:
        reason = 'the ledger of the instance is full'
        ran = Ran.NO if self._add_void(key) else Ran.UNKNOWN
        return Refusal(ResultCode.ORDER_LEDGER_FULL, reason, ran)

    def start(self, record: OrderRecord) -> bool:
        """Mark the order as sent; return False if it must not be sent."""
        if record.state is not OrderState.IN_PROGRESS or record.starts:
            self.recorder.count('orders_start_refused')
            return False
        record.starts += 1
        self.recorder.count('orders_started')
        return True

    def finish(self, record: OrderRecord, answer: RecordedAnswer) -> None:
        """Record the answer of an order, unless it is too large to keep."""
        size = answer.size
        if size > self.limits.body_bytes:
            self._close(record, OrderState.DONE_BODY_DROPPED)
            return
        record.answer = answer
        self.answer_sizes[record.key.nonce] = size
        self.answer_bytes += size
        self._close(record, OrderState.DONE)
        while self.answer_bytes > self.limits.answer_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        nonce, size = self.answer_sizes.popitem(last=False)
        self.answer_bytes -= size
        self.records[nonce].answer = None
        self.records[nonce].state = OrderState.DONE_BODY_DROPPED
        self.recorder.count('order_answers_dropped')

    def finish_without_answer(self, record: OrderRecord) -> None:
        """Record that an order ran, without its answer."""
        self._close(record, OrderState.DONE_BODY_DROPPED)

    def fail(self, record: OrderRecord, refusal: Refusal) -> None:
        """Record that an order was sent and its outcome is unknown."""
        record.refusal = attrs.evolve(refusal, ran=Ran.UNKNOWN)
        self._close(record, OrderState.OUTCOME_UNKNOWN)

    def refuse(self, record: OrderRecord, refusal: Refusal) -> None:
        """Void the key of an order that was certainly not run."""
        record.refusal = attrs.evolve(refusal, ran=Ran.NO)
        self._close(record, OrderState.VOID)
        if len(self.voids) < self.limits.voids:
            self.records.pop(record.key.nonce)
            self.voids[record.key.nonce] = record.key.expiry

    def _close(self, record: OrderRecord, state: OrderState) -> None:
        record.state = state
        record.ended.set()
        self.recorder.count('orders_ended', state.name)

    def void(self, key: OrderKey) -> RecordedAnswer | Refusal:
        """Void a key that was not begun, or return the outcome of its order."""
        record = self.records.get(key.nonce)
        if record is not None:
            return record.outcome()
        self.evict()
        refusal = self._refuse_unusable(key)
        if refusal is not None:
            return refusal
        if self._add_void(key):
            return _refuse_void()
        reason = 'the limit of voided keys of the instance is reached'
        return Refusal(ResultCode.ORDER_LEDGER_FULL, reason, Ran.UNKNOWN)

    def _add_void(self, key: OrderKey) -> bool:
        if len(self.voids) >= self.limits.voids:
            return False
        self.voids[key.nonce] = key.expiry
        heapq.heappush(self.expiries, (key.expiry, key.nonce))
        return True

    def status(self, key: OrderKey) -> RecordedAnswer | Refusal:
        """Return the outcome of the order of a key without changing it."""
        record = self.records.get(key.nonce)
        if record is not None:
            return record.outcome()
        refusal = self._refuse_unusable(key)
        if refusal is not None:
            return refusal
        # A delayed request may still begin the order, so the refusal must not
        # say that it did not run.
        reason = 'no request with this key has arrived'
        return Refusal(ResultCode.ORDER_NOT_BEGUN, reason, Ran.UNKNOWN)

    def evict(self) -> None:
        """Remove expired keys, except those of orders that are running."""
        now = self.timer.wall()
        while self.expiries and self.expiries[0][0] <= now:
            expiry, nonce = heapq.heappop(self.expiries)
            record = self.records.get(nonce)
            if record is not None and record.state is OrderState.IN_PROGRESS:
                recheck = (int(now) + RUNNING_RECHECK_SECONDS, nonce)
                heapq.heappush(self.expiries, recheck)
                continue
            self.voids.pop(nonce, None)
            self.records.pop(nonce, None)
            self.answer_bytes -= self.answer_sizes.pop(nonce, 0)


def _refuse_void() -> Refusal:
    return Refusal(ResultCode.ORDER_KEY_VOID, 'the key is void')
