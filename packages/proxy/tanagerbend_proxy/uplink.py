"""Schedules large answers on the outgoing link of a host.

Instances on a host with a slow link may produce large answers faster than
the link carries them.  If the answers queued in the network, then new
connections, requests and changes would wait behind them until they time
out.  Instead large answers wait in the daemon and are sent part by part,
so that all other messages find the link nearly idle.
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

# Share of the link for bodies; headers, acknowledgements and new connections
# need the rest.
BODY_SHARE: Final = 0.92
# Bytes written in one turn.  A small message waits for at most one turn,
# which takes 34 ms on a link of 3.85 Mbit/s.
TURN_BYTES: Final = PART_BYTES
# Typical size of the headers of a message.
HEADER_BYTES: Final = 400
# Largest burst after an idle time, as seconds of the link's rate.
BURST_SECONDS: Final = 0.03
# The same while turns wait, so that a daemon that woke up late catches up.
# A small message waits for at most this burst and one turn, about 0.1 s on a
# link of 3.85 Mbit/s.
CATCH_UP_SECONDS: Final = 0.07
# The pace of large answers is measured over intervals of this length while
# some wait, and averaged with this weight of the newest measurement.
PACE_INTERVAL_SECONDS: Final = 0.25
PACE_WEIGHT: Final = 0.2
# Least pace as a share of the rate, so that the pace soon recovers after the
# host was frozen.
MIN_PACE_SHARE: Final = 0.25
# Time without waiting answers in which the pace returns to the rate.  After
# this time the old pace says nothing about the present small messages.
PACE_RESET_SECONDS: Final = 5.0

# Rank of an answer that is being sent when the daemon stops.
STARTED_RANK: Final = -1
# Added to the rank of an answer that will miss its target time, and to the
# rank of one that will miss its deadline.
LATE_RANK_OFFSET: Final = 1_000_000
EXPIRED_RANK_OFFSET: Final = 2 * LATE_RANK_OFFSET


@attrs.frozen
class SendingLimits:
    """Time limits for sending an answer, in monotonic seconds.

    Parameters
    ==========

    rank : int
    on_time, deadline : float
        When the answer is late, and when its reader stops waiting.
    abandon_at : float
        When the answer is given up if sending has not begun.
    """

    rank: int = 0
    on_time: float = math.inf
    deadline: float = math.inf
    abandon_at: float = math.inf


@attrs.define(order=True)
class Turn:
    """One part of an answer that waits for the link."""

    rank: int
    number: int
    size: int = attrs.field(order=False)
    granted: asyncio.Future[None] = attrs.field(order=False)


class Uplink:
    """Grants turns on the link of a host, lowest rank first.

    Parameters
    ==========

    timer : Timer
    link_bytes_per_second : float
        Rate of the link; infinite if unknown.
    """

    def __init__(
        self,
        timer: Timer,
        link_bytes_per_second: float = math.inf,
    ) -> None:
        self.timer = timer
        self.rate = BODY_SHARE * link_bytes_per_second
        # Token bucket: bytes that may be written now, negative after large
        # messages.
        self.allowance = 0.0
        self.refilled_at = timer.now()
        self.turns: list[Turn] = []
        self.numbers = itertools.count()
        # Bytes that will be sent, by rank.
        self.expected: dict[int, float] = {}
        # Bytes of capacity that were lost while turns waited.
        self.unused = 0.0
        # Bytes per second of large answers while some wait; small messages
        # and late wake-ups lower it below the rate.
        self.bytes_per_second = self.rate
        self.busy_seconds = 0.0
        self.busy_bytes = 0
        self.grant_task: asyncio.Task[None] | None = None

    def is_large(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes waits for turns."""
        return size > TURN_BYTES and self.rate < math.inf

    @property
    def expected_bytes(self) -> float:
        """Bytes that this host will send."""
        return sum(self.expected.values())

    def bytes_ahead(self, rank: int) -> float:
        """Return the bytes that are sent before a new answer of a rank.

        The result is negative if the link was idle.
        """
        self._refill()
        expected = sum(
            size for other, size in self.expected.items() if other <= rank
        )
        return expected - self.allowance

    def seconds_for(self, size: float) -> float:
        """Return the seconds until an answer that is ready now is sent."""
        if not self.is_large(int(size)):
            return 0.0
        self._refill()
        queued = self.expected_bytes + size - min(self.allowance, 0.0)
        return queued / self.bytes_per_second

    def least_seconds_for(self, size: float, rank: int) -> float:
        """Return the least seconds until an answer of a rank is sent.

        Answers that will be late yield to it and don't count.
        """
        if not self.is_large(int(size)):
            return 0.0
        return (max(self.bytes_ahead(rank), 0.0) + size) / self.bytes_per_second

    def spend(self, size: int) -> None:
        """Deduct a message that is sent without waiting."""
        self._refill()
        self.allowance -= size + HEADER_BYTES

    def send_now(self, size: int) -> bool:
        """Return whether an answer may be sent without waiting.

        Deducts it in that case.
        """
        self._refill()
        can_send = not self.turns and self.allowance >= size
        if can_send or not self.is_large(size):
            self.spend(size)
            return True
        return False

    @contextlib.contextmanager
    def expecting(self, size: float, rank: int = 0) -> Iterator[None]:
        """Register bytes that this host will send."""
        self.expected[rank] = self.expected.get(rank, 0.0) + size
        try:
            yield
        finally:
            self.expected[rank] -= size

    async def take(self, rank: int, number: int, size: int) -> None:
        """Wait until ``size`` bytes may be written.

        Answers of the same rank are sent in the order of their numbers: if
        they shared the link, all of them would be late.
        """
        self._refill()
        if not self.turns and self.allowance > 0:
            self.allowance -= size
            self.busy_bytes += size
            return
        granted = asyncio.get_running_loop().create_future()
        turn = Turn(rank, number, size, granted)
        heapq.heappush(self.turns, turn)
        if self.grant_task is None or self.grant_task.done():
            self.grant_task = asyncio.create_task(self._grant())
        await granted

    def hurry(self, numbers: Container[int]) -> None:
        """Move the waiting turns of some answers before all others."""
        for turn in self.turns:
            if turn.number in numbers:
                turn.rank = STARTED_RANK
        heapq.heapify(self.turns)

    async def _grant(self) -> None:
        while self.turns:
            self._refill()
            if self.allowance <= 0:
                # One byte more, since a turn needs an allowance above 0.
                await self.timer.sleep((1 - self.allowance) / self.rate)
                continue
            turn = heapq.heappop(self.turns)
            if not turn.granted.done():
                self.allowance -= turn.size
                self.busy_bytes += turn.size
                turn.granted.set_result(None)

    def _refill(self) -> None:
        """Add the capacity of the link since the last call."""
        now = self.timer.now()
        if self.rate < math.inf:
            seconds = CATCH_UP_SECONDS if self.turns else BURST_SECONDS
            burst = seconds * self.rate
            allowance = self.allowance + (now - self.refilled_at) * self.rate
            self.allowance = min(allowance, burst)
            if self.turns:
                self.unused += allowance - self.allowance
                self._update_pace(now - self.refilled_at)
            else:
                reset_share = (now - self.refilled_at) / PACE_RESET_SECONDS
                self.bytes_per_second += min(reset_share, 1.0) * (
                    self.rate - self.bytes_per_second
                )
        self.refilled_at = now

    def _update_pace(self, seconds: float) -> None:
        """Update the pace after ``seconds`` in which large answers waited."""
        self.busy_seconds += seconds
        if self.busy_seconds < PACE_INTERVAL_SECONDS:
            return
        measured = self.busy_bytes / self.busy_seconds
        measured = min(max(measured, MIN_PACE_SHARE * self.rate), self.rate)
        self.bytes_per_second += PACE_WEIGHT * (
            measured - self.bytes_per_second
        )
        self.busy_seconds = 0.0
        self.busy_bytes = 0

    async def close(self) -> None:
        """Stop granting turns."""
        if self.grant_task is not None:
            self.grant_task.cancel()
            await asyncio.gather(self.grant_task, return_exceptions=True)


@attrs.define
class Transfer:
    """A large answer that is being sent.

    Examples
    ========

    >>> [len(part) for part in split_body(bytes(40000))]
    [16384, 16384, 7232]

    Parameters
    ==========

    uplink : Uplink
    rank : int
    left : int
        Bytes that have not been granted a turn yet.
    number : int
        Sequence number among the answers of this host.
    due : SendingLimits
    waited : float
        Seconds spent waiting for turns.
    """

    uplink: Uplink
    rank: int
    left: int
    due: SendingLimits = SendingLimits()
    number: int = attrs.field(init=False)
    waited: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.number = next(self.uplink.numbers)

    async def turn(self, size: int) -> None:
        """Wait for the turn of the next ``size`` bytes.

        The rest of the answer counts as expected during the wait only: its
        reader may never read on.
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
        """Send the rest before all other answers, even when late."""
        self.rank = STARTED_RANK
        self.due = SendingLimits()

    def rank_at(self, now: float) -> int:
        """Return the rank at which the rest waits for its turn.

        An answer that will be late yields to those that can be on time, and
        one that will miss its deadline to all others.
        """
        ends = now + self.left / self.uplink.bytes_per_second
        if ends > self.due.deadline:
            return EXPIRED_RANK_OFFSET + self.rank
        if ends > self.due.on_time:
            return LATE_RANK_OFFSET + self.rank
        return self.rank


def split_body(body: bytes) -> list[bytes]:
    """Split a body into parts that are each written in one turn."""
    return [
        body[start : start + TURN_BYTES]
        for start in range(0, len(body), TURN_BYTES)
    ]
