"""Gate that many requests pass together, and a suspect alone."""

import asyncio
from collections import deque


class SoloGate:
    """Lets requests through in order of arrival.

    Explanation
    ===========

    A solo request enters once all others have left, and requests behind it
    wait until it has left.

    Examples
    ========

    >>> async def example():
    ...     gate = SoloGate()
    ...     await gate.enter(is_solo=True)
    ...     waiting = asyncio.ensure_future(gate.enter(is_solo=False))
    ...     await asyncio.sleep(0)
    ...     print(waiting.done())
    ...     gate.leave()
    ...     await waiting
    ...     print(gate.inside)
    >>> asyncio.run(example())
    False
    1
    """

    def __init__(self) -> None:
        self.inside = 0
        self.has_solo = False
        self.waiting: deque[tuple[bool, asyncio.Future[None]]] = deque()

    async def enter(self, *, is_solo: bool) -> None:
        """Wait until the request may pass; ``leave`` must follow."""
        if not self.waiting and self._fits(is_solo):
            self._admit(is_solo)
            return
        admitted = asyncio.get_running_loop().create_future()
        self.waiting.append((is_solo, admitted))
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self.leave()
            else:
                self.waiting.remove((is_solo, admitted))
                self._admit_waiting()
            raise

    def leave(self) -> None:
        """Let the next requests pass."""
        self.inside -= 1
        self.has_solo = False
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self.waiting and self._fits(self.waiting[0][0]):
            is_solo, admitted = self.waiting.popleft()
            if not admitted.cancelled():
                self._admit(is_solo)
                admitted.set_result(None)

    def _fits(self, is_solo: bool) -> bool:
        return not self.inside if is_solo else not self.has_solo

    def _admit(self, is_solo: bool) -> None:
        self.inside += 1
        self.has_solo = is_solo
