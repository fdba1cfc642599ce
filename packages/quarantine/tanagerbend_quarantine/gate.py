"""Gate that lets suspects run alone or apart from other suspects."""

import asyncio
import enum
from collections import deque

import attrs


class Isolation(enum.Enum):
    """Which requests may run at the same time as a request."""

    NONE = 'any request'
    FROM_SUSPECTS = 'requests that are clear'
    EXCLUSIVE = 'no request'


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits in front of the gate."""

    isolation: Isolation
    admitted: 'asyncio.Future[None]'


class IsolationGate:
    """Admits requests to one instance in order of arrival.

    Explanation
    ===========

    A request that must run alone enters once all others have left, and
    later requests wait until it has left.  A request that must not run
    beside other suspects waits for the one before it and delays no others.

    Examples
    ========

    >>> async def example():
    ...     gate = IsolationGate()
    ...     await gate.enter(Isolation.EXCLUSIVE)
    ...     waiting = asyncio.ensure_future(gate.enter(Isolation.NONE))
    ...     await asyncio.sleep(0)
    ...     print(waiting.done())
    ...     gate.leave(Isolation.EXCLUSIVE)
    ...     await waiting
    ...     print(gate.running)
    >>> asyncio.run(example())
    False
    1
    """

    def __init__(self) -> None:
        self.running = 0
        self.has_solo = False
        self.has_suspect = False
        self.waiting: deque[WaitingRequest] = deque()

    def try_enter(self, isolation: Isolation) -> bool:
        """Admit a request if it need not wait; return whether it did."""
        may_pass = not self._must_wait(isolation) and self._may_join_running(
            isolation
        )
        if may_pass:
            self._admit(isolation)
        return may_pass

    async def enter(self, isolation: Isolation) -> None:
        """Wait until the request is admitted; ``leave`` must follow."""
        if self.try_enter(isolation):
            return
        request = WaitingRequest(
            isolation, asyncio.get_running_loop().create_future()
        )
        self.waiting.append(request)
        try:
            await request.admitted
        except asyncio.CancelledError:
            if request.admitted.done() and not request.admitted.cancelled():
                self.leave(isolation)
            elif request in self.waiting:
                # Another request may have left since the cancellation.
                self.waiting.remove(request)
                self._admit_waiting()
            raise

    def leave(self, isolation: Isolation) -> None:
        """Record that a request has ended, and admit waiting requests."""
        self.running -= 1
        match isolation:
            case Isolation.EXCLUSIVE:
                self.has_solo = False
            case Isolation.FROM_SUSPECTS:
                self.has_suspect = False
        self._admit_waiting()

    def _must_wait(self, isolation: Isolation) -> bool:
        """Return whether a waiting request must be admitted first."""
        return any(
            each.isolation is Isolation.EXCLUSIVE or each.isolation is isolation
            for each in self.waiting
        )

    def _admit_waiting(self) -> None:
        still_waiting: deque[WaitingRequest] = deque()
        may_pass = True
        for each in self.waiting:
            if each.admitted.cancelled():
                continue
            if may_pass and self._may_join_running(each.isolation):
                self._admit(each.isolation)
                each.admitted.set_result(None)
                continue
            still_waiting.append(each)
            may_pass = may_pass and each.isolation is not Isolation.EXCLUSIVE
        self.waiting = still_waiting

    def _may_join_running(self, isolation: Isolation) -> bool:
        match isolation:
            case Isolation.EXCLUSIVE:
                return not self.running
            case Isolation.FROM_SUSPECTS:
                return not (self.has_solo or self.has_suspect)
        return not self.has_solo

    def _admit(self, isolation: Isolation) -> None:
        self.running += 1
        match isolation:
            case Isolation.EXCLUSIVE:
                self.has_solo = True
            case Isolation.FROM_SUSPECTS:
                self.has_suspect = True
