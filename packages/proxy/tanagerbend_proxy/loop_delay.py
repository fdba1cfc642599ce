"""How far a daemon is behind with its own work.

The load it answers: a host whose processor is too slow for its requests.
They wait for the event loop then, at the daemon where they begin and at the
owner that is to run them, while instances elsewhere have free slots.
"""

import math
from typing import Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

# Passes of the event loop that a request needs: it is read, it is sent on,
# and its answer is read and written.
PASSES: Final = 4
# A delay below this is that of any busy process, in seconds.
LEAST_DELAY_SECONDS: Final = 0.01


@attrs.define
class LoopDelay:
    """Delay of the event loop, measured by a check that is due at times.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> delay = LoopDelay(ManualTimer())
    >>> delay.checked(0.1), delay.of_request
    (0.0, 0.0)

    Parameters
    ==========

    timer : Timer
    due : float
        Monotonic seconds at which the next check is due.
    last : float
        Seconds by which the last check was late.
    """

    timer: Timer
    due: float = math.inf
    last: float = 0.0

    def checked(self, period: float) -> float:
        """Return how late a check is; the next is due after ``period``."""
        now = self.timer.now()
        self.last = max(now - self.due, 0.0)
        self.due = now + period
        return self.last

    @property
    def seconds(self) -> float:
        """Delay of the loop by the last check, or by one that is overdue."""
        return max(self.last, self.timer.now() - self.due)

    @property
    def of_request(self) -> float:
        """Seconds for which a request waits for the processor here."""
        seconds = self.seconds
        return PASSES * seconds if seconds >= LEAST_DELAY_SECONDS else 0.0

    def refuse(self, work: float, left: float) -> Refusal | None:
        """Refuse what can't be answered in the seconds that are left.

        ``work`` is the time of an instance for it, in seconds.
        """
        behind = self.of_request
        if not behind or behind + work <= left:
            return None
        reason = (
            f'this daemon needs {behind:.3f} s,'
            f' work {work:.3f} s, deadline in {left:.3f} s'
        )
        return Refusal(ResultCode.DEADLINE_UNREACHABLE, reason)
