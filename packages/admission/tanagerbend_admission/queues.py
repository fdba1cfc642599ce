"""Queue of one rank: fair between tenants, by deadline within a tenant."""

import asyncio
import bisect
from typing import Final

import attrs

from tanagerbend_admission.ticket import Ticket
from tanagerbend_model import Refusal

# Bound on the tags kept of tenants without waiting calls.
MAX_FINISH_TAGS: Final = 256


@attrs.frozen(eq=False)
class WaitingCall:
    """A waiting call.

    Parameters
    ==========

    ticket : Ticket
    arrival_number : int
        Position in the order of arrival, which orders equal deadlines.
    arrived_at : float
        Monotonic seconds.
    granted : asyncio.Future
        Its result is None if the call got a slot.
    """

    ticket: Ticket
    arrival_number: int
    arrived_at: float
    granted: asyncio.Future[Refusal | None]

    @property
    def key(self) -> tuple[float, int]:
        """Sort key within the queue of the tenant."""
        return self.ticket.deadline, self.arrival_number


@attrs.define
class TenantQueue:
    """Waiting calls of one tenant; ``start_tag`` belongs to the first call."""

    start_tag: float
    calls: list[WaitingCall] = attrs.field(factory=list)


class RankQueue:
    """Waiting calls of one rank, in start-time fair order.

    Explanation
    ===========

    Each call advances the start tag of its tenant by its expected slot
    time; the tenant with the lowest tag is served next.  A tenant that was
    idle starts at the virtual time, which is the start tag of the call
    served last.  It thus neither accumulates credit nor waits behind the
    backlog of another tenant.
    """

    def __init__(self) -> None:
        self.tenants: dict[str, TenantQueue] = {}
        self.finish_tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.count = 0

    def push(self, call: WaitingCall) -> None:
        """Add a waiting call."""
        tenant = call.ticket.tenant
        queue = self.tenants.get(tenant)
        if queue is None:
            start_tag = max(
                self.virtual_time, self.finish_tags.pop(tenant, 0.0)
            )
            queue = TenantQueue(start_tag)
            self.tenants[tenant] = queue
        bisect.insort(queue.calls, call, key=_queue_key)
        self.count += 1

    def pop(self, cost: float) -> WaitingCall:
        """Remove the next call and charge ``cost`` to its tenant."""
        queue = min(self.tenants.values(), key=_start_tag)
        call = queue.calls[0]
        self.virtual_time = max(self.virtual_time, queue.start_tag)
        queue.start_tag += cost
        self.remove(call)
        return call

    def peek(self) -> WaitingCall:
        """Return the call that ``pop`` would take."""
        return min(self.tenants.values(), key=_start_tag).calls[0]

    def remove(self, call: WaitingCall) -> bool:
        """Remove a call from the queue; return whether it was waiting."""
        tenant = call.ticket.tenant
        queue = self.tenants.get(tenant)
        if queue is None or call not in queue.calls:
            return False
        queue.calls.remove(call)
        self.count -= 1
        if not queue.calls:
            self.tenants.pop(tenant)
            self._store_finish_tag(tenant, queue.start_tag)
        return True

    def charge(self, tenant: str, cost: float) -> None:
        """Charge ``cost`` for a call that got a slot without waiting."""
        start_tag = max(self.virtual_time, self.finish_tags.get(tenant, 0.0))
        self.virtual_time = start_tag
        self._store_finish_tag(tenant, start_tag + cost)

    def correct(self, tenant: str, difference: float) -> None:
        """Correct the charge of a call by its real minus expected cost."""
        queue = self.tenants.get(tenant)
        if queue is not None:
            queue.start_tag = max(
                self.virtual_time, queue.start_tag + difference
            )
            return
        finish_tag = self.finish_tags.get(tenant)
        if finish_tag is not None:
            self.finish_tags[tenant] = finish_tag + difference

    def _store_finish_tag(self, tenant: str, finish_tag: float) -> None:
        self.finish_tags[tenant] = finish_tag
        if len(self.finish_tags) > MAX_FINISH_TAGS:
            self.finish_tags = {
                name: tag
                for name, tag in self.finish_tags.items()
                if tag > self.virtual_time
            }
        if len(self.finish_tags) > MAX_FINISH_TAGS:
            self.finish_tags.pop(
                min(self.finish_tags, key=self.finish_tags.__getitem__)
            )

    def count_ahead(self, ticket: Ticket) -> int:
        """Count the waiting calls that would be served before a new one."""
        own = self.tenants.get(ticket.tenant)
        own_ahead = 0
        if own is not None:
            key = (ticket.deadline, float('inf'))
            own_ahead = bisect.bisect(own.calls, key, key=_queue_key)
        return own_ahead + sum(
            min(len(queue.calls), own_ahead + 1)
            for queue in self.tenants.values()
            if queue is not own
        )

    def tenant_length(self, tenant: str) -> int:
        """Return the number of waiting calls of a tenant."""
        queue = self.tenants.get(tenant)
        return 0 if queue is None else len(queue.calls)

    def last_of_longest_tenant(self) -> WaitingCall:
        """Return the last call of the tenant with the most waiting calls."""
        queue = max(self.tenants.values(), key=_length)
        return queue.calls[-1]

    def first_calls(self) -> list[WaitingCall]:
        """Return the first waiting call of each tenant."""
        return [queue.calls[0] for queue in self.tenants.values()]


def _queue_key(call: WaitingCall) -> tuple[float, int]:
    return call.key


def _start_tag(queue: TenantQueue) -> float:
    return queue.start_tag


def _length(queue: TenantQueue) -> int:
    return len(queue.calls)
