"""Limits on the rate of messages that a daemon accepts from one peer."""

from collections import OrderedDict
from typing import Final

from tanagerbend_timer import Timer

MESSAGES_PER_SECOND: Final = 100.0
BURST_MESSAGES: Final = 200.0


class MessageRateLimiter:
    """Token bucket for the messages of one peer.

    Explanation
    ===========

    A daemon normally sends a few messages per second to one peer.  When a
    peer exceeds the limit, the server delays reading from its connections.
    This delays all messages of the peer but refuses none of them.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> limiter = MessageRateLimiter(ManualTimer())
    >>> delays = [limiter.delay() for _ in range(300)]
    >>> delays[199], round(delays[-1], 2)
    (0.0, 1.0)

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.tokens = BURST_MESSAGES
        self.refilled_at = timer.now()

    def delay(self) -> float:
        """Take a token; return the seconds to wait until it is available."""
        now = self.timer.now()
        gained = (now - self.refilled_at) * MESSAGES_PER_SECOND
        self.tokens = min(BURST_MESSAGES, self.tokens + gained) - 1
        self.refilled_at = now
        return max(0.0, -self.tokens / MESSAGES_PER_SECOND)


class RateLimiters:
    """Rate limiters by host; the least recently used ones are dropped.

    Parameters
    ==========

    timer : Timer
    max_hosts : int
        Number of hosts whose limiters are kept.
    """

    def __init__(self, timer: Timer, max_hosts: int) -> None:
        self.timer = timer
        self.max_hosts = max_hosts
        self.by_host: OrderedDict[str, MessageRateLimiter] = OrderedDict()

    def for_host(self, host: str) -> MessageRateLimiter:
        """Return the limiter that all connections of a host share."""
        limiter = self.by_host.get(host)
        if limiter is None:
            limiter = MessageRateLimiter(self.timer)
            self.by_host[host] = limiter
            if len(self.by_host) > self.max_hosts:
                self.by_host.popitem(last=False)
        self.by_host.move_to_end(host)
        return limiter
