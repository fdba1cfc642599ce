"""Ledger of the orders of one incarnation of an owner daemon."""

import heapq
from collections import OrderedDict
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders.keys import OrderKey
from tanagerbend_orders.record import Record, Recorded, State

# An order that still runs when its key expires is looked at again later.
RUNNING_RECHECK_SECONDS: Final = 60
DEFAULT_ANSWER_BYTES: Final = 16_777_216
DEFAULT_BODY_BYTES: Final = 262_144


@attrs.frozen
class LedgerLimits:
    """Bounds of a ledger.

    Parameters
    ==========

    records : int
        Begun orders whose keys have not expired.
    voids : int
        Void keys that have not expired.  They have a bound of their own,
        because a flood of refused orders must not use up the records.
    answer_bytes : int
        Bytes of all recorded answers.
    body_bytes : int
        Bytes of one recorded answer.
    """

    records: int = 20_000
    voids: int = 100_000
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES


@attrs.frozen
class Begin:
    """The caller of ``begin`` has to run the order, and nobody else may."""

    record: Record


@attrs.frozen
class Repeat:
    """The order was begun before."""

    record: Record


class Ledger:
    """Remembers each order until its key expires.

    Explanation
    ===========

    A key whose record was evicted has expired, and expired keys are
    refused.  Both follow the same clock, which never decreases; therefore
    a key that was begun or voided can never be begun again.

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
        self.records: dict[str, Record] = {}
        self.voids: dict[str, int] = {}
        self.expiries: list[tuple[int, str]] = []
        # Nonces of recorded answers with their bytes, the oldest first.
        self.answers: OrderedDict[str, int] = OrderedDict()
        self.answer_bytes = 0

    def begin(self, key: OrderKey, request: bytes) -> Begin | Repeat | Refusal:
        """Begin an order unless its key was used, voided or has expired.

        ``request`` is the digest of the request.
        """
        held = self.records.get(key.nonce)
        if held is not None:
            return self._repeat(held, request)
        self.evict()
        refusal = self._refuse_unheld(key)
        if refusal is not None:
            return refusal
        if len(self.records) >= self.limits.records:
            return self._refuse_full(key)
        record = Record(key, request)
        self.records[key.nonce] = record
        heapq.heappush(self.expiries, (key.expiry, key.nonce))
        return Begin(record)

    def _repeat(self, held: Record, request: bytes) -> Repeat | Refusal:
        if held.request != request:
            reason = 'the key was used for another request'
            return Refusal(
                ResultCode.ORDER_REQUEST_DIFFERS,
                reason,
                Ran.UNKNOWN,
            )
        return Repeat(held)

    def _refuse_unheld(self, key: OrderKey) -> Refusal | None:
        if key.nonce in self.voids:
            return _void()
        if key.expiry <= self.timer.wall():
            reason = 'the key has expired'
            return Refusal(ResultCode.ORDER_KEY_EXPIRED, reason, Ran.UNKNOWN)
        return None

    def _refuse_full(self, key: OrderKey) -> Refusal:
        reason = 'the ledger of the instance is full'
        ran = Ran.NO if self._add_void(key) else Ran.UNKNOWN
        return Refusal(ResultCode.ORDER_LEDGER_FULL, reason, ran)

    def start(self, record: Record) -> bool:
        """Count that the order is sent now; False if it must not be."""
        if record.state is not State.IN_PROGRESS or record.starts:
            self.recorder.count('orders_start_refused')
            return False
        record.starts += 1
        self.recorder.count('orders_started')
        return True

    def finish(self, record: Record, answer: Recorded) -> None:
        """Record the answer of an order."""
        size = answer.size
        if size > self.limits.body_bytes:
            self._end(record, State.DONE_BODY_DROPPED)
            return
        record.answer = answer
        self.answers[record.key.nonce] = size
        self.answer_bytes += size
        self._end(record, State.DONE)
        while self.answer_bytes > self.limits.answer_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        nonce, size = self.answers.popitem(last=False)
        self.answer_bytes -= size
        self.records[nonce].answer = None
        self.records[nonce].state = State.DONE_BODY_DROPPED
        self.recorder.count('order_answers_dropped')

    def finish_without_answer(self, record: Record) -> None:
        """Record that an order ran and that its answer is not kept."""
        self._end(record, State.DONE_BODY_DROPPED)

    def fail(self, record: Record, refusal: Refusal) -> None:
        """Record that the outcome of an order that was sent is unknown."""
        record.refusal = attrs.evolve(refusal, ran=Ran.UNKNOWN)
        self._end(record, State.OUTCOME_UNKNOWN)

    def refuse(self, record: Record, refusal: Refusal) -> None:
        """Void the key of an order that provably was not run."""
        record.refusal = attrs.evolve(refusal, ran=Ran.NO)
        self._end(record, State.VOID)
        if len(self.voids) < self.limits.voids:
            self.records.pop(record.key.nonce)
            self.voids[record.key.nonce] = record.key.expiry

    def _end(self, record: Record, state: State) -> None:
        record.state = state
        record.ended.set()
        self.recorder.count('orders_ended', state.name)

    def void(self, key: OrderKey) -> Recorded | Refusal:
        """Void a key that was not begun; else return its outcome."""
        held = self.records.get(key.nonce)
        if held is not None:
            return held.outcome()
        self.evict()
        refusal = self._refuse_unheld(key)
        if refusal is not None:
            return refusal
        if self._add_void(key):
            return _void()
        reason = 'no more keys can be voided now'
        return Refusal(ResultCode.ORDER_LEDGER_FULL, reason, Ran.UNKNOWN)

    def _add_void(self, key: OrderKey) -> bool:
        if len(self.voids) >= self.limits.voids:
            return False
        self.voids[key.nonce] = key.expiry
        heapq.heappush(self.expiries, (key.expiry, key.nonce))
        return True

    def status(self, key: OrderKey) -> Recorded | Refusal:
        """Return what is known of a key, and change nothing."""
        held = self.records.get(key.nonce)
        if held is not None:
            return held.outcome()
        refusal = self._refuse_unheld(key)
        if refusal is not None:
            return refusal
        # A delayed request may still begin the order, so this does not
        # say that it was not run.
        reason = 'no request with this key has arrived'
        return Refusal(ResultCode.ORDER_NOT_BEGUN, reason, Ran.UNKNOWN)

    def evict(self) -> None:
        """Forget keys that have expired, except those still running."""
        now = self.timer.wall()
        while self.expiries and self.expiries[0][0] <= now:
            expiry, nonce = heapq.heappop(self.expiries)
            record = self.records.get(nonce)
            if record is not None and record.state is State.IN_PROGRESS:
                later = (int(now) + RUNNING_RECHECK_SECONDS, nonce)
                heapq.heappush(self.expiries, later)
                continue
            self.voids.pop(nonce, None)
            self.records.pop(nonce, None)
            self.answer_bytes -= self.answers.pop(nonce, 0)


def _void() -> Refusal:
    return Refusal(ResultCode.ORDER_KEY_VOID, 'the key is void')
