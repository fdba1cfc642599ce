"""When a large answer will have left its host.

The load it answers: instances that give away large answers faster than the
link of their host carries them.  A link carries one answer after the other,
so that each request that is taken delays all that follow, whether it is
being sent, runs, or waits for a slot.
"""

import math
from collections.abc import Iterable
from typing import Final, Protocol

from tanagerbend_admission.work import Work

# Larger answers wait for the link; others pass between the parts of them.
PART_BYTES: Final = 16384
# Deviations of all that goes before an answer, and of its own size, that
# a request must have to spare.  Sizes are known only when work ends.
SIZE_MARGIN_DEVIATIONS: Final = 3.0


class Link(Protocol):
    """Way out of a host.

    Parameters
    ==========

    pace : float
        Bytes a second of large answers while some wait; infinite if it is
        not known.
    """

    pace: float

    def ahead_of(self, rank: int) -> float:
        """Return the bytes of answers that leave before a new one."""


class FreeLink:
    """Link that carries everything at once."""

    pace = math.inf

    def ahead_of(self, _rank: int) -> float:
        """Return that nothing waits."""
        return 0.0


class Departures:
    """Estimates the time at which answers will have left a host.

    Examples
    ========

    >>> departures = Departures()
    >>> departures.seconds(0.1, Work('plate', 2, 1.0, 2.0, 90000.0))
    0.1

    Attributes
    ==========

    link : Link
    promised : dict of int to float
        Bytes by rank of the answers of requests that run.
    """

    def __init__(self) -> None:
        self.link: Link = FreeLink()
        self.promised: dict[int, float] = {}

    def is_large(self, work: Work) -> bool:
        """Return whether the answer of a request waits for the link."""
        return work.size > PART_BYTES and self.link.pace < math.inf

    def promise(self, work: Work) -> None:
        """Count the answer of a request that begins to run."""
        known = self.promised.get(work.rank, 0.0)
        self.promised[work.rank] = known + work.size

    def withdraw(self, work: Work) -> None:
        """Count the answer no more; it has ended, or there is none."""
        known = self.promised.get(work.rank, 0.0)
        self.promised[work.rank] = max(known - work.size, 0.0)

    def free_in(self, rank: int, waiting: Iterable[Work]) -> float:
        """Return the seconds until the link is free for a new answer.

        ``waiting`` are the requests that wait for a slot.
        """
        if self.link.pace == math.inf:
            return 0.0
        unsent = self._unsent(rank, waiting) + self.link.ahead_of(rank)
        return max(unsent, 0.0) / self.link.pace

    def seconds(
        self,
        ready: float,
        work: Work,
        waiting: Iterable[Work] = (),
    ) -> float:
        """Return the seconds until an answer has left.

        ``ready`` are the seconds until the answer is there; the link is
        used by others meanwhile.
        """
        if not self.is_large(work):
            return ready
        free = self.free_in(work.rank, waiting)
        return max(ready, free) + work.size / self.link.pace

    def holds_up(
        self,
        work: Work,
        ready: float,
        waiting: Iterable[Work],
    ) -> bool:
        """Return whether an answer has to wait for others at the link."""
        return self.is_large(work) and self.free_in(work.rank, waiting) > ready

    def margin(self, work: Work, waiting: Iterable[Work]) -> float:
        """Return the seconds by which `seconds` may be wrong.

        Answers that are being sent have a known size and add nothing.
        """
        if not self.is_large(work):
            return 0.0
        answers = 1 + self._unsent(work.rank, waiting) / work.size
        spread = work.size_deviation * math.sqrt(answers)
        return SIZE_MARGIN_DEVIATIONS * spread / self.link.pace

    def _unsent(self, rank: int, waiting: Iterable[Work]) -> float:
        """Return the bytes of answers that are not there yet."""
        running = sum(
            size for other, size in self.promised.items() if other <= rank
        )
        return running + sum(each.size for each in waiting if each.rank <= rank)
