"""Emulated instances and the requests that they process."""

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
from tanagerbend_quarantine import ProcessState
from tanagerbend_routing import ListedInstance

if TYPE_CHECKING:
    from tanagerbend_emulator.fleet import EmulatedEntry

HOST: Final = 'load.example'
STATUS_OK: Final = 200
STATUS_ERROR: Final = 500
STATUS_TIMEOUT: Final = 504
BYTES_PER_KILOBYTE: Final = 1024
MAX_CACHED_BODIES: Final = 64


@attrs.define(eq=False)
class EmulatedInstance:
    """Instance with slots, a bounded queue and an individual speed.

    Parameters
    ==========

    listed : ListedInstance
    service : ServiceLoad
    load : Load
    random : random.Random
    speed : float
        Factor by which processing times are multiplied.
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
    # Timeouts of running requests that were lost in a crash.
    lost: set[asyncio.Timeout] = attrs.field(factory=set)
    # Set at the next crash.
    crashed: asyncio.Event = attrs.field(factory=asyncio.Event)
    slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.slots = asyncio.Semaphore(self.service.slots)

    async def run(
        self, request: Request, max_seconds: float
    ) -> Answer | Refusal:
        """Run a request within ``max_seconds`` seconds."""
        now = asyncio.get_running_loop().time()
        if self.is_down:
            return Refusal(
                ResultCode.INSTANCE_UNREACHABLE, 'the instance is down'
            )
        is_repeat = self.entry.fleet.arrivals.record_arrival(
            self.service.name,
            request.identifier,
            now,
        )
        if self._is_shedding(now):
            return Refusal(
                ResultCode.BACKEND_SHED_LOAD, 'the instance sheds load'
            )
        if self.slots.locked() and self.waiting >= self.service.queue:
            if self.service.is_silent:
                await asyncio.sleep(max_seconds)
                reason = 'the queue is full and the instance does not answer'
                return Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
            return Refusal(ResultCode.BACKEND_SHED_LOAD, 'the queue is full')
        kind = self.load.kind(request.path.strip('/'))
        try:
            async with asyncio.timeout(max_seconds) as timeout:
                self.running.add(timeout)
                return await self._process(
                    kind, now + max_seconds, is_repeat=is_repeat
                )
        except TimeoutError:
            return self._interrupted_result(timeout)
        finally:
            self.running.discard(timeout)
            self.lost.discard(timeout)

    def _interrupted_result(self, timeout: asyncio.Timeout) -> Answer | Refusal:
        """Return the result of a request that timed out or was lost."""
        if timeout in self.lost:
            reason = 'the instance crashed'
            return Refusal(ResultCode.CONNECTION_LOST, reason, Ran.UNKNOWN)
        return Answer(STATUS_TIMEOUT, CIMultiDict(), b'')

    @property
    def is_down(self) -> bool:
        """Whether the instance has crashed and not restarted yet."""
        return asyncio.get_running_loop().time() < self.down_until

    def crash(self) -> None:
        """Crash; all running and waiting requests are lost."""
        now = asyncio.get_running_loop().time()
        self.down_until = now + self.service.down
        self.crashed.set()
        self.crashed = asyncio.Event()
        for timeout in self.running:
            if not timeout.expired():
                self.lost.add(timeout)
                timeout.reschedule(now)

    async def _process(
        self,
        kind: KindLoad,
        deadline_at: float,
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
            self.entry.fleet.record_crash(kind.name)
            self.crash()
        try:
            await asyncio.sleep(self._draw_seconds(kind) / 2)
            for name in kind.calls:
                if not await self._call(name, deadline_at, is_repeat=is_repeat):
                    return Answer(STATUS_ERROR, CIMultiDict(), b'')
            await asyncio.sleep(self._draw_seconds(kind) / 2)
        finally:
            self.slots.release()
        kilobytes = kind.draw_kilobytes(self.random)
        return Answer(STATUS_OK, CIMultiDict(), make_body(kilobytes))

    def _draw_seconds(self, kind: KindLoad) -> float:
        now = asyncio.get_running_loop().time()
        seconds = kind.work * self.speed
        for slowness in self.load.slowness:
            if self._is_affected(slowness, now):
                seconds *= slowness.factor
        return seconds * self.random.lognormvariate(0, kind.work_spread)

    def _is_shedding(self, now: float) -> bool:
        return any(
            self._is_affected(shedding, now)
            and self.random.random() < shedding.share
            for shedding in self.load.shedding
        )

    def _is_affected(self, fault: Slowness | Shedding, now: float) -> bool:
        return self.is_affected_by(fault) and fault.begin <= now < fault.end

    def is_affected_by(
        self,
        fault: Slowness | Shedding | Restart | Crashed,
    ) -> bool:
        """Return whether a fault applies to this instance."""
        number = int(self.listed.identity.rpartition('-')[2])
        is_same_service = fault.service == self.service.name
        return is_same_service and number < fault.instances

    async def _call(
        self, name: str, deadline_at: float, *, is_repeat: bool
    ) -> bool:
        time_left = deadline_at - asyncio.get_running_loop().time()
        time_left = min(time_left, self.load.kind(name).deadline)
        self.calls += 1
        identifier = f'{self.listed.identity}.{self.calls}'
        self.entry.fleet.arrivals.record_call(identifier, is_repeat=is_repeat)
        result = await self.entry.handle(
            make_request(identifier, name, time_left)
        )
        match result:
            case Answer(status=status):
                return status == STATUS_OK
        return False


@attrs.frozen
class EmulatedProcess:
    """Tells whether the process of an emulated instance runs."""

    instance: EmulatedInstance

    async def wait(self, seconds: float) -> ProcessState:
        """Wait until the instance crashes, at most ``seconds``."""
        if self.instance.is_down:
            return ProcessState.UNKNOWN
        try:
            async with asyncio.timeout(seconds):
                await self.instance.crashed.wait()
        except TimeoutError:
            return ProcessState.RUNNING
        return ProcessState.UNKNOWN

    async def is_down(self) -> bool:
        """Return whether the instance is down."""
        return self.instance.is_down

    def close(self) -> None:
        """Close no connection."""


@functools.lru_cache(maxsize=MAX_CACHED_BODIES)
def make_body(kilobytes: float) -> bytes:
    """Return a cached body of the given size."""
    return bytes(int(kilobytes * BYTES_PER_KILOBYTE))


def make_request(
    identifier: str,
    kind: str,
    time_left: float,
    body: bytes = b'',
) -> Request:
    """Return a request of a kind that is due in ``time_left`` seconds."""
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
