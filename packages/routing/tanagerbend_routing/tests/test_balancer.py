"""Tests of selecting instances by observed calls."""

import random
from collections import Counter

import attrs
import pytest

from tanagerbend_model import Refusal
from tanagerbend_routing import Result


@pytest.fixture
def call(balancer):
    """Return a function that sends one call and returns its host."""

    def call(route, result=Result.ANSWERED, seconds=0.01):
        member = balancer.choose(route)
        stats = balancer.call_started(member)
        balancer.call_finished(member, stats, result, seconds)
        return member.host

    return call


def fail_calls(balancer, member, count):
    """Record failed calls to one instance."""
    for _ in range(count):
        stats = balancer.call_started(member)
        balancer.call_finished(member, stats, Result.FAILED, 0.1)


async def advance_time(balancer, seconds):
    """Advance the manual timer."""
    await balancer.timer.advance(seconds)


def count_choices(balancer, route, count=300):
    """Return how often each host is chosen without sending calls."""
    return Counter(balancer.choose(route).host for _ in range(count))


def test_idle_instances_of_own_domain_get_equal_shares(
    balancer, make_member, make_route, call
):
    """Guards against calls that cross domains or pile up at one instance."""
    near = [make_member(f'near-{index}') for index in range(4)]
    far = [make_member(f'far-{index}', 'celaya') for index in range(4)]
    counts = Counter(call(make_route(*near, *far)) for _ in range(400))
    assert set(counts) == {member.host for member in near}
    assert min(counts.values()) > 60


def test_slow_or_busy_instance_gets_fewer_calls(
    balancer, make_member, make_route
):
    """Guards against ignoring latency or outstanding calls."""
    members = [make_member(name) for name in ('slow', 'busy', 'idle')]
    route = make_route(*members)
    balancer.choose(route)
    balancer.stats_of(members[0]).latency = 0.1
    for member in members[1:]:
        balancer.stats_of(member).latency = 0.01
    for _ in range(3):
        balancer.call_started(members[1])
    counts = count_choices(balancer, route)
    assert counts['idle'] > counts['busy'] > counts['slow']


async def test_calls_spill_when_own_domain_is_overloaded(
    balancer, make_member, make_route
):
    """Guards against refusals while other domains have capacity."""
    near, far = make_member('near'), make_member('far', 'celaya')
    route = make_route(near, far)
    balancer.choose(route)
    for _ in range(3):
        stats = balancer.call_started(near)
        balancer.call_finished(near, stats, Result.REFUSED, 0.0)
    assert balancer.choose(route) is far
    await advance_time(balancer, 10)
    assert balancer.choose(route) is near


def test_reported_load_has_limited_effect(balancer, make_member, make_route):
    """Guards against false or old reports that attract or repel all calls."""
    underreporting, honest = (
        make_member('underreporting'),
        make_member('honest'),
    )
    route = make_route(underreporting, honest)
    balancer.choose(route)
    stats = balancer.stats_of(honest)
    for text in ('', 'much', '-5', '99999', '١٠'):
        balancer.record_reported_load(stats, text)
    assert stats.load_reported_at == float('-inf')
    balancer.record_reported_load(stats, '100')
    for _ in range(2):
        balancer.call_started(underreporting)
    assert balancer.choose(route) is honest


async def test_new_instance_gets_slow_start(balancer, make_member, make_route):
    """Guards against a full share of calls for a new, cold instance."""
    old = [make_member(f'old-{index}') for index in range(3)]
    balancer.choose(make_route(*old))
    route = make_route(*old, make_member('new'))
    assert count_choices(balancer, route)['new'] == 0
    await advance_time(balancer, 11)
    assert count_choices(balancer, route)['new'] > 40


async def test_failing_instance_is_ejected_for_a_growing_time(
    balancer, make_member, make_route
):
    """Guards against calls to an instance that fails every call."""
    members = [make_member(f'host-{index}') for index in range(3)]
    route = make_route(*members)
    balancer.choose(route)
    fail_calls(balancer, members[0], 3)
    assert count_choices(balancer, route)['host-0'] == 0
    await advance_time(balancer, 1.1)
    assert 'host-0' not in balancer._ejected_hosts(balancer.timer.now())
    fail_calls(balancer, members[0], 1)
    await advance_time(balancer, 1.1)
    assert 'host-0' in balancer._ejected_hosts(balancer.timer.now())


def test_at_most_a_third_of_a_service_is_ejected(
    balancer, make_member, make_route
):
    """Guards against a local network fault that ejects a whole service."""
    members = [make_member(f'host-{index}') for index in range(7)]
    balancer.choose(make_route(*members))
    for member in members:
        fail_calls(balancer, member, 5)
    assert len(balancer.ejected) == 2


def test_new_incarnation_starts_with_fresh_statistics(
    balancer, make_member, make_route
):
    """Guards against applying failures of a dead process to its successor."""
    old = make_member('host')
    balancer.choose(make_route(old))
    stats = balancer.call_started(old)
    new = attrs.evolve(old, incarnation=2)
    balancer.choose(make_route(new))
    balancer.call_finished(old, stats, Result.FAILED, 1.0)
    assert balancer.stats_of(new).outstanding == 0
    assert balancer.stats_of(new).consecutive_failures == 0


def test_statistics_of_removed_hosts_are_dropped(
    balancer, make_member, make_route
):
    """Guards against memory that grows with each replaced host."""
    for index in range(100):
        route = make_route(make_member(f'host-{index}'))
        balancer.choose(route)
        balancer.retain({'artwork': (route,)})
    assert list(balancer.stats) == ['host-99']
    balancer.retain({})
    assert not balancer.stats
    assert not balancer.splits


def test_excluded_hosts_are_never_chosen(balancer, make_member, make_route):
    """Guards against retrying at the instance that has just failed."""
    route = make_route(make_member('one'), make_member('two'))
    tried = frozenset(('one',))
    assert {balancer.choose(route, tried).host for _ in range(50)} == {'two'}
    match balancer.choose(route, tried | {'two'}):
        case Refusal(code=code):
            assert code.name == 'NO_INSTANCE'


def test_outstanding_matches_open_calls(balancer, make_member, make_route):
    """Guards against outstanding counts that drift over many calls."""
    rng = random.Random(8)
    route = make_route(*(make_member(f'host-{index}') for index in range(5)))
    open_calls = []
    for _ in range(2000):
        if open_calls and rng.random() < 0.5:
            member, stats = open_calls.pop(rng.randrange(len(open_calls)))
            result = rng.choice(list(Result))
            balancer.call_finished(member, stats, result, rng.random())
        else:
            member = balancer.choose(route)
            open_calls.append((member, balancer.call_started(member)))
    counts = Counter(member.host for member, _stats in open_calls)
    for host, stats in balancer.stats.items():
        assert stats.outstanding == counts[host]
