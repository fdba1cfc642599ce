"""Floors of the ranks and the choice of the rank to serve next."""

import math
from collections.abc import Mapping
from typing import Final

from tanagerbend_admission.queues import RankQueue
from tanagerbend_admission.window import WINDOW_SECONDS, SlotUsage

# Assumed for a rank without a floor that gets no slots at present, since
# it may get some later.
MIN_SHARE: Final = 0.01
# Factor on the floors, because a rank gets a slot only after it has fallen
# below its floor.  With a factor of 1.06 and calls as long as a quarter of
# the window, ranks were up to 2.5% below their floor.
FLOOR_MARGIN: Final = 1.1


class Shares:
    """Selects ranks by floor, then by urgency.

    Explanation
    ===========

    A rank below its floor is served first, but holds at most as many slots
    at a time as its floor amounts to.  Without this bound, several ranks
    that were idle could take all slots and delay urgent work.

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
        most_urgent = min(waiting)
        below_floor = [
            rank
            for rank in waiting
            if rank != most_urgent and self._is_below_floor(rank, slots)
        ]
        if not below_floor or self._are_floor_slots_taken(most_urgent, slots):
            return most_urgent
        return min(below_floor, key=self._floor_coverage)

    def _is_below_floor(self, rank: int, slots: int) -> bool:
        floor = self.floors.get(rank, 0.0)
        if self.usage.running.get(rank, 0) >= math.ceil(floor * slots):
            return False
        guaranteed = floor * FLOOR_MARGIN * slots * WINDOW_SECONDS
        return self.usage.used(rank) < guaranteed

    def _are_floor_slots_taken(self, most_urgent: int, slots: int) -> bool:
        """Return whether less urgent ranks hold the slots of their floors."""
        floors = self._sum_less_urgent(most_urgent, self.floors)
        running = self._sum_less_urgent(most_urgent, self.usage.running)
        return running >= math.ceil(floors * slots)

    def _sum_less_urgent(
        self, most_urgent: int, by_rank: Mapping[int, float]
    ) -> float:
        return sum(
            amount for rank, amount in by_rank.items() if rank > most_urgent
        )

    def _floor_coverage(self, rank: int) -> tuple[float, int]:
        return self.usage.used(rank) / self.floors[rank], rank

    def available(self, rank: int, slots: int) -> float:
        """Return the share of slot time that a rank can expect.

        The share used by more urgent ranks is subtracted, and that of less
        urgent ranks up to their floors.
        """
        rest = 1.0
        for other in self.usage.running:
            share = self.usage.share(other, slots)
            if other < rank:
                rest -= share
            elif other > rank:
                guaranteed = FLOOR_MARGIN * self.floors.get(other, 0.0)
                rest -= min(share, guaranteed)
        return max(rest, self.floors.get(rank, 0.0), MIN_SHARE)
