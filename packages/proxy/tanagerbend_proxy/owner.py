"""Owner side: hands a request to the instance on this host."""

import asyncio
import math
import socket
from typing import Final

import aiohttp
import attrs
from multidict import CIMultiDict

from tanagerbend_admission import ObjectiveQueue, ServiceTimes, Work
from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import BACKEND_TIME, QUEUE_TIME
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.exchange import Outgoing, make_socket, send
from tanagerbend_proxy.guard import LOST, InstanceGuard
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.loop_delay import LoopDelay
from tanagerbend_proxy.messages import (
    MILLISECONDS,
    Answer,
    Outcome,
    Placed,
    Request,
)
from tanagerbend_proxy.repeats import Repeats
from tanagerbend_proxy.suspicions import Suspicions
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_routing import (
    BudgetTerms,
    InstanceRegistry,
    LoadReport,
    Repeat,
    RetryAllowance,
    Run,
)

KILOBYTE: Final = 1024
OK: Final = 200
REDIRECTS: Final = 300
MISDIRECTED: Final = 421
# Kept back from the time of the instance, so that its answer, or the news
# that there is none, reaches the caller in time.
RETURN_SECONDS: Final = 0.01
# A process that lives on this host takes a connection within this time.
PROBE_SECONDS: Final = 0.25


# Refusals of requests that were not sent to the instance.
NOT_OFFERED: Final = frozenset(
    (
        ResultCode.INSTANCE_UNREACHABLE,
        ResultCode.REQUEST_CRASHES_BACKEND,
    ),
)
# Ends with which the entry daemon hears what is known against a request.
ACCUSED: Final = LOST | {ResultCode.REQUEST_CRASHES_BACKEND}


@attrs.define
class Owner:
    """Gives the slots of the instance on this host to requests.

    Parameters
    ==========

    address : str
        ``address:port`` of the instance.
    session : aiohttp.ClientSession
    queue : ObjectiveQueue
    names : HeaderNames
    recorder : Recorder
    registry : InstanceRegistry
    uplink : Uplink
        Over which the answers leave this host.
    budget : BudgetTerms
        Of the repeats that this daemon sends, and causes.
    suspicions : Suspicions
        Requests that end instances.
    is_leaving : bool
        Whether requests of other hosts are refused.
    sizes : ServiceTimes
        Bytes of the answers of each route, as their times are kept.
    delay : LoopDelay
        Of this daemon.
    """

    address: str
    session: aiohttp.ClientSession
    queue: ObjectiveQueue
    names: HeaderNames
    recorder: Recorder
    registry: InstanceRegistry
    uplink: Uplink
    budget: BudgetTerms
    suspicions: Suspicions
    is_leaving: bool = False
    sizes: ServiceTimes = attrs.field(factory=ServiceTimes)
    delay: LoopDelay = attrs.field(init=False)
    repeats: Repeats = attrs.field(init=False)
    guard: InstanceGuard = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.guard = InstanceGuard(self.suspicions, self.is_instance_down)
        self.delay = LoopDelay(self.recorder.timer)
        self.queue.departures.link = self.uplink
        self.forget_repeats()

    def forget_repeats(self) -> None:
        """Begin to count requests and repeats."""
        now = self.recorder.timer.now()
        allowance = RetryAllowance(self.budget, now)
        self.repeats = Repeats(allowance, self.registry, self.recorder)

    async def run(self, request: Request, placed: Placed) -> Outcome:
        """Wait for a slot and run the request once."""
        now = self.recorder.timer.now()
        deadline = now + placed.time_left
        work = Work(
            placed.route,
            placed.rank,
            now + placed.on_time,
            deadline - RETURN_SECONDS,
            self.sizes.mean(placed.route),
            self.sizes.deviation(placed.route),
        )
        self.suspicions.take(placed.evidence)
        refusal = self.suspicions.refuse(request)
        if refusal is not None:
            return self._told(request, Outcome(refusal))
        refusal = self.repeats.refuse(placed)
        if refusal is None:
            refusal = await self.queue.enter(work)
        if refusal is not None:
            return Outcome(refusal, self.report(placed.rank))
        if not self.registry.takes_work(placed.instance):
            self.queue.leave(work, 0.0, is_whole=False)
            reason = 'the instance left while the request waited'
            return Outcome(Refusal(ResultCode.DRAINING, reason))
        started = self.recorder.timer.now()
        self._record(QUEUE_TIME, placed, started - now)
        is_whole = False
        run = Run(placed.route, deadline, placed.repeated)
        try:
            with self.repeats.runs.hold(run, self.recorder.timer):
                end = await self.guard.run(
                    request,
                    placed,
                    deadline,
                    lambda left: self._send(request, placed, left),
                )
            is_whole = isinstance(end, Answer) and end.status < MISDIRECTED
        finally:
            seconds = self.recorder.timer.now() - started
            self.queue.leave(work, seconds, is_whole=is_whole)
        self._record(BACKEND_TIME, placed, seconds)
        self._learn_size(placed.route, end)
        is_offered = not (isinstance(end, Refusal) and end.code in NOT_OFFERED)
        report = self.report(placed.rank, seconds)
        return self._told(request, Outcome(end, report, is_offered))

    def _told(self, request: Request, outcome: Outcome) -> Outcome:
        """Add what is known against a request that ended an instance."""
        match outcome.end:
            case Refusal(code=code) if code in ACCUSED:
                evidence = self.suspicions.evidence(request)
                return attrs.evolve(outcome, evidence=evidence)
        return outcome

    async def is_instance_down(self) -> bool:
        """Return whether the instance refuses a connection."""
        host, _, port = self.address.rpartition(':')
        probe = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(probe, (host, int(port)))
        except ConnectionRefusedError:
            return True
        except OSError as error:
            # Tells neither that it lives nor that it ended.
            self.recorder.count('instance_probes_failed', type(error).__name__)
        finally:
            probe.close()
        return False

    def _learn_size(self, route: str, end: Answer | Refusal) -> None:
        match end:
            case Answer(body=body):
                now = self.recorder.timer.now()
                self.sizes.observe(route, len(body), now)

    def _record(self, name: str, placed: Placed, seconds: float) -> None:
        histograms = self.recorder.histograms
        histograms.record(name, placed.route, placed.rank, seconds)

    def free_slots(self) -> int:
        """Return the slots of the instance that nobody holds or waits for."""
        return self.queue.slots - self.queue.busy

    def report(self, rank: int, served: float = 0.0) -> LoadReport:
        """Return the load of the instance as a rank meets it."""
        busy = self.queue.busy_for(rank)
        waiting = [each.work for each in self.queue.waiting]
        sending = self.queue.departures.free_in(rank, waiting)
        per_kilobyte = KILOBYTE / self.uplink.pace
        return LoadReport(
            busy,
            self.queue.slots,
            served,
            sending,
            per_kilobyte,
            self.delay.of_request,
        )

    async def _send(
        self,
        request: Request,
        placed: Placed,
        time_left: float,
    ) -> Answer | Refusal:
        limit = time_left - RETURN_SECONDS
        if limit <= 0:
            reason = 'no time is left for the instance'
            return Refusal(ResultCode.DEADLINE_PASSED, reason)
        headers = CIMultiDict(request.headers)
        headers[self.names.expected_instance] = placed.instance
        headers[self.names.time_left] = str(int(limit * MILLISECONDS))
        end = await send(
            self.session,
            Outgoing(
                self.address,
                request.method,
                request.path,
                headers,
                request.body,
                limit,
                self.names.request_id,
                request.identifier,
                limit / 2 if placed.repeat is Repeat.FREELY else math.inf,
            ),
        )
        match end:
            case Answer():
                return self._check(request, end)
        return end

    def _check(self, request: Request, answer: Answer) -> Answer | Refusal:
        """Tell an answer of the instance from other bytes."""
        names = self.names
        named = answer.headers.get(names.request_id)
        is_own = named == request.identifier
        # On a kept connection it may be the refusal of an earlier request.
        is_fresh = is_own or (named is None and answer.is_first)
        if is_fresh and answer.status == MISDIRECTED:
            reason = 'another instance has the address'
            return Refusal(ResultCode.NO_INSTANCE, reason)
        if is_fresh and names.not_run in answer.headers:
            reason = f'instance did not run it, status {answer.status}'
            return Refusal(ResultCode.BACKEND_SHED_LOAD, reason)
        is_success = OK <= answer.status < REDIRECTS
        if is_own and (names.stamp in answer.headers or not is_success):
            return answer
        reason = f'status {answer.status} that is not for this request'
        return Refusal(ResultCode.ANSWER_CROSSED, reason, Ran.UNKNOWN)
