"""Notices floods by the refusals that they cause."""

from typing import Final

from tanagerbend_metrics import Event, History, Recorder
from tanagerbend_metrics.names import REFUSALS

PERIOD_SECONDS: Final = 10.0
# Single refusals are ordinary; this many in a period are one a second.
REFUSALS_OF_FLOOD: Final = 10
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
    """Notes when calls begin and cease to be refused for capacity.

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
        self.quiet = 0
        self.refused = 0

    async def round(self) -> None:
        """Look at the refusals of one period of ``PERIOD_SECONDS``."""
        changes = self.history.sample(self.recorder.timer.wall())
        refused = sum(
            count for code, count in changes.items() if code in FLOOD_CODES
        )
        if refused >= REFUSALS_OF_FLOOD:
            self._go_on(refused)
        elif self.refused:
            self._calm_down(refused)

    def _go_on(self, refused: int) -> None:
        if not self.refused:
            reason = f'{refused} calls refused in {PERIOD_SECONDS:.0f} s'
            self.recorder.note(Event.REFUSALS_BEGAN, self.service, reason)
        self.refused += refused
        self.quiet = 0

    def _calm_down(self, refused: int) -> None:
        self.refused += refused
        self.quiet += 1
        if self.quiet >= QUIET_PERIODS:
            reason = f'{self.refused} calls refused in all'
            self.recorder.note(Event.REFUSALS_ENDED, self.service, reason)
            self.refused = 0
            self.quiet = 0
