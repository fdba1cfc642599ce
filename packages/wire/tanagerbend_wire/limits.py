"""Bounds on what one peer can make a daemon do."""

from collections import OrderedDict
from typing import Final

from tanagerbend_timer import Timer

MESSAGES_PER_SECOND: Final = 100.0
BURST: Final = 200.0


class MessageRate:
    """Token bucket of the messages of one peer.

    Explanation
    ===========

    A daemon sends a few messages a second to one peer.  A peer that floods
    is slowed down by reading its connection later, which costs its other
    messages time but refuses none of them.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> rate = MessageRate(ManualTimer())
    >>> delays = [rate.delay() for _ in range(300)]
    >>> delays[199], round(delays[-1], 2)
    (0.0, 1.0)

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.tokens = BURST
        self.refilled_at = timer.now()

    def delay(self) -> float:
        """Count a message; return the seconds to wait before the next."""
        now = self.timer.now()
        gained = (now - self.refilled_at) * MESSAGES_PER_SECOND
        self.tokens = min(BURST, self.tokens + gained) - 1
        self.refilled_at = now
        return max(0.0, -self.tokens / MESSAGES_PER_SECOND)


class Rates:
    """Message rates by host; the least recently used ones are dropped.

    Parameters
    ==========

    timer : Timer
    most : int
        Hosts to remember.
    """

    def __init__(self, timer: Timer, most: int) -> None:
        self.timer = timer
        self.most = most
        self.by_host: OrderedDict[str, MessageRate] = OrderedDict()

    def of(self, host: str) -> MessageRate:
        """Return the rate of a host, over all of its connections."""
        rate = self.by_host.get(host)
        if rate is None:
            rate = MessageRate(self.timer)
            self.by_host[host] = rate
            if len(self.by_host) > self.most:
                self.by_host.popitem(last=False)
        self.by_host.move_to_end(host)
        return rate
