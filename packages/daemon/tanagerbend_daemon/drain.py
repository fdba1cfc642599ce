"""Planned stops: of the instance, and of the daemon itself."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.send_state import CURRENT_SEND_STATE, SendState
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_metrics import Event
from tanagerbend_model import Ran, Refusal, ResultCode

POLL_SECONDS: Final = 0.02
# Time to write the answers of calls that a stop has refused or ended.
ANSWER_SECONDS: Final = 1.0
# Daemons that have not yet received the announcement of the stop still send
# work and issue order keys for this one, which must refuse them as "not run".
NOTICE_SECONDS: Final = 1.0


class CallPath(Protocol):
    """Handler of calls, such as the path of orders."""

    async def handle(self, call: Call) -> Answer | Refusal:
        """Answer a call, or refuse it with a reason."""


class Drain:
    """Decides whether this daemon accepts new work, and ends calls at a stop.

    Explanation
    ===========

    The instance drains while there is at least one reason: an operator,
    the host list, the readiness of the backend server, or the stop of the
    daemon.  Only at a stop does the daemon also refuse calls for other
    instances.  Orders that carry a key are handled until the end, because
    only the owner of a key can state that it was not run.

    Parameters
    ==========

    path : CallPath
    roster : Roster
    announce : callable
        Changes the own state and announces it to other daemons.
    end_unsent_orders : callable
        Voids the keys of orders that wait for a slot.
    note_sender : callable
        Records the host of a daemon that sent work, so that a stop is
        announced to it.
    seconds : float
        Limit of the time that a stop waits for calls.
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
        self.is_wait_skipped = False
        self.calls: dict[asyncio.Task, SendState] = {}

    async def start_serving(self) -> Member:
        """Accept work, now that a sheet is in force."""
        self.is_started = True
        if not self.reasons:
            await self.announce(MemberState.LIVE)
        return self.roster.own

    async def drain(self, reason: str) -> Member:
        """Accept no new work for the instance; running calls finish."""
        is_first = not self.reasons
        if self.roster.own.state is MemberState.LIVE:
            self.is_started = True
        self.reasons.add(reason)
        if is_first:
            self.recorder.record_event(
                Event.DRAIN_STARTED, self.roster.own_host, reason
            )
            await self.announce(MemberState.DRAINING)
        return self.roster.own

    async def undrain(self, reason: str) -> Member:
        """Withdraw a reason; after the last the instance accepts work."""
        if reason in self.reasons:
            self.reasons.discard(reason)
            if not self.reasons:
                self.recorder.record_event(
                    Event.DRAIN_ENDED, self.roster.own_host, reason
                )
                live, starting = MemberState.LIVE, MemberState.STARTING
                await self.announce(live if self.is_started else starting)
        return self.roster.own

    async def handle(self, call: Call) -> Answer | Refusal:
        """Answer a call, or refuse it while the daemon stops."""
        if self.is_stopping and not _concerns_order(call):
            return Refusal(ResultCode.DRAINING, 'the daemon stops')
        task = asyncio.current_task()
        send_state = SendState()
        CURRENT_SEND_STATE.set(send_state)
        self.calls[task] = send_state
        try:
            return await self.path.handle(call)
        except asyncio.CancelledError:
            if not send_state.is_ended_by_stop:
                raise
            task.uncancel()
            return _refusal_at_stop(call, send_state)
        finally:
            self.calls.pop(task, None)

    def skip_waiting(self) -> None:
        """Shorten a stop: refuse waiting calls without further delay."""
        self.is_wait_skipped = True

    async def stop(self, is_idle: Callable[[], bool]) -> None:
        """Refuse new work and wait for calls, for at most ``seconds``.

        ``is_idle`` returns whether no request is being answered.
        """
        self.is_stopping = True
        await self.drain('stop')
        await self._wait(_never_idle, min(NOTICE_SECONDS, self.seconds))
        await self._wait(is_idle, self.seconds - NOTICE_SECONDS)
        self.end_unsent_orders()
        self._end_calls(are_sent=False)
        self.is_wait_skipped = False
        await self._wait(is_idle, ANSWER_SECONDS)
        self._end_calls(are_sent=True)
        await self._wait(is_idle, ANSWER_SECONDS)

    async def _wait(self, is_idle: Callable[[], bool], seconds: float) -> None:
        end = self.timer.now() + seconds
        while (
            not (is_idle() or self.is_wait_skipped) and self.timer.now() < end
        ):
            await self.timer.sleep(POLL_SECONDS)

    def _end_calls(self, *, are_sent: bool) -> None:
        for task, send_state in list(self.calls.items()):
            if send_state.is_sent is are_sent:
                send_state.is_ended_by_stop = True
                self.recorder.count('calls_ended_by_stop')
                task.cancel()


def _never_idle() -> bool:
    return False


def _concerns_order(call: Call) -> bool:
    return bool(call.order_key) or call.path.startswith('/.tanagerbend/')


def _refusal_at_stop(call: Call, send_state: SendState) -> Refusal:
    if send_state.is_sent or _concerns_order(call):
        reason = 'the daemon stopped before the answer'
        return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
    return Refusal(ResultCode.DRAINING, 'the daemon stopped')
