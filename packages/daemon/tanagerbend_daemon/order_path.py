"""Handling of orders: keys, forwarding to the owner, status queries."""

from http import HTTPStatus
from typing import Final

import attrs

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.order_answers import (
    json_answer,
    read_complete_answer,
    read_order_body,
    to_answer,
)
from tanagerbend_daemon.order_hop import AnswerLost, OrderHop
from tanagerbend_daemon.order_owner import OrderOwner, Outcome
from tanagerbend_daemon.stalls import StallDetector
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders import OrderKey, OrderKeyIssuer, OrderRefusal
from tanagerbend_routing import Route

ORDERS_PATH: Final = '/.tanagerbend/orders'
DEFAULT_DEADLINE_SECONDS: Final = 5.0
MILLISECONDS_PER_SECOND: Final = 1000
FIRST_BACKOFF_SECONDS: Final = 0.02
MAX_BACKOFF_SECONDS: Final = 0.5
# Time in which a newly started daemon receives the member records of the
# others, with the incarnations that order keys are issued for.
RETRY_AFTER_SECONDS: Final = 1
# Refusals that tell the caller to use the key that they carry.
KEY_ADVISING_CODES: Final = frozenset(
    (ResultCode.ORDER_KEY_REQUIRED, ResultCode.ORDER_KEY_VOID),
)


@attrs.define
class OrderPath:
    """Handles orders; passes every other call to the call handler.

    Explanation
    ===========

    A call is an order if the sheet says so or if it carries a valid order
    key.  A key is respected even if this daemon's sheet does not mark the
    call as an order: sent to any other instance, it could run twice.

    Parameters
    ==========

    calls : CallHandler
    owner : OrderOwner
    issuer : OrderKeyIssuer
    hop : OrderHop
    roster : Roster
    recorder : Recorder
    stalls : StallDetector or None
    """

    calls: CallHandler
    owner: OrderOwner
    issuer: OrderKeyIssuer
    hop: OrderHop
    roster: Roster
    recorder: Recorder
    stalls: StallDetector | None = None

    async def handle(self, call: Call) -> Outcome:
        """Answer a call or a request to the orders resource."""
        if call.path.partition('?')[0].startswith(ORDERS_PATH):
            outcome = await self._serve_resource(call)
        else:
            outcome = await self._handle_call(call)
        match outcome:
            case Refusal() if not call.instance:
                return self._with_fresh_key(call, outcome)
        return outcome

    async def _handle_call(self, call: Call) -> Outcome:
        key = self.issuer.read(call.order_key) if call.order_key else None
        match key:
            case OrderKey():
                self.recorder.count('order_requests')
                return await self._run_or_forward(
                    key, self._limit_deadline(call)
                )
            case Refusal(ran=Ran.UNKNOWN):
                return key
        route = self._route(call)
        if route is None or not route.work.order:
            return await self.calls.handle(call)
        if key is not None:
            return OrderRefusal(key.code, key.reason)
        reason = 'send the order again with the key of this answer'
        return OrderRefusal(ResultCode.ORDER_KEY_REQUIRED, reason)

    def _route(self, call: Call) -> Route | None:
        table = self.calls.table
        if table is None:
            return None
        route = table.match(call.service, call.method, call.path)
        match route:
            case Route():
                return route
        return None

    def _limit_deadline(self, call: Call) -> Call:
        route = self._route(call)
        max_seconds = DEFAULT_DEADLINE_SECONDS
        if route is not None:
            max_seconds = route.work.deadline_ms / MILLISECONDS_PER_SECOND
        latest = self.recorder.timer.now() + max_seconds
        stalled_seconds = 0.0 if self.stalls is None else self.stalls.seconds()
        return attrs.evolve(
            call, deadline=min(call.deadline, latest) - stalled_seconds
        )

    async def _run_or_forward(self, key: OrderKey, call: Call) -> Outcome:
        if call.instance or key.host == self.roster.own_host:
            return await self.owner.run(key, call)
        body = await read_order_body(call)
        match body:
            case Refusal():
                return await self._refuse_oversized(key, call, body)
        return await self._send_until_deadline(
            key,
            attrs.evolve(call, body=body),
        )

    async def _refuse_oversized(
        self,
        key: OrderKey,
        call: Call,
        refusal: Refusal,
    ) -> Outcome:
        outcome = await self._query(key, call, 'DELETE')
        match outcome:
            case Refusal(ran=ran):
                return attrs.evolve(refusal, ran=ran)
        return refusal

    async def _send_until_deadline(self, key: OrderKey, call: Call) -> Outcome:
        """Send to the owner, again if the answer is lost.

        Repeating is safe, since the owner runs an order only once.
        """
        timer = self.recorder.timer
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            member = self._find_owner(key)
            match member:
                case Refusal():
                    return member
            outcome = await self._attempt(key, call, member)
            match outcome:
                case Answer() | Refusal():
                    return outcome
            if timer.now() + backoff >= call.deadline:
                return _outcome_unknown(outcome.reason)
            self.recorder.count('order_resends')
            await timer.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _attempt(
        self,
        key: OrderKey,
        call: Call,
        member: Member,
    ) -> Outcome | AnswerLost:
        outcome = await self.hop.send(call, member, key)
        match outcome:
            case Refusal() | AnswerLost():
                return outcome
        try:
            return to_answer(await read_complete_answer(outcome))
        except ConnectionError as error:
            return AnswerLost(str(error))

    def _find_owner(self, key: OrderKey) -> Member | Refusal:
        member = self.roster.members.get(key.host)
        if member is None:
            return _outcome_unknown(f'host {key.host!r} is not a known member')
        is_replaced = member.incarnation > key.incarnation
        is_gone = member.state is MemberState.GONE
        if is_replaced or (is_gone and member.incarnation == key.incarnation):
            reason = f'{key.host}/{key.incarnation} no longer runs'
            return Refusal(ResultCode.ORDER_OWNER_GONE, reason, Ran.UNKNOWN)
        return member

    async def _serve_resource(self, call: Call) -> Outcome:
        token = call.path.partition('?')[0][len(ORDERS_PATH) :].strip('/')
        if not token and call.method == 'POST':
            return self._issue(call)
        key = self.issuer.read(token)
        match key:
            case Refusal():
                return key
        if call.method not in {'GET', 'DELETE'}:
            reason = f'{call.method} is not defined for an order'
            return Refusal(ResultCode.HEADER_INVALID, reason, Ran.UNKNOWN)
        return await self._query(key, self._limit_deadline(call), call.method)

    async def _query(self, key: OrderKey, call: Call, method: str) -> Outcome:
        if call.instance or key.host == self.roster.own_host:
            return self.owner.query(method, key)
        query_call = attrs.evolve(
            call,
            method=method,
            path=f'{ORDERS_PATH}/{key.token}',
            header_pairs=(),
            body=b'',
        )
        return await self._send_until_deadline(key, query_call)

    def _issue(self, call: Call) -> Outcome:
        key = self.fresh_key(call.service)
        match key:
            case Refusal():
                return key
        self.recorder.count('order_keys_issued')
        content = {'key': key.token, 'expiry': key.expiry, 'host': key.host}
        return json_answer(HTTPStatus.CREATED, content)

    def fresh_key(
        self,
        service: str,
        exclude: frozenset[str] = frozenset(),
    ) -> OrderKey | Refusal:
        """Issue a key for an instance of a service."""
        table = self.calls.table
        if table is None:
            return Refusal(ResultCode.NO_CONFIGURATION, 'no sheet is in force')
        routes = table.services.get(service, ())
        if not routes:
            reason = f'service {service!r} is not in the sheet'
            return Refusal(ResultCode.ROUTE_UNKNOWN, reason)
        # The incarnation of a host is unknown if only the host list names it.
        without_incarnation = frozenset(
            member.host
            for member in routes[0].instances
            if not member.incarnation
        )
        member = self.calls.balancer.choose(
            routes[0], exclude | without_incarnation
        )
        match member:
            case Refusal():
                return member
        return self.issuer.issue(service, member.host, member.incarnation)

    def _with_fresh_key(self, call: Call, refusal: Refusal) -> Refusal:
        """Add a key to a refusal of an order that was not run.

        If no key can be issued, a refusal that tells the caller to use one
        is replaced by the reason, with the time after which to retry.
        """
        match refusal:
            case OrderRefusal(ran=Ran.NO, owner=owner):
                key = self.fresh_key(call.service, _hosts_to_exclude(owner))
            case _:
                return refusal
        match key:
            case OrderKey(token=token):
                return attrs.evolve(refusal, fresh_key=token)
            case Refusal(code=code, reason=reason):
                if refusal.code in KEY_ADVISING_CODES:
                    return attrs.evolve(
                        refusal,
                        code=code,
                        reason=reason,
                        retry_after_seconds=RETRY_AFTER_SECONDS,
                    )
        return refusal


def _hosts_to_exclude(owner: str) -> frozenset[str]:
    return frozenset((owner.rpartition('/')[0],))


def _outcome_unknown(reason: str) -> Refusal:
    return OrderRefusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
