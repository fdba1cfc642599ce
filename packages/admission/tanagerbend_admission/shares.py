"""Floors of the ranks and the rank that is served next."""

import math
from collections.abc import Mapping
from typing import Final

from tanagerbend_admission.queues import RankQueue
from tanagerbend_admission.window import WINDOW_SECONDS, SlotUsage

# A rank without a floor that is starved now may still get a slot later.
LEAST_SHARE: Final = 0.01
# A slot goes to a rank only after it has fallen below its floor.  With
# calls that take a quarter of the window, ranks were up to 2.5% short of
# their floor at a margin of 6%.
FLOOR_MARGIN: Final = 1.1


class Shares:
    """Decides between the ranks by floor, then by urgency.

    Explanation
    ===========

    A rank below its floor goes first, but only with as many slots at a
    time as its floor amounts to.  Without this bound, several ranks that
    were idle could fill all slots and hold up urgent work.

    Parameters
    ==========

    usage : SlotUsage
    floors : dict of int to float
        Guaranteed share of slot time by rank.
    """

    def __init__(self, usage: SlotUsage, floors: dict[int, float]) -> None:
        self.usage = usage
        self.floors = floors

    def next_rank(
        self,
        queues: Mapping[int, RankQueue],
        slots: int,
    ) -> int | None:
        """Return the rank whose call gets the next free slot."""
        waiting = [rank for rank, queue in queues.items() if queue.count]
        if not waiting:
            return None
        urgent = min(waiting)
        below = [
            rank
            for rank in waiting
            if rank != urgent and self._is_owed(rank, slots)
        ]
        if not below or self._is_floor_full(urgent, slots):
            return urgent
        return min(below, key=self._coverage)

    def _is_owed(self, rank: int, slots: int) -> bool:
        floor = self.floors.get(rank, 0.0)
        if self.usage.running.get(rank, 0) >= math.ceil(floor * slots):
            return False
        owed = floor * FLOOR_MARGIN * slots * WINDOW_SECONDS
        return self.usage.used(rank) < owed

    def _is_floor_full(self, urgent: int, slots: int) -> bool:
        """Whether less urgent ranks hold the slots of all their floors."""
        floors = self._sum(urgent, self.floors)
        running = self._sum(urgent, self.usage.running)
        return running >= math.ceil(floors * slots)

    def _sum(self, urgent: int, by_rank: Mapping[int, float]) -> float:
        return sum(part for rank, part in by_rank.items() if rank > urgent)

    def _coverage(self, rank: int) -> tuple[float, int]:
        return self.usage.used(rank) / self.floors[rank], rank

    def available(self, rank: int, slots: int) -> float:
        """Return the share of slot time that a rank can count on.

        More urgent ranks keep what they use; less urgent ones keep what
        they use of their floors.
        """
        rest = 1.0
        for other in self.usage.running:
            share = self.usage.share(other, slots)
            if other < rank:
                rest -= share
            elif other > rank:
                owed = FLOOR_MARGIN * self.floors.get(other, 0.0)
                rest -= min(share, owed)
        return max(rest, self.floors.get(rank, 0.0), LEAST_SHARE)
