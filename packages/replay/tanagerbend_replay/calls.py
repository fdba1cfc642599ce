"""Routes, admits and runs the calls and orders of a trace."""

import itertools
from http import HTTPStatus

from tanagerbend_admission import Outcome, Ticket
from tanagerbend_interfaces import Member
from tanagerbend_model import Ran, Refusal, ResultCode, WorkClass
from tanagerbend_orders import (
    DuplicateOrder,
    NewOrder,
    OrderKey,
    OrderKeyIssuer,
    OrderState,
    RecordedAnswer,
    request_digest,
)
from tanagerbend_replay.events import CallEvent
from tanagerbend_replay.fleet import ReplayFleet
from tanagerbend_replay.node import ReplayNode
from tanagerbend_routing import Result, Route

MILLISECONDS = 1000
MAX_ATTEMPTS = 3
DRAIN_GRACE_SECONDS = 3.0
EMPTY_ANSWER = RecordedAnswer(HTTPStatus.OK, (), b'')


class CallPath:
    """Sends the calls of a trace from the entry daemon to the owner.

    Parameters
    ==========

    fleet : ReplayFleet
    """

    def __init__(self, fleet: ReplayFleet) -> None:
        self.fleet = fleet
        self.timer = fleet.timer
        self.tally = fleet.tally
        nonces = itertools.count(1)
        self.issuer = OrderKeyIssuer(
            b'key of a replay',
            self.timer,
            make_nonce=lambda: f'nonce-{next(nonces)}',
        )
        self.order_keys: dict[str, OrderKey] = {}

    async def send(self, event: CallEvent) -> None:
        """Send one call and count its outcome."""
        started_at = self.timer.now()
        entry = self.fleet.choose_entry(event.via)
        work = None
        outcome: Refusal | None = _no_daemon_up(event)
        if entry is not None:
            await entry.running.wait()
            route = self._match(entry, event)
            match route:
                case Refusal():
                    outcome = route
                case Route():
                    work = route.work
                    outcome = await self._run(entry, route, event)
        self._count(event, work, outcome, self.timer.now() - started_at)

    def _match(self, entry: ReplayNode, event: CallEvent) -> Route | Refusal:
        if not entry.is_up:
            return _no_daemon_up(event)
        if entry.table is None:
            reason = 'no sheet is in force'
            return Refusal(ResultCode.NO_CONFIGURATION, reason)
        return entry.table.match(event.service, event.method, event.path)

    def _count(
        self,
        event: CallEvent,
        work: WorkClass | None,
        outcome: Refusal | None,
        seconds: float,
    ) -> None:
        ran = Ran.YES
        if outcome is not None:
            ran = outcome.ran
            self.tally.refusals[outcome.code.name] += 1
        target = work.target_ms / MILLISECONDS if work else 0.0
        tally = self.tally.work_tally(f'{event.service}/{event.work}')
        tally.count(ran, seconds <= target)
        if event.order:
            self.tally.order_outcomes[event.order] = ran

    async def _run(
        self,
        entry: ReplayNode,
        route: Route,
        event: CallEvent,
    ) -> Refusal | None:
        if route.work.order:
            return await self._run_order(entry, route, event)
        entry.budget.record_first_attempt(event.service)
        tried_hosts: frozenset[str] = frozenset()
        outcome: Refusal | None = None
        for attempt in range(MAX_ATTEMPTS):
            member = entry.balancer.choose(route, tried_hosts)
            match member:
                case Refusal():
                    return outcome or member
            if attempt and not self._may_retry(entry, event, outcome):
                return outcome
            outcome = await self._attempt(entry, member, route, event)
            if outcome is None:
                return None
            tried_hosts |= {member.host}
        return outcome

    def _may_retry(
        self,
        entry: ReplayNode,
        event: CallEvent,
        outcome: Refusal | None,
    ) -> bool:
        # The failed attempt reached no instance, so a retry adds no load and
        # needs no retry budget.
        unreachable = ResultCode.INSTANCE_UNREACHABLE
        if outcome is not None and outcome.code is unreachable:
            return True
        return entry.budget.take_retry(event.service)

    async def _attempt(
        self,
        entry: ReplayNode,
        member: Member,
        route: Route,
        event: CallEvent,
    ) -> Refusal | None:
        if member.host not in entry.roster.members:
            self.tally.violations['I2'] += 1
        started_at = self.timer.now()
        stats = entry.balancer.call_started(member)
        refusal = await self._admit(member.host, route.work, event)
        entry.balancer.call_finished(
            member,
            stats,
            _attempt_result(refusal),
            self.timer.now() - started_at,
        )
        return refusal

    async def _admit(
        self,
        host: str,
        work: WorkClass,
        event: CallEvent,
    ) -> Refusal | None:
        deadline = self.timer.now() + work.deadline_ms / MILLISECONDS
        owner = self.fleet.nodes[host]
        await owner.running.wait()
        if not owner.is_up:
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, host)
        if owner.stopped_at is not None:
            return Refusal(ResultCode.DRAINING, host)
        ticket = Ticket(
            work.work,
            work.effective_rank,
            event.tenant,
            deadline,
            work.target_ms / MILLISECONDS,
        )
        refusal = await owner.admission.enter(ticket)
        if refusal is not None:
            return refusal
        return await self._serve(owner, ticket, event)

    async def _serve(
        self,
        owner: ReplayNode,
        ticket: Ticket,
        event: CallEvent,
    ) -> Refusal | None:
        now = self.timer.now()
        if owner.stopped_at is not None:
            late = now - owner.stopped_at > DRAIN_GRACE_SECONDS
            self.tally.violations['I7'] += late
        if event.order:
            self.tally.order_runs[event.order] += 1
        await self.timer.sleep(event.seconds)
        await owner.running.wait()
        used = self.timer.now() - now
        owner.admission.leave(ticket, Outcome.SERVED, used)
        if owner.is_up:
            return None
        if owner.stopped_at is not None:
            self.tally.violations['I8'] += 1
        return Refusal(ResultCode.OUTCOME_UNKNOWN, owner.host, Ran.UNKNOWN)

    async def _run_order(
        self,
        entry: ReplayNode,
        route: Route,
        event: CallEvent,
    ) -> Refusal | None:
        key = self.order_keys.get(event.order) or self._issue_key(entry, route)
        match key:
            case Refusal():
                return key
        self.order_keys[event.order] = key
        owner = self.fleet.nodes[key.host]
        await owner.running.wait()
        if owner.incarnation != key.incarnation or not owner.is_up:
            reason = f'{key.host} that issued the key is gone'
            return Refusal(ResultCode.ORDER_OWNER_GONE, reason, Ran.UNKNOWN)
        digest = request_digest(event.method, event.path, event.order.encode())
        begun = owner.ledger.begin(key, digest)
        match begun:
            case Refusal():
                return begun
            case DuplicateOrder(record=record):
                return await _wait_for_outcome(record)
        return await self._run_new_order(owner, begun, route.work, event)

    def _issue_key(self, entry: ReplayNode, route: Route) -> OrderKey | Refusal:
        member = entry.balancer.choose(route)
        match member:
            case Refusal():
                return member
        node = self.fleet.nodes[member.host]
        return self.issuer.issue(
            member.service,
            member.host,
            node.incarnation,
        )

    async def _run_new_order(
        self,
        owner: ReplayNode,
        begun: NewOrder,
        work: WorkClass,
        event: CallEvent,
    ) -> Refusal | None:
        record = begun.record
        refusal = await self._admit(owner.host, work, event)
        if refusal is None:
            owner.ledger.start(record)
            owner.ledger.finish(record, EMPTY_ANSWER)
        elif refusal.ran is Ran.NO:
            owner.ledger.refuse(record, refusal)
            # A refused order needs a new key for its next attempt.
            self.order_keys.pop(event.order, None)
        else:
            owner.ledger.fail(record, refusal)
        return refusal


def _attempt_result(refusal: Refusal | None) -> Result:
    if refusal is None:
        return Result.ANSWERED
    is_failure = refusal.ran is Ran.UNKNOWN
    if is_failure or refusal.code is ResultCode.INSTANCE_UNREACHABLE:
        return Result.FAILED
    return Result.REFUSED


async def _wait_for_outcome(record: object) -> Refusal | None:
    await record.ended.wait()
    if record.state in {OrderState.DONE, OrderState.DONE_BODY_DROPPED}:
        return None
    return record.refusal


def _no_daemon_up(event: CallEvent) -> Refusal:
    reason = f'no daemon for {event.service!r} is up'
    return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
