"""When the work of a rank arrives faster than it can be served."""

from typing import Final

import attrs

from tanagerbend_metrics import Event, Recorder

# A burst may wait beyond its target; if calls are still predicted to be
# late after this time, waiting longer only makes all of them late.
BEGIN_SECONDS: Final = 0.1
END_SECONDS: Final = 2.0
ENDS: Final = {
    Event.FLOOD_BEGAN: Event.FLOOD_ENDED,
    Event.SHORTAGE_BEGAN: Event.SHORTAGE_ENDED,
}


@attrs.define
class Pressure:
    """What is known of one rank.

    Parameters
    ==========

    late_since : float or None
        Since when every arrival is predicted to be late.
    last_late : float
    offered : float
        Slot seconds that arrivals need since ``late_since``.
    event : Event or None
        What began; None while the rank is not under pressure.
    """

    late_since: float | None = None
    last_late: float = 0.0
    offered: float = 0.0
    event: Event | None = None


class Floods:
    """Notices floods and notes their begin and end in the journal.

    Explanation
    ===========

    A rank is under pressure when its arrivals stay predicted to miss
    their target.  If its own work alone exceeds all slots, it floods;
    otherwise it suffers a shortage that other ranks cause.

    Parameters
    ==========

    recorder : Recorder
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.ranks: dict[int, Pressure] = {}

    def press(
        self,
        now: float,
        rank: int,
        expected: float,
        slots: int,
    ) -> None:
        """Take an arrival of a rank whose queue is predicted to be late.

        ``expected`` is the slot time in seconds that it needs.
        """
        known = self.ranks.setdefault(rank, Pressure())
        known.last_late = now
        if known.late_since is None:
            known.late_since = now
            known.offered = 0
        passed = now - known.late_since
        if not known.event and passed >= BEGIN_SECONDS:
            self._begin(known, rank, known.offered / passed / slots)
        known.offered += expected

    def clear(self, rank: int) -> None:
        """Take an arrival of a rank whose queue is on time."""
        known = self.ranks.get(rank)
        if known is not None and not known.event:
            known.late_since = None

    def is_pressed(self, rank: int) -> bool:
        """Return whether a rank is under pressure."""
        known = self.ranks.get(rank)
        return known is not None and known.event is not None

    def expire(self, now: float) -> bool:
        """End what is over; return whether any rank is under pressure."""
        is_any = False
        for rank, known in self.ranks.items():
            if not known.event:
                continue
            if now - known.last_late > END_SECONDS:
                self.recorder.note(ENDS[known.event], f'rank {rank}')
                known.event = None
                known.late_since = None
            else:
                is_any = True
        return is_any

    def _begin(self, known: Pressure, rank: int, load: float) -> None:
        known.event = Event.FLOOD_BEGAN if load > 1 else Event.SHORTAGE_BEGAN
        reason = f'offers {load:.0%} of all slots'
        self.recorder.note(known.event, f'rank {rank}', reason)
