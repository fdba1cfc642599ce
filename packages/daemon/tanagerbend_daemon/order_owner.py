"""Owner side of an order: the ledger lets the instance run it once."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.order_answers import (
    read_complete_answer,
    read_order_body,
    to_answer,
)
from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
    Member,
)
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_orders import (
    Ledger,
    NewOrder,
    OrderKey,
    OrderKeyIssuer,
    OrderRecord,
    OrderRefusal,
    RecordedAnswer,
    request_digest,
)
from tanagerbend_timer import Timer

# After its deadline, the answer to a sent order is awaited for this long,
# so that a late answer is recorded and the slot stays occupied while the
# backend server may still run the order.
GRACE_SECONDS: Final = 10.0

Outcome = Answer | Refusal


async def wait_until(
    event: asyncio.Event,
    timer: Timer,
    deadline: float,
) -> bool:
    """Wait for an event; return whether it was set before the deadline."""
    tasks = (
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(timer.sleep(deadline - timer.now())),
    )
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
    return event.is_set()


@attrs.define
class OrderOwner:
    """Runs the orders whose keys name this incarnation.

    Parameters
    ==========

    own : Member
        Record of this daemon.
    ledger : Ledger
    execute : callable
        Admits a call and sends it to the backend server.
    recorder : Recorder
    """

    own: Member
    ledger: Ledger
    execute: Callable[[Call], Awaitable[Outcome]]
    recorder: Recorder
    running: dict[OrderRecord, asyncio.Task[None]] = attrs.field(factory=dict)

    def update_own(self, member: Member) -> None:
        """Update the own record after a change in the roster.

        The roster raises the own incarnation above that of an earlier
        process whose clock was ahead; new keys name the new one.
        """
        if member.host == self.own.host:
            self.own = member

    async def run(self, key: OrderKey, call: Call) -> Outcome:
        """Run an order, or return the outcome of its first attempt."""
        refusal = self._check(key, call)
        if refusal is not None:
            return self._with_owner(refusal)
        body = await read_order_body(call)
        match body:
            case Refusal():
                return self._refuse_oversized(key, body)
        digest = request_digest(call.method, call.path, body)
        begun = self.ledger.begin(key, digest)
        match begun:
            case Refusal():
                return self._with_owner(begun)
            case NewOrder(record=record):
                self._begin(record, attrs.evolve(call, body=body))
        record = begun.record
        await wait_until(record.ended, self.ledger.timer, call.deadline)
        return self._with_owner(to_answer(record.outcome()))

    def cancel_unsent(self) -> None:
        """Cancel the orders that wait for a slot, which voids them."""
        for record, task in list(self.running.items()):
            if not record.starts:
                task.cancel()

    def query(self, method: str, key: OrderKey) -> Outcome:
        """Return the status of a key, or void it for ``DELETE``."""
        refusal = self._check_incarnation(key)
        if refusal is not None:
            return self._with_owner(refusal)
        if method == 'DELETE':
            return self._with_owner(to_answer(self.ledger.void(key)))
        return self._with_owner(to_answer(self.ledger.status(key)))

    def _begin(self, record: OrderRecord, call: Call) -> None:
        # A task of its own lets the order finish after its caller has
        # disconnected.
        task = asyncio.create_task(self._run(record, call))
        self.running[record] = task
        task.add_done_callback(lambda _task: self.running.pop(record, None))

    def _check(self, key: OrderKey, call: Call) -> Refusal | None:
        if key.service != call.service:
            reason = f'the key is for service {key.service!r}'
            return Refusal(
                ResultCode.ORDER_REQUEST_DIFFERS,
                reason,
                Ran.UNKNOWN,
            )
        return self._check_incarnation(key)

    def _check_incarnation(self, key: OrderKey) -> Refusal | None:
        if (key.host, key.incarnation) == (self.own.host, self.own.incarnation):
            return None
        reason = f'the key is for {key.host}/{key.incarnation}'
        return Refusal(ResultCode.ORDER_OWNER_GONE, reason, Ran.UNKNOWN)

    def _refuse_oversized(self, key: OrderKey, refusal: Refusal) -> Outcome:
        voided = self.ledger.void(key)
        match voided:
            case Refusal(ran=ran):
                return self._with_owner(attrs.evolve(refusal, ran=ran))
        return self._with_owner(refusal)

    def _with_owner(self, outcome: Outcome) -> Outcome:
        match outcome:
            case Refusal(code=code, reason=reason, ran=ran):
                owner = f'{self.own.host}/{self.own.incarnation}'
                return OrderRefusal(code, reason, ran, owner=owner)
        return outcome

    async def _run(self, record: OrderRecord, call: Call) -> None:
        outcome: RecordedAnswer | Refusal = Refusal(
            ResultCode.OUTCOME_UNKNOWN,
            'the order was interrupted',
            Ran.UNKNOWN,
        )
        try:
            outcome = await self._execute(
                attrs.evolve(call, instance=self.own.host),
            )
        finally:
            self._record_outcome(record, outcome)

    async def _execute(self, call: Call) -> RecordedAnswer | Refusal:
        answer = await self.execute(call)
        match answer:
            case Refusal():
                return answer
        try:
            return await read_complete_answer(answer)
        except ConnectionError as error:
            return Refusal(
                ResultCode.ANSWER_TRUNCATED,
                str(error),
                Ran.UNKNOWN,
            )

    def _record_outcome(
        self, record: OrderRecord, outcome: RecordedAnswer | Refusal
    ) -> None:
        match outcome:
            case RecordedAnswer():
                self.ledger.finish(record, outcome)
            case Refusal(ran=Ran.YES):
                self.ledger.finish_without_answer(record)
            case Refusal(ran=Ran.NO):
                self.ledger.refuse(record, outcome)
            case Refusal() if not record.starts:
                self.ledger.refuse(record, outcome)
            case Refusal():
                self.ledger.fail(record, outcome)


@attrs.define
class OrderGate:
    """Sends an order to the backend server at most once.

    Explanation
    ===========

    It checks the deadline and marks the order as started after all waiting
    for slots, so that a process that was paused while waiting does not
    send an order late.

    Parameters
    ==========

    backend : BackendServer
    ledger : Ledger
    issuer : OrderKeyIssuer
    """

    backend: BackendServer
    ledger: Ledger
    issuer: OrderKeyIssuer

    async def exchange(
        self,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        """Send a request; an order only if its record is not yet started."""
        token = next(
            (
                text
                for name, text in request.headers
                if name.lower() == headers.ORDER_KEY.lower()
            ),
            '',
        )
        key = self.issuer.read(token) if token else None
        match key:
            case OrderKey(nonce=nonce):
                return await self._send(nonce, request, deadline)
        return await self.backend.exchange(request, deadline)

    async def _send(
        self,
        nonce: str,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        if self.ledger.timer.now() >= deadline:
            reason = 'deadline passed before the order was sent'
            return Refusal(ResultCode.DEADLINE_PASSED, reason)
        record = self.ledger.records.get(nonce)
        if record is None or not self.ledger.start(record):
            reason = 'the order may not be sent now'
            return Refusal(ResultCode.ORDER_KEY_INVALID, reason, Ran.UNKNOWN)
        response = await self.backend.exchange(
            # The process may also pause while it connects.
            attrs.evolve(request, send_before=deadline),
            deadline + GRACE_SECONDS,
        )
        return response
