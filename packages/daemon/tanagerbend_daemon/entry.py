"""Entry side of a call: route, choice of an instance, forwarding."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable

import attrs

from tanagerbend_daemon.call import MAX_HOPS, Answer, Call
from tanagerbend_daemon.owner import Owner
from tanagerbend_interfaces import BackendRequest, BackendServer, Member
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode, WorkClass, headers
from tanagerbend_routing import Balancer, Route, RouteTable

MILLISECONDS = 1000
MAX_ATTEMPTS = 3


def peer_proof(key: bytes, request_id: str, instance: str) -> str:
    """Return the proof that a forwarded call comes from a peer."""
    text = f'{request_id}/{instance}'.encode()
    return hmac.new(key, text, hashlib.sha256).hexdigest()


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
    """

    own_host: str
    key: bytes = attrs.field(repr=False)
    owner: Owner
    balancer: Balancer
    daemon_at: Callable[[str], BackendServer]
    recorder: Recorder
    table: RouteTable | None = None
    ready: Callable[[], Awaitable[None]] | None = None

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
        route = table.match(call.service, call.method, call.path)
        match route:
            case Refusal():
                return route
        limited = self._limit(call, route.work)
        if call.instance:
            return await self.owner.run(limited, route.work)
        return await self._try_instances(limited, route)

    def _limit(self, call: Call, work: WorkClass) -> Call:
        now = self.recorder.timer.now()
        longest = now + work.deadline_ms / MILLISECONDS
        return attrs.evolve(
            call,
            deadline=min(call.deadline, longest),
            rank=max(call.rank, work.effective_rank),
        )

    async def _try_instances(
        self,
        call: Call,
        route: Route,
    ) -> Answer | Refusal:
        tried: frozenset[str] = frozenset()
        outcome: Answer | Refusal = Refusal(ResultCode.NO_INSTANCE, '')
        while len(tried) < MAX_ATTEMPTS:
            member = self.balancer.choose(route, tried)
            match member:
                case Refusal():
                    return outcome if tried else member
            outcome = await self._send(call, route.work, member)
            if not self._may_retry(outcome, call, route.work):
                return outcome
            tried |= {member.host}
        return outcome

    def _may_retry(
        self,
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

    async def _send(
        self,
        call: Call,
        work: WorkClass,
        member: Member,
    ) -> Answer | Refusal:
        self.balancer.started(member.host)
        try:
            if member.host == self.own_host:
                return await self.owner.run(call, work)
            return await self.forward(call, member)
        finally:
            self.balancer.finished(member.host)

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
        response = await daemon.exchange(request, call.deadline)
        match response:
            case Refusal():
                return response
        return _read_answer(call, response)

    def peer_headers(
        self,
        call: Call,
        host: str,
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of a call forwarded to ``host``."""
        remaining = call.deadline - self.recorder.timer.now()
        return (
            (headers.SERVICE, call.service),
            (headers.TENANT, call.tenant),
            (headers.RANK, str(call.rank)),
            (headers.DEADLINE_MS, str(max(0, int(remaining * MILLISECONDS)))),
            (headers.HOPS, str(call.hops)),
            (headers.REQUEST_ID, call.request_id),
            (headers.INSTANCE, host),
            (headers.SENDER, self.own_host),
            (headers.PEER_PROOF, peer_proof(self.key, call.request_id, host)),
        )


def _read_answer(call: Call, response: object) -> Answer | Refusal:
    received = {name.lower(): text for name, text in response.headers}
    if received.get(headers.REQUEST_ID.lower()) != call.request_id:
        reason = 'answer to another request'
        return Refusal(ResultCode.ANSWER_CROSSED, reason, Ran.UNKNOWN)
    code = ResultCode(int(received[headers.RESULT.lower()]))
    ran = Ran(received[headers.RAN.lower()])
    if code is not ResultCode.OK:
        return Refusal(code, 'refused by the owner daemon', ran)
    return Answer(response.status, response.headers, response.chunks)
