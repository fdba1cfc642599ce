"""Queueing policies of an instance that an experiment compares."""

from typing import Final

from tanagerbend_admission import ObjectiveQueue, Work
from tanagerbend_model import Refusal


class FifoQueue(ObjectiveQueue):
    """Baseline: order of arrival; refuses what can't meet its deadline."""

    def refusal_at_arrival(self, work: Work) -> Refusal | None:
        """Accept all work; the check of the deadline follows at its turn."""

    def _next_waiting(self):  # type: ignore[no-untyped-def]
        return self.waiting[0]


class StrictQueue(FifoQueue):
    """Baseline: serves lower ranks first, each in order of arrival."""

    def _next_waiting(self):  # type: ignore[no-untyped-def]
        return min(self.waiting, key=lambda each: each.work.rank)


POLICIES: Final = {
    'objective': ObjectiveQueue,
    'strict': StrictQueue,
    'fifo': FifoQueue,
}
