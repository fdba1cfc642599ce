"""Mark of a call that may have left this daemon."""

from contextvars import ContextVar
from typing import Final

import attrs


@attrs.define
class SendMark:
    """Whether a call may have reached a backend server or a peer."""

    is_sent: bool = False
    is_ended: bool = False


CURRENT_MARK: Final[ContextVar[SendMark]] = ContextVar('current_mark')


def mark_sent(*, is_sent: bool = True) -> None:
    """Note that the current call is about to be sent, or was not sent."""
    mark = CURRENT_MARK.get(None)
    if mark is not None:
        mark.is_sent = is_sent
