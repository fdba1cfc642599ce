"""Entry side of a call: routing, selection of an instance, forwarding."""

from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tanagerbend_daemon.body import MonitoredBody, close_body
from tanagerbend_daemon.call import (
    MAX_HOPS,
    MILLISECONDS_PER_SECOND,
    Answer,
    Call,
)
from tanagerbend_daemon.owner import Owner
from tanagerbend_daemon.peer_hop import peer_proof, read_answer, result_of
from tanagerbend_distribution import CatchUp
from tanagerbend_interfaces import BackendRequest, BackendServer, Member
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode, WorkClass, headers
from tanagerbend_routing import (
    Balancer,
    InstanceStats,
    Result,
    RetryBudget,
    Route,
    RouteTable,
)

MAX_ATTEMPTS: Final = 3
# After these codes a new connection to the same instance may succeed.
LOST_CODES: Final = frozenset(
    (
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.CONNECTION_LOST,
        ResultCode.ANSWER_CROSSED,
    )
)
NO_HOSTS: Final[frozenset[str]] = frozenset()


@attrs.define
class CallHandler:
    """Handles calls that callers and entry daemons send to this daemon.

    Parameters
    ==========

    own_host : str
    key : bytes
        Shared key of the deployment.
    owner : Owner
    balancer : Balancer
    client_for : callable
        Returns the client for the daemon at ``address:port``.
    recorder : Recorder
    table : RouteTable or None
        Replaced as a whole when a version is adopted or members change.
    wait_until_ready : callable or None
        Awaited before a call is handled; waits after a pause of the process.
    budget : RetryBudget
    catch_up : CatchUp or None
        Updates the daemon to a newer version that a call names.
    """

    own_host: str
    key: bytes = attrs.field(repr=False)
    owner: Owner
    balancer: Balancer
    client_for: Callable[[str], BackendServer]
    recorder: Recorder
    table: RouteTable | None = None
    wait_until_ready: Callable[[], Awaitable[None]] | None = None
    catch_up: CatchUp | None = None
    budget: RetryBudget = attrs.field(factory=RetryBudget)

    async def handle(self, call: Call) -> Answer | Refusal:
        """Answer a call, or refuse it with a reason."""
        if self.wait_until_ready is not None:
            await self.wait_until_ready()
        table = self.table
        if table is None:
            reason = 'no sheet is in force yet'
            return Refusal(ResultCode.NO_CONFIGURATION, reason)
        if call.hops >= MAX_HOPS:
            reason = f'{call.hops} calls led to this one'
            return Refusal(ResultCode.TOO_MANY_HOPS, reason)
        if call.instance not in {'', self.own_host}:
            # The address now belongs to another host than the one chosen.
            reason = f'sent to {call.instance!r}, this is {self.own_host!r}'
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
        route = table.match(call.service, call.method, call.path)
        match route:
            case Refusal():
                return route
        limited = self._apply_limits(call, route.work)
        if call.instance:
            return await self.owner.run(limited, route.work)
        return await self._try_instances(limited, route)

    def adopt(self, table: RouteTable) -> None:
        """Replace the routes; calls in progress keep their table."""
        self.table = table
        self.balancer.retain(table.services)
        self.budget.retain(frozenset(table.services))

    def _apply_limits(self, call: Call, work: WorkClass) -> Call:
        now = self.recorder.timer.now()
        latest_deadline = now + work.deadline_ms / MILLISECONDS_PER_SECOND
        call.times.rank = max(call.rank, work.effective_rank)
        return attrs.evolve(
            call,
            deadline=min(call.deadline, latest_deadline),
            rank=call.times.rank,
        )

    async def _try_instances(
        self,
        call: Call,
        route: Route,
    ) -> Answer | Refusal:
        self.budget.record_first_attempt(call.service)
        tried = NO_HOSTS
        member = self.balancer.choose(route)
        for attempt in range(MAX_ATTEMPTS):
            match member:
                case Refusal():
                    return member
            outcome = await self._send(call, route.work, member)
            tried |= {member.host}
            if attempt + 1 == MAX_ATTEMPTS:
                break
            next_member = self._choose_retry(outcome, call, route, tried)
            if next_member is None:
                break
            self.recorder.count('retries', call.service)
            member = next_member
        return outcome

    def _choose_retry(
        self,
        outcome: Answer | Refusal,
        call: Call,
        route: Route,
        tried: frozenset[str],
    ) -> Member | None:
        """Return the instance for a retry, or None for no retry."""
        if not _may_retry(outcome, call, route.work):
            return None
        if self.recorder.timer.now() >= call.deadline:
            return None
        member = self.balancer.choose(route, tried)
        match member:
            case Refusal() if outcome.code in LOST_CODES:
                member = self.balancer.choose(route)
        match member:
            case Refusal():
                return None
        # An attempt that reached no instance added no load, so its retry is
        # not charged to the budget.
        if outcome.code is ResultCode.INSTANCE_UNREACHABLE:
            return member
        is_lost = outcome.code in LOST_CODES
        if not self.budget.take_retry(call.service, is_lost=is_lost):
            self.recorder.count('retries_beyond_budget', call.service)
            return None
        return member

    async def _send(
        self,
        call: Call,
        work: WorkClass,
        member: Member,
    ) -> Answer | Refusal:
        outstanding_call = OutstandingCall(
            self.balancer,
            member,
            self.balancer.call_started(member),
            self.recorder.timer.now(),
        )
        try:
            if member.host == self.own_host:
                outcome = await self.owner.run(call, work)
            else:
                outcome = await self.forward(call, member)
        except BaseException:
            outstanding_call.end(Result.CANCELLED)
            raise
        match outcome:
            case Refusal(code=code):
                outstanding_call.end(result_of(code))
                return outcome
        outstanding_call.record_answer(outcome)
        body = MonitoredBody(outcome.chunks, outstanding_call.handle_body_end)
        return Answer(outcome.status, outcome.header_pairs, body)

    async def forward(self, call: Call, member: Member) -> Answer | Refusal:
        """Send a call to the daemon of a member and read its answer."""
        request = BackendRequest(
            call.method,
            call.path,
            call.header_pairs + self.peer_headers(call, member.host),
            call.body,
            call.request_id,
        )
        daemon = self.client_for(member.call_address)
        with call.times.waiting(self.recorder.timer):
            response = await daemon.exchange(request, call.deadline)
        match response:
            case Refusal():
                return response
        answer = read_answer(call.request_id, response)
        match answer:
            case Refusal():
                await close_body(response.chunks)
        return answer

    def peer_headers(
        self,
        call: Call,
        host: str,
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of a call forwarded to ``host``."""
        table = self.table
        return (
            *call.limit_headers(self.recorder.timer.now(), call.hops),
            (headers.SERVICE, call.service),
            (headers.VERSION, '' if table is None else table.version_text),
            (headers.INSTANCE, host),
            (headers.SENDER, self.own_host),
            (headers.PEER_PROOF, peer_proof(self.key, call.request_id, host)),
        )


@attrs.define
class OutstandingCall:
    """An attempt at an instance that the balancer counts as outstanding."""

    balancer: Balancer
    member: Member
    stats: InstanceStats
    started: float
    seconds: float = 0.0
    is_counted: bool = True

    def record_answer(self, answer: Answer) -> None:
        """Record the time to the start of the answer and the load in it."""
        self.seconds = self.balancer.timer.now() - self.started
        self.balancer.record_reported_load(self.stats, answer.load)

    def end(self, result: Result) -> None:
        """Report the result to the balancer, unless it was reported before."""
        if self.is_counted:
            self.is_counted = False
            self.balancer.call_finished(
                self.member,
                self.stats,
                result,
                self.seconds,
            )

    async def handle_body_end(self, error: BaseException | None) -> None:
        """Report how the body of the answer ended."""
        match error:
            case None:
                self.end(Result.ANSWERED)
            case ConnectionError():
                self.end(Result.FAILED)
            case _:
                self.end(Result.CANCELLED)


def _may_retry(
    outcome: Answer | Refusal,
    call: Call,
    work: WorkClass,
) -> bool:
    match outcome:
        case Refusal(code=ResultCode.REQUEST_CRASHES_BACKEND):
            return False
        case Refusal(ran=Ran.NO):
            return call.is_repeatable
        case Refusal():
            return call.is_repeatable and not work.order
    return False
