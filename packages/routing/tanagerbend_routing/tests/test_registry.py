"""Instances around outages of the platform's service."""

import asyncio

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_routing import InstanceRegistry, ListedInstance
from tanagerbend_routing import registry as registry_module
from tanagerbend_routing.registry import (
    DEPARTED_SECONDS,
    LAPSE_SECONDS,
    LEAVING_SECONDS,
    by_service,
)
from tanagerbend_timer import ManualTimer

ONE = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 6)
TWO = ListedInstance('i-2', '10.0.0.2:80', 'shop', 'north', 6)


@pytest.fixture
def registry():
    """Registry with two instances."""
    made = InstanceRegistry(Recorder(ManualTimer()))
    made.replace({'i-1': ONE, 'i-2': TWO})
    return made


def identities(registry):
    return {each.identity for each in registry.usable('shop')}


def pass_time(registry, seconds):
    asyncio.run(registry.timer.advance(seconds))
    registry.expire()


def test_removed_in_calm_times(registry):
    """Guards against new work for an instance that is gone."""
    registry.remove('i-1')
    assert identities(registry) == {'i-2'}


def test_leaving_gets_no_new_work(registry):
    """Guards against new work for an instance that is leaving."""
    registry.put(attrs.evolve(ONE, is_leaving=True))
    assert identities(registry) == {'i-2'}


def test_lapsed_stays_until_it_could_be_back(registry):
    """Guards against an empty route after an outage of the service."""
    registry.service_lost()
    registry.service_regained()
    registry.replace({'i-2': TWO})
    pass_time(registry, LAPSE_SECONDS - 0.1)
    assert identities(registry) == {'i-1', 'i-2'}
    pass_time(registry, 0.2)
    assert identities(registry) == {'i-2'}


def test_lapsed_that_comes_back_stays(registry):
    """Guards against dropping an entry that was written again."""
    registry.service_lost()
    registry.service_regained()
    registry.remove('i-1')
    registry.put(ONE)
    pass_time(registry, 2 * LAPSE_SECONDS)
    assert identities(registry) == {'i-1', 'i-2'}


def test_leaving_is_not_kept_after_outage(registry):
    """Guards against work for an instance that had said it leaves."""
    registry.put(attrs.evolve(ONE, is_leaving=True))
    registry.service_lost()
    registry.service_regained()
    registry.remove('i-1')
    assert registry.at_address(ONE.address) is None


def test_newest_at_an_address(registry):
    """Guards against the identity of an earlier start at one address."""
    registry.put(attrs.evolve(TWO, identity='i-3', born=5))
    assert registry.at_address(TWO.address).identity == 'i-3'


def leave(registry):
    registry.put(attrs.evolve(ONE, is_leaving=True))


def vanish(registry):
    registry.remove('i-1')


@pytest.mark.parametrize('end', [leave, vanish])
def test_waiting_work_may_start_only_for_a_moment(registry, end):
    """Guards against work that starts long after an instance left."""
    assert registry.takes_work('i-1')
    end(registry)
    pass_time(registry, LEAVING_SECONDS - 0.1)
    assert registry.takes_work('i-1')
    leave(registry)
    pass_time(registry, 0.2)
    assert not registry.takes_work('i-1')
    assert registry.takes_work('i-2')


def test_start_under_the_same_identity_takes_work(registry):
    """Guards against refusing an instance that has started again."""
    leave(registry)
    pass_time(registry, LEAVING_SECONDS + 0.1)
    registry.put(attrs.evolve(ONE, born=5))
    assert registry.takes_work('i-1')


def test_instances_that_left_are_forgotten(registry):
    """Guards against memory that grows with each replaced instance."""
    vanish(registry)
    pass_time(registry, DEPARTED_SECONDS + 0.1)
    assert not registry.departed


def test_changes_are_told_after_the_first_listing():
    """Guards against a change of belief that no log line shows."""
    told = []
    registry = InstanceRegistry(
        Recorder(ManualTimer()),
        lambda event, instance: told.append((event, instance.identity)),
    )
    registry.replace({'i-1': ONE})
    assert not told
    registry.put(attrs.evolve(ONE, cold_until=3.0))
    registry.put(TWO)
    leave(registry)
    vanish(registry)
    assert told == [
        ('instance_listed', 'i-2'),
        ('instance_leaving', 'i-1'),
        ('instance_removed', 'i-1'),
    ]


def test_changes_that_come_together_are_sorted_once(registry, monkeypatch):
    """Guards against all entries sorted anew for each change of one."""
    sorts = []

    def count(held):
        sorts.append(len(held))
        return by_service(held)

    monkeypatch.setattr(registry_module, 'by_service', count)
    for slots in range(7, 12):
        registry.put(attrs.evolve(ONE, slots=slots))
        registry.put(attrs.evolve(TWO, slots=slots))
    for _ in range(3):
        assert {each.slots for each in registry.usable('shop')} == {11}
    assert len(sorts) == 1


def test_found_at_an_address_after_each_kind_of_change(registry):
    """Guards against an instance at an address where it is no more."""
    address = ONE.address
    assert registry.at_address(address) is ONE
    registry.remove('i-1')
    assert registry.at_address(address) is None
    registry.put(ONE)
    assert registry.at_address(address) is ONE
    registry.service_lost()
    registry.service_regained()
    registry.remove('i-1')
    assert registry.at_address(address) is ONE
    pass_time(registry, LAPSE_SECONDS + 0.1)
    assert registry.at_address(address) is None
    registry.replace({'i-1': ONE})
    assert registry.at_address(address) is ONE
    assert registry.at_address(TWO.address) is None
