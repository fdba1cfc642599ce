"""Owner side of a call: admission and the local backend server."""

from http import HTTPStatus

import attrs

from tanagerbend_admission import Admission, Outcome, Ticket
from tanagerbend_daemon.body import MonitoredBody, close_body
from tanagerbend_daemon.call import (
    MILLISECONDS_PER_SECOND,
    Answer,
    Call,
    header_of,
)
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
    """Admits calls to the local instance and runs them there.

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
        ticket = _make_ticket(call, work)
        with call.times.waiting(self.recorder.timer):
            refusal = await self.admission.enter(ticket)
        if refusal is not None:
            self.recorder.count('not_admitted', refusal.code.name)
            return refusal
        self.running += 1
        lease = SlotLease(self, ticket, self.recorder.timer.now())
        try:
            return await self._exchange(call, lease)
        except BaseException:
            lease.end(Outcome.CANCELLED)
            raise

    async def _exchange(
        self, call: Call, lease: 'SlotLease'
    ) -> Answer | Refusal:
        timer = self.recorder.timer
        request = _backend_request(call, timer.now())
        with call.times.waiting(timer):
            response = await self.backend.exchange(request, call.deadline)
        refusal = _read_refusal(call, response)
        if refusal is not None:
            await _discard(response)
            lease.end(_admission_outcome(refusal))
            return refusal
        return Answer(
            response.status,
            response.headers,
            MonitoredBody(response.chunks, lease.handle_body_end),
            load=str(self.admission.load_percent),
        )


@attrs.define
class SlotLease:
    """A slot held by a call, which is released exactly once."""

    owner: Owner
    ticket: Ticket
    started: float
    is_held: bool = True

    def end(self, outcome: Outcome) -> None:
        """Release the slot, unless it was released before."""
        if self.is_held:
            self.is_held = False
            self.owner.running -= 1
            used = self.owner.recorder.timer.now() - self.started
            self.owner.admission.leave(self.ticket, outcome, used)
            self.owner.recorder.histograms.record(
                BACKEND_TIME,
                self.ticket.tenant,
                self.ticket.rank,
                used,
            )

    async def handle_body_end(self, error: BaseException | None) -> None:
        """Release the slot at the end of the answer."""
        self.end(Outcome.SERVED if error is None else Outcome.CANCELLED)


def _make_ticket(call: Call, work: WorkClass) -> Ticket:
    return Ticket(
        work.work,
        max(work.effective_rank, call.rank),
        call.tenant,
        call.deadline,
        work.target_ms / MILLISECONDS_PER_SECOND,
    )


def _backend_request(call: Call, now: float) -> BackendRequest:
    """Return the request with the limits for the calls that it causes."""
    return BackendRequest(
        call.method,
        call.path,
        call.header_pairs + call.limit_headers(now, call.hops + 1),
        call.body,
        call.request_id,
    )


def _read_refusal(
    call: Call,
    response: BackendResponse | Refusal,
) -> Refusal | None:
    match response:
        case Refusal():
            return response
    echoed_id = header_of(response.headers, headers.REQUEST_ID)
    if echoed_id not in {'', call.request_id}:
        reason = 'backend server answered another request'
        return Refusal(ResultCode.ANSWER_CROSSED, reason, Ran.UNKNOWN)
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        ran = Ran.NO if _states_not_run(response) else Ran.UNKNOWN
        reason = 'backend server sheds load'
        return Refusal(ResultCode.BACKEND_SHED_LOAD, reason, ran)
    return None


def _states_not_run(response: BackendResponse) -> bool:
    """Return whether a backend server says that it has not run the request.

    A 503 alone does not prove it; the server can state it with the same
    header as the refusals of daemons.  A result code beside it shows that
    the server passes on the refusal of a call that it made.
    """
    if header_of(response.headers, headers.RESULT):
        return False
    return header_of(response.headers, headers.RAN) == Ran.NO.value


def _admission_outcome(refusal: Refusal) -> Outcome:
    if refusal.code is ResultCode.BACKEND_SHED_LOAD:
        return Outcome.SHED
    if refusal.ran is Ran.NO:
        return Outcome.CANCELLED
    return Outcome.FAILED


async def _discard(response: BackendResponse | Refusal) -> None:
    match response:
        case BackendResponse(chunks=chunks):
            await close_body(chunks)
