"""Changes of instances that arrive before the configuration."""

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.applying import Applier
from tanagerbend_proxy.changes import Batch, Item, Removed
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.positions import START, StorePosition
from tanagerbend_routing import (
    CallerLimits,
    EvacuationOrder,
    ListedInstance,
    RoutingConfiguration,
)
from tanagerbend_timer import ManualTimer

READY = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 2)
LEAVING = attrs.evolve(READY, is_leaving=True)
LIMITS = CallerLimits(16384, 100000, 3, 15)


def at(revision, era=0):
    return StorePosition(era, revision)


def version(number):
    return Item('', RoutingConfiguration(number, {}, LIMITS))


@pytest.fixture
def make_applier():
    """Return a function that makes an applier, listed at revision 10."""

    def make():
        recorder = Recorder(ManualTimer())
        state = DeploymentState(recorder, DecisionLog('host', recorder))
        found = Applier(state)
        found.apply_listing(Batch((version(1), Item('i-1', READY)), at(10)))
        return found

    return make


@pytest.fixture
def applier(make_applier):
    """Applier after a listing at revision 10."""
    return make_applier()


def usable(applier):
    return [each.identity for each in applier.knowledge.registry.usable('shop')]


def test_older_answer_does_not_bring_an_instance_back(applier):
    """Guards against a slow answer that undoes what was read meanwhile."""
    applier.apply(
        Batch((Item('i-1', LEAVING),), at(14), after=at(10), complete=START)
    )
    assert usable(applier) == []
    assert (applier.position, applier.entries_position) == (at(10), at(14))
    older = (version(2), Item('i-1', READY))
    applier.apply(Batch(older, at(12), after=at(10)))
    assert usable(applier) == []
    assert applier.knowledge.version == 2
    assert (applier.position, applier.entries_position) == (at(12), at(14))
    applier.apply_listing(Batch((version(3), Item('i-1', READY)), at(13)))
    assert usable(applier) == []
    assert applier.knowledge.version == 3


def test_only_the_newest_change_of_an_instance_is_applied(applier):
    """Guards against a departure that an answer repeats with its past."""
    applier.apply(
        Batch((Item('i-1', LEAVING),), at(14), after=at(10), complete=START)
    )
    departed_at = dict(applier.knowledge.registry.departed_at)
    past = (Item('i-1', READY), version(2), Item('i-1', LEAVING))
    applier.apply(Batch(past, at(15), after=at(10)))
    assert usable(applier) == []
    assert applier.knowledge.registry.departed_at == departed_at


ORDERED = attrs.evolve(READY, born=900, sequence=4)
SAID_LEAVING = attrs.evolve(ORDERED, is_leaving=True, sequence=7)
HELD_UP = attrs.evolve(ORDERED, sequence=6)


def follow(follower, applier):
    """Let a daemon take what it lacks from another one."""
    after = follower.entries_position
    items = applier.log.since(after)
    follower.apply(Batch(items, applier.entries_position, after=after))


@pytest.fixture
def follower(make_applier):
    """Daemon that takes its changes from another one."""
    return make_applier()


@pytest.mark.parametrize(
    'entries',
    [
        [SAID_LEAVING, HELD_UP],
        [SAID_LEAVING, attrs.evolve(HELD_UP, born=800)],
        [SAID_LEAVING, Removed(), HELD_UP],
    ],
    ids=['same start', 'earlier start', 'after its removal'],
)
def test_late_entry_hides_no_departure(applier, follower, entries):
    """Guards against an old entry that is taken for the newest change."""
    applier.apply(Batch((Item('i-1', ORDERED),), at(11), after=at(10)))
    follow(follower, applier)
    departure, *later = (Item('i-1', each) for each in entries)
    applier.apply(Batch((departure,), at(14), after=at(11)))
    follow(follower, applier)
    applier.apply(Batch(tuple(later), at(16), after=at(14)))
    follow(follower, applier)
    assert usable(applier) == usable(follower) == []


@pytest.mark.parametrize(
    'later',
    [[HELD_UP], [attrs.evolve(HELD_UP, born=800)], [Removed(), HELD_UP]],
    ids=['same start', 'earlier start', 'after its removal'],
)
def test_late_entry_hides_no_departure_in_one_answer(applier, follower, later):
    """Guards against an answer of which only the last entry is taken."""
    applier.apply(Batch((Item('i-1', ORDERED),), at(11), after=at(10)))
    follow(follower, applier)
    items = tuple(Item('i-1', each) for each in (SAID_LEAVING, *later))
    applier.apply(Batch(items, at(14), after=at(11)))
    follow(follower, applier)
    assert usable(applier) == usable(follower) == []


def test_late_entry_of_a_listing_hides_no_departure(applier, follower):
    """Guards against peers that learn of an old entry by a listing."""
    applier.apply(Batch((Item('i-1', ORDERED),), at(11), after=at(10)))
    follow(follower, applier)
    applier.apply(Batch((Item('i-1', SAID_LEAVING),), at(14), after=at(11)))
    applier.reset()
    applier.apply_listing(Batch((version(1), Item('i-1', HELD_UP)), at(20)))
    follow(follower, applier)
    assert usable(applier) == usable(follower) == []


def test_start_after_a_removal_in_one_answer_is_used(applier):
    """Guards against a removal that hides the start after it."""
    applier.apply(Batch((Item('i-1', SAID_LEAVING),), at(11), after=at(10)))
    started = Item('i-1', attrs.evolve(ORDERED, born=950, sequence=1))
    again = (Item('i-1', Removed()), started)
    applier.apply(Batch(again, at(14), after=at(11)))
    assert usable(applier) == ['i-1']
    assert applier.log.since(at(11)) == again


def test_changes_after_a_gap_are_not_applied(applier):
    """Guards against a change that is missing for good."""
    applier.apply(Batch((Item('i-1', LEAVING),), at(20), after=at(15)))
    assert (applier.position, usable(applier)) == (at(10), ['i-1'])
    applier.reset()
    applier.apply(Batch((Item('i-1', Removed()),), at(20), after=at(10)))
    assert applier.position is None


def test_every_valid_version_of_an_answer_is_adopted(applier):
    """Guards against a later faulty version that hides a valid one."""
    applier.apply(Batch((version(4), version(2)), at(16), after=at(10)))
    assert applier.knowledge.version == 4


def order(domain, *, is_in_force=True):
    return Item('', EvacuationOrder(domain, is_in_force))


def evacuated(applier):
    return applier.knowledge.registry.evacuations.ordered


def test_evacuation_is_kept_until_it_is_taken_back(applier):
    """Guards against an order that an outage or a new listing drops."""
    applier.apply(Batch((order('north'), order('south')), at(11), after=at(10)))
    assert evacuated(applier) == {'north', 'south'}
    applier.knowledge.mark_service_lost('no answer')
    applier.reset()
    assert evacuated(applier) == {'north', 'south'}
    applier.apply_listing(Batch((version(1), order('north')), at(30)))
    assert evacuated(applier) == {'north'}
    applier.apply(
        Batch(
            (order('north', is_in_force=False),),
            at(31),
            after=at(30),
            complete=at(31),
        )
    )
    assert evacuated(applier) == frozenset()


def test_older_answer_does_not_order_an_evacuation_again(applier):
    """Guards against a late answer that undoes what was read meanwhile."""
    both = (order('north'), order('north', is_in_force=False))
    applier.apply(Batch(both, at(14), after=at(10)))
    applier.apply(Batch((order('north'),), at(12), after=at(10)))
    assert evacuated(applier) == frozenset()
    peer = Batch((), at(13), after=at(13), evacuated=frozenset({'north'}))
    applier.apply(peer)
    assert evacuated(applier) == frozenset()


def test_entries_read_ahead_do_not_hide_an_evacuation(applier):
    """Guards against an order that is skipped since entries are newer."""
    applier.apply(
        Batch((Item('i-1', READY),), at(20), after=at(10), complete=at(0))
    )
    applier.apply(Batch((order('north'),), at(15), after=at(10)))
    assert evacuated(applier) == {'north'}


def test_evacuations_of_a_peer_hold_up_to_its_complete_revision(applier):
    """Guards against a peer whose entries are newer than its orders."""
    applier.apply(Batch((order('north'),), at(15), after=at(10)))
    behind = Batch(
        (), at(20), after=at(15), complete=at(12), evacuated=frozenset()
    )
    applier.apply(behind)
    assert evacuated(applier) == {'north'}
    applier.apply(attrs.evolve(behind, position=at(25), complete=at(25)))
    assert evacuated(applier) == frozenset()


def test_earlier_era_teaches_nothing(applier):
    """Guards against daemons that bring back what the store has lost."""
    applier.apply_listing(Batch((Item('i-1', LEAVING),), at(5, era=1)))
    assert applier.position == at(5, era=1)
    applier.apply(Batch((Item('i-1', READY),), at(90), after=at(10)))
    assert usable(applier) == []
    assert applier.is_outdated(at(90))
    applier.reset()
    assert applier.is_outdated(at(90))


def test_peers_get_the_changes_across_an_era(applier):
    """Guards against followers that miss what a copy lacks."""
    applier.apply_listing(Batch((version(1),), at(5, era=1)))
    assert applier.log.since(at(10)) == (Item('i-1', Removed()),)
    assert applier.log.since(at(5, era=1)) == ()


def test_departure_holds_in_every_listing_of_an_era(applier):
    """Guards against a copy whose second listing brings an instance back."""
    applier.apply(Batch((Item('i-1', LEAVING),), at(14), after=at(10)))
    copy = (version(1), Item('i-1', READY))
    for revision in (5, 6):
        applier.apply_listing(Batch(copy, at(revision, era=1)))
        assert usable(applier) == []


def test_entry_that_a_peer_of_a_later_era_lacks_is_not_kept(applier):
    """Guards against an entry that stays since no peer removes it."""
    applier.apply(Batch((version(1),), at(8, era=1), after=at(10)))
    registry = applier.knowledge.registry
    assert not registry.entries or 'i-1' in registry.missing


def test_order_that_a_copy_lacks_is_listed_again(applier):
    """Guards against an evacuation that was taken back in an outage."""
    applier.apply(Batch((order('north'),), at(11), after=at(10)))
    applier.apply_listing(Batch((version(1),), at(5, era=1)))
    assert evacuated(applier) == {'north'}
    assert applier.has_unlisted_orders
    applier.apply_listing(Batch((version(1),), at(6, era=1)))
    assert evacuated(applier) == frozenset()
    assert not applier.has_unlisted_orders
