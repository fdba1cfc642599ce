"""Gate that lets suspects run alone or apart from other suspects."""

import asyncio
import enum
from collections import deque

import attrs


class Company(enum.Enum):
    """Which requests may run at the same time as a request."""

    ANY = 'any request'
    NO_SUSPECTS = 'requests that are clear'
    NOBODY = 'no request'


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits in front of the gate."""

    company: Company
    admitted: 'asyncio.Future[None]'


class SoloGate:
    """Admits requests to one instance in order of arrival.

    Explanation
    ===========

    A request that must run alone enters once all others have left, and
    later requests wait until it has left.  A request that must not run
    beside other suspects waits for the one before it and delays no others.

    Examples
    ========

    >>> async def example():
    ...     gate = SoloGate()
    ...     await gate.enter(Company.NOBODY)
    ...     waiting = asyncio.ensure_future(gate.enter(Company.ANY))
    ...     await asyncio.sleep(0)
    ...     print(waiting.done())
    ...     gate.leave(Company.NOBODY)
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

    def enter_at_once(self, company: Company) -> bool:
        """Admit a request if it need not wait; return whether it did."""
        may_pass = not self._must_wait(company) and self._may_join_running(
            company
        )
        if may_pass:
            self._admit(company)
        return may_pass

    async def enter(self, company: Company) -> None:
        """Wait until the request is admitted; ``leave`` must follow."""
        if self.enter_at_once(company):
            return
        request = WaitingRequest(
            company, asyncio.get_running_loop().create_future()
        )
        self.waiting.append(request)
        try:
            await request.admitted
        except asyncio.CancelledError:
            if request.admitted.done() and not request.admitted.cancelled():
                self.leave(company)
            else:
                self.waiting.remove(request)
                self._admit_waiting()
            raise

    def leave(self, company: Company) -> None:
        """Record that a request has ended, and admit waiting requests."""
        self.running -= 1
        match company:
            case Company.NOBODY:
                self.has_solo = False
            case Company.NO_SUSPECTS:
                self.has_suspect = False
        self._admit_waiting()

    def _must_wait(self, company: Company) -> bool:
        """Return whether a waiting request must be admitted first."""
        return any(
            each.company is Company.NOBODY or each.company is company
            for each in self.waiting
        )

    def _admit_waiting(self) -> None:
        still_waiting: deque[WaitingRequest] = deque()
        may_pass = True
        for each in self.waiting:
            if each.admitted.cancelled():
                continue
            if may_pass and self._may_join_running(each.company):
                self._admit(each.company)
                each.admitted.set_result(None)
                continue
            still_waiting.append(each)
            may_pass = may_pass and each.company is not Company.NOBODY
        self.waiting = still_waiting

    def _may_join_running(self, company: Company) -> bool:
        match company:
            case Company.NOBODY:
                return not self.running
            case Company.NO_SUSPECTS:
                return not (self.has_solo or self.has_suspect)
        return not self.has_solo

    def _admit(self, company: Company) -> None:
        self.running += 1
        match company:
            case Company.NOBODY:
                self.has_solo = True
            case Company.NO_SUSPECTS:
                self.has_suspect = True
