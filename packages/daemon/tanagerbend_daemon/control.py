"""Dispatch of control messages to the packages that answer them."""

import attrs

from tanagerbend_daemon.leaving import LeavingHints
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_distribution import Propagation
from tanagerbend_interfaces import Ack, Message, Ping, Suspects, Update
from tanagerbend_membership import Detector, Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode


@attrs.define
class ControlHandler:
    """Answers the control messages of other daemons.

    Parameters
    ==========

    roster : Roster
    detector : Detector
    propagation : Propagation
    suspects : SuspectNotices
    hints : LeavingHints
    recorder : Recorder
    """

    roster: Roster
    detector: Detector
    propagation: Propagation
    suspects: SuspectNotices
    hints: LeavingHints
    recorder: Recorder

    async def answer(self, sender: str, message: Message) -> Message | Refusal:
        """Return the answer to a message."""
        self.recorder.count('control_messages', type(message).__name__)
        match message:
            case Ping(target=target):
                return await self.detector.answer_ping(target)
            case Update(members=members):
                self.hints.receive(members)
                changes = self.roster.merge(members)
                self.detector.notifier.forward_departures(changes)
                return Ack()
            case Suspects():
                return self.suspects.receive(message)
        answer = self.propagation.answer(sender, message)
        if answer is None:
            reason = f'{type(message).__name__} is not a request'
            return Refusal(ResultCode.FRAME_MALFORMED, reason)
        return answer
