"""Requests that move away from evacuated failure domains, and return."""

import asyncio
import random

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    Placement,
    PrefixRoute,
    Repeat,
    WeightedService,
)
from tanagerbend_routing.evacuation import (
    DEPARTURE_SECONDS,
    REFUSAL_DELAY_SECONDS,
    RETURN_SECONDS,
)
from tanagerbend_timer import ManualTimer

NORTH = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 6)
SOUTH = ListedInstance('i-2', '10.0.0.2:80', 'shop', 'south', 6)
ROUTE = PrefixRoute(
    'browse', 'h', '/', (WeightedService('shop'),), Repeat.FREELY, 2.0, 1.0
)


@pytest.fixture
def registry():
    """Return a registry with an instance in each of two failure domains."""
    made = InstanceRegistry(Recorder(ManualTimer()))
    made.replace({'i-1': NORTH, 'i-2': SOUTH})
    made.evacuations.replace(())
    return made


def advance_time(registry, seconds):
    asyncio.run(registry.timer.advance(seconds))


def share(registry, identity='i-1'):
    """Return the share of requests that an instance is eligible for."""
    found = [
        identity in {each.identity for each in registry.usable('shop')}
        for _ in range(200)
    ]
    return sum(found) / len(found)


def test_nothing_is_placed_in_an_evacuated_domain(registry):
    """Guards against requests to instances that an operator has emptied.

    The local instance is in the domain and idle, so it would be preferred.
    """
    placement = Placement('north', random.Random(4), registry.recorder)
    placement.local_address = NORTH.address
    placement.local_free_slots = lambda: 6
    registry.evacuations.replace({'north'})
    advance_time(registry, DEPARTURE_SECONDS)
    chosen = {
        placement.choose(registry.usable('shop'), ROUTE, frozenset())
        for _ in range(100)
    }
    assert chosen == {SOUTH}


def test_requests_move_and_return_over_a_time(registry):
    """Guards against a surge at the instances that take over, or return."""
    registry.evacuations.replace({'north'})
    advance_time(registry, DEPARTURE_SECONDS / 2)
    assert share(registry) == pytest.approx(0.5, abs=0.02)
    advance_time(registry, DEPARTURE_SECONDS / 2)
    assert share(registry) == 0
    registry.evacuations.replace(())
    assert share(registry) == 0
    advance_time(registry, RETURN_SECONDS / 4)
    assert share(registry) == pytest.approx(0.25, abs=0.02)
    # An order during the return begins with the share of that moment.
    registry.evacuations.replace({'north'})
    assert share(registry) == pytest.approx(0.25, abs=0.02)
    registry.evacuations.replace(())
    advance_time(registry, RETURN_SECONDS)
    assert share(registry) == 1
    assert not registry.evacuations.domains


def test_order_that_a_new_daemon_finds_holds_at_once():
    """Guards against a start that sends to a domain evacuated for long."""
    registry = InstanceRegistry(Recorder(ManualTimer()))
    registry.replace({'i-1': NORTH, 'i-2': SOUTH})
    registry.evacuations.replace({'north'})
    assert share(registry) == 0
    assert registry.refuses_evacuated('i-1')


def test_owner_refuses_after_the_move(registry):
    """Guards against requests of daemons that don't know of the order."""
    registry.evacuations.replace({'north'})
    advance_time(registry, REFUSAL_DELAY_SECONDS - 0.1)
    assert not registry.refuses_evacuated('i-1')
    advance_time(registry, 0.1)
    assert registry.refuses_evacuated('i-1')
    assert not registry.refuses_evacuated('i-2')
    assert not registry.refuses_evacuated('unknown')
    registry.evacuations.replace(())
    assert not registry.refuses_evacuated('i-1')


def test_service_whose_every_domain_is_evacuated(registry):
    """Guards against sending anything when no other domain is left."""
    registry.evacuations.replace({'north', 'south'})
    assert registry.usable('shop')
    advance_time(registry, DEPARTURE_SECONDS)
    assert not registry.usable('shop')
    assert registry.usable_instances.is_evacuated('shop')
    assert not registry.usable_instances.is_evacuated('other')
    # Nobody else takes the requests, so the first ones return at once.
    registry.evacuations.replace({'north'})
    assert registry.usable('shop') == (SOUTH,)


def test_instance_listed_during_the_evacuation(registry):
    """Guards against instances that start in an evacuated domain."""
    registry.evacuations.replace({'north'})
    advance_time(registry, DEPARTURE_SECONDS)
    assert registry.usable('shop') == (SOUTH,)
    registry.put(attrs.evolve(NORTH, identity='i-3', address='10.0.0.3:80'))
    assert registry.usable('shop') == (SOUTH,)
