"""Gate that many requests pass together, and a suspect apart."""

import asyncio
import enum
from collections import deque

import attrs


class Company(enum.Enum):
    """Which requests may run beside a request."""

    ANY = 'any request'
    NO_SUSPECTS = 'requests that are clear'
    NOBODY = 'no request'


@attrs.define(eq=False)
class Waiting:
    """A request that waits in front of the gate."""

    company: Company
    admitted: 'asyncio.Future[None]'


class SoloGate:
    """Lets requests through in order of arrival.

    Explanation
    ===========

    A request that wants no company enters once all others have left, and
    requests behind it wait until it has left.  One that wants no suspects
    beside it waits for the one before it, and holds up nobody else.

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
    ...     print(gate.inside)
    >>> asyncio.run(example())
    False
    1
    """

    def __init__(self) -> None:
        self.inside = 0
        self.has_solo = False
        self.has_suspect = False
        self.waiting: deque[Waiting] = deque()

    def enter_at_once(self, company: Company) -> bool:
        """Let a request pass if it need not wait; tell whether it did."""
        is_open = not self._is_held_up(company) and self._fits(company)
        if is_open:
            self._admit(company)
        return is_open

    async def enter(self, company: Company) -> None:
        """Wait until the request may pass; ``leave`` must follow."""
        if self.enter_at_once(company):
            return
        own = Waiting(company, asyncio.get_running_loop().create_future())
        self.waiting.append(own)
        try:
            await own.admitted
        except asyncio.CancelledError:
            if own.admitted.done() and not own.admitted.cancelled():
                self.leave(company)
            else:
                self.waiting.remove(own)
                self._admit_waiting()
            raise

    def leave(self, company: Company) -> None:
        """Let the next requests pass."""
        self.inside -= 1
        match company:
            case Company.NOBODY:
                self.has_solo = False
            case Company.NO_SUSPECTS:
                self.has_suspect = False
        self._admit_waiting()

    def _is_held_up(self, company: Company) -> bool:
        """Return whether a request that came earlier goes first."""
        return any(
            each.company is Company.NOBODY or each.company is company
            for each in self.waiting
        )

    def _admit_waiting(self) -> None:
        left: deque[Waiting] = deque()
        is_open = True
        for each in self.waiting:
            if each.admitted.cancelled():
                continue
            if is_open and self._fits(each.company):
                self._admit(each.company)
                each.admitted.set_result(None)
                continue
            left.append(each)
            is_open = is_open and each.company is not Company.NOBODY
        self.waiting = left

    def _fits(self, company: Company) -> bool:
        match company:
            case Company.NOBODY:
                return not self.inside
            case Company.NO_SUSPECTS:
                return not (self.has_solo or self.has_suspect)
        return not self.has_solo

    def _admit(self, company: Company) -> None:
        self.inside += 1
        match company:
            case Company.NOBODY:
                self.has_solo = True
            case Company.NO_SUSPECTS:
                self.has_suspect = True
