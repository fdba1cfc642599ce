"""Streams of calls at a fixed rate and what became of them."""

import asyncio
import itertools
from collections import Counter
from typing import Final

import attrs

from tanagerbend_model import Ran, ResultCode, WorkClass
from tanagerbend_standins.caller import Caller, Reply

MILLISECONDS: Final = 1000
FULL_PERCENT: Final = 100
SHOWN_BYTES: Final = 100
WATCH_SECONDS: Final = 0.01
SLOW_PERCENT: Final = 99


@attrs.frozen
class Tally:
    """Replies to one stream of calls.

    Parameters
    ==========

    work : WorkClass
    replies : tuple of Reply
    bodies : tuple of bytes
        Of orders, in the order of the replies; else empty.
    """

    work: WorkClass
    replies: tuple[Reply, ...]
    bodies: tuple[bytes, ...] = ()

    @property
    def answered(self) -> int:
        """Calls with a whole answer of a backend server."""
        return sum(reply.is_answer for reply in self.replies)

    @property
    def in_target(self) -> int:
        """Calls answered within the target of their work class."""
        target = self.work.target_ms / MILLISECONDS
        return sum(
            reply.is_answer and reply.seconds <= target
            for reply in self.replies
        )

    @property
    def accepted(self) -> int:
        """Calls that were not refused as "not run"."""
        return sum(
            reply.is_answer or reply.ran is not Ran.NO for reply in self.replies
        )

    @property
    def interrupted(self) -> int:
        """Calls begun whose answer did not arrive."""
        return self.accepted - self.answered

    @property
    def slowest(self) -> float:
        """Seconds of the slowest answer; 0 if there is none."""
        answers = [one.seconds for one in self.replies if one.is_answer]
        return max(answers, default=0)

    @property
    def unanswered(self) -> Counter[str]:
        """What the other calls got: a result code or an exception."""
        return Counter(
            _name_of(reply) for reply in self.replies if not reply.is_answer
        )

    def without(self, host: str) -> 'Tally':
        """Return the tally without calls through one entry daemon."""
        kept = tuple(reply for reply in self.replies if reply.via != host)
        return Tally(self.work, kept)

    def __str__(self) -> str:
        return (
            f'{self.work.work}: {self.answered} of {len(self.replies)} '
            f'answered, {self.in_target} in target'
        )


def _name_of(reply: Reply) -> str:
    if reply.code > 0:
        return f'{ResultCode(reply.code).name}, ran {reply.ran.value}'
    return f'{reply.body[:SHOWN_BYTES]!r}, ran {reply.ran.value}'


def unanswered(tallies: list[Tally]) -> str:
    """Describe the calls of several tallies that were not answered."""
    names = Counter(
        name for tally in tallies for name in tally.unanswered.elements()
    )
    return '; '.join(f'{names[name]} {name}' for name in sorted(names))


def percent(part: int, whole: int) -> float:
    """Return a share in percent; 100 of nothing.

    Examples
    ========

    >>> percent(99, 100), percent(0, 0)
    (99.0, 100.0)
    """
    return FULL_PERCENT * part / whole if whole else float(FULL_PERCENT)


class Load:
    """Sends streams of calls through random daemons.

    Parameters
    ==========

    caller : Caller
    """

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.serial = itertools.count(1)
        self.lags: list[float] = []

    async def stream(
        self,
        work: WorkClass,
        rate: float,
        seconds: float,
    ) -> Tally:
        """Send calls at a rate, whether or not they are answered.

        Parameters
        ==========

        work : WorkClass
        rate : float
            Calls per second.
        seconds : float
        """
        loop = asyncio.get_running_loop()
        begun = loop.time()
        bodies = []
        tasks = []
        for number in range(round(rate * seconds)):
            due = begun + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            body = f'{work.work} {next(self.serial)}'.encode()
            bodies.append(body)
            tasks.append(asyncio.create_task(self.send(work, body)))
        replies = await asyncio.gather(*tasks)
        return Tally(work, tuple(replies), tuple(bodies) if work.order else ())

    async def send(self, work: WorkClass, body: bytes) -> Reply:
        """Send one call or order of a work class."""
        if work.order:
            return await self.caller.order(work.service, work.path, body)
        return await self.caller.call(work.service, work.path)

    async def streams(
        self,
        rates: dict[WorkClass, float],
        seconds: float,
    ) -> dict[str, Tally]:
        """Send several streams at once; the tallies by name of the work."""
        watch = asyncio.create_task(self._watch())
        tallies = await asyncio.gather(
            *(self.stream(work, rates[work], seconds) for work in rates),
        )
        watch.cancel()
        return {tally.work.work: tally for tally in tallies}

    async def _watch(self) -> None:
        """Measure how late this process itself is, in seconds."""
        loop = asyncio.get_running_loop()
        self.lags = []
        while True:
            due = loop.time() + WATCH_SECONDS
            await asyncio.sleep(WATCH_SECONDS)
            self.lags.append(loop.time() - due)

    @property
    def own_lag_ms(self) -> float:
        """99th percentile of how late this process was, in milliseconds."""
        if not self.lags:
            return 0.0
        position = len(self.lags) * SLOW_PERCENT // FULL_PERCENT
        return sorted(self.lags)[position] * MILLISECONDS
