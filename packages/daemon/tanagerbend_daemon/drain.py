"""Planned stops: of the instance, and of the daemon itself."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.send_mark import CURRENT_MARK, SendMark
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_metrics import Event
from tanagerbend_model import Ran, Refusal, ResultCode

POLL_SECONDS: Final = 0.02
# Calls that are refused or interrupted at the end of a drain need a moment
# for their answers to be written.
ANSWER_SECONDS: Final = 1.0
# Daemons that have not yet heard of the stop still send work and issue order
# keys for this one; it has to be there to refuse them as "not run".
NOTICE_SECONDS: Final = 1.0


class CallPath(Protocol):
    """Answers calls."""

    async def handle(self, call: Call) -> Answer | Refusal:
        """Answer a call, or refuse it with a reason."""


class Drain:
    """Decides whether this daemon takes new work, and ends calls at a stop.

    Explanation
    ===========

    The instance drains while there is at least one reason: an operator,
    the host list, the readiness of the backend server, or the stop of the
    daemon.  Only at a stop does the daemon also refuse calls for other
    instances.  Orders that carry a key are handled up to the end, because
    only the owner of a key can say that it was not run.

    Parameters
    ==========

    path : CallPath
    roster : Roster
    announce : callable
        Changes the own state and tells other daemons.
    end_unsent_orders : callable
        Voids the keys of orders that wait for a slot.
    note_sender : callable
        Notes the host of a daemon that sent work, to be told of a stop.
    seconds : float
        Longest time that a stop waits for calls.
    """

    def __init__(
        self,
        path: CallPath,
        roster: Roster,
        announce: Callable[[MemberState], Awaitable[object]],
        end_unsent_orders: Callable[[], None],
        note_sender: Callable[[str], None],
        seconds: float,
    ) -> None:
        self.path = path
        self.roster = roster
        self.recorder = roster.recorder
        self.timer = roster.timer
        self.announce = announce
        self.end_unsent_orders = end_unsent_orders
        self.note_sender = note_sender
        self.seconds = seconds
        self.reasons: set[str] = set()
        self.is_started = False
        self.is_stopping = False
        self.is_hurried = False
        self.calls: dict[asyncio.Task, SendMark] = {}

    async def open(self) -> Member:
        """Take work once a sheet is in force."""
        self.is_started = True
        if not self.reasons:
            await self.announce(MemberState.LIVE)
        return self.roster.own

    async def drain(self, reason: str) -> Member:
        """Stop to take new work for the instance; running calls finish."""
        is_first = not self.reasons
        if self.roster.own.state is MemberState.LIVE:
            self.is_started = True
        self.reasons.add(reason)
        if is_first:
            self.recorder.note(
                Event.DRAIN_STARTED, self.roster.own_host, reason
            )
            await self.announce(MemberState.DRAINING)
        return self.roster.own

    async def undrain(self, reason: str) -> Member:
        """Withdraw a reason; without any the instance takes work again."""
        if reason in self.reasons:
            self.reasons.discard(reason)
            if not self.reasons:
                self.recorder.note(
                    Event.DRAIN_ENDED, self.roster.own_host, reason
                )
                live, starting = MemberState.LIVE, MemberState.STARTING
                await self.announce(live if self.is_started else starting)
        return self.roster.own

    async def handle(self, call: Call) -> Answer | Refusal:
        """Answer a call unless the daemon stops."""
        if self.is_stopping and not _is_about_order(call):
            return Refusal(ResultCode.DRAINING, 'the daemon stops')
        task = asyncio.current_task()
        mark = SendMark()
        CURRENT_MARK.set(mark)
        self.calls[task] = mark
        try:
            return await self.path.handle(call)
        except asyncio.CancelledError:
            if not mark.is_ended:
                raise
            task.uncancel()
            return _ended(call, mark)
        finally:
            self.calls.pop(task, None)

    def hurry(self) -> None:
        """Shorten a stop: calls that wait are refused now."""
        self.is_hurried = True

    async def stop(self, is_idle: Callable[[], bool]) -> None:
        """Refuse new work and let calls finish, at most ``seconds``.

        ``is_idle`` says that no request is being answered.
        """
        self.is_stopping = True
        await self.drain('stop')
        await self._wait(_never, min(NOTICE_SECONDS, self.seconds))
        await self._wait(is_idle, self.seconds - NOTICE_SECONDS)
        self.end_unsent_orders()
        self._end_calls(are_sent=False)
        self.is_hurried = False
        await self._wait(is_idle, ANSWER_SECONDS)
        self._end_calls(are_sent=True)
        await self._wait(is_idle, ANSWER_SECONDS)

    async def _wait(self, is_idle: Callable[[], bool], seconds: float) -> None:
        end = self.timer.now() + seconds
        while not (is_idle() or self.is_hurried) and self.timer.now() < end:
            await self.timer.sleep(POLL_SECONDS)

    def _end_calls(self, *, are_sent: bool) -> None:
        for task, mark in list(self.calls.items()):
            if mark.is_sent is are_sent:
                mark.is_ended = True
                self.recorder.count('calls_ended_by_stop')
                task.cancel()


def _never() -> bool:
    return False


def _is_about_order(call: Call) -> bool:
    return bool(call.order_key) or call.path.startswith('/.tanagerbend/')


def _ended(call: Call, mark: SendMark) -> Refusal:
    if mark.is_sent or _is_about_order(call):
        reason = 'the daemon stopped before the answer'
        return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
    return Refusal(ResultCode.DRAINING, 'the daemon stopped')
