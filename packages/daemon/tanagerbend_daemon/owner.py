"""Owner side of a call: admission and the backend server beside."""

from collections.abc import AsyncIterator, Callable

import attrs

from tanagerbend_admission import FifoAdmission, Ticket
from tanagerbend_daemon.call import Answer, Call
from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
    MemberState,
)
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, WorkClass

MILLISECONDS = 1000


@attrs.define
class Owner:
    """Admits calls to the instance beside this daemon.

    Parameters
    ==========

    backend : BackendServer
    admission : FifoAdmission
    roster : Roster
    recorder : Recorder
    """

    backend: BackendServer
    admission: FifoAdmission
    roster: Roster
    recorder: Recorder
    running: int = 0

    async def run(self, call: Call, work: WorkClass) -> Answer | Refusal:
        """Run a call on the backend server once a slot is free."""
        if self.roster.own.state is not MemberState.LIVE:
            return Refusal(ResultCode.DRAINING, 'instance takes no new work')
        refusal = await self.admission.enter(self._ticket(call, work))
        if refusal is not None:
            self.recorder.count('refusals', refusal.code.name)
            return refusal
        self.running += 1
        response = None
        try:
            response = await self.backend.exchange(
                _backend_request(call),
                call.deadline,
            )
        finally:
            if not isinstance(response, BackendResponse):
                self._finished()
        match response:
            case Refusal():
                return response
        return Answer(
            response.status,
            response.headers,
            _with_end(response.chunks, self._finished),
        )

    def _finished(self) -> None:
        self.running -= 1
        self.admission.leave()

    def _ticket(self, call: Call, work: WorkClass) -> Ticket:
        return Ticket(
            work=work.work,
            rank=max(work.effective_rank, call.rank),
            tenant=call.tenant,
            deadline=call.deadline,
            target=work.target_ms / MILLISECONDS,
        )


def _backend_request(call: Call) -> BackendRequest:
    return BackendRequest(
        call.method,
        call.path,
        call.header_pairs,
        call.body,
        call.request_id,
    )


async def _with_end(
    chunks: AsyncIterator[bytes],
    finished: Callable[[], None],
) -> AsyncIterator[bytes]:
    try:
        async for chunk in chunks:
            yield chunk
    finally:
        await chunks.aclose()
        finished()
