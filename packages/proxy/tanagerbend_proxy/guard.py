"""Guards the instance on this host against requests that crash it.

An instance may crash while it runs several requests, any of which may be the
cause and may be repeated.  Suspects therefore do not run concurrently, and a
suspect of several crashes runs alone, so that a crash identifies its cause
and loses few other requests.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tanagerbend_daemon.connections import start_always
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.start_waits import Question, StartWaits
from tanagerbend_proxy.suspicions import Suspicions, conviction_refusal
from tanagerbend_quarantine import (
    AbandonedWatch,
    Crash,
    InFlightRequest,
    InFlightRequests,
    InstanceProcess,
    Isolation,
    IsolationGate,
    Verdict,
)

# The connections of a crashed process are reset together.  A request that
# still has its connection after this time shows that the process is alive.
SETTLE_SECONDS: Final = 0.02
# Result codes that a crash of the instance may have caused.
CONNECTION_LOST_CODES: Final = frozenset(
    (ResultCode.CONNECTION_LOST, ResultCode.ANSWER_TRUNCATED),
)
End = Answer | Refusal


@attrs.define(eq=False)
class InstanceGuard:
    """Admits requests to the instance and attributes its crashes to them.

    Parameters
    ==========

    suspicions : Suspicions
    process : InstanceProcess
    waits : StartWaits
        Requests that wait at the gate, and others that wait to start.

    Attributes
    ==========

    gate : IsolationGate
    flights : InFlightRequests
        Requests that the instance may be running.
    watch : AbandonedWatch
    lost : set of InFlightRequest
        Requests whose connection was lost, during a crash check.
    crash_check : asyncio.Task or None
        The crash check that is running.
    """

    suspicions: Suspicions
    process: InstanceProcess
    waits: StartWaits = attrs.field(factory=StartWaits)
    gate: IsolationGate = attrs.field(factory=IsolationGate)
    flights: InFlightRequests = attrs.field(init=False)
    watch: AbandonedWatch = attrs.field(init=False)
    instance: str = ''
    lost: set[InFlightRequest] = attrs.field(factory=set)
    crash_check: 'asyncio.Task[None] | None' = None

    def __attrs_post_init__(self) -> None:
        self.flights = InFlightRequests(self.suspicions.cases.timer)
        self.watch = AbandonedWatch(
            self.flights,
            self.process,
            self._check_once,
            self._record_survival,
            self._log_watch_error,
        )

    async def run(
        self,
        request: Request,
        placed: Placed,
        deadline: float,
        send: Callable[[float], Awaitable[End]],
        refuse_wait: Question = start_always,
    ) -> End:
        """Run a request once no excluded request runs beside it.

        ``deadline`` is in monotonic seconds; ``send`` takes the seconds
        that are left; ``refuse_wait`` returns why the request may not wait
        for others any more, else None.
        """
        cases = self.suspicions.cases
        fingerprint = self.suspicions.request_fingerprint(request)
        isolation = cases.isolation(fingerprint)
        refusal = await self._enter(
            isolation,
            deadline - cases.timer.now(),
            lambda: self._refuse_convicted(fingerprint) or refuse_wait(),
        )
        if refusal is not None:
            return refusal
        try:
            refusal = self._refuse_convicted(fingerprint)
            if refusal is not None:
                return refusal
            in_flight = InFlightRequest(
                fingerprint, deadline, self._is_alone(isolation)
            )
            return await self._run_tracked(in_flight, placed.instance, send)
        finally:
            self.gate.leave(isolation)

    def _is_alone(self, isolation: Isolation) -> bool:
        """Return whether a crash can be attributed to the admitted request.

        Abandoned requests may still run.  If they are clear, a request that
        was in two crashes is far more likely to be the cause.
        """
        cases = self.suspicions.cases
        return isolation is Isolation.EXCLUSIVE and all(
            cases.verdict(in_flight.fingerprint) is Verdict.CLEAR
            for in_flight in self.flights.at_risk()
        )

    def _refuse_convicted(self, fingerprint: bytes) -> Refusal | None:
        cases = self.suspicions.cases
        if cases.verdict(fingerprint) is not Verdict.CONVICTED:
            return None
        return conviction_refusal(fingerprint, cases.case(fingerprint))

    async def _enter(
        self, isolation: Isolation, seconds: float, refuse: Question
    ) -> Refusal | None:
        """Wait at the gate; return None once the request was admitted."""
        if self.gate.try_enter(isolation):
            return None
        refusal = refuse()
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout(seconds):
                return await self.waits.enter(
                    self.gate.enter(isolation), refuse
                )
        except TimeoutError:
            reason = 'deadline passed while waiting for other requests to end'
            return Refusal(ResultCode.DEADLINE_PASSED, reason)

    async def _run_tracked(
        self,
        in_flight: InFlightRequest,
        instance: str,
        send: Callable[[float], Awaitable[End]],
    ) -> End:
        cases = self.suspicions.cases
        self.instance = instance
        self.flights.begin(in_flight)
        try:
            end = await send(in_flight.deadline - cases.timer.now())
            match end:
                case Answer():
                    self.flights.end(in_flight)
                    cases.record_success(in_flight.fingerprint)
                case Refusal(ran=Ran.NO):
                    self.flights.end(in_flight)
                case Refusal(code=code) if code in CONNECTION_LOST_CODES:
                    await self._check_for_crash(in_flight)
            return end
        finally:
            if in_flight in self.flights.active:
                self.flights.abandon(in_flight)
                self.watch.begin()

    async def _check_for_crash(self, in_flight: InFlightRequest) -> None:
        """Check whether a request was lost in a crash of the instance."""
        if in_flight not in self.flights.active:
            # Attributed already, with the other requests of the same crash.
            return
        self.lost.add(in_flight)
        await self._check_once()

    async def _check_once(self) -> None:
        """Check for a crash, together with others that ask meanwhile."""
        if self.crash_check is None:
            self.crash_check = asyncio.create_task(self._detect_crash())
            self.crash_check.add_done_callback(self._finish_check)
        await asyncio.shield(self.crash_check)

    def _finish_check(self, _task: 'asyncio.Task[None]') -> None:
        self.crash_check = None
        self.lost.clear()

    async def _detect_crash(self) -> None:
        await self.suspicions.cases.timer.sleep(SETTLE_SECONDS)
        alive = self.flights.active.keys() - self.lost
        if alive or not await self.process.is_down():
            return
        self._record_crash()

    def _record_crash(self) -> None:
        cases = self.suspicions.cases
        crash = Crash(self.instance, cases.timer.wall())
        alone = [
            in_flight.fingerprint
            for in_flight in self.flights.active
            if in_flight.is_alone
        ]
        abandoned = {
            in_flight.fingerprint
            for in_flight in self.flights.recently_abandoned
        }
        suspects = self.flights.remove_all_at_crash()
        changed = cases.record_crash(alone, attrs.evolve(crash, is_alone=True))
        others = [
            in_flight.fingerprint
            for in_flight in suspects
            if in_flight.fingerprint not in alone
        ]
        changed += cases.record_crash(others, crash)
        cases.recorder.count('instance_crashes')
        self.suspicions.log.write(
            'instance_crashed',
            instance=self.instance,
            in_flight=len(suspects),
            abandoned=len(abandoned),
            suspects=[fingerprint.hex() for fingerprint in changed],
            is_alone=bool(alone),
        )
        # The entry daemon spreads suspects when it gives them up, but it no
        # longer waits for those that were abandoned.
        told = [
            fingerprint
            for fingerprint in changed
            if fingerprint in abandoned
            or cases.verdict(fingerprint) is Verdict.CONVICTED
        ]
        if told:
            self.suspicions.spread(told)

    def _record_survival(self, survived: list[InFlightRequest]) -> None:
        cases = self.suspicions.cases
        changed = [
            in_flight.fingerprint
            for in_flight in survived
            if cases.record_survival(in_flight.fingerprint)
        ]
        if changed:
            cases.recorder.count('crashes_outweighed', amount=len(changed))
            self.suspicions.spread(changed)

    def _log_watch_error(self, error: BaseException) -> None:
        self.suspicions.cases.recorder.count('instance_watch_failed')
        reason = f'{type(error).__name__}: {error}'
        self.suspicions.log.write('instance_watch_failed', reason=reason)
