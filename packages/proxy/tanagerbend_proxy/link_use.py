"""Bytes that a daemon moves over the link of its host, by purpose."""

import collections
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import BYTES_RECEIVED, BYTES_SENT

# Time over which rates are computed, in seconds.
RATE_SECONDS: Final = 1.0
KILOBYTE: Final = 1024

ANSWERS: Final = 'answers'
PLACED: Final = 'placed'
CHANGES: Final = 'changes'
SERVICE: Final = 'service'


@attrs.define
class Rate:
    """Bytes of the last second."""

    moved: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque,
    )
    size: int = 0

    def add(self, now: float, size: int) -> None:
        """Count bytes at a monotonic time."""
        self.moved.append((now, size))
        self.size += size
        self._forget(now)

    def kilobytes(self, now: float) -> float:
        """Return kilobytes a second."""
        self._forget(now)
        return round(self.size / RATE_SECONDS / KILOBYTE, 1)

    def _forget(self, now: float) -> None:
        while self.moved and self.moved[0][0] <= now - RATE_SECONDS:
            self.size -= self.moved.popleft()[1]


class LinkUse:
    """Bytes of bodies that a daemon sends and receives.

    Attributes
    ==========

    count_unsent : callable
        Returns the bytes that wait in this process to be sent.

    Explanation
    ===========

    The purposes are answers to callers, requests that daemons place at
    each other, changes that daemons tell each other, and readings of the
    service.  Requests of callers are small and not counted.

    Parameters
    ==========

    recorder : Recorder
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.out = Rate()
        self.into = Rate()
        self.count_unsent: Callable[[], int] = int

    def sent(self, purpose: str, size: int) -> None:
        """Count bytes that leave this host."""
        self.recorder.count(BYTES_SENT, purpose, size)
        self.out.add(self.timer.now(), size)

    def received(self, purpose: str, size: int) -> None:
        """Count bytes that reached this host."""
        self.recorder.count(BYTES_RECEIVED, purpose, size)
        self.into.add(self.timer.now(), size)

    def rates(self) -> dict[str, float]:
        """Return the rates as fields of a log line."""
        now = self.timer.now()
        return {
            'unsent_kb': round(self.count_unsent() / KILOBYTE, 1),
            'sent_kb_s': self.out.kilobytes(now),
            'received_kb_s': self.into.kilobytes(now),
        }
