"""Turns on the way out of a host.

The load it answers: hosts with a thin link whose instances give away large
answers faster than the link carries them.  Without turns the answers wait
in the network, and new connections, requests and changes wait behind them
for longer than their limits.  Here large answers wait in the daemon, and
all other messages find the link nearly empty.
"""

import asyncio
import contextlib
import heapq
import itertools
import math
from collections.abc import Container, Iterator
from typing import Final

import attrs

from tanagerbend_admission.departure import PART_BYTES
from tanagerbend_timer import Timer

# Part of the link that bodies may take; headers, acknowledgements and new
# connections need the rest.
BODY_SHARE: Final = 0.92
# Bytes that are written in one turn, the longest that a small message
# waits: 34 ms on a link of 3.85 Mbit/s.
TURN_BYTES: Final = PART_BYTES
# Typical size of the headers of a message.
HEADER_BYTES: Final = 400
# Time of the link that may be used at once after a pause, in seconds.
BURST_SECONDS: Final = 0.03
# The same while turns wait, when a daemon that woke late makes up for it.
# With one more turn it is what a small message waits at most, about 0.1 s
# on a link of 3.85 Mbit/s.
MAKE_UP_SECONDS: Final = 0.07
# The pace of large answers is measured over this time in which some wait,
# and one measurement changes it by this part.
PACE_SECONDS: Final = 0.25
PACE_WEIGHT: Final = 0.2
# Part of the rate that is the least pace; a host that wakes up after a
# freeze is soon as fast as before.
LEAST_PACE: Final = 0.25
# Time without waiting answers in which the pace returns to the rate: a
# pause of this length says nothing of small messages that come now.
PACE_HOLDS_SECONDS: Final = 5.0


# Rank of an answer that has begun to leave when the daemon stops.
BEGUN_RANK: Final = -1
# Added to the rank of an answer that will be late, and to that of one that
# can't reach its reader any more.
LATE_RANK: Final = 1_000_000
LOST_RANK: Final = 2 * LATE_RANK


@attrs.frozen
class Due:
    """Until when an answer is to have left; monotonic seconds.

    Parameters
    ==========

    rank : int
    on_time, deadline : float
        When it is late, and when its reader stops to wait.
    ends : float
        When it is given up if it has not begun to leave.
    """

    rank: int = 0
    on_time: float = math.inf
    deadline: float = math.inf
    ends: float = math.inf


@attrs.define(order=True)
class Turn:
    """One part of an answer that waits for the link."""

    rank: int
    number: int
    size: int = attrs.field(order=False)
    granted: asyncio.Future[None] = attrs.field(order=False)


class Uplink:
    """Grants turns on the link of a host, most urgent rank first.

    Parameters
    ==========

    timer : Timer
    bytes_per_second : float
        Of the link; infinite if it is not known.
    """

    def __init__(
        self,
        timer: Timer,
        bytes_per_second: float = math.inf,
    ) -> None:
        self.timer = timer
        self.rate = BODY_SHARE * bytes_per_second
        # Bytes that may be written now; negative after large messages.
        self.allowed = 0.0
        self.counted_at = timer.now()
        self.turns: list[Turn] = []
        self.numbers = itertools.count()
        # Bytes that are going to leave, by rank.
        self.expected: dict[int, float] = {}
        # Bytes that the link could have carried while turns waited.
        self.unused = 0.0
        # Bytes a second of large answers while some wait, which small
        # messages and late wake-ups make less than the rate.
        self.pace = self.rate
        self.busy_seconds = 0.0
        self.busy_bytes = 0
        self.pump: asyncio.Task[None] | None = None

    def is_large(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes waits for turns."""
        return size > TURN_BYTES and self.rate < math.inf

    @property
    def announced(self) -> float:
        """Bytes that are going to leave this host."""
        return sum(self.expected.values())

    def ahead_of(self, rank: int) -> float:
        """Return the bytes that leave before a new answer of a rank.

        Negative if the link has been idle.
        """
        self._count()
        expected = sum(
            size for other, size in self.expected.items() if other <= rank
        )
        return expected - self.allowed

    def seconds_for(self, size: float) -> float:
        """Return the time until an answer that ends now has been sent."""
        if not self.is_large(int(size)):
            return 0.0
        self._count()
        owed = self.announced + size - min(self.allowed, 0.0)
        return owed / self.pace

    def least_seconds_for(self, size: float, rank: int) -> float:
        """Return the time until an answer of a rank has been sent.

        Answers that will be late give way to it and do not count.
        """
        if not self.is_large(int(size)):
            return 0.0
        return (max(self.ahead_of(rank), 0.0) + size) / self.pace

    def spend(self, size: int) -> None:
        """Count a message that does not wait."""
        self._count()
        self.allowed -= size + HEADER_BYTES

    def send_now(self, size: int) -> bool:
        """Count an answer that need not wait; return whether it is one."""
        self._count()
        is_free = not self.turns and self.allowed >= size
        if is_free or not self.is_large(size):
            self.spend(size)
            return True
        return False

    @contextlib.contextmanager
    def expecting(self, size: float, rank: int = 0) -> Iterator[None]:
        """Count bytes that are going to leave this host."""
        self.expected[rank] = self.expected.get(rank, 0.0) + size
        try:
            yield
        finally:
            self.expected[rank] -= size

    async def take(self, rank: int, number: int, size: int) -> None:
        """Wait until ``size`` bytes may be written.

        Answers of one rank leave in the order of their numbers, since a
        link that is shared by many ends all of them late.
        """
        self._count()
        if not self.turns and self.allowed > 0:
            self.allowed -= size
            self.busy_bytes += size
            return
        granted = asyncio.get_running_loop().create_future()
        turn = Turn(rank, number, size, granted)
        heapq.heappush(self.turns, turn)
        if self.pump is None or self.pump.done():
            self.pump = asyncio.create_task(self._grant())
        await granted

    def hurry(self, numbers: Container[int]) -> None:
        """Let the turns of some answers that wait go before all others."""
        for turn in self.turns:
            if turn.number in numbers:
                turn.rank = BEGUN_RANK
        heapq.heapify(self.turns)

    async def _grant(self) -> None:
        while self.turns:
            self._count()
            if self.allowed <= 0:
                # One byte more, since the turn begins above zero.
                await self.timer.sleep((1 - self.allowed) / self.rate)
                continue
            turn = heapq.heappop(self.turns)
            if not turn.granted.done():
                self.allowed -= turn.size
                self.busy_bytes += turn.size
                turn.granted.set_result(None)

    def _count(self) -> None:
        """Add what the link has carried since the last count."""
        now = self.timer.now()
        if self.rate < math.inf:
            seconds = MAKE_UP_SECONDS if self.turns else BURST_SECONDS
            burst = seconds * self.rate
            allowed = self.allowed + (now - self.counted_at) * self.rate
            self.allowed = min(allowed, burst)
            if self.turns:
                self.unused += allowed - self.allowed
                self._measure(now - self.counted_at)
            else:
                idle = (now - self.counted_at) / PACE_HOLDS_SECONDS
                self.pace += min(idle, 1.0) * (self.rate - self.pace)
        self.counted_at = now

    def _measure(self, seconds: float) -> None:
        """Take the bytes of ``seconds`` in which large answers waited."""
        self.busy_seconds += seconds
        if self.busy_seconds < PACE_SECONDS:
            return
        found = self.busy_bytes / self.busy_seconds
        found = min(max(found, LEAST_PACE * self.rate), self.rate)
        self.pace += PACE_WEIGHT * (found - self.pace)
        self.busy_seconds = 0.0
        self.busy_bytes = 0

    async def close(self) -> None:
        """End the turns; nothing more is granted."""
        if self.pump is not None:
            self.pump.cancel()
            await asyncio.gather(self.pump, return_exceptions=True)


@attrs.define
class Transfer:
    """One large answer on its way out.

    Examples
    ========

    >>> [len(part) for part in parts_of(bytes(40000))]
    [16384, 16384, 7232]

    Parameters
    ==========

    uplink : Uplink
    rank : int
    left : int
        Bytes that have had no turn yet.
    number : int
        Of the answers of this host.
    due : Due
    waited : float
        Seconds until its turns were granted.
    """

    uplink: Uplink
    rank: int
    left: int
    due: Due = Due()
    number: int = attrs.field(init=False)
    waited: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.number = next(self.uplink.numbers)

    async def turn(self, size: int) -> None:
        """Wait for the turn of the next ``size`` bytes.

        What is left counts meanwhile, and not while the answer waits for
        its reader, which may never read on.
        """
        begun = self.uplink.timer.now()
        rank = self.rank_at(begun)
        try:
            with self.uplink.expecting(self.left, rank):
                await self.uplink.take(rank, self.number, size)
        finally:
            self.waited += self.uplink.timer.now() - begun
        self.left -= size

    def hurry(self) -> None:
        """Let the rest go before all other answers, also when late."""
        self.rank = BEGUN_RANK
        self.due = Due()

    def rank_at(self, now: float) -> int:
        """Return the rank by which the rest waits for its turn.

        What will be late gives way to what can be on time, and what can't
        reach its reader any more to everything.
        """
        ends = now + self.left / self.uplink.pace
        if ends > self.due.deadline:
            return LOST_RANK + self.rank
        if ends > self.due.on_time:
            return LATE_RANK + self.rank
        return self.rank


def parts_of(body: bytes) -> list[bytes]:
    """Return the parts of a body, each written in one turn."""
    return [
        body[start : start + TURN_BYTES]
        for start in range(0, len(body), TURN_BYTES)
    ]
