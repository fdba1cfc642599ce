"""Choice of an instance by the time until its answer."""

import asyncio
import random

import attrs
import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_routing import (
    ListedInstance,
    LoadReport,
    Part,
    Placement,
    PrefixRoute,
    Repeat,
)
from tanagerbend_routing.placement import FULL_SECONDS, JITTER
from tanagerbend_timer import ManualTimer

NEAR = ListedInstance('near', '10.0.0.1:80', 'shop', 'north', 6)
FAR = ListedInstance('far', '10.0.0.2:80', 'shop', 'south', 6)
BOTH = (NEAR, FAR)
NOBODY = frozenset()
BROWSE = PrefixRoute(
    'browse', 'h', '/b/', (Part('shop'),), Repeat.FREELY, 2.0, 0.3
)


@pytest.fixture
def placement():
    """Placement of a daemon in the north."""
    recorder = Recorder(ManualTimer())
    return Placement('north', random.Random(5), recorder)


def chosen(placement, count=200):
    found = [
        placement.choose(BOTH, BROWSE, NOBODY).identity for _ in range(count)
    ]
    return found.count('near') / count


def test_own_domain_first(placement):
    """Guards against bytes between failure domains on a quiet day."""
    for _ in range(50):
        placement.served(NEAR, 'browse', 0.1, 90.0)
        placement.served(FAR, 'browse', 0.1, 90.0)
    assert chosen(placement) == 1


def test_busy_instance_sends_work_away(placement):
    """Guards against a queue beside free slots in another domain."""
    placement.reported(NEAR, 0, LoadReport(18, 6))
    assert chosen(placement) == 0


def test_own_requests_count_between_reports(placement):
    """Guards against a herd that follows one old report."""
    placement.reported(NEAR, 0, LoadReport(0, 6))
    placement.of(NEAR).of_rank(0).outstanding = 12
    assert chosen(placement) == 0


def test_refusing_instance_does_not_attract(placement):
    """Guards against an instance that looks free since it refuses all."""
    for _ in range(10):
        placement.failed(NEAR)
    assert chosen(placement) == 0


def test_unreachable_is_avoided_but_not_given_up(placement):
    """Guards against a route without instances when all are avoided."""
    placement.unreachable(NEAR)
    assert chosen(placement) == 0
    only = placement.choose((NEAR,), BROWSE, NOBODY)
    assert only is NEAR


def test_slow_instance_gets_less(placement):
    """Guards against equal shares for instances of unequal speed."""
    for _ in range(50):
        placement.served(NEAR, 'browse', 0.5, 1.0)
        placement.served(FAR, 'browse', 0.05, 1.0)
    assert chosen(placement) == 0


def test_large_answers_stay_in_the_domain(placement):
    """Guards against large answers between domains while one is near."""
    for _ in range(50):
        placement.served(NEAR, 'browse', 0.1, 90.0)
    placement.reported(NEAR, 0, LoadReport(60, 6))
    assert chosen(placement) == 1
    assert placement.choose(BOTH, BROWSE, frozenset(('near',))) is None
    placement.unreachable(NEAR)
    assert chosen(placement) == 0


def test_less_urgent_work_does_not_count(placement):
    """Guards against urgent work sent away from less urgent queues."""
    for _ in range(50):
        placement.served(NEAR, 'browse', 0.1, 10.0)
    placement.reported(NEAR, 2, LoadReport(60, 6))
    placement.of(NEAR).of_rank(2).outstanding = 20
    assert chosen(placement) == 1


def test_full_instance_is_not_asked_again_at_once(placement):
    """Guards against sending bodies to owners that refuse them."""
    placement.full(NEAR, 0)
    placement.full(FAR, 0)
    assert placement.choose(BOTH, BROWSE, NOBODY) is None
    asyncio.run(placement.timer.advance(2 * FULL_SECONDS))
    assert placement.choose(BOTH, BROWSE, NOBODY) is not None


def test_full_for_one_rank_is_open_for_others(placement):
    """Guards against urgent work refused for less urgent queues."""
    placement.full(NEAR, 2)
    assert placement.choose((NEAR,), BROWSE, NOBODY) is NEAR


def test_first_answer_tells_the_size(placement):
    """Guards against large answers between domains after a restart."""
    placement.served(FAR, 'browse', 0.1, 90.0)
    placement.reported(NEAR, 0, LoadReport(60, 6))
    assert chosen(placement) == 1


def test_patient_work_leaves_fast_instances(placement):
    """Guards against tight work that finds only slow instances free."""
    slow = attrs.evolve(NEAR, identity='slow')
    patient = attrs.evolve(BROWSE, name='order', objective=9.0)
    for route in ('browse', 'order'):
        for _ in range(50):
            placement.served(NEAR, route, 0.07, 1.0)
            placement.served(slow, route, 0.16, 1.0)
    both = (NEAR, slow)
    assert placement.choose(both, BROWSE, NOBODY) is NEAR
    assert placement.choose(both, patient, NOBODY) is slow


def test_each_instance_is_looked_up_once(placement, monkeypatch):
    """Guards against work for each instance that is done again."""
    looked_up = []
    look_up = placement.of

    def count(instance):
        looked_up.append(instance.identity)
        return look_up(instance)

    monkeypatch.setattr(placement, 'of', count)
    placement.choose(BOTH, BROWSE, NOBODY)
    assert looked_up == ['near', 'far']
    assert not look_up(FAR).ranks


def test_what_is_seen_after_entries_are_dropped_counts(placement):
    """Guards against a choice by what was seen of an earlier entry."""
    placement.choose(BOTH, BROWSE, NOBODY)
    placement.retain(())
    placement.unreachable(NEAR)
    assert chosen(placement) == 0


def test_no_instance_is_skipped_that_answers_first(placement):
    """Guards against a short cut that changes the choice."""
    chance = random.Random(7)
    instances = tuple(
        attrs.evolve(NEAR, identity=f'i-{number}', slots=1 + number % 3)
        for number in range(20)
    )
    for _ in range(300):
        each = chance.choice(instances)
        placement.served(each, 'browse', chance.random(), 1.0)
        placement.reported(each, 0, LoadReport(chance.randrange(9), 6))
        if chance.random() < 0.1:
            placement.failed(each)
        jitters = random.Random()
        jitters.setstate(placement.random.getstate())
        work = placement.work_of('browse')
        expected = {
            instance.identity: placement.expected(
                instance, placement.of(instance), BROWSE, work, 0.0
            )
            * (1 + JITTER * jitters.random())
            for instance in instances
            if placement.of(instance).is_preferred(0.0)
        }
        found = placement.choose(instances, BROWSE, NOBODY)
        assert found.identity == min(expected, key=expected.get)
