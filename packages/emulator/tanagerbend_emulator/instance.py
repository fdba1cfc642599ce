"""Instances of an emulated deployment, and the requests that they take."""

import asyncio
import functools
import random
from typing import TYPE_CHECKING, Final

import attrs
from multidict import CIMultiDict

from tanagerbend_emulator.loads import (
    Crashed,
    KindLoad,
    Load,
    Restart,
    ServiceLoad,
    Shedding,
    Slowness,
)
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Request
from tanagerbend_routing import ListedInstance

if TYPE_CHECKING:
    from tanagerbend_emulator.fleet import EmulatedEntry

HOST: Final = 'load.example'
OK: Final = 200
FAILED: Final = 500
OVER: Final = 504
KILOBYTE: Final = 1024
MAX_BODIES: Final = 64


@attrs.define(eq=False)
class EmulatedInstance:
    """Instance with slots, a short queue and a speed of its own.

    Parameters
    ==========

    listed : ListedInstance
    service : ServiceLoad
    load : Load
    random : random.Random
    speed : float
        Factor of the time that work takes.
    """

    listed: ListedInstance
    service: ServiceLoad
    load: Load
    random: random.Random
    speed: float
    entry: 'EmulatedEntry | None' = None
    waiting: int = 0
    runs: int = 0
    calls: int = 0
    down_until: float = 0.0
    running: set[asyncio.Timeout] = attrs.field(factory=set)
    # Those of requests that were lost with the instance.
    ended: set[asyncio.Timeout] = attrs.field(factory=set)
    slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.slots = asyncio.Semaphore(self.service.slots)

    async def run(self, request: Request, limit: float) -> Answer | Refusal:
        """Run a request within ``limit`` seconds."""
        now = asyncio.get_running_loop().time()
        if self.is_down:
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, 'is down')
        is_repeat = self.entry.fleet.arrivals.reach(
            self.service.name,
            request.identifier,
            now,
        )
        if self._is_shedding(now):
            return Refusal(ResultCode.BACKEND_SHED_LOAD, 'told to shed')
        if self.slots.locked() and self.waiting >= self.service.queue:
            if self.service.is_silent:
                await asyncio.sleep(limit)
                reason = 'a full instance does not answer'
                return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
            return Refusal(ResultCode.BACKEND_SHED_LOAD, 'queue is full')
        kind = self.load.kind(request.path.strip('/'))
        try:
            async with asyncio.timeout(limit) as scope:
                self.running.add(scope)
                return await self._work(kind, now + limit, is_repeat=is_repeat)
        except TimeoutError:
            return self._broken_off(scope)
        finally:
            self.running.discard(scope)
            self.ended.discard(scope)

    def _broken_off(self, scope: asyncio.Timeout) -> Answer | Refusal:
        """Return the end of a request that was not finished."""
        if scope in self.ended:
            reason = 'the instance ended'
            return Refusal(ResultCode.CONNECTION_LOST, reason, Ran.UNKNOWN)
        return Answer(OVER, CIMultiDict(), b'')

    @property
    def is_down(self) -> bool:
        """Whether the instance has ended and not started again."""
        return asyncio.get_running_loop().time() < self.down_until

    def crash(self) -> None:
        """End, with all requests that run or wait."""
        now = asyncio.get_running_loop().time()
        self.down_until = now + self.service.down
        for scope in self.running:
            if not scope.expired():
                self.ended.add(scope)
                scope.reschedule(now)

    async def _work(
        self,
        kind: KindLoad,
        until: float,
        *,
        is_repeat: bool,
    ) -> Answer:
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.runs += 1
        if kind.is_crashing:
            self.entry.fleet.ended_by(kind.name)
            self.crash()
        try:
            await asyncio.sleep(self._seconds(kind) / 2)
            for name in kind.calls:
                if not await self._call(name, until, is_repeat=is_repeat):
                    return Answer(FAILED, CIMultiDict(), b'')
            await asyncio.sleep(self._seconds(kind) / 2)
        finally:
            self.slots.release()
        kilobytes = kind.draw_kilobytes(self.random)
        return Answer(OK, CIMultiDict(), body_of(kilobytes))

    def _seconds(self, kind: KindLoad) -> float:
        now = asyncio.get_running_loop().time()
        seconds = kind.work * self.speed
        for slow in self.load.slowness:
            if self._is_hit(slow, now):
                seconds *= slow.factor
        return seconds * self.random.lognormvariate(0, kind.work_spread)

    def _is_shedding(self, now: float) -> bool:
        return any(
            self._is_hit(shedding, now)
            and self.random.random() < shedding.share
            for shedding in self.load.shedding
        )

    def _is_hit(self, trouble: Slowness | Shedding, now: float) -> bool:
        return self.is_among(trouble) and trouble.begin <= now < trouble.end

    def is_among(
        self,
        trouble: Slowness | Shedding | Restart | Crashed,
    ) -> bool:
        """Return whether this is one of the instances of a trouble."""
        number = int(self.listed.identity.rpartition('-')[2])
        is_hit = trouble.service == self.service.name
        return is_hit and number < trouble.instances

    async def _call(self, name: str, until: float, *, is_repeat: bool) -> bool:
        left = until - asyncio.get_running_loop().time()
        left = min(left, self.load.kind(name).deadline)
        self.calls += 1
        identifier = f'{self.listed.identity}.{self.calls}'
        self.entry.fleet.arrivals.called(identifier, is_repeat=is_repeat)
        end = await self.entry.handle(make_request(identifier, name, left))
        match end:
            case Answer(status=status):
                return status == OK
        return False


@functools.lru_cache(maxsize=MAX_BODIES)
def body_of(kilobytes: float) -> bytes:
    """Return a body of a size."""
    return bytes(int(kilobytes * KILOBYTE))


def make_request(
    identifier: str,
    kind: str,
    time_left: float,
    body: bytes = b'',
) -> Request:
    """Return a request of a kind; ``time_left`` in seconds."""
    return Request(
        identifier,
        'GET',
        HOST,
        f'/{kind}/',
        CIMultiDict(),
        body,
        time_left,
        asyncio.get_running_loop().time(),
    )
