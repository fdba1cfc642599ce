"""Estimates when a large answer has been sent from its host.

Instances may produce large answers faster than the link of their host
transmits them.  A link transmits one answer after the other, so every
accepted request delays all later ones, whether its answer is being sent, it
is running, or it waits for a slot.
"""

import math
from collections.abc import Iterable
from typing import Final, Protocol

from tanagerbend_admission.work import Work

# Larger answers wait for the link; smaller ones are sent between the parts
# of large answers.
PART_BYTES: Final = 16384
# Safety margin in deviations of the total size of an answer and of those
# sent before it, because sizes are known only when work ends.
SIZE_MARGIN_DEVIATIONS: Final = 3.0


class Link(Protocol):
    """Outgoing network link of a host.

    Parameters
    ==========

    bytes_per_second : float
        Transmission rate of large answers in bytes per second, measured
        while some wait; infinite if it is not known.
    """

    bytes_per_second: float

    def bytes_ahead(self, rank: int) -> float:
        """Return the bytes of answers that are sent before a new one."""


class UnlimitedLink:
    """Link without a limit of its rate."""

    bytes_per_second = math.inf

    def bytes_ahead(self, _rank: int) -> float:
        """Return 0, since no answer waits for this link."""
        return 0.0


class DepartureTimes:
    """Estimates when the answers of an instance have been sent.

    Examples
    ========

    >>> departures = DepartureTimes()
    >>> departures.seconds(0.1, Work('plate', 2, 1.0, 2.0, 90000.0))
    0.1

    Attributes
    ==========

    link : Link
    reserved : dict of int to float
        Expected bytes, by rank, of the answers of running requests.
    """

    def __init__(self) -> None:
        self.link: Link = UnlimitedLink()
        self.reserved: dict[int, float] = {}

    def is_large(self, work: Work) -> bool:
        """Return whether the answer of a request waits for the link."""
        return work.size > PART_BYTES and self.link.bytes_per_second < math.inf

    def reserve(self, work: Work) -> None:
        """Add the expected answer of a request that begins to run."""
        reserved_bytes = self.reserved.get(work.rank, 0.0)
        self.reserved[work.rank] = reserved_bytes + work.size

    def release(self, work: Work) -> None:
        """Remove the expected answer of a request that no longer runs."""
        reserved_bytes = self.reserved.get(work.rank, 0.0)
        self.reserved[work.rank] = max(reserved_bytes - work.size, 0.0)

    def link_free_in(self, rank: int, waiting: Iterable[Work]) -> float:
        """Return the seconds until the link is free for a new answer.

        ``waiting`` holds the requests that wait for a slot.
        """
        if self.link.bytes_per_second == math.inf:
            return 0.0
        total_bytes = self._unsent_bytes(rank, waiting) + self.link.bytes_ahead(
            rank
        )
        return max(total_bytes, 0.0) / self.link.bytes_per_second

    def seconds(
        self,
        ready: float,
        work: Work,
        waiting: Iterable[Work] = (),
    ) -> float:
        """Return the seconds until an answer has been sent.

        ``ready`` is the time in seconds until the answer is complete; the
        link sends other answers meanwhile.
        """
        if not self.is_large(work):
            return ready
        link_wait = self.link_free_in(work.rank, waiting)
        return max(ready, link_wait) + work.size / self.link.bytes_per_second

    def waits_for_link(
        self,
        work: Work,
        ready: float,
        waiting: Iterable[Work],
    ) -> bool:
        """Return whether an answer waits until others have been sent."""
        return (
            self.is_large(work)
            and self.link_free_in(work.rank, waiting) > ready
        )

    def margin(self, work: Work, waiting: Iterable[Work]) -> float:
        """Return the safety margin of `seconds`.

        Answers that are being sent have a known size and add no
        uncertainty.
        """
        if not self.is_large(work):
            return 0.0
        answers = 1 + self._unsent_bytes(work.rank, waiting) / work.size
        spread = work.size_deviation * math.sqrt(answers)
        return SIZE_MARGIN_DEVIATIONS * spread / self.link.bytes_per_second

    def _unsent_bytes(self, rank: int, waiting: Iterable[Work]) -> float:
        """Return the expected bytes of answers that are not complete."""
        running_bytes = sum(
            size for other, size in self.reserved.items() if other <= rank
        )
        return running_bytes + sum(
            each.size for each in waiting if each.rank <= rank
        )
