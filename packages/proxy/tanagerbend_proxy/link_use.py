"""Bytes that a daemon sends and receives over its link, by purpose."""

import collections
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import BYTES_RECEIVED, BYTES_SENT

# Window over which rates are computed.
RATE_SECONDS: Final = 1.0
KILOBYTE: Final = 1024

ANSWERS: Final = 'answers'
PLACED: Final = 'placed'
CHANGES: Final = 'changes'
SERVICE: Final = 'service'


@attrs.define
class Rate:
    """Rate of bytes over the last second."""

    samples: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque,
    )
    size: int = 0

    def add(self, now: float, size: int) -> None:
        """Add bytes that were moved at a monotonic time."""
        self.samples.append((now, size))
        self.size += size
        self._forget(now)

    def kilobytes(self, now: float) -> float:
        """Return the rate in kilobytes per second."""
        self._forget(now)
        return round(self.size / RATE_SECONDS / KILOBYTE, 1)

    def _forget(self, now: float) -> None:
        while self.samples and self.samples[0][0] <= now - RATE_SECONDS:
            self.size -= self.samples.popleft()[1]


class LinkUse:
    """Counts the bytes of bodies that a daemon sends and receives.

    Attributes
    ==========

    count_unsent : callable
        Returns the number of bytes that are buffered for sending.

    Explanation
    ===========

    The purposes are answers to callers, requests placed at other daemons,
    changes exchanged between daemons, and reads from the service.  Requests
    of callers are small and not counted.

    Parameters
    ==========

    recorder : Recorder
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.sent_rate = Rate()
        self.received_rate = Rate()
        self.count_unsent: Callable[[], int] = int

    def sent(self, purpose: str, size: int) -> None:
        """Count bytes that this host sends."""
        self.recorder.count(BYTES_SENT, purpose, size)
        self.sent_rate.add(self.timer.now(), size)

    def received(self, purpose: str, size: int) -> None:
        """Count bytes that this host received."""
        self.recorder.count(BYTES_RECEIVED, purpose, size)
        self.received_rate.add(self.timer.now(), size)

    def rates(self) -> dict[str, float]:
        """Return the rates as fields of a log line."""
        now = self.timer.now()
        return {
            'unsent_kb': round(self.count_unsent() / KILOBYTE, 1),
            'sent_kb_s': self.sent_rate.kilobytes(now),
            'received_kb_s': self.received_rate.kilobytes(now),
        }
