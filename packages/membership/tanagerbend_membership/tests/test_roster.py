"""Merging, comparison and validation of member records."""

import random

import attrs
import pytest

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Comparison, Roster, compare, missing_at_peer
from tanagerbend_membership import index as member_index
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer

FLEET = 3700


def record(number, **changes):
    """Return a member record."""
    member = Member(
        f'host-{number}',
        'pattern',
        'kingston',
        'tas-south',
        1000 + number,
        1,
        MemberState.LIVE,
        f'10.1.{number // 250}.{number % 250 + 1}:7000',
        f'10.1.{number // 250}.{number % 250 + 1}:7001',
    )
    return attrs.evolve(member, **changes)


@pytest.fixture
def make_roster():
    """Return a function that creates the roster of a host."""
    return lambda number: Roster(record(number), Recorder(ManualTimer()))


def exchange(here, there, chance):
    """Run one sync between two rosters as Propagation does."""
    start = int(chance.uniform(0, 64))
    comparison = compare(there.index, tuple(here.index.hashes), start)
    assert len(comparison.members) <= 256
    here.merge(comparison.members)
    there.merge(missing_at_peer(here.index, comparison))


def test_syncs_converge_when_all_records_differ(make_roster):
    """Guards against replies that always hold the same records."""
    here, there = make_roster(0), make_roster(1)
    chance = random.Random(5)
    here.merge(record(number) for number in range(0, FLEET, 2))
    there.merge(record(number, sequence=2) for number in range(0, FLEET, 3))
    syncs = 0
    while here.index.hashes != there.index.hashes:
        syncs += 1
        assert syncs < 200
        exchange(here, there, chance)
    assert here.members == there.members


def test_equal_changes_of_two_members_change_the_hash(make_roster):
    """Guards against a linear hash, under which equal changes cancel out."""
    roster = make_roster(0)
    members = [record(number, incarnation=7) for number in range(1, FLEET)]
    roster.merge(members)
    before = list(roster.index.hashes)
    bucket = [hosts for hosts in roster.index.buckets if len(hosts) > 2][1]
    same_length = {}
    for host in bucket:
        same_length.setdefault(len(host), []).append(bucket[host])
    first, second = max(same_length.values(), key=len)[:2]
    drained = {'state': MemberState.DRAINING, 'sequence': 2}
    roster.merge(attrs.evolve(member, **drained) for member in (first, second))
    assert roster.index.hashes != before


@pytest.mark.parametrize(
    'changes',
    [
        {'peer_address': '10.0.0.1:99999'},
        {'peer_address': '10.0.0.1:+80'},
        {'call_address': 'localhost:80'},
        {'call_address': '0.0.0.0:80'},
        {'host': 'a\nb'},
        {'service': ''},
        {'region': 'r' * 200},
        {'sequence': 2**62 + 1},
        {'incarnation': -1},
    ],
)
def test_invalid_records_are_counted_and_skipped(make_roster, changes):
    """Guards against unchecked names, addresses and numbers of a peer."""
    roster = make_roster(0)
    good = record(2)
    roster.merge((record(1, **changes), good))
    assert set(roster.members) == {'host-0', 'host-2'}
    counters = roster.recorder.counters
    assert counters.get('records_refused', 'invalid') == 1


def test_roster_is_bounded(make_roster, monkeypatch):
    """Guards against a peer that fills the memory with invented hosts."""
    monkeypatch.setattr(member_index, 'MAX_MEMBERS', 50)
    roster = make_roster(0)
    roster.merge(record(number) for number in range(1, 100))
    assert len(roster.members) == 50
    gone = attrs.evolve(record(3), state=MemberState.GONE)
    roster.merge((gone, record(98)))
    assert 'host-98' in roster.members
    assert 'host-3' not in roster.members


def test_older_of_two_processes_of_a_host_takes_no_new_work(make_roster):
    """Guards against two processes that serve under one host name."""
    roster = make_roster(0)
    second = record(0, incarnation=9**9, peer_address='10.9.9.9:1')
    roster.merge((second,))
    assert roster.own.state is MemberState.DRAINING
    roster.merge((attrs.evolve(second, state=MemberState.SUSPECTED),))
    assert roster.own.state is MemberState.LIVE
    assert roster.own.incarnation > second.incarnation


def test_restart_with_the_clock_set_back_supersedes_the_dead_process(
    make_roster,
):
    """Guards against a restart that loses to the record of a dead process."""
    roster = make_roster(0)
    earlier = record(0, incarnation=9**9, sequence=40)
    roster.merge((earlier,))
    assert roster.own.freshness > earlier.freshness
    assert roster.own.state is MemberState.LIVE


def test_comparison_with_invalid_buckets_is_empty(make_roster):
    """Guards against unchecked bucket numbers of a peer as indexes."""
    roster = make_roster(0)
    assert compare(roster.index, (1, 2, 3), 0) == Comparison()
    assert missing_at_peer(roster.index, Comparison((-1, 64, 10**9), ())) == ()


def test_gone_records_are_not_stored_again(make_roster):
    """Guards against records of gone hosts that circulate forever."""
    here, there = make_roster(0), make_roster(1)
    gone = record(2, state=MemberState.GONE)
    here.merge((record(2), gone, there.own))
    there.merge((here.own,))
    assert here.index.hashes == there.index.hashes
    there.merge((gone,))
    assert 'host-2' not in there.members


def test_records_that_come_in_bulk_are_not_repeated(make_roster):
    """Guards against a restarted daemon that sends each record 8 times.

    In a fleet of the target size it would repeat 3,700 records that all
    other members hold already.
    """
    roster = make_roster(0)
    roster.merge(record(number) for number in range(1, 200))
    assert tuple(roster.recent_changes.take()) == ('host-0',)
    roster.merge([record(200)])
    assert 'host-200' in roster.recent_changes.take()
