"""Bound on the number of waiting calls, shared between ranks."""

from collections.abc import Mapping

from tanagerbend_admission.queues import RankQueue, WaitingCall
from tanagerbend_admission.ticket import Ticket


class QueueCapacity:
    """Queue places: a part reserved by floors, the rest shared.

    Explanation
    ===========

    A rank may always use the places that its floor reserves, so that a
    flood of another rank cannot exclude it.  The shared rest goes to more
    urgent ranks first, then to the tenants with the fewest waiting calls.

    Parameters
    ==========

    max_waiting : int
        Maximum number of waiting calls.
    floors : dict of int to float
        Guaranteed share of slot time by rank.
    """

    def __init__(self, max_waiting: int, floors: dict[int, float]) -> None:
        self.max_waiting = max_waiting
        self.reserved = {
            rank: max(1, int(max_waiting * floor))
            for rank, floor in floors.items()
            if floor > 0
        }
        self.shared = max(1, max_waiting - sum(self.reserved.values()))

    def has_room(self, rank: int, queues: Mapping[int, RankQueue]) -> bool:
        """Return whether a call of a rank may wait."""
        queue = queues.get(rank)
        if queue is not None and queue.count < self.reserved.get(rank, 0):
            return True
        return sum(self._excess(*entry) for entry in queues.items()) < (
            self.shared
        )

    def _excess(self, rank: int, queue: RankQueue) -> int:
        return max(0, queue.count - self.reserved.get(rank, 0))

    def call_to_displace(
        self,
        ticket: Ticket,
        queues: Mapping[int, RankQueue],
    ) -> WaitingCall | None:
        """Return the waiting call to refuse so that a new one may wait."""
        for rank in sorted(queues, reverse=True):
            queue = queues[rank]
            if rank > ticket.rank and self._excess(rank, queue):
                return queue.last_of_longest_tenant()
        own = queues.get(ticket.rank)
        if own is None or not own.count:
            return None
        last = own.last_of_longest_tenant()
        longest = own.tenant_length(last.ticket.tenant)
        if longest > own.tenant_length(ticket.tenant) + 1:
            return last
        return None
