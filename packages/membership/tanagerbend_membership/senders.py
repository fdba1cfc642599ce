"""Daemons that sent work a short time ago."""

from collections import OrderedDict
from typing import Final

from tanagerbend_timer import Timer

SENDER_SECONDS: Final = 10.0
# More than the entry daemons of the target size.
MAX_SENDERS: Final = 4096


class Senders:
    """Hosts that sent work in the last ``SENDER_SECONDS``.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> timer = ManualTimer()
    >>> senders = Senders(timer)
    >>> senders.note('host-2')
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
        self.last_work: OrderedDict[str, float] = OrderedDict()

    def note(self, sender: str) -> None:
        """Note that a host, or the daemon at an address, sent work."""
        self.last_work[sender] = self.timer.now()
        self.last_work.move_to_end(sender)
        if len(self.last_work) > MAX_SENDERS:
            self.last_work.popitem(last=False)

    def recent(self) -> tuple[str, ...]:
        """Return those that sent work in the last ten seconds."""
        oldest = self.timer.now() - SENDER_SECONDS
        return tuple(
            sender for sender, when in self.last_work.items() if when >= oldest
        )
