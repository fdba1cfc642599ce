"""Containment of requests that crash the backend server."""

import enum
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import attrs

from tanagerbend_daemon.body import HeldBody
from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.owner import Owner
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
    Member,
)
from tanagerbend_membership.readers import rendezvous_weight
from tanagerbend_model import Ran, Refusal, ResultCode, WorkClass
from tanagerbend_quarantine import (
    InFlightRequest,
    InFlightRequests,
    Isolation,
    IsolationGate,
    Quarantine,
    Verdict,
    fingerprint,
)

# Instances that a suspect is offered to, if backend servers are down.
MAX_INSTANCES: Final = 3


class End(enum.Enum):
    """How a request left the backend server."""

    COMPLETE = 'complete'
    BROKEN = 'broken'
    CUT = 'cut by this side, may run on'
    UNSENT = 'never sent'


@attrs.define
class GuardedBackend:
    """Backend server that runs suspects alone and notices crashes.

    Explanation
    ===========

    A connection that breaks during a request counts as a crash; a request
    that times out does not.  A suspect gets a new connection, since a kept
    one may belong to a process that has crashed before.

    Parameters
    ==========

    backend : BackendServer
    service : str
        Service of the instance.
    quarantine : Quarantine
    notices : SuspectNotices
    drop_kept : callable
        Closes the kept connections to the backend server.
    """

    backend: BackendServer
    service: str
    quarantine: Quarantine
    notices: SuspectNotices
    drop_kept: Callable[[], None]
    gate: IsolationGate = attrs.field(factory=IsolationGate)
    flights: InFlightRequests = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.flights = InFlightRequests(self.quarantine.timer)

    async def exchange(
        self,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        """Send a request, after all others if it is a suspect."""
        name = self._fingerprint(request)
        isolation = self.quarantine.isolation(name)
        await self.gate.enter(isolation)
        if self.quarantine.verdict(name) is Verdict.CONVICTED:
            self.gate.leave(isolation)
            return convicted()
        is_alone = (
            isolation is Isolation.EXCLUSIVE and not self.flights.at_risk()
        )
        flight = InFlightRequest(name, deadline, is_alone)
        self.flights.begin(flight)
        if isolation is Isolation.EXCLUSIVE:
            self.drop_kept()
        response: BackendResponse | Refusal | None = None
        try:
            response = await self.backend.exchange(request, deadline)
        finally:
            if response is None:
                self._ended(flight, End.CUT, isolation)
        match response:
            case BackendResponse(chunks=chunks):
                on_end = partial(self._end_body, flight, isolation)
                return attrs.evolve(response, chunks=HeldBody(chunks, on_end))
            case Refusal(code=ResultCode.CONNECTION_LOST):
                await self._finish(flight, End.BROKEN, isolation)
            case Refusal(ran=Ran.NO):
                self._ended(flight, End.UNSENT, isolation)
            case _:
                self._ended(flight, End.CUT, isolation)
        return response

    def _fingerprint(self, request: BackendRequest) -> bytes:
        return fingerprint(
            self.service,
            request.method,
            request.path,
            request.body,
        )

    async def _end_body(
        self,
        flight: InFlightRequest,
        isolation: Isolation,
        error: BaseException | None,
    ) -> None:
        await self._finish(flight, _end_of(error), isolation)

    async def _finish(
        self,
        flight: InFlightRequest,
        end: End,
        isolation: Isolation,
    ) -> None:
        self._ended(flight, end, isolation)
        if end is End.BROKEN:
            await self.notices.delivered()

    def _ended(
        self, flight: InFlightRequest, end: End, isolation: Isolation
    ) -> None:
        match end:
            case End.BROKEN:
                self._crashed(flight)
            case End.COMPLETE:
                notice = self.quarantine.record_success(flight.fingerprint)
                self.notices.send(notice)
        if end is End.CUT:
            self.flights.abandon(flight)
        else:
            self.flights.end(flight)
        self.gate.leave(isolation)

    def _crashed(self, flight: InFlightRequest) -> None:
        self.quarantine.recorder.count('backend_connections_broken')
        if flight not in self.flights.active:
            return
        notice = self.quarantine.record_crash(
            self.flights.remove_all_at_crash(),
            is_alone=flight.is_alone,
        )
        self.notices.send(notice)


def _end_of(error: BaseException | None) -> End:
    match error:
        case None:
            return End.COMPLETE
        case ConnectionError() if not isinstance(error.__cause__, TimeoutError):
            return End.BROKEN
    return End.CUT


@attrs.define
class ContainedOwner(Owner):
    """Owner that sends a suspect to the one instance that may run it.

    Explanation
    ===========

    A suspect goes only to instances ranked before the own one, and never
    beyond it, so that daemons do not send it to each other in a circle
    while the first backend server is down.

    Parameters
    ==========

    quarantine : Quarantine
    forward : callable or None
        Forwards a call to a member; set once the call handler exists.
    """

    quarantine: Quarantine = attrs.field(kw_only=True)
    forward: Callable[[Call, Member], Awaitable[Answer | Refusal]] | None = None

    async def run(self, call: Call, work: WorkClass) -> Answer | Refusal:
        """Run a call here, or forward a suspect."""
        if self.quarantine.is_empty:
            return await Owner.run(self, call, work)
        print_of_call = fingerprint(
            call.service,
            call.method,
            call.path,
            call.body,
        )
        verdict = self.quarantine.verdict(print_of_call)
        if verdict is Verdict.CONVICTED:
            return convicted()
        # An order runs only at the owner of its key, there alone as well.
        if verdict is Verdict.CLEAR or call.order_key or not call.is_repeatable:
            return await Owner.run(self, call, work)
        return await self._run_suspect(call, work, print_of_call)

    async def _run_suspect(
        self,
        call: Call,
        work: WorkClass,
        print_of_call: bytes,
    ) -> Answer | Refusal:
        outcome: Answer | Refusal = Refusal(ResultCode.NO_INSTANCE, '')
        for member in self._ranked(call.service, print_of_call):
            if member.host == self.roster.own_host:
                return await Owner.run(self, call, work)
            onward = attrs.evolve(call, hops=call.hops + 1)
            outcome = await self.forward(onward, member)
            match outcome:
                case Refusal(code=ResultCode.INSTANCE_UNREACHABLE, ran=Ran.NO):
                    continue
            return outcome
        return outcome

    def _ranked(self, service: str, print_of_call: bytes) -> list[Member]:
        """Return the instances in an order that all daemons agree on."""
        purpose = f'suspect/{print_of_call.hex()}'
        members = sorted(
            self.roster.instances(service),
            key=lambda member: rendezvous_weight(member.host, purpose),
            reverse=True,
        )
        return members[:MAX_INSTANCES]


def convicted() -> Refusal:
    """Return the refusal of a request that crashes backend servers."""
    reason = 'this request crashed the backend server twice'
    return Refusal(ResultCode.REQUEST_CRASHES_BACKEND, reason)
