"""Tests of the registry around outages of the platform service."""

import asyncio

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_routing import InstanceRegistry, ListedInstance
from tanagerbend_routing import registry as registry_module
from tanagerbend_routing.outage import (
    OUTAGE_GRACE_SECONDS,
    RECENT_CONTACT_SECONDS,
)
from tanagerbend_routing.registry import (
    DEPARTURE_GRACE_SECONDS,
    DEPARTURE_MEMORY_SECONDS,
    by_service,
)
from tanagerbend_timer import ManualTimer

ONE = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 6)
TWO = ListedInstance('i-2', '10.0.0.2:80', 'shop', 'north', 6)


@pytest.fixture
def registry():
    """Return a registry with two instances."""
    made = InstanceRegistry(Recorder(ManualTimer()))
    made.replace({'i-1': ONE, 'i-2': TWO})
    return made


def identities(registry):
    return {each.identity for each in registry.usable('shop')}


def advance_time(registry, seconds):
    asyncio.run(registry.timer.advance(seconds))
    registry.expire()


def test_removed_entry_without_outage_is_dropped(registry):
    """Guards against new work for an instance that has been removed."""
    registry.remove('i-1')
    assert identities(registry) == {'i-2'}


def test_departing_entry_gets_no_new_work(registry):
    """Guards against new work for an instance that is leaving."""
    registry.put(attrs.evolve(ONE, is_leaving=True))
    assert identities(registry) == {'i-2'}


def test_missing_entry_is_kept_for_grace_period_after_outage(registry):
    """Guards against an empty route after an outage of the service."""
    registry.outage.begin()
    registry.outage.end()
    registry.replace({'i-2': TWO})
    advance_time(registry, OUTAGE_GRACE_SECONDS - 0.1)
    assert identities(registry) == {'i-1', 'i-2'}
    advance_time(registry, 0.2)
    assert identities(registry) == {'i-2'}


def test_entry_removed_during_an_outage_goes_after_it(registry):
    """Guards against keeping an instance for ever that left in an outage."""
    registry.outage.begin()
    registry.remove('i-1')
    advance_time(registry, 2 * OUTAGE_GRACE_SECONDS)
    assert identities(registry) == {'i-1', 'i-2'}
    registry.outage.end()
    advance_time(registry, OUTAGE_GRACE_SECONDS - 0.1)
    assert identities(registry) == {'i-1', 'i-2'}
    advance_time(registry, 0.2)
    assert identities(registry) == {'i-2'}


def test_kept_entry_goes_when_a_peer_ends_the_grace_period(registry):
    """Guards against an entry that outlasts the grace period of its outage."""
    registry.outage.begin()
    registry.outage.end()
    registry.remove('i-1')
    advance_time(registry, 0.1)
    registry.outage.adopt_grace_period(0.0, registry.timer.now())
    advance_time(registry, 0.0)
    assert identities(registry) == {'i-2'}


def test_queued_work_does_not_start_after_the_grace_period(registry):
    """Guards against queued requests that follow a kept instance's end."""
    registry.outage.begin()
    registry.outage.end()
    registry.remove('i-1')
    assert registry.takes_work('i-1')
    advance_time(registry, OUTAGE_GRACE_SECONDS + 0.1)
    assert not registry.takes_work('i-1')


def test_entry_written_again_in_grace_period_stays(registry):
    """Guards against removing an entry that was written again."""
    registry.outage.begin()
    registry.outage.end()
    registry.remove('i-1')
    registry.put(ONE)
    advance_time(registry, 2 * OUTAGE_GRACE_SECONDS)
    assert identities(registry) == {'i-1', 'i-2'}


def test_leaving_instance_is_not_kept_after_outage(registry):
    """Guards against keeping an instance that announced its departure."""
    registry.put(attrs.evolve(ONE, is_leaving=True))
    registry.outage.begin()
    registry.outage.end()
    registry.remove('i-1')
    assert registry.at_address(ONE.address) is None


def test_newest_instance_at_an_address_is_found(registry):
    """Guards against finding an earlier start at the same address."""
    registry.put(attrs.evolve(TWO, identity='i-3', born=5))
    assert registry.at_address(TWO.address).identity == 'i-3'


def announce_departure(registry):
    registry.put(attrs.evolve(ONE, is_leaving=True))


def remove_entry(registry):
    registry.remove('i-1')


@pytest.mark.parametrize('depart', [announce_departure, remove_entry])
def test_queued_work_may_start_only_briefly_after_departure(registry, depart):
    """Guards against starting work long after an instance has left."""
    assert registry.takes_work('i-1')
    depart(registry)
    advance_time(registry, DEPARTURE_GRACE_SECONDS - 0.1)
    assert registry.takes_work('i-1')
    announce_departure(registry)
    advance_time(registry, 0.2)
    assert not registry.takes_work('i-1')
    assert registry.takes_work('i-2')


def test_restart_under_same_identity_takes_work(registry):
    """Guards against refusing work for an instance that has restarted."""
    announce_departure(registry)
    advance_time(registry, DEPARTURE_GRACE_SECONDS + 0.1)
    registry.put(attrs.evolve(ONE, born=5))
    assert registry.takes_work('i-1')


def test_departed_instances_are_forgotten(registry):
    """Guards against memory that grows with each replaced instance."""
    remove_entry(registry)
    advance_time(registry, DEPARTURE_MEMORY_SECONDS + 0.1)
    assert not registry.departed_at


def test_changes_after_first_listing_are_notified():
    """Guards against changes of the registry that are not logged."""
    events = []
    registry = InstanceRegistry(
        Recorder(ManualTimer()),
        lambda event, instance: events.append((event, instance.identity)),
    )
    registry.replace({'i-1': ONE})
    assert not events
    registry.put(attrs.evolve(ONE, cold_until=3.0))
    registry.put(TWO)
    announce_departure(registry)
    remove_entry(registry)
    assert events == [
        ('instance_listed', 'i-2'),
        ('instance_leaving', 'i-1'),
        ('instance_removed', 'i-1'),
    ]


def test_index_is_rebuilt_once_for_several_changes(registry, monkeypatch):
    """Guards against rebuilding the index after each single change."""
    rebuilds = []

    def count(entries):
        rebuilds.append(len(entries))
        return by_service(entries)

    monkeypatch.setattr(registry_module, 'by_service', count)
    for slots in range(7, 12):
        registry.put(attrs.evolve(ONE, slots=slots))
        registry.put(attrs.evolve(TWO, slots=slots))
    for _ in range(3):
        assert {each.slots for each in registry.usable('shop')} == {11}
    assert len(rebuilds) == 1


def test_index_of_addresses_follows_each_kind_of_change(registry):
    """Guards against an outdated index of addresses."""
    address = ONE.address
    assert registry.at_address(address) is ONE
    registry.remove('i-1')
    assert registry.at_address(address) is None
    registry.put(ONE)
    assert registry.at_address(address) is ONE
    registry.outage.begin()
    registry.outage.end()
    registry.remove('i-1')
    assert registry.at_address(address) is ONE
    advance_time(registry, OUTAGE_GRACE_SECONDS + 0.1)
    assert registry.at_address(address) is None
    registry.replace({'i-1': ONE})
    assert registry.at_address(address) is ONE
    assert registry.at_address(TWO.address) is None


def test_peer_that_has_not_noticed_an_outage_ends_no_grace_period(registry):
    """Guards against dropping live instances after an outage.

    The peer lost the service at the same time, but has not noticed it yet.
    """
    reached_at = registry.timer.now()
    advance_time(registry, 0.1)
    registry.outage.begin()
    registry.outage.adopt_grace_period(0.0, reached_at)
    registry.remove('i-1')
    assert identities(registry) == {'i-1', 'i-2'}


def test_peer_that_reaches_the_service_ends_a_local_outage(registry):
    """Guards against using a removed instance for as long as a link fails."""
    registry.outage.begin()
    advance_time(registry, 0.1)
    registry.outage.adopt_grace_period(0.0, registry.timer.now())
    registry.remove('i-1')
    assert identities(registry) == {'i-2'}


def test_outage_keeps_its_beginning(registry):
    """Guards against daemons that begin the outage of a peer anew."""
    registry.outage.begin(registry.timer.now() - 3.0)
    advance_time(registry, 1.0)
    registry.outage.begin()
    assert registry.outage.seconds == pytest.approx(4.0)
    registry.outage.end()
    assert registry.outage.seconds is None
    advance_time(registry, 1.0)
    registry.outage.end()
    left = OUTAGE_GRACE_SECONDS - 1.0
    assert registry.outage.grace_seconds_left == pytest.approx(left)


def test_refused_daemon_takes_a_removal_for_one(registry):
    """Guards against an outage that each failed call of one daemon begins."""
    outage = registry.outage
    outage.begin()
    advance_time(registry, 0.2)
    outage.adopt_grace_period(0.0, registry.timer.now())
    advance_time(registry, 0.5)
    outage.begin()
    registry.remove('i-1')
    assert identities(registry) == {'i-2'}
    outage.end()
    registry.remove('i-2')
    assert not identities(registry)


def test_refused_daemon_notices_that_the_service_is_away(registry):
    """Guards against dropping live instances if nobody has contact."""
    outage = registry.outage
    outage.begin()
    advance_time(registry, 0.2)
    outage.adopt_grace_period(0.0, registry.timer.now())
    advance_time(registry, RECENT_CONTACT_SECONDS + 0.1)
    outage.begin()
    outage.end()
    registry.remove('i-1')
    assert identities(registry) == {'i-1', 'i-2'}


@pytest.mark.parametrize(
    ('seconds', 'kept'),
    [(0.5, {'i-2'}), (RECENT_CONTACT_SECONDS + 0.1, {'i-1', 'i-2'})],
)
def test_outage_that_only_a_peer_reports_needs_time(registry, seconds, kept):
    """Guards against a refused peer whose report delays a removal here."""
    registry.outage.begin(registry.timer.now())
    advance_time(registry, seconds)
    registry.outage.end()
    registry.remove('i-1')
    assert identities(registry) == kept
