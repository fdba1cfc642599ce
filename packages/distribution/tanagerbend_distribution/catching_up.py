"""Catch-up with versions carried by calls, and checks after a pause."""

import asyncio
import functools
from typing import Final

from tanagerbend_distribution.propagation import Propagation
from tanagerbend_interfaces import Member
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, Version

CATCH_UP_TIMEOUT_SECONDS: Final = 1.0
# Callers are not authenticated.  Calls that carry a version that does not
# exist cause at most one exchange in this interval, whatever their rate.
ATTEMPT_INTERVAL_SECONDS: Final = 0.5
PEERS_AFTER_PAUSE: Final = 3
VERSION_PART_COUNT: Final = 3
CACHED_POSITIONS: Final = 64
MAX_VERSION_TEXT: Final = 100
MAX_REVISION_DIGITS: Final = 18

Position = tuple[tuple[int, ...], int]


@functools.lru_cache(maxsize=CACHED_POSITIONS)
def parse_position(text: str) -> Position | None:
    """Parse the edition and revision of a version text, if it is valid.

    Examples
    ========

    >>> parse_position('2026.12.4.0/7/0a0b0c0d0e0f')
    ((2026, 12, 4, 0), 7)
    >>> parse_position('-/12/0a0b0c0d0e0f')
    ((), 12)
    >>> parse_position('newest')
    """
    parts = text[:MAX_VERSION_TEXT].split('/')
    if len(parts) != VERSION_PART_COUNT:
        return None
    components = [parts[1]]
    if parts[0] != '-':
        components.extend(parts[0].split('.'))
    for component in components:
        is_number = component.isascii() and component.isdecimal()
        if not is_number or len(component) > MAX_REVISION_DIGITS:
            return None
    return tuple(map(int, components[1:])), int(components[0])


class CatchUp:
    """Fetches versions that calls carry and this daemon does not hold.

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
        self.next_attempt_at = 0.0

    def is_behind(self, position: Position) -> bool:
        """Tell whether a position is newer than the version in force."""
        version = self.propagation.version
        return version is None or position > version.position

    async def await_version_header(
        self, text: str, sender: str
    ) -> Refusal | None:
        """Await the version of a header; ignore text that is not a version."""
        position = parse_position(text)
        if position is None:
            return None
        return await self.await_version(position, sender)

    async def await_version(
        self,
        position: Position,
        sender: str = '',
    ) -> Refusal | None:
        """Fetch the version if it is newer; refuse the call on failure.

        Concurrent calls share one attempt.

        Parameters
        ==========

        position : tuple
            Edition and revision that the call carries.
        sender : str
            Host or address of the daemon that forwarded the call; empty
            if it came from a caller.
        """
        if not self.is_behind(position):
            return None
        is_running = self.task is not None and not self.task.done()
        if not is_running and self.timer.now() >= self.next_attempt_at:
            self.next_attempt_at = self.timer.now() + ATTEMPT_INTERVAL_SECONDS
            self.task = asyncio.create_task(self._fetch_from(position, sender))
            is_running = True
        if is_running:
            await asyncio.shield(self.task)
        if not self.is_behind(position):
            return None
        self.recorder.count('calls_with_newer_version')
        reason = f'call carries version {position}, which is not held'
        return Refusal(ResultCode.VERSION_BEHIND, reason)

    async def _fetch_from(self, position: Position, sender: str) -> None:
        propagation = self.propagation
        member = self._find_sender(sender)
        if member is not None:
            wanted = Version(*position, b'')
            await propagation.fetcher.fetch(
                member.peer_address,
                wanted,
                CATCH_UP_TIMEOUT_SECONDS,
            )
            return
        reachable = propagation.roster.reachable()
        if reachable:
            chosen = propagation.random.choice(reachable)
            await propagation.sync_with(
                chosen.peer_address, CATCH_UP_TIMEOUT_SECONDS
            )

    def _find_sender(self, sender: str) -> Member | None:
        if not sender:
            return None
        roster = self.propagation.roster
        member_by_host = roster.members.get(sender)
        if member_by_host is not None:
            return member_by_host
        for member in roster.reachable():
            if sender in {member.call_address, member.peer_address}:
                return member
        return None

    async def close(self) -> None:
        """Cancel the attempt that is running."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


class PauseGuard:
    """Holds back new work after a pause until a peer has answered.

    Explanation
    ===========

    After a pause of the process the roster, the reader role and the
    version may be stale.  A sync with a few peers, of at most one second,
    updates them; if no peer answers, the daemon continues with the state
    that it holds.

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
        self.timer.on_pause(self.on_pause)

    def on_pause(self, gap: float) -> None:
        """Start a check; one that began before the pause is void."""
        self.recorder.record_event('paused', f'{gap:.1f} s')
        if self.task is not None:
            self.task.cancel()
        self.task = asyncio.create_task(self._verify())

    @property
    def is_verified(self) -> bool:
        """Whether the check after the last pause has ended."""
        return self.task is None or self.task.done()

    async def wait_until_verified(self) -> None:
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
                propagation.sync_with(
                    member.peer_address, CATCH_UP_TIMEOUT_SECONDS
                ),
            )
            for member in chosen
        }
        time_limit = asyncio.create_task(
            self.timer.sleep(CATCH_UP_TIMEOUT_SECONDS)
        )
        try:
            await _wait_for_first_answer(syncs, time_limit)
        finally:
            for task in (time_limit, *syncs):
                task.cancel()

    async def close(self) -> None:
        """Cancel the check that is running."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


async def _wait_for_first_answer(
    syncs: set[asyncio.Task],
    time_limit: asyncio.Task[None],
) -> None:
    pending = syncs
    while pending and not time_limit.done():
        done, remaining = await asyncio.wait(
            (*pending, time_limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        pending = remaining - {time_limit}
        for task in done - {time_limit}:
            if not isinstance(task.result(), Refusal):
                return
