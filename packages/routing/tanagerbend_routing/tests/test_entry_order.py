"""Entries of an instance that arrive in another order than it wrote them."""

import asyncio

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_routing import InstanceRegistry, ListedInstance
from tanagerbend_routing.entry_order import STANDING_SECONDS
from tanagerbend_routing.registry import DEPARTURE_MEMORY_SECONDS
from tanagerbend_timer import ManualTimer

EARLIER, BORN, LATER = 900, 1000, 1100
READY = ListedInstance(
    'i-1', '10.0.0.1:80', 'shop', 'north', 6, born=BORN, sequence=6
)
LEAVING = attrs.evolve(READY, is_leaving=True, sequence=9)
HELD_UP = attrs.evolve(READY, sequence=8)


def start(born, **changes):
    """Return the first entry of another start."""
    return attrs.evolve(READY, born=born, **{'sequence': 1, **changes})


@pytest.fixture
def registry():
    """Return a registry that knows one instance."""
    made = InstanceRegistry(Recorder(ManualTimer()))
    made.put(READY)
    return made


def is_used(registry):
    return bool(registry.usable('shop'))


def advance_time(registry, seconds):
    asyncio.run(registry.timer.advance(seconds))
    registry.expire()


def put(registry, instance):
    registry.put(instance)


def list_again(registry, instance):
    registry.replace({instance.identity: instance})


arrivals = pytest.mark.parametrize('arrive', [put, list_again])


@arrivals
def test_late_heartbeat_does_not_bring_a_leaving_instance_back(
    registry, arrive
):
    """Guards against requests to an instance that said that it leaves."""
    registry.put(LEAVING)
    arrive(registry, HELD_UP)
    assert not is_used(registry)
    advance_time(registry, 1.0)
    assert not registry.takes_work('i-1')


@arrivals
def test_late_heartbeat_does_not_bring_a_removed_instance_back(
    registry, arrive
):
    """Guards against an entry that is written again after its removal."""
    registry.put(LEAVING)
    registry.remove('i-1')
    arrive(registry, HELD_UP)
    assert not is_used(registry)


@arrivals
def test_late_departure_of_an_earlier_start_changes_nothing(registry, arrive):
    """Guards against a new start that is taken out of use."""
    registry.put(start(LATER))
    arrive(registry, LEAVING)
    assert is_used(registry)


@arrivals
def test_departure_after_an_entry_of_an_earlier_start(registry, arrive):
    """Guards against a live start that an old entry puts out of order."""
    arrive(registry, start(EARLIER))
    arrive(registry, LEAVING)
    assert not is_used(registry)


@arrivals
@pytest.mark.parametrize('is_removed', [False, True])
def test_start_after_a_departure_is_used_at_once(registry, arrive, is_removed):
    """Guards against an instance that waits for the memory of a departure."""
    registry.put(LEAVING)
    if is_removed:
        registry.remove('i-1')
    arrive(registry, start(LATER))
    assert is_used(registry)
    assert registry.takes_work('i-1')


@arrivals
def test_same_start_that_lapsed_in_silence_is_used_again(registry, arrive):
    """Guards against a live instance that stays out of use."""
    registry.remove('i-1')
    arrive(registry, HELD_UP)
    assert is_used(registry)


@arrivals
def test_late_entry_after_a_lapse_is_believed_if_it_stands(registry, arrive):
    """Guards against a live instance whose next entries are not shown.

    They say the same as the late one, so the platform shows no change.
    """
    registry.remove('i-1')
    arrive(registry, attrs.evolve(READY, sequence=3))
    assert not is_used(registry)
    advance_time(registry, STANDING_SECONDS)
    assert is_used(registry)


def test_sequence_that_was_not_shown_holds_nothing_up(registry):
    """Guards against heartbeats that must all be seen."""
    registry.put(attrs.evolve(READY, slots=7, sequence=40))
    assert registry.usable('shop')[0].slots == 7
    registry.put(attrs.evolve(LEAVING, sequence=90))
    assert not is_used(registry)


@arrivals
@pytest.mark.parametrize('is_removed', [False, True])
def test_start_whose_clock_was_set_back_is_used(registry, arrive, is_removed):
    """Guards against a restart that counts as an earlier one for ever."""
    registry.put(LEAVING)
    if is_removed:
        registry.remove('i-1')
    arrive(registry, start(EARLIER))
    advance_time(registry, STANDING_SECONDS - 0.1)
    assert not is_used(registry)
    advance_time(registry, 0.1)
    assert is_used(registry)
    arrive(registry, start(EARLIER, sequence=7, is_leaving=True))
    assert not is_used(registry)


@pytest.mark.parametrize(
    'follow',
    [
        lambda registry: registry.put(start(LATER, sequence=2)),
        lambda registry: registry.remove('i-1'),
        lambda registry: registry.replace({}),
        lambda registry: registry.outage.begin(),
    ],
    ids=['written again', 'removed', 'not listed', 'outage'],
)
def test_entry_of_an_earlier_start_is_not_believed(registry, follow):
    """Guards against an old entry that no longer stands, or may not."""
    registry.put(start(LATER, is_leaving=True))
    registry.put(HELD_UP)
    follow(registry)
    advance_time(registry, STANDING_SECONDS)
    born = {each.born for each in registry.usable('shop')}
    assert BORN not in born


@pytest.mark.parametrize('changes', [{'born': 0}, {'sequence': None}])
def test_entries_without_an_order_are_taken_as_they_arrive(registry, changes):
    """Guards against daemons of earlier releases whose entries are ignored."""
    registry.put(LEAVING)
    registry.put(attrs.evolve(HELD_UP, **changes))
    assert is_used(registry)
    registry.put(LEAVING)
    assert not is_used(registry)


def test_outdated_entry_shows_that_the_platform_lists_it(registry):
    """Guards against dropping a listed instance at the end of an outage."""
    registry.outage.begin()
    registry.remove('i-1')
    list_again(registry, attrs.evolve(READY, sequence=3))
    registry.outage.end()
    advance_time(registry, STANDING_SECONDS)
    assert is_used(registry)


def test_outdated_entries_are_notified(registry):
    """Guards against entries that are ignored without a line in the log."""
    events = []
    registry.notify = lambda event, _instance, **fields: events.append(
        (event, fields)
    )
    registry.put(LEAVING)
    registry.put(HELD_UP)
    inputs = {
        'is_leaving': False,
        'born': BORN,
        'sequence': 8,
        'known_born': BORN,
        'known_sequence': 9,
    }
    assert events[1:] == [('entry_outdated', inputs)]


def test_order_is_forgotten_with_the_departure(registry):
    """Guards against memory that grows with each replaced instance."""
    registry.remove('i-1')
    advance_time(registry, DEPARTURE_MEMORY_SECONDS)
    assert not registry.order.newest
