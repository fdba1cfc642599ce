"""Entry side of a call: route, choice of an instance, forwarding."""

from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tanagerbend_daemon.body import HeldBody, close_body
from tanagerbend_daemon.call import MAX_HOPS, MILLISECONDS, Answer, Call
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
# After these a new connection to the same instance may succeed.
LOST: Final = frozenset(
    (
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.CONNECTION_LOST,
        ResultCode.ANSWER_CROSSED,
    )
)
NOBODY: Final[frozenset[str]] = frozenset()


@attrs.define
class CallHandler:
    """Handles calls of callers and of entry daemons.

    Parameters
    ==========

    own_host : str
    key : bytes
        Shared key of the deployment.
    owner : Owner
    balancer : Balancer
    daemon_at : callable
        Returns the client for the daemon at ``address:port``.
    recorder : Recorder
    table : RouteTable or None
        Replaced as a whole when a version is adopted or members change.
    ready : callable or None
        Awaited before a call is looked at; waits after a pause.
    budget : RetryBudget
    catch_up : CatchUp or None
        Brings the daemon to a newer version that a call carries.
    """

    own_host: str
    key: bytes = attrs.field(repr=False)
    owner: Owner
    balancer: Balancer
    daemon_at: Callable[[str], BackendServer]
    recorder: Recorder
    table: RouteTable | None = None
    ready: Callable[[], Awaitable[None]] | None = None
    catch_up: CatchUp | None = None
    budget: RetryBudget = attrs.field(factory=RetryBudget)

    async def handle(self, call: Call) -> Answer | Refusal:
        """Answer a call, or refuse it with a reason."""
        if self.ready is not None:
            await self.ready()
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
        limited = self._limit(call, route.work)
        if call.instance:
            return await self.owner.run(limited, route.work)
        return await self._try_instances(limited, route)

    def adopt(self, table: RouteTable) -> None:
        """Replace the routes; calls in flight keep the table they have."""
        self.table = table
        self.balancer.retain(table.services)
        self.budget.retain(frozenset(table.services))

    def _limit(self, call: Call, work: WorkClass) -> Call:
        now = self.recorder.timer.now()
        longest = now + work.deadline_ms / MILLISECONDS
        call.times.rank = max(call.rank, work.effective_rank)
        return attrs.evolve(
            call,
            deadline=min(call.deadline, longest),
            rank=call.times.rank,
        )

    async def _try_instances(
        self,
        call: Call,
        route: Route,
    ) -> Answer | Refusal:
        self.budget.record_first_attempt(call.service)
        tried = NOBODY
        member = self.balancer.choose(route)
        for attempt in range(MAX_ATTEMPTS):
            match member:
                case Refusal():
                    return member
            outcome = await self._send(call, route.work, member)
            tried |= {member.host}
            if attempt + 1 == MAX_ATTEMPTS:
                break
            following = self._next(outcome, call, route, tried)
            if following is None:
                break
            self.recorder.count('retries', call.service)
            member = following
        return outcome

    def _next(
        self,
        outcome: Answer | Refusal,
        call: Call,
        route: Route,
        tried: frozenset[str],
    ) -> Member | None:
        """Return the instance for a retry, None if there is to be none."""
        if not _is_worth_retry(outcome, call, route.work):
            return None
        if self.recorder.timer.now() >= call.deadline:
            return None
        member = self.balancer.choose(route, tried)
        match member:
            case Refusal() if outcome.code in LOST:
                member = self.balancer.choose(route)
        match member:
            case Refusal():
                return None
        # An attempt that reached no instance has added no load to one.
        if outcome.code is ResultCode.INSTANCE_UNREACHABLE:
            return member
        is_lost = outcome.code in LOST
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
        flight = Flight(
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
            flight.end(Result.CANCELLED)
            raise
        match outcome:
            case Refusal(code=code):
                flight.end(result_of(code))
                return outcome
        flight.answered(outcome)
        body = HeldBody(outcome.chunks, flight.end_of_body)
        return Answer(outcome.status, outcome.header_pairs, body)

    async def forward(self, call: Call, member: Member) -> Answer | Refusal:
        """Send a call to the daemon of a member."""
        request = BackendRequest(
            call.method,
            call.path,
            call.header_pairs + self.peer_headers(call, member.host),
            call.body,
            call.request_id,
        )
        daemon = self.daemon_at(member.call_address)
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
class Flight:
    """A call at an instance, as the entry daemon counts it."""

    balancer: Balancer
    member: Member
    stats: InstanceStats
    started: float
    seconds: float = 0.0
    is_open: bool = True

    def answered(self, answer: Answer) -> None:
        """Take the time until the answer begins and the load with it."""
        self.seconds = self.balancer.timer.now() - self.started
        self.balancer.record_reported_load(self.stats, answer.load)

    def end(self, result: Result) -> None:
        """Count the end, unless that was done before."""
        if self.is_open:
            self.is_open = False
            self.balancer.call_finished(
                self.member,
                self.stats,
                result,
                self.seconds,
            )

    async def end_of_body(self, error: BaseException | None) -> None:
        """Count the end of the answer."""
        match error:
            case None:
                self.end(Result.ANSWERED)
            case ConnectionError():
                self.end(Result.FAILED)
            case _:
                self.end(Result.CANCELLED)


def _is_worth_retry(
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
