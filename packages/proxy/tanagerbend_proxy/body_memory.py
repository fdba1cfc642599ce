"""Memory for the bodies of requests that a process reads or holds."""

import asyncio
import functools
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_timer import Timer

# A body is in memory twice: as the parts that were read and the whole that
# they are joined to, then as that whole and the bytes that wait to be sent.
COPIES: Final = 2
# Share of the host's memory for bodies.  An idle daemon needs 45 to 60 MB,
# its connections and their buffers up to a fifth of a small host.
MEMORY_SHARE: Final = 0.3
BYTES_PER_MEGABYTE: Final = 1_000_000
# Memory of a host that states none; the smallest that deployments have.
DEFAULT_MEGABYTES: Final = 200.0
# Bodies up to this size may use all of the memory, larger ones a share of it,
# so that a few large bodies do not keep out ordinary requests.
SMALL_BODY_BYTES: Final = 65536
LARGE_SHARE: Final = 0.75
# A body counts as stalled when fewer bytes than these arrive in the time; a
# thin link that three others share carries them in half of it.
PROGRESS_BYTES: Final = 16384
STALL_SECONDS: Final = 0.5
# Longest time without any byte of a body until a configuration sets it.
IDLE_SECONDS: Final = 75.0


@attrs.define(eq=False)
class HeldBody:
    """Memory that one request holds for its body.

    Parameters
    ==========

    memory : BodyMemory
    size : int
        Bytes of the body that are accounted for.
    received : int
        Bytes of it that have arrived.
    progress_at : float
        Monotonic seconds when the last ``PROGRESS_BYTES`` were complete.
    interrupt : callable or None
        Ends the reading of the body, None while it isn't read.
    gave_way : bool
        Whether its reading was ended for the sake of other bodies.
    """

    memory: 'BodyMemory'
    size: int = 0
    received: int = 0
    counted: int = 0
    progress_at: float = 0.0
    interrupt: Callable[[], None] | None = None
    gave_way: bool = False

    @property
    def is_large(self) -> bool:
        """Whether the body is larger than those of ordinary requests."""
        return self.size > SMALL_BODY_BYTES

    def reserve(self, size: int) -> bool:
        """Account for a body of ``size`` bytes; return whether it fits."""
        return self.memory.reserve(self, size)

    def add(self, size: int) -> bool:
        """Account for ``size`` bytes that arrived; see `reserve`."""
        self.received += size
        if self.received - self.counted >= PROGRESS_BYTES:
            self.counted = self.received
            self.progress_at = self.memory.timer.now()
        return self.reserve(max(self.received, self.size))

    def seconds_stalled(self) -> float:
        """Return the seconds since the last progress."""
        return self.memory.timer.now() - self.progress_at

    def give_way(self) -> None:
        """End the reading and release the memory."""
        self.gave_way = True
        self.memory.release(self)
        self.interrupt()

    @contextmanager
    def reading(self, limit: asyncio.Timeout) -> Iterator[None]:
        """Let the memory end the reading of the body through ``limit``."""
        self.progress_at = self.memory.timer.now()
        self.interrupt = functools.partial(_expire, limit)
        try:
            yield
        finally:
            self.interrupt = None


@attrs.define
class BodyMemory:
    """Memory of a process for the bodies of requests.

    Explanation
    ===========

    A body for which there is no room is refused.  Before that, bodies that
    have stalled give way, those first that hold most for longest.  A large
    body is always taken if no other one is held.

    Parameters
    ==========

    timer : Timer
    capacity : int
        Bytes, of which each byte of a body takes ``COPIES``.
    used : int
        Bytes of the capacity that are in use, by answers too.
    idle_seconds : float
        Longest time without any byte of a body.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> memory = BodyMemory(ManualTimer(), 4_000_000)
    >>> with memory.hold() as first, memory.hold() as second:
    ...     first.reserve(1_000_000), second.reserve(1_000_000)
    (True, False)
    >>> memory.used
    0
    """

    timer: Timer
    capacity: int
    used: int = 0
    idle_seconds: float = IDLE_SECONDS
    bodies: dict[HeldBody, None] = attrs.field(factory=dict)
    count: Callable[[str], None] = attrs.field(
        default=lambda _name: None, repr=False
    )

    def has_room(self) -> bool:
        """Whether requests are taken whose answers are not known yet.

        The largest body doesn't count, since a single one may be larger than
        the capacity.
        """
        largest = max((each.size for each in self.bodies), default=0)
        return self.used - COPIES * largest <= self.capacity

    @contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Account for the body of one request until the block ends."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            self.release(held)

    def reserve(self, held: HeldBody, size: int) -> bool:
        """Account for ``size`` bytes of a body in all."""
        if held.gave_way:
            return False
        if size <= held.size:
            return True
        added = COPIES * (size - held.size)
        while not self._has_room(held, size, added):
            stalled = self._pick_stalled(held)
            if stalled is None:
                self.count('bodies_refused')
                return False
            self.count('bodies_gave_way')
            stalled.give_way()
        self.used += added
        held.size = size
        self.bodies[held] = None
        return True

    def release(self, held: HeldBody) -> None:
        """Return the memory of a body."""
        self.used -= COPIES * held.size
        held.size = 0
        self.bodies.pop(held, None)

    def _has_room(self, held: HeldBody, size: int, added: int) -> bool:
        is_large = size > SMALL_BODY_BYTES
        share = LARGE_SHARE if is_large else 1.0
        if self.used + added <= share * self.capacity:
            return True
        others = (each for each in self.bodies if each is not held)
        return is_large and not any(each.is_large for each in others)

    def _pick_stalled(self, held: HeldBody) -> HeldBody | None:
        stalled = [
            each
            for each in self.bodies
            if each is not held
            and each.interrupt is not None
            and each.seconds_stalled() >= STALL_SECONDS
        ]
        return max(
            stalled,
            key=lambda each: each.size * each.seconds_stalled(),
            default=None,
        )


def _expire(limit: asyncio.Timeout) -> None:
    """Let a timeout expire now, unless it does already."""
    if not limit.expired():
        limit.reschedule(0)


def body_capacity(megabytes: float) -> int:
    """Return the bytes for bodies on a host with so much memory.

    ``megabytes`` is 0 if the memory is unknown.

    Examples
    ========

    >>> body_capacity(300), body_capacity(0)
    (90000000, 60000000)
    """
    known = megabytes or DEFAULT_MEGABYTES
    return int(MEMORY_SHARE * known * BYTES_PER_MEGABYTE)


def refuse_for_memory(held: HeldBody) -> Refusal:
    """Refuse a request for whose body no memory is left."""
    memory = held.memory
    cause = 'it stalled and gave way' if held.gave_way else 'no room for it'
    reason = (
        f'body of {held.received} bytes so far: {cause},'
        f' {memory.used} of {memory.capacity} bytes in use'
    )
    return Refusal(ResultCode.QUEUE_FULL, reason)
