"""Queues at an instance that an experiment compares."""

from typing import Final

from tanagerbend_admission import ObjectiveQueue, Work
from tanagerbend_model import Refusal


class FifoQueue(ObjectiveQueue):
    """Baseline: order of arrival, refusing only what can't be answered."""

    def refusal_at_arrival(self, work: Work) -> Refusal | None:
        """Take everything; hopeless work is refused at its turn."""

    def _next_waiting(self):  # type: ignore[no-untyped-def]
        return self.waiting[0]


class StrictQueue(FifoQueue):
    """Baseline: urgent ranks first, then order of arrival."""

    def _next_waiting(self):  # type: ignore[no-untyped-def]
        return min(self.waiting, key=lambda each: each.work.rank)


POLICIES: Final = {
    'objective': ObjectiveQueue,
    'strict': StrictQueue,
    'fifo': FifoQueue,
}
