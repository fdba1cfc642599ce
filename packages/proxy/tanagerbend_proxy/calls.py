"""Calls that the runs of the instance on this host make.

The instance sends its calls to the daemon on its own host, which therefore
sees the run, its calls and their results.  A call counts by the request that
made it: refusing it wastes the run, and its run fails.
"""

from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed
from tanagerbend_routing import CallRoom, Run, Runs

# Refusals by owners for lack of room.
OVERLOAD_CODES: Final = frozenset(
    (
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.DEADLINE_PASSED,
    )
)


@attrs.define
class Calls:
    """Links calls to their runs, and runs to the room for their calls.

    Parameters
    ==========

    runs : Runs
    recorder : Recorder
    separator : str
        Text between the identifier of a request and the part that is
        appended for a call; empty if calls have unrelated identifiers.
    room : CallRoom
    """

    runs: Runs
    recorder: Recorder
    separator: str
    room: CallRoom = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.room = CallRoom(self.recorder.timer)

    def caller_of(self, identifier: str) -> Run | None:
        """Return the run that made a call, None if it isn't known."""
        if not self.separator:
            return None
        return self.runs.find(identifier.rpartition(self.separator)[0])

    def refuse(self, placed: Placed) -> Refusal | None:
        """Refuse a run whose calls would probably be refused."""
        calls = self.runs.linked_calls.calls_per_run(placed.route)
        short = self.room.short_service(placed.rank, calls)
        if not short:
            return None
        self.recorder.count('runs_refused_for_calls', short)
        served, refused = self.room.recent_results(short)
        reason = (
            f'its {calls[short]:.2f} calls of {short!r} would lack room:'
            f' {served:.0f} of the recent calls were served,'
            f' {refused:.0f} refused'
        )
        return Refusal(ResultCode.CALLED_SERVICE_FULL, reason)

    def record_result(
        self, caller: Run | None, service: str, result: Answer | Refusal
    ) -> None:
        """Record how a request ended if a run made it as a call.

        An instance that sheds load may do so at any load, and then fewer
        runs help nobody, so only refusals by owners count as refused.
        """
        if caller is None:
            return
        is_refused = (
            isinstance(result, Refusal) and result.code in OVERLOAD_CODES
        )
        self.room.record_result(service, is_served=not is_refused)
