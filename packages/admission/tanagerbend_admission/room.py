"""Bound on the number of waiting calls, shared between ranks."""

from collections.abc import Mapping

from tanagerbend_admission.queues import RankQueue, Waiter
from tanagerbend_admission.ticket import Ticket


class Room:
    """Places in the queue: a part reserved by floors, the rest shared.

    Explanation
    ===========

    A rank may always fill the places that its floor reserves, so that a
    flood of any other rank cannot keep it out.  The shared rest goes to
    more urgent ranks first, then to the tenants that wait least.

    Parameters
    ==========

    places : int
    floors : dict of int to float
    """

    def __init__(self, places: int, floors: dict[int, float]) -> None:
        self.places = places
        self.reserved = {
            rank: max(1, int(places * floor))
            for rank, floor in floors.items()
            if floor > 0
        }
        self.shared = max(1, places - sum(self.reserved.values()))

    def has_place(self, rank: int, queues: Mapping[int, RankQueue]) -> bool:
        """Return whether a call of a rank may wait."""
        queue = queues.get(rank)
        if queue is not None and queue.count < self.reserved.get(rank, 0):
            return True
        return sum(self._excess(*entry) for entry in queues.items()) < (
            self.shared
        )

    def _excess(self, rank: int, queue: RankQueue) -> int:
        return max(0, queue.count - self.reserved.get(rank, 0))

    def victim(
        self,
        ticket: Ticket,
        queues: Mapping[int, RankQueue],
    ) -> Waiter | None:
        """Return the waiting call to refuse in favour of a new one."""
        for rank in sorted(queues, reverse=True):
            queue = queues[rank]
            if rank > ticket.rank and self._excess(rank, queue):
                return queue.last_of_longest()
        own = queues.get(ticket.rank)
        if own is None or not own.count:
            return None
        last = own.last_of_longest()
        longest = own.length_of(last.ticket.tenant)
        if longest > own.length_of(ticket.tenant) + 1:
            return last
        return None
