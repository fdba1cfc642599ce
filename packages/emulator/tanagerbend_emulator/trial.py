"""Simulation of a load under a policy: callers and their results."""

import asyncio
import random
from collections import Counter
from typing import Final

import attrs

from tanagerbend_emulator.fleet import EmulatedEntry, EmulatedFleet
from tanagerbend_emulator.instance import STATUS_OK, make_request
from tanagerbend_emulator.loads import (
    Crashed,
    Flood,
    KindLoad,
    Load,
    Restart,
)
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.virtual import run_virtual
from tanagerbend_metrics.names import CALLS_OF_REPEATED_RUNS
from tanagerbend_model import Ran
from tanagerbend_proxy.messages import Answer

WINDOW_SECONDS: Final = 2.0
# Callers wait before a retry for at most the time left divided by this.
MAX_WAIT_DIVISOR: Final = 3.0
ON_TIME: Final = 'on time'
LATE: Final = 'late'
REFUSED: Final = 'refused'
FAILED: Final = 'failed'


@attrs.define
class GroupTally:
    """Outcomes of the requests of one group, and their worth."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    earned: float = 0.0
    max_worth: float = 0.0

    def add(self, outcome: str, kind: KindLoad) -> None:
        """Count a request by its outcome."""
        worth = {ON_TIME: kind.worth, LATE: kind.worth_late}
        self.outcomes[outcome] += 1
        self.earned += worth.get(outcome, 0.0)
        self.max_worth += kind.worth

    @property
    def worth(self) -> float:
        """Earned share of the largest possible worth; 1 without any."""
        return self.earned / self.max_worth if self.max_worth else 1.0


@attrs.frozen
class Attempt:
    """Outcome of an attempt, seconds to a retry, and bytes of the body."""

    outcome: str
    wait: float = 0.0
    size: int = 0


@attrs.frozen
class CompletedRequest:
    """Completed request; times in seconds since the start of the load.

    Parameters
    ==========

    kind : str
    started_at, finished_at : float
    outcome : str
    size : int
        Bytes of the body that the caller received.
    max_refusal_seconds : float
        Duration of the longest attempt that was refused.
    """

    kind: str
    started_at: float
    finished_at: float
    outcome: str
    size: int
    max_refusal_seconds: float


@attrs.define
class TrialResult:
    """Results of the requests of a simulated load.

    Parameters
    ==========

    total : GroupTally
    kinds, domains, ranks : dict of str to GroupTally
    windows : dict of int to GroupTally
        By number of the two-second window in which a request was sent first.
    refused_retries : int
        Retries after a refusal that were refused as well.
    requests : list of CompletedRequest
        In order of completion.
    bytes_sent : float
        Bytes sent over all links, without packet overhead.
    budget_excess : dict of str to int
        Largest excess of repeats over the budget in any window, by
        service; negative if no window exceeds the budget.
    caused_repeats, counted_caused_repeats : int
        Calls made by repeated runs that reached an instance, and the
        number of them that the daemons counted.
    crash_times : dict of str to list of float
        Seconds at which requests crashed the instance that ran them, by
        kind.
    codes : Counter of tuple of str
        Refusals that callers received, by kind and result code.
    crash_messages : int
        Messages about crashes between daemons.
    """

    total: GroupTally = attrs.field(factory=GroupTally)
    kinds: dict[str, GroupTally] = attrs.field(factory=dict)
    domains: dict[str, GroupTally] = attrs.field(factory=dict)
    ranks: dict[str, GroupTally] = attrs.field(factory=dict)
    windows: dict[int, GroupTally] = attrs.field(factory=dict)
    refused_retries: int = 0
    requests: list[CompletedRequest] = attrs.field(factory=list)
    bytes_sent: float = 0.0
    budget_excess: dict[str, int] = attrs.field(factory=dict)
    caused_repeats: int = 0
    counted_caused_repeats: int = 0
    crash_times: dict[str, list[float]] = attrs.field(factory=dict)
    codes: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    crash_messages: int = 0

    def add(
        self, kind: KindLoad, domain: str, sent: float, outcome: str
    ) -> None:
        """Count a request in all of its groups."""
        window = int(sent // WINDOW_SECONDS)
        for tally in (
            self.total,
            self.kinds.setdefault(kind.name, GroupTally()),
            self.domains.setdefault(domain, GroupTally()),
            self.ranks.setdefault(str(kind.rank), GroupTally()),
            self.windows.setdefault(window, GroupTally()),
        ):
            tally.add(outcome, kind)

    @property
    def worst_windows_worth(self) -> float:
        """Mean worth of the two windows with the lowest worth."""
        worst = sorted(tally.worth for tally in self.windows.values())[:2]
        return sum(worst) / max(len(worst), 1)


def simulate(load: Load, policy: str, seed: int) -> TrialResult:
    """Simulate a load under a policy; equal seeds give equal results."""
    return run_virtual(_simulate(load, policy, seed))


async def _simulate(load: Load, policy: str, seed: int) -> TrialResult:
    # The generators of arrivals are separate from that of the fleet, so
    # that arrivals do not depend on the policy.
    fleet = EmulatedFleet(load, POLICIES[policy], random.Random(seed))
    result = TrialResult()
    async with asyncio.TaskGroup() as group:
        for number, kind in enumerate(load.kinds):
            callers = Callers(load, fleet, result, kind)
            rng = random.Random(f'{seed}.{number}')
            group.create_task(callers.generate_requests(rng, group))
        for restart in load.restarts:
            group.create_task(_restart(fleet, restart))
        for crashed in load.crashed:
            group.create_task(_crash(fleet, crashed))
        if load.has_crashes:
            group.create_task(_exchange_crash_cases(fleet))
    result.budget_excess = fleet.arrivals.budget_excess(load.budget)
    result.caused_repeats = fleet.arrivals.caused_repeats
    result.crash_times = fleet.crash_times
    result.crash_messages = fleet.crash_messages
    result.counted_caused_repeats = fleet.recorder.counters.total(
        CALLS_OF_REPEATED_RUNS
    )
    result.bytes_sent = sum(link.bytes_sent for link in fleet.links.values())
    await asyncio.gather(*(link.close() for link in fleet.links.values()))
    return result


async def _restart(fleet: EmulatedFleet, restart: Restart) -> None:
    await asyncio.sleep(restart.at)
    fleet.restart(restart)


async def _crash(fleet: EmulatedFleet, crashed: Crashed) -> None:
    await asyncio.sleep(crashed.at)
    fleet.crash(crashed)


async def _exchange_crash_cases(fleet: EmulatedFleet) -> None:
    tasks = [
        asyncio.ensure_future(exchange.run())
        for exchange in fleet.crash_exchanges.values()
    ]
    await asyncio.sleep(fleet.load.seconds)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


@attrs.define(eq=False)
class Callers:
    """Callers of one kind of request."""

    load: Load
    fleet: EmulatedFleet
    result: TrialResult
    kind: KindLoad
    number: int = 0

    async def generate_requests(
        self,
        rng: random.Random,
        group: asyncio.TaskGroup,
    ) -> None:
        """Send requests at random times until the end of the load."""
        loop = asyncio.get_running_loop()
        max_factor = max(
            (flood.factor for flood in self._kind_floods()),
            default=1.0,
        )
        rate = self.kind.rate * max(max_factor, 1.0)
        if not rate:
            return
        while loop.time() < self.load.seconds:
            await asyncio.sleep(rng.expovariate(rate))
            is_accepted = rng.random() * rate < self._rate_at(loop.time())
            domain = self.load.draw_domain(rng)
            entry = rng.choice(self.fleet.entries[domain])
            if is_accepted:
                self.number += 1
                group.create_task(self.send(entry, domain, self.number))

    def _kind_floods(self) -> list[Flood]:
        return [
            flood for flood in self.load.floods if flood.kind == self.kind.name
        ]

    def _rate_at(self, now: float) -> float:
        factor = 1.0
        for flood in self._kind_floods():
            if flood.begin <= now < flood.end:
                factor *= flood.factor
        return self.kind.rate * factor

    async def send(
        self,
        entry: EmulatedEntry,
        domain: str,
        number: int,
    ) -> None:
        """Send a request; retry after refusals."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline_at = started_at + self.kind.deadline
        attempt = Attempt(FAILED)
        max_refusal_seconds = 0.0
        for count in range(self.kind.retries + 1):
            attempt_started_at = loop.time()
            if attempt_started_at >= deadline_at:
                break
            name = f'{self.kind.name}.{number}.{count}'
            body = b'%d' % number if self.kind.is_unique else b''
            attempt = await self._attempt(entry, name, deadline_at, body)
            if attempt.outcome != REFUSED:
                break
            max_refusal_seconds = max(
                max_refusal_seconds, loop.time() - attempt_started_at
            )
            self.result.refused_retries += count > 0
            time_left = max(deadline_at - loop.time(), 0.0)
            await asyncio.sleep(min(attempt.wait, time_left / MAX_WAIT_DIVISOR))
        outcome = attempt.outcome
        if (
            outcome == ON_TIME
            and loop.time() - started_at > self.kind.objective
        ):
            outcome = LATE
        self.result.add(self.kind, domain, started_at, outcome)
        self.result.requests.append(
            CompletedRequest(
                self.kind.name,
                started_at,
                loop.time(),
                outcome,
                attempt.size,
                max_refusal_seconds,
            )
        )

    async def _attempt(
        self,
        entry: EmulatedEntry,
        name: str,
        deadline_at: float,
        body: bytes,
    ) -> Attempt:
        """Return the outcome of an attempt to send a request."""
        loop = asyncio.get_running_loop()
        delay = self.load.to_callers
        try:
            async with asyncio.timeout_at(deadline_at):
                await asyncio.sleep(delay)
                time_left = deadline_at - loop.time()
                request = make_request(name, self.kind.name, time_left, body)
                answer = await entry.handle(request)
                wait = entry.retry_after(request)
                if isinstance(answer, Answer):
                    await entry.deliver(request, answer)
                await asyncio.sleep(delay)
        except TimeoutError:
            return Attempt(FAILED)
        match answer:
            case Answer(status=status, body=body_received):
                is_ok = status == STATUS_OK
                return Attempt(
                    ON_TIME if is_ok else FAILED, 0.0, len(body_received)
                )
        self.result.codes[self.kind.name, answer.code.name] += 1
        return Attempt(REFUSED if answer.ran is Ran.NO else FAILED, wait)
