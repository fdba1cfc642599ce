"""A third of the instances that is evacuated under load, and comes back."""

import asyncio
import random

import pytest

from tanagerbend_emulator import LOADS, read_load, simulate
from tanagerbend_emulator.fleet import EmulatedFleet
from tanagerbend_emulator.instance import EmulatedInstance
from tanagerbend_emulator.loads import KindLoad, Load, ServiceLoad
from tanagerbend_routing import Repeat
from tanagerbend_routing.evacuation import DEPARTURE_SECONDS

ORDERED_AT = 4.0
LIFTED_AT = 10.0
# The news reaches each daemon within this time.
NEWS_SECONDS = 0.5
# Instances take 15 x 5 / 0.15 = 500 requests a second, and 333 without a third.
LOAD = Load(
    title='three domains',
    seconds=16.0,
    domains=('north', 'south', 'west'),
    between_domains=0.0014,
    to_callers=0.003,
    budget=read_load(LOADS / 'wallpaper.toml').budget,
    services=(ServiceLoad('shop', 15, 5),),
    kinds=(
        KindLoad('browse', 'shop', 200.0, 0.15, 0.6, 1.5, 1.5, 0),
        KindLoad(
            'order',
            'shop',
            220.0,
            0.15,
            0.9,
            1.5,
            1.5,
            1,
            Repeat.NEVER,
        ),
    ),
)


@pytest.fixture
def evacuation(monkeypatch):
    """Evacuate a domain during a load; return its runs and the result."""
    runs = []
    start, run = EmulatedFleet.__init__, EmulatedInstance.run
    rng = random.Random(48)

    def plan(fleet, *arguments):
        start(fleet, *arguments)
        loop = asyncio.get_running_loop()
        for owner in fleet.owners.values():
            evacuations = owner.registry.evacuations
            evacuations.replace(())
            late = rng.random() * NEWS_SECONDS
            loop.call_at(ORDERED_AT + late, evacuations.replace, {'north'})
            loop.call_at(LIFTED_AT + late, evacuations.replace, ())

    async def record(instance, request, left):
        now = asyncio.get_running_loop().time()
        runs.append((now, instance.listed.failure_domain))
        return await run(instance, request, left)

    monkeypatch.setattr(EmulatedFleet, '__init__', plan)
    monkeypatch.setattr(EmulatedInstance, 'run', record)
    return runs, simulate(LOAD, 'objective', 7)


def on_time(result, kind, begin, end):
    """Return the share of requests of a span that are answered on time."""
    outcomes = [
        each.outcome
        for each in result.requests
        if each.kind == kind and begin <= each.started_at < end
    ]
    return outcomes.count('on time') / len(outcomes)


def test_evacuation_under_load(evacuation):
    """Guards against callers who pay for an evacuation more than they must.

    420 requests a second meet room for 333 while the domain is evacuated.
    What is urgent keeps its room, and the return refuses few.
    """
    runs, result = evacuation
    empty_from = ORDERED_AT + NEWS_SECONDS + DEPARTURE_SECONDS
    assert not [
        now
        for now, domain in runs
        if domain == 'north' and empty_from < now < LIFTED_AT
    ]
    assert on_time(result, 'browse', 0, LOAD.seconds) >= 0.995
    # Of the less urgent requests, there is room for 133 of 220.
    assert on_time(result, 'order', ORDERED_AT + 2, LIFTED_AT) >= 0.55
    assert on_time(result, 'order', LIFTED_AT, LIFTED_AT + 2) >= 0.95
    assert on_time(result, 'order', LIFTED_AT + 2, LOAD.seconds) >= 0.98
