"""Guards the instance on this host against requests that end it.

The load it answers: instances that end while they run several requests, one
of which may be the reason, and which come again.  Suspects don't run beside
each other, and a strong suspect runs alone, so that a crash tells which of
them it was and costs few others.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.suspicions import Suspicions, convicted
from tanagerbend_quarantine import (
    Company,
    Crash,
    Flight,
    Flights,
    SoloGate,
    Verdict,
)

# The connections of a process that ended are reset together; after this
# time those of its other requests tell whether it lives.
SETTLE_SECONDS: Final = 0.02
# Ends without an answer that an instance which ended may have caused.
LOST: Final = frozenset(
    (ResultCode.CONNECTION_LOST, ResultCode.ANSWER_TRUNCATED),
)
End = Answer | Refusal


@attrs.define(eq=False)
class InstanceGuard:
    """Lets requests to the instance, and notes under which it ends.

    Parameters
    ==========

    suspicions : Suspicions
    is_down : callable
        Returns whether the instance refuses connections.
    """

    suspicions: Suspicions
    is_down: Callable[[], Awaitable[bool]]
    gate: SoloGate = attrs.field(factory=SoloGate)
    flights: Flights = attrs.field(init=False)
    lost: set[Flight] = attrs.field(factory=set)
    checking: 'asyncio.Task[None] | None' = None

    def __attrs_post_init__(self) -> None:
        self.flights = Flights(self.suspicions.cases.timer)

    async def run(
        self,
        request: Request,
        placed: Placed,
        deadline: float,
        send: Callable[[float], Awaitable[End]],
    ) -> End:
        """Run a request in the company that it may have.

        ``deadline`` is in monotonic seconds, ``send`` takes the seconds
        that are left.
        """
        cases = self.suspicions.cases
        name = self.suspicions.name(request)
        company = cases.company(name)
        if not await self._enter(company, deadline - cases.timer.now()):
            reason = 'no time is left after the requests beside it'
            return Refusal(ResultCode.DEADLINE_PASSED, reason)
        try:
            if cases.verdict(name) is Verdict.CONVICTED:
                return convicted(name, cases.case(name))
            flight = Flight(name, deadline, self._is_alone(company))
            return await self._fly(flight, placed.instance, send)
        finally:
            self.gate.leave(company)

    def _is_alone(self, company: Company) -> bool:
        """Return whether a crash would be that of the request which enters.

        What was given up may still run; if it is clear, a request that has
        been in two crashes is far more likely to be the reason.
        """
        cases = self.suspicions.cases
        return company is Company.NOBODY and all(
            cases.verdict(flight.fingerprint) is Verdict.CLEAR
            for flight in self.flights.at_risk()
        )

    async def _enter(self, company: Company, seconds: float) -> bool:
        """Wait for the gate; return whether the request is inside."""
        if self.gate.enter_at_once(company):
            return True
        try:
            async with asyncio.timeout(seconds):
                await self.gate.enter(company)
        except TimeoutError:
            return False
        return True

    async def _fly(
        self,
        flight: Flight,
        instance: str,
        send: Callable[[float], Awaitable[End]],
    ) -> End:
        cases = self.suspicions.cases
        self.flights.begin(flight)
        try:
            end = await send(flight.ends - cases.timer.now())
            match end:
                case Answer():
                    self.flights.end(flight)
                    cases.succeeded(flight.fingerprint)
                case Refusal(ran=Ran.NO):
                    self.flights.end(flight)
                case Refusal(code=code) if code in LOST:
                    await self._check(flight, instance)
            return end
        finally:
            if flight in self.flights.flying:
                self.flights.give_up(flight)

    async def _check(self, flight: Flight, instance: str) -> None:
        """Find out whether a request was lost with the instance."""
        if flight not in self.flights.flying:
            # Charged already with the others of the same end.
            return
        self.lost.add(flight)
        if self.checking is None:
            self.checking = asyncio.create_task(self._find_crash(instance))
            self.checking.add_done_callback(self._checked)
        await asyncio.shield(self.checking)

    def _checked(self, _task: 'asyncio.Task[None]') -> None:
        self.checking = None
        self.lost.clear()

    async def _find_crash(self, instance: str) -> None:
        await self.suspicions.cases.timer.sleep(SETTLE_SECONDS)
        is_alive = self.flights.flying.keys() - self.lost
        if is_alive or not await self.is_down():
            return
        self._crashed(instance)

    def _crashed(self, instance: str) -> None:
        cases = self.suspicions.cases
        crash = Crash(instance, cases.timer.wall())
        alone = [
            flight.fingerprint
            for flight in self.flights.flying
            if flight.is_alone
        ]
        names = self.flights.crashed()
        changed = cases.crashed(alone, attrs.evolve(crash, is_alone=True))
        others = [name for name in names if name not in alone]
        changed += cases.crashed(others, crash)
        cases.recorder.count('instance_crashes')
        self.suspicions.log.write(
            'instance_crashed',
            instance=instance,
            in_flight=len(names),
            suspects=[name.hex() for name in changed],
            is_alone=bool(alone),
        )
        # Others hear of a suspect when its entry daemon gives it up.
        known = [
            name for name in changed if cases.verdict(name) is Verdict.CONVICTED
        ]
        if known:
            self.suspicions.spread(known)
