"""Compares three admission policies under floods at 3 x capacity.

Drives the admission package on a manual clock with seeded arrivals and
service times, so the results do not depend on the machine.
"""

import asyncio
import itertools
import random
import statistics
from collections import defaultdict

import attrs

from tanagerbend_admission import (
    FifoAdmission,
    Outcome,
    RankAdmission,
    StrictPriorityAdmission,
    Ticket,
)
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer

SLOTS = 6
SERVICE_SECONDS = 0.05
SERVICE_TIME_SIGMA = 0.5
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS
FLOOD_FACTOR = 3.0
WARM_UP_SECONDS = 4.0
FLOOD_SECONDS = 30.0
SEEDS = (1, 2, 3)
TENANTS = ('north', 'south')
FLOOD_TENANT = 'flooder'
POLICIES = ('fifo', 'strict', 'ranks')


@attrs.frozen
class RankLoad:
    """Normal load of one rank; ``share`` is its share of all slots."""

    rank: int
    share: float
    floor: float
    target: float
    deadline: float


LOADS = (
    RankLoad(0, 0.15, 0.0, 0.3, 2.0),
    RankLoad(2, 0.20, 0.10, 0.5, 5.0),
    RankLoad(4, 0.20, 0.10, 0.5, 5.0),
    RankLoad(7, 0.20, 0.05, 1.0, 5.0),
)
FLOORS = {load.rank: load.floor for load in LOADS}


@attrs.define
class Tally:
    """Outcomes of the calls that a tenant offered in a rank.

    Slot times are in seconds; ``used_seconds`` counts the calls that ended
    during the flood.
    """

    offered: int = 0
    accepted: int = 0
    in_target: int = 0
    used_seconds: float = 0.0
    offered_seconds: float = 0.0

    def add(self, other):
        """Add another tally."""
        for name in (
            'offered',
            'accepted',
            'in_target',
            'used_seconds',
            'offered_seconds',
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))


def make_admission(policy, recorder):
    """Return a new admission queue of the named policy."""
    match policy:
        case 'fifo':
            return FifoAdmission(recorder.timer, SLOTS)
        case 'strict':
            return StrictPriorityAdmission(recorder.timer, SLOTS)
    admission = RankAdmission(recorder, SLOTS)
    admission.configure(FLOORS)
    return admission


def arrivals(seed, flooded_rank):
    """Return (time, load, tenant, service seconds) in order of time."""
    rng = random.Random(seed)
    end = WARM_UP_SECONDS + FLOOD_SECONDS
    sources = [
        (load, tenant, load.share / len(TENANTS), 0.0)
        for load, tenant in itertools.product(LOADS, TENANTS)
    ]
    load = next(load for load in LOADS if load.rank == flooded_rank)
    sources.append((load, FLOOD_TENANT, FLOOD_FACTOR, WARM_UP_SECONDS))
    found = []
    for load, tenant, share, begin in sources:
        time = begin
        while (
            time := time + rng.expovariate(share * CAPACITY_PER_SECOND)
        ) < end:
            # The mean of a lognormal variable is exp(mu + sigma^2 / 2).
            service = SERVICE_SECONDS * rng.lognormvariate(
                -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
            )
            found.append((time, load, tenant, service))
    return sorted(found, key=lambda arrival: arrival[0])


async def run_call(timer, admission, load, tenant, service, tally):
    """Offer one call and count its outcome."""
    arrived = timer.now()
    is_measured = arrived >= WARM_UP_SECONDS
    deadline = arrived + load.deadline
    ticket = Ticket('work', load.rank, tenant, deadline, load.target)
    refusal = await admission.enter(ticket)
    if refusal is None:
        await timer.sleep(service)
        admission.leave(ticket, Outcome.SERVED, service)
    if not is_measured:
        return
    tally.offered += 1
    tally.offered_seconds += service
    if refusal is None:
        tally.accepted += 1
        tally.in_target += timer.now() - arrived <= load.target
        if timer.now() <= WARM_UP_SECONDS + FLOOD_SECONDS:
            tally.used_seconds += service


async def run_scenario(policy, flooded_rank, seed):
    """Return tallies by rank and tenant, and the journal."""
    timer = ManualTimer()
    recorder = Recorder(timer)
    admission = make_admission(policy, recorder)
    tallies = defaultdict(Tally)
    tasks = []
    for time, load, tenant, service in arrivals(seed, flooded_rank):
        await timer.advance(time - timer.now())
        tally = tallies[load.rank, tenant]
        tasks.append(
            asyncio.create_task(
                run_call(timer, admission, load, tenant, service, tally)
            )
        )
    while not all(task.done() for task in tasks):
        await timer.advance(0.1)
    # Wait until the journal records the end of the flood.
    await timer.advance(3.0)
    return tallies, recorder.journal.entries


def sum_by_rank(tallies):
    """Return tallies by rank."""
    ranks = defaultdict(Tally)
    for (rank, _tenant), tally in tallies.items():
        ranks[rank].add(tally)
    return ranks


def percent(part, whole):
    """Return a percentage; 0 if the whole is 0."""
    return 100 * part / whole if whole else 0.0


def floor_used_percent(tally, floor):
    """Return the slot time used, in percent of the guaranteed one."""
    total = SLOTS * FLOOD_SECONDS
    guaranteed = min(floor * total, tally.offered_seconds)
    return percent(tally.used_seconds, guaranteed) if guaranteed else 100.0


def print_table(policy, flooded_rank, runs):
    """Print the tallies of a scenario by tenant and rank, over all seeds."""
    merged = defaultdict(Tally)
    for tallies in runs:
        for key, tally in tallies.items():
            merged[key].add(tally)
    slot_time = SLOTS * FLOOD_SECONDS * len(runs)
    print(f'\n{policy}, flood of rank {flooded_rank}')
    print('rank tenant   offered accepted% target%off target%acc slots% floor%')
    rows = [*sorted(merged.items())]
    rows += [
        ((rank, 'all'), t) for rank, t in sorted(sum_by_rank(merged).items())
    ]
    for (rank, tenant), t in rows:
        print(
            f'{rank:4} {tenant:8} {t.offered:7}'
            f' {percent(t.accepted, t.offered):9.2f}'
            f' {percent(t.in_target, t.offered):10.2f}'
            f' {percent(t.in_target, t.accepted):10.2f}'
            f' {percent(t.used_seconds, slot_time):6.2f}'
            f' {100 * FLOORS[rank]:6.1f}'
        )


def figures(policy, flooded_rank, runs):
    """Return the figures of a scenario that are compared, by name."""
    runs_by_rank = [sum_by_rank(tallies) for tallies in runs]
    of_offered = [percent(r[0].in_target, r[0].offered) for r in runs_by_rank]
    of_accepted = [percent(r[0].in_target, r[0].accepted) for r in runs_by_rank]
    all_of_offered = [
        percent(
            sum(t.in_target for t in r.values()),
            sum(t.offered for t in r.values()),
        )
        for r in runs_by_rank
    ]
    floors = [
        min(
            floor_used_percent(r[load.rank], load.floor)
            for load in LOADS
            if load.rank != flooded_rank
        )
        for r in runs_by_rank
    ]
    name = f'{policy}_{"least" if flooded_rank else "most"}'
    return {
        f'{name}_urgent_in_target_of_offered': of_offered,
        f'{name}_urgent_in_target_of_accepted': of_accepted,
        f'{name}_all_in_target_of_offered': all_of_offered,
        f'{name}_lowest_floor_kept': floors,
    }


async def main():
    """Run all scenarios with all seeds."""
    print('manual clock, seeded arrivals; no machine time in the results')
    print(
        f'{SLOTS} slots, {SERVICE_SECONDS * 1000:.0f} ms per call,'
        f' flood at {FLOOD_FACTOR} x capacity for {FLOOD_SECONDS:.0f} s,'
        f' {len(SEEDS)} seeds'
    )
    results = {}
    for flooded_rank, policy in itertools.product((7, 0), POLICIES):
        runs = []
        for seed in SEEDS:
            tallies, entries = await run_scenario(policy, flooded_rank, seed)
            runs.append(tallies)
        print_table(policy, flooded_rank, runs)
        for entry in entries:
            print(f'journal: {entry.event} {entry.subject} {entry.reason}')
        results.update(figures(policy, flooded_rank, runs))
    print()
    for name, found in results.items():
        print(f'{name}: {min(found):.2f} to {max(found):.2f} %')
    print(
        ' '.join(
            f'{name}={statistics.median(found):.2f}'
            for name, found in results.items()
        )
    )


if __name__ == '__main__':
    asyncio.run(main())
