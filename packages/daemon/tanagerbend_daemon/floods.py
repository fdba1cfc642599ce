"""Detection of floods from the refusals that they cause."""

from typing import Final

from tanagerbend_metrics import Event, History, Recorder
from tanagerbend_metrics.names import REFUSALS

PERIOD_SECONDS: Final = 10.0
# Isolated refusals are normal; this is one a second over a period.
MIN_FLOOD_REFUSALS: Final = 10
QUIET_PERIODS: Final = 6
FLOOD_CODES: Final = frozenset(
    (
        'QUEUE_FULL',
        'DEADLINE_UNREACHABLE',
        'DEADLINE_PASSED',
        'BACKEND_SHED_LOAD',
    ),
)


class FloodWatch:
    """Records when refusals for lack of capacity begin and end.

    Parameters
    ==========

    recorder : Recorder
    service : str
        Service of the instance, the subject of the journal entries.
    """

    def __init__(self, recorder: Recorder, service: str) -> None:
        self.recorder = recorder
        self.service = service
        self.history = History(recorder.counters, REFUSALS)
        self.quiet_periods = 0
        self.flood_refusals = 0

    async def check(self) -> None:
        """Evaluate the refusals of the last ``PERIOD_SECONDS``."""
        changes = self.history.sample(self.recorder.timer.wall())
        refused = sum(
            count for code, count in changes.items() if code in FLOOD_CODES
        )
        if refused >= MIN_FLOOD_REFUSALS:
            self._record_flood_period(refused)
        elif self.flood_refusals:
            self._record_quiet_period(refused)

    def _record_flood_period(self, refused: int) -> None:
        if not self.flood_refusals:
            reason = f'{refused} calls refused in {PERIOD_SECONDS:.0f} s'
            self.recorder.record_event(
                Event.REFUSALS_BEGAN, self.service, reason
            )
        self.flood_refusals += refused
        self.quiet_periods = 0

    def _record_quiet_period(self, refused: int) -> None:
        self.flood_refusals += refused
        self.quiet_periods += 1
        if self.quiet_periods >= QUIET_PERIODS:
            reason = f'{self.flood_refusals} calls refused in all'
            self.recorder.record_event(
                Event.REFUSALS_ENDED, self.service, reason
            )
            self.flood_refusals = 0
            self.quiet_periods = 0
