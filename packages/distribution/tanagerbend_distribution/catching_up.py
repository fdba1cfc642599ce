"""Versions that calls carry, and what a pause leaves unverified."""

import asyncio
import functools
from typing import Final

from tanagerbend_distribution.propagation import Propagation
from tanagerbend_interfaces import Member
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, Version

CATCH_UP_SECONDS: Final = 1.0
# Callers are not authenticated; a version that does not exist may cost one
# exchange in this time, whatever the rate of the calls that carry it.
ATTEMPT_SECONDS: Final = 0.5
PEERS_AFTER_PAUSE: Final = 3
VERSION_PARTS: Final = 3
CACHED_TEXTS: Final = 64
MAX_VERSION_TEXT: Final = 100
MAX_REVISION_DIGITS: Final = 18

Position = tuple[tuple[int, ...], int]


@functools.lru_cache(maxsize=CACHED_TEXTS)
def read_position(text: str) -> Position | None:
    """Return the position that the text of a version names, if any.

    Examples
    ========

    >>> read_position('2026.12.4.0/7/0a0b0c0d0e0f')
    ((2026, 12, 4, 0), 7)
    >>> read_position('-/12/0a0b0c0d0e0f')
    ((), 12)
    >>> read_position('newest')
    """
    parts = text[:MAX_VERSION_TEXT].split('/')
    if len(parts) != VERSION_PARTS:
        return None
    numbers = [parts[1]]
    if parts[0] != '-':
        numbers.extend(parts[0].split('.'))
    for number in numbers:
        is_number = number.isascii() and number.isdecimal()
        if not is_number or len(number) > MAX_REVISION_DIGITS:
            return None
    return tuple(map(int, numbers[1:])), int(numbers[0])


class CatchUp:
    """Brings a daemon to a version that a call carries.

    Parameters
    ==========

    propagation : Propagation
    recorder : Recorder
    """

    def __init__(self, propagation: Propagation, recorder: Recorder) -> None:
        self.propagation = propagation
        self.recorder = recorder
        self.timer = recorder.timer
        self.task: asyncio.Task[None] | None = None
        self.next_attempt = 0.0

    def is_behind(self, position: Position) -> bool:
        """Tell whether a position is newer than the version in force."""
        version = self.propagation.version
        return version is None or position > version.position

    async def await_text(self, text: str, sender: str) -> Refusal | None:
        """Await the version of a header; a text that names none is fine."""
        position = read_position(text)
        if position is None:
            return None
        return await self.await_version(position, sender)

    async def await_version(
        self,
        position: Position,
        sender: str = '',
    ) -> Refusal | None:
        """Fetch a newer version first, or refuse the one call.

        Parameters
        ==========

        position : tuple
            Edition and revision that the call carries.
        sender : str
            Host or address of the daemon that sent the call; empty if a
            caller did.
        """
        if not self.is_behind(position):
            return None
        is_busy = self.task is not None and not self.task.done()
        if not is_busy and self.timer.now() >= self.next_attempt:
            self.next_attempt = self.timer.now() + ATTEMPT_SECONDS
            self.task = asyncio.create_task(self._attempt(position, sender))
            is_busy = True
        if is_busy:
            await asyncio.shield(self.task)
        if not self.is_behind(position):
            return None
        self.recorder.count('calls_with_newer_version')
        reason = f'call carries version {position}, which is not held'
        return Refusal(ResultCode.VERSION_BEHIND, reason)

    async def _attempt(self, position: Position, sender: str) -> None:
        propagation = self.propagation
        member = self._find(sender)
        if member is not None:
            wanted = Version(*position, b'')
            await propagation.fetcher.fetch(
                member.peer_address,
                wanted,
                CATCH_UP_SECONDS,
            )
            return
        reachable = propagation.roster.reachable()
        if reachable:
            chosen = propagation.random.choice(reachable)
            await propagation.sync_with(chosen.peer_address, CATCH_UP_SECONDS)

    def _find(self, sender: str) -> Member | None:
        if not sender:
            return None
        roster = self.propagation.roster
        named = roster.members.get(sender)
        if named is not None:
            return named
        for member in roster.reachable():
            if sender in {member.call_address, member.peer_address}:
                return member
        return None

    async def close(self) -> None:
        """Cancel an attempt under way."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


class PauseGuard:
    """Holds new work back after a pause until a peer has been heard.

    Explanation
    ===========

    After a pause the roster, the reader role and the version are
    unverified.  One sync with a few peers, of at most a second, verifies
    them; if no peer answers the daemon goes on with what it holds.

    Parameters
    ==========

    propagation : Propagation
    recorder : Recorder
    """

    def __init__(self, propagation: Propagation, recorder: Recorder) -> None:
        self.propagation = propagation
        self.recorder = recorder
        self.timer = recorder.timer
        self.task: asyncio.Task[None] | None = None
        self.timer.on_pause(self.paused)

    def paused(self, gap: float) -> None:
        """Begin to verify; an earlier check proves nothing any more."""
        self.recorder.note('paused', f'{gap:.1f} s')
        if self.task is not None:
            self.task.cancel()
        self.task = asyncio.create_task(self._verify())

    @property
    def is_verified(self) -> bool:
        """Whether the state has been verified since the last pause."""
        return self.task is None or self.task.done()

    async def ready(self) -> None:
        """Wait until new work may be taken, at most one second."""
        self.timer.check_pause()
        while not self.is_verified:
            await asyncio.wait((self.task,))

    async def _verify(self) -> None:
        propagation = self.propagation
        reachable = propagation.roster.reachable()
        chosen = propagation.random.sample(
            reachable,
            min(PEERS_AFTER_PAUSE, len(reachable)),
        )
        syncs = {
            asyncio.create_task(
                propagation.sync_with(member.peer_address, CATCH_UP_SECONDS),
            )
            for member in chosen
        }
        limit = asyncio.create_task(self.timer.sleep(CATCH_UP_SECONDS))
        try:
            await _first_answer(syncs, limit)
        finally:
            for task in (limit, *syncs):
                task.cancel()

    async def close(self) -> None:
        """Cancel a check under way."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


async def _first_answer(
    syncs: set[asyncio.Task],
    limit: asyncio.Task[None],
) -> None:
    waiting = syncs
    while waiting and not limit.done():
        done, rest = await asyncio.wait(
            (*waiting, limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        waiting = rest - {limit}
        for task in done - {limit}:
            if not isinstance(task.result(), Refusal):
                return
