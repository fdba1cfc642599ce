"""Dispatch of control messages to the packages that answer them."""

import attrs

from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_distribution import Propagation
from tanagerbend_interfaces import Message, Ping, Pong, Suspects
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
    recorder : Recorder
    """

    roster: Roster
    detector: Detector
    propagation: Propagation
    suspects: SuspectNotices
    recorder: Recorder

    async def answer(self, sender: str, message: Message) -> Message | Refusal:
        """Return the answer to a message."""
        self.recorder.count('control_messages', type(message).__name__)
        match message:
            case Ping(target=target):
                return await self._answer_ping(target)
            case Suspects():
                return self.suspects.take(message)
        answer = self.propagation.answer(sender, message)
        if answer is None:
            reason = f'{type(message).__name__} is not a request'
            return Refusal(ResultCode.FRAME_MALFORMED, reason)
        return answer

    async def _answer_ping(self, target: str) -> Message | Refusal:
        own = self.roster.own
        if target in {'', own.host}:
            return Pong(own.host, own.incarnation)
        member = self.roster.members.get(target)
        if member is None or not await self.detector.ping(member):
            reason = f'{target} does not answer'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return Pong(member.host, member.incarnation)
