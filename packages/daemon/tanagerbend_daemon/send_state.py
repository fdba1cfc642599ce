"""Whether the current call may have left this daemon."""

from contextvars import ContextVar
from typing import Final

import attrs


@attrs.define
class SendState:
    """State of a call, which decides how a stop answers it.

    Parameters
    ==========

    is_sent : bool
        Whether the call may have reached a backend server or a peer.
    is_ended_by_stop : bool
        Whether the stop of the daemon has cancelled the call.
    """

    is_sent: bool = False
    is_ended_by_stop: bool = False


CURRENT_SEND_STATE: Final[ContextVar[SendState]] = ContextVar('current_mark')


def mark_sent(*, is_sent: bool = True) -> None:
    """Record that the current call is about to be sent, or was not sent."""
    state = CURRENT_SEND_STATE.get(None)
    if state is not None:
        state.is_sent = is_sent
