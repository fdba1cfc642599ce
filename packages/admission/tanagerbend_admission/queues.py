"""Queue of one rank: fair between tenants, by deadline within one."""

import asyncio
import bisect
from typing import Final

import attrs

from tanagerbend_admission.ticket import Ticket
from tanagerbend_model import Refusal

MAX_REMEMBERED: Final = 256


@attrs.frozen(eq=False)
class Waiter:
    """A waiting call.

    Parameters
    ==========

    ticket : Ticket
    order : int
        Order of arrival, which separates equal deadlines.
    arrived : float
        Monotonic seconds.
    granted : asyncio.Future
        None if the call got a slot.
    """

    ticket: Ticket
    order: int
    arrived: float
    granted: asyncio.Future[Refusal | None]

    @property
    def key(self) -> tuple[float, int]:
        """Position within the tenant."""
        return self.ticket.deadline, self.order


@attrs.define
class TenantQueue:
    """Waiting calls of one tenant; ``start`` is the tag of the first."""

    start: float
    waiters: list[Waiter] = attrs.field(factory=list)


class RankQueue:
    """Waiting calls of one rank, in start-time fair order.

    Explanation
    ===========

    Each call moves the start tag of its tenant by its expected slot time;
    the tenant with the lowest tag is next.  A tenant that was idle starts
    at the virtual time, the tag of the call served last, so it neither
    saves up credit nor waits behind the backlog of another tenant.
    """

    def __init__(self) -> None:
        self.tenants: dict[str, TenantQueue] = {}
        self.finish: dict[str, float] = {}
        self.virtual = 0.0
        self.count = 0

    def push(self, waiter: Waiter) -> None:
        """Add a waiting call."""
        tenant = waiter.ticket.tenant
        queue = self.tenants.get(tenant)
        if queue is None:
            start = max(self.virtual, self.finish.pop(tenant, 0.0))
            queue = TenantQueue(start)
            self.tenants[tenant] = queue
        bisect.insort(queue.waiters, waiter, key=_key)
        self.count += 1

    def pop(self, cost: float) -> Waiter:
        """Take the next call and charge ``cost`` to its tenant."""
        queue = min(self.tenants.values(), key=_start)
        waiter = queue.waiters[0]
        self.virtual = max(self.virtual, queue.start)
        queue.start += cost
        self.remove(waiter)
        return waiter

    def first(self) -> Waiter:
        """Return the call that ``pop`` would take."""
        return min(self.tenants.values(), key=_start).waiters[0]

    def remove(self, waiter: Waiter) -> bool:
        """Remove a call that is no longer to be served, if it waits."""
        tenant = waiter.ticket.tenant
        queue = self.tenants.get(tenant)
        if queue is None or waiter not in queue.waiters:
            return False
        queue.waiters.remove(waiter)
        self.count -= 1
        if not queue.waiters:
            self.tenants.pop(tenant)
            self._remember(tenant, queue.start)
        return True

    def charge(self, tenant: str, cost: float) -> None:
        """Charge a call that got a slot without waiting."""
        start = max(self.virtual, self.finish.get(tenant, 0.0))
        self.virtual = start
        self._remember(tenant, start + cost)

    def correct(self, tenant: str, difference: float) -> None:
        """Replace the expected by the real cost of a call."""
        queue = self.tenants.get(tenant)
        if queue is not None:
            queue.start = max(self.virtual, queue.start + difference)
            return
        finish = self.finish.get(tenant)
        if finish is not None:
            self.finish[tenant] = finish + difference

    def _remember(self, tenant: str, finish: float) -> None:
        self.finish[tenant] = finish
        if len(self.finish) > MAX_REMEMBERED:
            self.finish = {
                name: tag
                for name, tag in self.finish.items()
                if tag > self.virtual
            }
        if len(self.finish) > MAX_REMEMBERED:
            self.finish.pop(min(self.finish, key=self.finish.__getitem__))

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting calls would be served before a new one."""
        own = self.tenants.get(ticket.tenant)
        before = 0
        if own is not None:
            key = (ticket.deadline, float('inf'))
            before = bisect.bisect(own.waiters, key, key=_key)
        return before + sum(
            min(len(queue.waiters), before + 1)
            for queue in self.tenants.values()
            if queue is not own
        )

    def length_of(self, tenant: str) -> int:
        """Return the waiting calls of a tenant."""
        queue = self.tenants.get(tenant)
        return 0 if queue is None else len(queue.waiters)

    def last_of_longest(self) -> Waiter:
        """Return the latest deadline of the tenant that waits most."""
        queue = max(self.tenants.values(), key=_length)
        return queue.waiters[-1]

    def firsts(self) -> list[Waiter]:
        """Return the first waiting call of each tenant."""
        return [queue.waiters[0] for queue in self.tenants.values()]


def _key(waiter: Waiter) -> tuple[float, int]:
    return waiter.key


def _start(queue: TenantQueue) -> float:
    return queue.start


def _length(queue: TenantQueue) -> int:
    return len(queue.waiters)
