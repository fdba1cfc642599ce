"""Delay of a daemon's event loop.

If the processor of a host is too slow for its requests, they wait for the
event loop, at the daemon that receives them and at the owner of the chosen
instance, while instances on other hosts have free slots.  Refusing them early
lets them run elsewhere.
"""

import math
from typing import Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

# Passes of the event loop per request: the request is read and forwarded,
# and its answer is read and written.
PASSES_PER_REQUEST: Final = 4
# A shorter delay is normal for a busy process and is ignored.
MIN_DELAY_SECONDS: Final = 0.01


@attrs.define
class LoopDelay:
    """Delay of the event loop, measured by a periodic check.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> delay = LoopDelay(ManualTimer())
    >>> delay.record_check(0.1), delay.request_wait
    (0.0, 0.0)

    Parameters
    ==========

    timer : Timer
    due : float
        Monotonic seconds at which the next check is due.
    last : float
        Delay of the last check in seconds.
    """

    timer: Timer
    due: float = math.inf
    last: float = 0.0

    def record_check(self, period: float) -> float:
        """Record a check, due again after ``period``; return its delay."""
        now = self.timer.now()
        self.last = max(now - self.due, 0.0)
        self.due = now + period
        return self.last

    @property
    def seconds(self) -> float:
        """Delay of the loop, by the last check or by one that is overdue."""
        return max(self.last, self.timer.now() - self.due)

    @property
    def request_wait(self) -> float:
        """Estimated seconds for which a request waits for the event loop."""
        seconds = self.seconds
        return (
            PASSES_PER_REQUEST * seconds
            if seconds >= MIN_DELAY_SECONDS
            else 0.0
        )

    def refuse(self, work: float, left: float) -> Refusal | None:
        """Refuse a request that cannot be answered within ``left`` seconds.

        ``work`` is the time that an instance needs for it, in seconds.
        """
        wait = self.request_wait
        if not wait or wait + work <= left:
            return None
        reason = (
            f'wait for the event loop {wait:.3f} s,'
            f' work {work:.3f} s, deadline in {left:.3f} s'
        )
        return Refusal(ResultCode.DEADLINE_UNREACHABLE, reason)
