"""Owner side of a call: admission and the backend server beside."""

from http import HTTPStatus

import attrs

from tanagerbend_admission import Admission, Outcome, Ticket
from tanagerbend_daemon.body import HeldBody, close_body
from tanagerbend_daemon.call import MILLISECONDS, Answer, Call, header_of
from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
    MemberState,
)
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import BACKEND_TIME
from tanagerbend_model import Ran, Refusal, ResultCode, WorkClass, headers

DRAINING = Refusal(ResultCode.DRAINING, 'instance takes no new work')


@attrs.define
class Owner:
    """Admits calls to the instance beside this daemon.

    Parameters
    ==========

    backend : BackendServer
    admission : Admission
    roster : Roster
    recorder : Recorder
    running : int
        Calls that hold a slot.
    """

    backend: BackendServer
    admission: Admission
    roster: Roster
    recorder: Recorder
    running: int = 0

    async def run(self, call: Call, work: WorkClass) -> Answer | Refusal:
        """Run a call on the backend server once a slot is free."""
        if self.roster.own.state is not MemberState.LIVE:
            return DRAINING
        ticket = _ticket(call, work)
        with call.times.waiting(self.recorder.timer):
            refusal = await self.admission.enter(ticket)
        if refusal is not None:
            self.recorder.count('not_admitted', refusal.code.name)
            return refusal
        self.running += 1
        lease = Lease(self, ticket, self.recorder.timer.now())
        try:
            return await self._exchange(call, lease)
        except BaseException:
            lease.end(Outcome.CANCELLED)
            raise

    async def _exchange(self, call: Call, lease: 'Lease') -> Answer | Refusal:
        timer = self.recorder.timer
        request = _backend_request(call, timer.now())
        with call.times.waiting(timer):
            response = await self.backend.exchange(request, call.deadline)
        refusal = _refusal_of(call, response)
        if refusal is not None:
            await _abandon(response)
            lease.end(_outcome(refusal))
            return refusal
        return Answer(
            response.status,
            response.headers,
            HeldBody(response.chunks, lease.end_of_body),
            load=str(self.admission.load_percent),
        )


@attrs.define
class Lease:
    """A slot held by a call; it is given back exactly once."""

    owner: Owner
    ticket: Ticket
    started: float
    is_open: bool = True

    def end(self, outcome: Outcome) -> None:
        """Give the slot back, unless that was done before."""
        if self.is_open:
            self.is_open = False
            self.owner.running -= 1
            used = self.owner.recorder.timer.now() - self.started
            self.owner.admission.leave(self.ticket, outcome, used)
            self.owner.recorder.histograms.record(
                BACKEND_TIME,
                self.ticket.tenant,
                self.ticket.rank,
                used,
            )

    async def end_of_body(self, error: BaseException | None) -> None:
        """Give the slot back at the end of the answer."""
        self.end(Outcome.SERVED if error is None else Outcome.CANCELLED)


def _ticket(call: Call, work: WorkClass) -> Ticket:
    return Ticket(
        work.work,
        max(work.effective_rank, call.rank),
        call.tenant,
        call.deadline,
        work.target_ms / MILLISECONDS,
    )


def _backend_request(call: Call, now: float) -> BackendRequest:
    """Hand the limits on, so that calls it causes stay within them."""
    return BackendRequest(
        call.method,
        call.path,
        call.header_pairs + call.limit_headers(now, call.hops + 1),
        call.body,
        call.request_id,
    )


def _refusal_of(
    call: Call,
    response: BackendResponse | Refusal,
) -> Refusal | None:
    match response:
        case Refusal():
            return response
    echoed = header_of(response.headers, headers.REQUEST_ID)
    if echoed not in {'', call.request_id}:
        reason = 'backend server answered another request'
        return Refusal(ResultCode.ANSWER_CROSSED, reason, Ran.UNKNOWN)
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        # A 503 alone does not prove that nothing ran; the backend server
        # can say so with the header of the refusals.
        said = header_of(response.headers, headers.RAN)
        ran = Ran.NO if said == Ran.NO.value else Ran.UNKNOWN
        reason = 'backend server sheds load'
        return Refusal(ResultCode.BACKEND_SHED_LOAD, reason, ran)
    return None


def _outcome(refusal: Refusal) -> Outcome:
    if refusal.code is ResultCode.BACKEND_SHED_LOAD:
        return Outcome.SHED
    if refusal.ran is Ran.NO:
        return Outcome.CANCELLED
    return Outcome.FAILED


async def _abandon(response: BackendResponse | Refusal) -> None:
    match response:
        case BackendResponse(chunks=chunks):
            await close_body(chunks)
