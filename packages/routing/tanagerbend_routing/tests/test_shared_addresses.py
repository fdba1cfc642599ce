"""Tests of entries that name one address."""

import asyncio

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_routing import InstanceRegistry, ListedInstance
from tanagerbend_routing.absences import ABSENCE_SECONDS
from tanagerbend_timer import ManualTimer

OLD = ListedInstance('i-old', '10.0.0.1:80', 'shop', 'north', 6, born=5)
NEW = attrs.evolve(OLD, identity='i-new', born=7)
OTHER = attrs.evolve(OLD, identity='i-other', address='10.0.0.2:80')
EVENTS = {'instance_displaced', 'instance_undisplaced'}


@pytest.fixture
def events():
    """Displacements that a registry has notified, with the newer instance."""
    return []


@pytest.fixture
def registry(events):
    """Return a registry with two instances at different addresses."""

    def notify(event, instance, **fields):
        if event in EVENTS:
            events.append((event, instance.identity, *fields.values()))

    made = InstanceRegistry(Recorder(ManualTimer()), notify)
    made.replace({'i-old': OLD, 'i-other': OTHER})
    return made


def identities(registry, service='shop'):
    return {each.identity for each in registry.usable(service)}


def evolved(**changes):
    return attrs.evolve(NEW, **changes)


@pytest.mark.parametrize(
    'newer',
    [NEW, evolved(born=0), evolved(born=5), evolved(is_leaving=True)],
    ids=['later start', 'unknown start', 'equal start', 'leaving'],
)
def test_entry_of_an_earlier_start_gets_no_work(registry, newer):
    """Guards against requests for an instance that a restart replaced.

    The store lists it until its entry lapses.
    """
    assert registry.takes_work('i-old')
    registry.put(newer)
    assert 'i-old' not in identities(registry)
    assert not registry.takes_work('i-old')
    assert OLD not in registry.working()
    assert OLD not in registry.near('north')
    assert registry.at_address(OLD.address) == newer


def test_address_that_went_to_another_service(registry):
    """Guards against requests for a service that lost the address."""
    registry.put(evolved(service='docs'))
    assert identities(registry) == {'i-other'}
    assert identities(registry, 'docs') == {'i-new'}


def test_later_start_counts_in_any_order_of_arrival(registry):
    """Guards against a listing whose order decides which entry is used."""
    registry.put(evolved(born=3))
    assert identities(registry) == {'i-old', 'i-other'}
    registry.replace({'i-new': NEW, 'i-old': OLD})
    assert identities(registry) == {'i-new'}


def test_entries_of_one_listing_without_starts_stay(registry):
    """Guards against refusing an instance by the order of its key.

    Nothing tells which of the two started later, so both are tried.
    """
    unknown = [attrs.evolve(each, born=0) for each in (OLD, NEW)]
    registry.replace({each.identity: each for each in unknown})
    assert identities(registry) == {'i-old', 'i-new'}


def test_earlier_entry_that_is_written_again_counts_as_later(registry):
    """Guards against losing an instance whose start is unknown."""
    registry.put(evolved(born=0))
    registry.put(attrs.evolve(OLD, slots=7))
    assert identities(registry) == {'i-old', 'i-other'}


def test_listing_that_is_read_again_is_no_new_entry(registry):
    """Guards against swapping two entries at each listing."""
    unknown = evolved(born=0)
    registry.put(unknown)
    registry.put(attrs.evolve(OLD, cold_until=3.0))
    assert identities(registry) == {'i-new', 'i-other'}


def test_earlier_entry_is_used_again_without_the_later_one(registry):
    """Guards against losing an instance whose successor never came up."""
    registry.put(NEW)
    assert identities(registry) == {'i-new', 'i-other'}
    registry.remove('i-new')
    assert identities(registry) == {'i-old', 'i-other'}
    assert registry.takes_work('i-old')


def test_contradicting_starts_leave_one_entry(registry):
    """Guards against an address at which each entry displaces another."""
    registry.put(evolved(identity='i-unknown', born=0))
    registry.put(evolved(born=4))
    at_address = {each.address for each in registry.working()}
    assert at_address == {OLD.address, OTHER.address}


def test_displaced_entry_is_notified_once(registry, events):
    """Guards against unused entries that no log line explains."""
    registry.put(NEW)
    for _ in range(2):
        registry.usable('shop')
    assert events == [('instance_displaced', 'i-old', 'i-new')]
    registry.remove('i-new')
    registry.usable('shop')
    assert events[1:] == [('instance_undisplaced', 'i-old')]


def test_removed_entry_is_not_notified_as_used_again(registry, events):
    """Guards against a log line that says a removed instance is back."""
    registry.put(NEW)
    registry.usable('shop')
    registry.remove('i-old')
    registry.usable('shop')
    asyncio.run(registry.timer.advance(1.0))
    assert events == [('instance_displaced', 'i-old', 'i-new')]


def test_hosts_are_counted_once(registry):
    """Guards against a wrong share of the retry budget after restarts."""
    registry.put(NEW)
    assert registry.occupancy.address_count == 2
    registry.absences.record('i-other', OTHER.address)
    assert registry.occupancy.address_count == 2


def advance_time(registry, seconds):
    asyncio.run(registry.timer.advance(seconds))
    registry.expire()


def test_absent_instance_gets_no_work(registry, events):
    """Guards against repeated requests that are answered 421."""
    registry.absences.record('i-old', OLD.address)
    assert identities(registry) == {'i-other'}
    assert not registry.takes_work('i-old')
    assert registry.at_address(OLD.address) is None
    assert events == [('instance_displaced', 'i-old', '')]


def test_absent_instance_displaces_no_other(registry):
    """Guards against losing an instance to an entry that names nobody.

    The later entry belongs to an instance that never came up, or the clock of
    its host was set back.
    """
    registry.put(NEW)
    registry.absences.record('i-new', NEW.address)
    assert identities(registry) == {'i-old', 'i-other'}
    assert registry.at_address(OLD.address) == OLD


def test_unlisted_instance_can_be_absent(registry):
    """Guards against sending requests for an entry that arrives late here."""
    registry.absences.record('i-new', NEW.address)
    assert not registry.takes_work('i-new')
    assert identities(registry) == {'i-old', 'i-other'}


def test_absent_instance_is_tried_again(registry):
    """Guards against losing an instance that came up after its entry."""
    registry.absences.record('i-old', OLD.address)
    advance_time(registry, ABSENCE_SECONDS - 0.1)
    registry.absences.record('i-old', OLD.address)
    assert identities(registry) == {'i-other'}
    advance_time(registry, 0.2)
    assert identities(registry) == {'i-old', 'i-other'}
    assert registry.takes_work('i-old')


@pytest.mark.parametrize(
    'change',
    [
        lambda registry: registry.put(attrs.evolve(OLD, born=6)),
        lambda registry: registry.remove('i-first'),
        lambda registry: registry.put(
            attrs.evolve(OLD, identity='i-first', born=1, is_leaving=True)
        ),
    ],
    ids=['written anew', 'other removed', 'other leaving'],
)
def test_change_at_the_address_ends_an_absence(registry, change):
    """Guards against refusing an instance that has its address by now."""
    registry.put(attrs.evolve(OLD, identity='i-first', born=1))
    registry.absences.record('i-old', OLD.address)
    registry.put(attrs.evolve(OLD, cold_until=3.0))
    registry.put(attrs.evolve(OTHER, slots=9))
    assert not registry.takes_work('i-old')
    change(registry)
    assert registry.takes_work('i-old')
