"""Detection of ranks whose work arrives faster than it can be served."""

from typing import Final

import attrs

from tanagerbend_metrics import Event, Recorder

# A short burst may wait beyond its target.  If calls are still predicted
# to be late after this time, a longer wait would only make all of them late.
DETECTION_SECONDS: Final = 0.1
RECOVERY_SECONDS: Final = 2.0
END_EVENTS: Final = {
    Event.FLOOD_BEGAN: Event.FLOOD_ENDED,
    Event.SHORTAGE_BEGAN: Event.SHORTAGE_ENDED,
}


@attrs.define
class RankLoad:
    """Overload state of one rank.

    Parameters
    ==========

    late_since : float or None
        Monotonic seconds since when all arrivals are predicted to be late.
    last_late : float
        Monotonic seconds of the last arrival predicted to be late.
    offered_seconds : float
        Slot seconds needed by the arrivals since ``late_since``.
    event : Event or None
        Journal event of the overload; None if the rank is not overloaded.
    """

    late_since: float | None = None
    last_late: float = 0.0
    offered_seconds: float = 0.0
    event: Event | None = None


class FloodDetector:
    """Detects overloaded ranks and records begin and end in the journal.

    Explanation
    ===========

    A rank is overloaded when its arrivals are continuously predicted to
    miss their target.  If its own work alone exceeds the capacity of all
    slots, this is a flood; otherwise it is a shortage caused by other ranks.

    Parameters
    ==========

    recorder : Recorder
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.ranks: dict[int, RankLoad] = {}

    def record_late_arrival(
        self,
        now: float,
        rank: int,
        slot_seconds: float,
        slots: int,
    ) -> None:
        """Record an arrival of a rank whose queue is predicted to be late.

        ``slot_seconds`` is the slot time that the call is expected to need.
        """
        state = self.ranks.setdefault(rank, RankLoad())
        state.last_late = now
        if state.late_since is None:
            state.late_since = now
            state.offered_seconds = 0
        elapsed = now - state.late_since
        if not state.event and elapsed >= DETECTION_SECONDS:
            self._begin(state, rank, state.offered_seconds / elapsed / slots)
        state.offered_seconds += slot_seconds

    def record_timely_arrival(self, rank: int) -> None:
        """Record an arrival of a rank whose queue is on time."""
        state = self.ranks.get(rank)
        if state is not None and not state.event:
            state.late_since = None

    def is_overloaded(self, rank: int) -> bool:
        """Return whether a rank is overloaded."""
        state = self.ranks.get(rank)
        return state is not None and state.event is not None

    def expire(self, now: float) -> bool:
        """End overloads that are over; return whether any remains."""
        is_any_overloaded = False
        for rank, state in self.ranks.items():
            if not state.event:
                continue
            if now - state.last_late > RECOVERY_SECONDS:
                self.recorder.record_event(
                    END_EVENTS[state.event], f'rank {rank}'
                )
                state.event = None
                state.late_since = None
            else:
                is_any_overloaded = True
        return is_any_overloaded

    def _begin(self, state: RankLoad, rank: int, load: float) -> None:
        state.event = Event.FLOOD_BEGAN if load > 1 else Event.SHORTAGE_BEGAN
        reason = f'offered load is {load:.0%} of the capacity of all slots'
        self.recorder.record_event(state.event, f'rank {rank}', reason)
