"""Daemons that sent calls recently."""

from collections import OrderedDict
from typing import Final

from tanagerbend_timer import Timer

SENDER_SECONDS: Final = 10.0
# Above the number of entry daemons in a fleet of the target size.
MAX_SENDERS: Final = 4096


class Senders:
    """Hosts and addresses that sent calls in the last ``SENDER_SECONDS``.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> timer = ManualTimer()
    >>> senders = Senders(timer)
    >>> senders.record_call('host-2')
    >>> senders.recent()
    ('host-2',)
    >>> timer.pause(11.0)
    >>> senders.recent()
    ()

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.last_call_at: OrderedDict[str, float] = OrderedDict()

    def record_call(self, sender: str) -> None:
        """Record that a host, or the daemon at an address, sent a call."""
        self.last_call_at[sender] = self.timer.now()
        self.last_call_at.move_to_end(sender)
        if len(self.last_call_at) > MAX_SENDERS:
            self.last_call_at.popitem(last=False)

    def recent(self) -> tuple[str, ...]:
        """Return the senders of the last ``SENDER_SECONDS``."""
        oldest = self.timer.now() - SENDER_SECONDS
        return tuple(
            sender
            for sender, when in self.last_call_at.items()
            if when >= oldest
        )
