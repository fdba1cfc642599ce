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

REQUEST_COUNT = 1200
WINDOW_REQUESTS = 200
# Tolerance that users accept over 200 requests.
MAX_SHARE_ERROR = 0.2
WEIGHTED_SERVICES = (
    WeightedService('desk', 3.0),
    WeightedService('store', 1.0),
)


@pytest.fixture
def served_by(monkeypatch):
    """Services that ran the requests, in order."""
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
def send_split():
    """Function that sends requests to a weighted route in virtual time.

    It returns the reasons of the refusals.
    """

    async def send(fleet, seconds):
        configuration = RoutingConfiguration.build(
            2,
            tuple(
                attrs.evolve(
                    route, parts=WEIGHTED_SERVICES, objective=5.0, timeout=10.0
                )
                for route in fleet.configuration.routes.values()
            ),
            None,
        )
        refused = []

        async def send_one(number):
            await asyncio.sleep(number * seconds / REQUEST_COUNT)
            entry = fleet.random.choice(list(fleet.owners.values()))
            entry = entry.instance.entry
            answer = await entry.handle(make_request(f'{number}', 'order', 8.0))
            match answer:
                case Refusal(reason=reason):
                    refused.append(reason)

        for owner in fleet.owners.values():
            owner.instance.entry.knowledge.adopt(configuration)
        await asyncio.gather(
            *(send_one(number) for number in range(REQUEST_COUNT))
        )
        return refused

    def run_with_fleet(prepare, seconds=30.0):
        async def run():
            load = read_load(LOADS / 'wallpaper.toml')
            fleet = EmulatedFleet(load, POLICIES['objective'], random.Random(2))
            prepare(fleet)
            found = await send(fleet, seconds)
            links = fleet.links.values()
            await asyncio.gather(*(link.close() for link in links))
            return found

        return run_virtual(run())

    return run_with_fleet


def desk_shares(served_by):
    """Return the share of ``desk`` in each window of requests."""
    return [
        served_by[begin : begin + WINDOW_REQUESTS].count('desk')
        / WINDOW_REQUESTS
        for begin in range(len(served_by) - WINDOW_REQUESTS)
    ]


def test_services_get_their_weights(send_split, served_by):
    """Guards against a split that follows the load of the services."""
    assert not send_split(lambda _fleet: None)
    assert all(
        abs(share - 0.75) < MAX_SHARE_ERROR for share in desk_shares(served_by)
    )
    assert abs(served_by.count('desk') / len(served_by) - 0.75) < 0.05


def test_slow_service_keeps_its_weight(send_split, served_by):
    """Guards against requests that move away from a slow service."""

    def slow_down(fleet):
        for owner in fleet.owners.values():
            if owner.instance.service.name == 'store':
                owner.instance.speed *= 5

    send_split(slow_down)
    assert all(
        abs(share - 0.75) < MAX_SHARE_ERROR for share in desk_shares(served_by)
    )


def test_excess_requests_of_a_full_service_are_refused(send_split, served_by):
    """Guards against requests of a full service that go to the other."""

    def fill(fleet):
        for owner in fleet.owners.values():
            if owner.instance.service.name == 'store':
                owner.queue.resize(0)

    refused = send_split(fill)
    # None is moved: only the share of the other service runs.
    assert abs(len(served_by) / REQUEST_COUNT - 0.75) < 0.05
    assert len(served_by) + len(refused) >= REQUEST_COUNT
