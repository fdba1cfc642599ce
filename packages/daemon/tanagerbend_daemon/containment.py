"""Isolation of requests that crash the backend server."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import attrs

from tanagerbend_daemon.body import MonitoredBody
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
from tanagerbend_metrics import Event
from tanagerbend_model import Ran, Refusal, ResultCode, WorkClass
from tanagerbend_quarantine import (
    AbandonedWatch,
    InFlightRequest,
    InFlightRequests,
    InstanceProcess,
    Isolation,
    IsolationGate,
    Quarantine,
    Verdict,
    fingerprint,
)

# Instances to try for a suspect while backend servers are down.
MAX_SUSPECT_INSTANCES: Final = 3


class RequestEnd(enum.Enum):
    """How the exchange of a request with the backend server ended."""

    COMPLETE = 'complete'
    BROKEN = 'broken'
    ABANDONED = 'ended by this side, may still run'
    NOT_SENT = 'never sent'


@attrs.define
class GuardedBackend:
    """Backend server that isolates suspects and records crashes.

    Explanation
    ===========

    A connection that breaks during a request counts as a crash; a request
    that times out does not.  A suspect gets a new connection, since a pooled
    one may belong to a process that has already crashed.

    Parameters
    ==========

    backend : BackendServer
    service : str
        Service of the instance.
    quarantine : Quarantine
    notices : SuspectNotices
    close_idle_connections : callable
        Closes the idle connections to the backend server.
    process : InstanceProcess
    """

    backend: BackendServer
    service: str
    quarantine: Quarantine
    notices: SuspectNotices
    close_idle_connections: Callable[[], None]
    process: InstanceProcess
    gate: IsolationGate = attrs.field(factory=IsolationGate)
    flights: InFlightRequests = attrs.field(init=False)
    watch: AbandonedWatch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.flights = InFlightRequests(self.quarantine.timer)
        self.watch = AbandonedWatch(
            self.flights,
            self.process,
            self._check_for_crash,
            self._record_survival,
            self._record_watch_error,
        )

    async def exchange(
        self,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        """Send a request once its isolation from other requests allows it.

        It is refused at ``deadline``, in monotonic seconds, if it still waits.
        """
        name = self._fingerprint(request)
        isolation = self.quarantine.isolation(name)
        if not await self._enter(isolation, deadline):
            reason = 'deadline passed while waiting for other requests to end'
            return Refusal(ResultCode.DEADLINE_PASSED, reason)
        if self.quarantine.verdict(name) is Verdict.CONVICTED:
            self.gate.leave(isolation)
            return convicted_refusal()
        is_alone = (
            isolation is Isolation.EXCLUSIVE and not self.flights.at_risk()
        )
        in_flight = InFlightRequest(name, deadline, is_alone)
        self.flights.begin(in_flight)
        if isolation is Isolation.EXCLUSIVE:
            self.close_idle_connections()
        response: BackendResponse | Refusal | None = None
        try:
            response = await self.backend.exchange(request, deadline)
        finally:
            if response is None:
                self._record_end(in_flight, RequestEnd.ABANDONED, isolation)
        match response:
            case BackendResponse(chunks=chunks):
                on_end = partial(self._finish_body, in_flight, isolation)
                return attrs.evolve(
                    response, chunks=MonitoredBody(chunks, on_end)
                )
            case Refusal(code=ResultCode.CONNECTION_LOST):
                await self._finish(in_flight, RequestEnd.BROKEN, isolation)
            case Refusal(ran=Ran.NO):
                self._record_end(in_flight, RequestEnd.NOT_SENT, isolation)
            case _:
                self._record_end(in_flight, RequestEnd.ABANDONED, isolation)
        return response

    async def _enter(self, isolation: Isolation, deadline: float) -> bool:
        """Wait at the gate; return whether the request was admitted."""
        if self.gate.try_enter(isolation):
            return True
        try:
            async with asyncio.timeout(deadline - self.quarantine.timer.now()):
                await self.gate.enter(isolation)
        except TimeoutError:
            return False
        return True

    def _fingerprint(self, request: BackendRequest) -> bytes:
        return fingerprint(
            self.service,
            request.method,
            request.path,
            request.body,
        )

    async def _finish_body(
        self,
        in_flight: InFlightRequest,
        isolation: Isolation,
        error: BaseException | None,
    ) -> None:
        await self._finish(in_flight, _classify_end(error), isolation)

    async def _finish(
        self,
        in_flight: InFlightRequest,
        end: RequestEnd,
        isolation: Isolation,
    ) -> None:
        self._record_end(in_flight, end, isolation)
        if end is RequestEnd.BROKEN:
            await self.notices.wait_delivered()

    def _record_end(
        self, in_flight: InFlightRequest, end: RequestEnd, isolation: Isolation
    ) -> None:
        match end:
            case RequestEnd.BROKEN:
                self._record_crash(in_flight)
            case RequestEnd.COMPLETE:
                notice = self.quarantine.record_success(in_flight.fingerprint)
                self.notices.send(notice)
        if end is RequestEnd.ABANDONED:
            self.flights.abandon(in_flight)
            self.watch.begin()
        else:
            self.flights.end(in_flight)
        self.gate.leave(isolation)

    def _record_crash(self, in_flight: InFlightRequest) -> None:
        self.quarantine.recorder.count('backend_connections_broken')
        if in_flight not in self.flights.active:
            return
        self._record_crash_of(
            self.flights.remove_all_at_crash(), is_alone=in_flight.is_alone
        )

    async def _check_for_crash(self) -> None:
        """Record a crash that no active request has noticed."""
        if self.flights.active or not await self.process.is_down():
            return
        suspects = self.flights.remove_all_at_crash()
        is_alone = len(suspects) == 1 and suspects[0].is_alone
        self._record_crash_of(suspects, is_alone=is_alone)

    def _record_crash_of(
        self, suspects: list[InFlightRequest], *, is_alone: bool
    ) -> None:
        notice = self.quarantine.record_crash(
            [suspect.fingerprint for suspect in suspects], is_alone=is_alone
        )
        self.notices.send(notice)

    def _record_survival(self, survived: list[InFlightRequest]) -> None:
        for in_flight in survived:
            self.notices.send(
                self.quarantine.record_survival(in_flight.fingerprint)
            )

    def _record_watch_error(self, error: BaseException) -> None:
        self.quarantine.recorder.record_event(
            Event.CONTROL_FAULT, 'watch of the instance', repr(error)
        )


def _classify_end(error: BaseException | None) -> RequestEnd:
    match error:
        case None:
            return RequestEnd.COMPLETE
        case ConnectionError() if not isinstance(error.__cause__, TimeoutError):
            return RequestEnd.BROKEN
    return RequestEnd.ABANDONED


@attrs.define
class QuarantineOwner(Owner):
    """Owner that sends a suspect to the one instance that may run it.

    Explanation
    ===========

    A suspect is forwarded only to instances ranked before the own one, so
    that daemons do not forward it in a cycle while the first backend server
    is down.

    Parameters
    ==========

    quarantine : Quarantine
    forward : callable or None
        Forwards a call to a member; set after the call handler is made.
    """

    quarantine: Quarantine = attrs.field(kw_only=True)
    forward: Callable[[Call, Member], Awaitable[Answer | Refusal]] | None = None

    async def run(self, call: Call, work: WorkClass) -> Answer | Refusal:
        """Run a call here, or forward a suspect."""
        if self.quarantine.is_empty:
            return await Owner.run(self, call, work)
        call_fingerprint = fingerprint(
            call.service,
            call.method,
            call.path,
            call.body,
        )
        verdict = self.quarantine.verdict(call_fingerprint)
        if verdict is Verdict.CONVICTED:
            return convicted_refusal()
        # An order runs only at the owner of its key; if it is a suspect, the
        # guarded backend isolates it there.
        if verdict is Verdict.CLEAR or call.order_key or not call.is_repeatable:
            return await Owner.run(self, call, work)
        return await self._run_suspect(call, work, call_fingerprint)

    async def _run_suspect(
        self,
        call: Call,
        work: WorkClass,
        call_fingerprint: bytes,
    ) -> Answer | Refusal:
        outcome: Answer | Refusal = Refusal(ResultCode.NO_INSTANCE, '')
        for member in self._ranked_instances(call.service, call_fingerprint):
            if member.host == self.roster.own_host:
                return await Owner.run(self, call, work)
            forwarded_call = attrs.evolve(call, hops=call.hops + 1)
            outcome = await self.forward(forwarded_call, member)
            match outcome:
                case Refusal(code=ResultCode.INSTANCE_UNREACHABLE, ran=Ran.NO):
                    continue
            return outcome
        return outcome

    def _ranked_instances(
        self, service: str, call_fingerprint: bytes
    ) -> list[Member]:
        """Return the instances to try, in the same order at all daemons."""
        purpose = f'suspect/{call_fingerprint.hex()}'
        members = sorted(
            self.roster.instances(service),
            key=lambda member: rendezvous_weight(member.host, purpose),
            reverse=True,
        )
        return members[:MAX_SUSPECT_INSTANCES]


def convicted_refusal() -> Refusal:
    """Return the refusal of a request convicted of crashing instances."""
    reason = 'this request crashed the backend server twice'
    return Refusal(ResultCode.REQUEST_CRASHES_BACKEND, reason)
