"""Streams of calls at a fixed rate, and their replies."""

import asyncio
import itertools
from collections import Counter
from typing import Final

import attrs

from tanagerbend_model import Ran, ResultCode, WorkClass
from tanagerbend_standins.caller import Caller, Reply

MS_PER_SECOND: Final = 1000
FULL_PERCENT: Final = 100
MAX_SHOWN_BYTES: Final = 100
LAG_SAMPLE_SECONDS: Final = 0.01
LAG_PERCENTILE: Final = 99


@attrs.frozen
class Tally:
    """Replies to one stream of calls.

    Parameters
    ==========

    work_class : WorkClass
    replies : tuple of Reply
    bodies : tuple of bytes
        Bodies of orders, in the sequence of the replies; else empty.
    """

    work_class: WorkClass
    replies: tuple[Reply, ...]
    bodies: tuple[bytes, ...] = ()

    @property
    def answered(self) -> int:
        """Number of calls with a complete answer of a backend server."""
        return sum(reply.is_answer for reply in self.replies)

    @property
    def in_target(self) -> int:
        """Number of calls answered within the target of their work class."""
        target_seconds = self.work_class.target_ms / MS_PER_SECOND
        return sum(
            reply.is_answer and reply.seconds <= target_seconds
            for reply in self.replies
        )

    @property
    def accepted(self) -> int:
        """Number of calls that were not refused as "not run"."""
        return sum(
            reply.is_answer or reply.ran is not Ran.NO for reply in self.replies
        )

    @property
    def interrupted(self) -> int:
        """Number of accepted calls whose answer did not arrive."""
        return self.accepted - self.answered

    @property
    def slowest_seconds(self) -> float:
        """Latency of the slowest answer; 0 if there is none."""
        latencies = [reply.seconds for reply in self.replies if reply.is_answer]
        return max(latencies, default=0)

    @property
    def unanswered_reasons(self) -> Counter[str]:
        """Number of unanswered calls by result code or exception."""
        return Counter(
            _failure_reason(reply)
            for reply in self.replies
            if not reply.is_answer
        )

    def without_host(self, host: str) -> 'Tally':
        """Return the tally without the calls through one entry daemon."""
        kept = tuple(
            reply for reply in self.replies if reply.entry_host != host
        )
        return Tally(self.work_class, kept)

    def __str__(self) -> str:
        return (
            f'{self.work_class.work}: {self.answered} of {len(self.replies)} '
            f'answered, {self.in_target} in target'
        )


def _failure_reason(reply: Reply) -> str:
    if reply.code > 0:
        return f'{ResultCode(reply.code).name}, ran {reply.ran.value}'
    return f'{reply.body[:MAX_SHOWN_BYTES]!r}, ran {reply.ran.value}'


def describe_unanswered(tallies: list[Tally]) -> str:
    """Return the reasons of the unanswered calls, with their counts."""
    reasons = Counter(
        reason
        for tally in tallies
        for reason in tally.unanswered_reasons.elements()
    )
    return '; '.join(
        f'{reasons[reason]} {reason}' for reason in sorted(reasons)
    )


def percent(part: int, whole: int) -> float:
    """Return a part in percent of a whole; 100 if the whole is 0.

    Examples
    ========

    >>> percent(99, 100), percent(0, 0)
    (99.0, 100.0)
    """
    return FULL_PERCENT * part / whole if whole else float(FULL_PERCENT)


class LoadGenerator:
    """Sends streams of calls through random daemons.

    Parameters
    ==========

    caller : Caller
    """

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.serial_numbers = itertools.count(1)
        self.loop_lags: list[float] = []

    async def send_stream(
        self,
        work_class: WorkClass,
        rate: float,
        seconds: float,
    ) -> Tally:
        """Send calls at a fixed rate without waiting for their answers.

        Parameters
        ==========

        work_class : WorkClass
        rate : float
            Calls per second.
        seconds : float
            Duration of the stream.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        bodies = []
        tasks = []
        for number in range(round(rate * seconds)):
            due = started_at + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            body = f'{work_class.work} {next(self.serial_numbers)}'.encode()
            bodies.append(body)
            tasks.append(asyncio.create_task(self.send(work_class, body)))
        replies = await asyncio.gather(*tasks)
        return Tally(
            work_class,
            tuple(replies),
            tuple(bodies) if work_class.order else (),
        )

    async def send(self, work_class: WorkClass, body: bytes) -> Reply:
        """Send one call or order of a work class."""
        if work_class.order:
            return await self.caller.place_order(
                work_class.service, work_class.path, body
            )
        return await self.caller.call(work_class.service, work_class.path)

    async def send_streams(
        self,
        rates: dict[WorkClass, float],
        seconds: float,
    ) -> dict[str, Tally]:
        """Send several streams concurrently; return tallies by work name."""
        lag_task = asyncio.create_task(self._sample_loop_lag())
        tallies = await asyncio.gather(
            *(
                self.send_stream(work_class, rates[work_class], seconds)
                for work_class in rates
            ),
        )
        lag_task.cancel()
        return {tally.work_class.work: tally for tally in tallies}

    async def _sample_loop_lag(self) -> None:
        """Sample the lag of this event loop, in seconds."""
        loop = asyncio.get_running_loop()
        self.loop_lags = []
        while True:
            due = loop.time() + LAG_SAMPLE_SECONDS
            await asyncio.sleep(LAG_SAMPLE_SECONDS)
            self.loop_lags.append(loop.time() - due)

    @property
    def loop_lag_ms(self) -> float:
        """99th percentile of the event loop lag, in milliseconds."""
        if not self.loop_lags:
            return 0.0
        index = len(self.loop_lags) * LAG_PERCENTILE // FULL_PERCENT
        return sorted(self.loop_lags)[index] * MS_PER_SECOND
