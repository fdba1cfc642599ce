"""Routes whose requests are split between services by weights."""

import asyncio
import random

import attrs
import pytest

from tanagerbend_emulator import LOADS, read_load
from tanagerbend_emulator.fleet import EmulatedFleet, EmulatedOwner
from tanagerbend_emulator.instance import make_request
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.virtual import run_virtual
from tanagerbend_model import Refusal
from tanagerbend_routing import RoutingConfiguration, WeightedService

REQUESTS = 1200
WINDOW = 200
# What the users grant in a time of 200 requests.
MAX_OFF = 0.2
PARTS = (WeightedService('desk', 3.0), WeightedService('store', 1.0))


@pytest.fixture
def ran(monkeypatch):
    """Services of the requests that ran, in their order."""
    found = []
    run = EmulatedOwner.run

    async def counted(owner, request, placed):
        outcome = await run(owner, request, placed)
        if outcome.is_offered and placed.route == 'order':
            found.append(owner.instance.service.name)
        return outcome

    monkeypatch.setattr(EmulatedOwner, 'run', counted)
    return found


@pytest.fixture
def split():
    """Function that sends requests of a split route in virtual time.

    It returns the reasons of the refusals.
    """

    async def send(fleet, seconds):
        configuration = RoutingConfiguration.build(
            2,
            tuple(
                attrs.evolve(route, parts=PARTS, objective=5.0, timeout=10.0)
                for route in fleet.configuration.routes.values()
            ),
            None,
        )
        refused = []

        async def one(number):
            await asyncio.sleep(number * seconds / REQUESTS)
            entry = fleet.random.choice(list(fleet.owners.values()))
            entry = entry.instance.entry
            end = await entry.handle(make_request(f'{number}', 'order', 8.0))
            match end:
                case Refusal(reason=reason):
                    refused.append(reason)

        for owner in fleet.owners.values():
            owner.instance.entry.knowledge.adopt(configuration)
        await asyncio.gather(*(one(number) for number in range(REQUESTS)))
        return refused

    def play(prepare, seconds=30.0):
        async def run():
            load = read_load(LOADS / 'wallpaper.toml')
            fleet = EmulatedFleet(load, POLICIES['objective'], random.Random(2))
            prepare(fleet)
            found = await send(fleet, seconds)
            links = fleet.links.values()
            await asyncio.gather(*(link.close() for link in links))
            return found

        return run_virtual(run())

    return play


def shares(ran):
    """Return the share of the desk in each span of requests."""
    return [
        ran[begin : begin + WINDOW].count('desk') / WINDOW
        for begin in range(len(ran) - WINDOW)
    ]


def test_parts_get_their_weights(split, ran):
    """Guards against a split that follows the load of its parts."""
    assert not split(lambda _fleet: None)
    assert all(abs(share - 0.75) < MAX_OFF for share in shares(ran))
    assert abs(ran.count('desk') / len(ran) - 0.75) < 0.05


def test_slow_part_keeps_its_weight(split, ran):
    """Guards against requests that move away from a slow part."""

    def slow(fleet):
        for owner in fleet.owners.values():
            if owner.instance.service.name == 'store':
                owner.instance.speed *= 5

    split(slow)
    assert all(abs(share - 0.75) < MAX_OFF for share in shares(ran))


def test_what_does_not_fit_a_full_part_is_refused(split, ran):
    """Guards against requests of a full part that go to the other one."""

    def fill(fleet):
        for owner in fleet.owners.values():
            if owner.instance.service.name == 'store':
                owner.queue.resize(0)

    refused = split(fill)
    # None is moved: as many run as the other part owes.
    assert abs(len(ran) / REQUESTS - 0.75) < 0.05
    assert len(ran) + len(refused) >= REQUESTS
