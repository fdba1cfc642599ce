"""Choice of an instance by the time until its answer."""

import asyncio
import collections
import itertools
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
from tanagerbend_routing.candidates import MOST_COMPARED
from tanagerbend_routing.placement import (
    FULL_SECONDS,
    JITTER,
    LONGEST_FULL_SECONDS,
)
from tanagerbend_timer import ManualTimer

NEAR = ListedInstance('near', '10.0.0.1:80', 'shop', 'north', 6)
FAR = ListedInstance('far', '10.0.0.2:80', 'shop', 'south', 6)
BOTH = (NEAR, FAR)
NOBODY = frozenset()
BROWSE = PrefixRoute(
    'browse', 'h', '/b/', (Part('shop'),), Repeat.FREELY, 2.0, 0.3
)

PLATE = PrefixRoute(
    'plate', 'h', '/p/', (Part('shop'),), Repeat.FREELY, 3.0, 1.0
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


@pytest.fixture
def plates(placement):
    """Placement that knows large answers of both instances."""
    for _ in range(50):
        placement.served(NEAR, PLATE.name, 0.1, 90.0)
        placement.served(FAR, PLATE.name, 0.1, 90.0)
    return placement


def chosen_for_plates(placement, exclude=NOBODY, count=200):
    found = {
        placement.choose(BOTH, PLATE, exclude).identity for _ in range(count)
    }
    return found


def ends_in(placement, now):
    return placement.ends_in(
        NEAR,
        placement.of(NEAR),
        PLATE,
        placement.work_of(PLATE.name),
        now,
    )


def test_large_answers_stay_in_the_domain(plates):
    """Guards against large answers between domains while one is near."""
    plates.reported(NEAR, 0, LoadReport(12, 6, 0.0, 0.2, 0.002))
    plates.reported(FAR, 0, LoadReport(0, 6, 0.0, 0.0, 0.0))
    assert chosen_for_plates(plates) == {'near'}
    plates.unreachable(NEAR)
    assert chosen_for_plates(plates) == {'far'}


def test_large_answers_leave_a_domain_that_is_late(plates):
    """Guards against refusals beside a free link in another domain."""
    plates.reported(NEAR, 0, LoadReport(0, 6, 0.0, 1.2, 0.002))
    assert chosen_for_plates(plates) == {'far'}
    plates.reported(FAR, 0, LoadReport(0, 6, 0.0, 1.2, 0.002))
    assert chosen_for_plates(plates) == {'near'}


def test_refused_large_answer_is_placed_in_another_domain(plates):
    """Guards against giving up where only the own domain is full."""
    assert chosen_for_plates(plates, frozenset(('near',))) == {'far'}


def test_link_of_an_instance_is_used_while_it_works(plates):
    """Guards against times that are added though they pass together."""
    now = plates.timer.now()
    without = ends_in(plates, now)
    plates.reported(NEAR, 0, LoadReport(0, 6, 0.0, without, 0.0))
    assert ends_in(plates, now) == pytest.approx(without)
    plates.reported(NEAR, 0, LoadReport(0, 6, 0.0, without, 0.002))
    expected = without + 0.002 * 90.0
    assert ends_in(plates, now) == pytest.approx(expected)


def test_large_answers_count_between_reports(plates):
    """Guards against a herd that follows one old report of a link."""
    plates.reported(NEAR, 0, LoadReport(0, 6, 0.0, 0.0, 0.002))
    for _ in range(10):
        plates.asked(NEAR, PLATE.name)
    now = plates.timer.now()
    assert plates.of(NEAR).sending_until - now == pytest.approx(1.8)
    assert chosen_for_plates(plates) == {'far'}
    asyncio.run(plates.timer.advance(1.8))
    assert chosen_for_plates(plates) == {'near'}


def test_own_instance_saves_a_link(plates):
    """Guards against answers that leave two hosts instead of one."""
    other = attrs.evolve(NEAR, identity='other', address='10.0.0.3:80')
    plates.served(other, PLATE.name, 0.1, 90.0)
    plates.own_address = NEAR.address
    plates.sending = lambda size: size / 300_000
    plates.reported(NEAR, 0, LoadReport(0, 6, 0.0, 0.3, 0.002))
    plates.reported(other, 0, LoadReport(0, 6, 0.0, 0.0, 0.002))
    assert plates.choose((other, NEAR), PLATE, NOBODY) is NEAR
    plates.reported(NEAR, 0, LoadReport(0, 6, 0.0, 0.8, 0.002))
    assert plates.choose((other, NEAR), PLATE, NOBODY) is other


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
    placement.served(FAR, PLATE.name, 0.1, 90.0)
    placement.reported(NEAR, 0, LoadReport(12, 6, 0.0, 0.2, 0.002))
    assert chosen_for_plates(placement) == {'near'}


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


@pytest.fixture
def beside(placement):
    """Placement of a daemon beside the near one, which has a free slot."""
    placement.own_address = NEAR.address
    placement.own_free = lambda: 1
    return placement


def test_owner_that_refuses_in_a_row_is_asked_less_often(placement):
    """Guards against questions that cost more than what is served."""
    asked = []
    timer = placement.timer
    for _ in range(100):
        found = placement.choose((NEAR,), BROWSE, NOBODY)
        if found is not None:
            asked.append(timer.now())
            placement.full(found, 0)
        timer.time += 0.01
    gaps = [later - sooner for sooner, later in itertools.pairwise(asked)]
    assert gaps[0] < 2 * FULL_SECONDS
    assert max(gaps) <= LONGEST_FULL_SECONDS + 0.02
    assert len(asked) <= 9


def test_owner_whose_link_is_full_is_asked_as_often(placement):
    """Guards against callers of large answers that are held for longer."""
    for _ in range(5):
        placement.full(NEAR, 0, is_large=True)
    placement.timer.time += FULL_SECONDS + 0.001
    assert placement.choose((NEAR,), BROWSE, NOBODY) is NEAR


def test_owner_that_takes_requests_is_asked_soon_after_a_refusal(placement):
    """Guards against an owner that is left alone for its past."""
    for _ in range(5):
        placement.full(NEAR, 0)
    placement.reported(NEAR, 0, LoadReport(6, 6, 0.1))
    placement.full(NEAR, 0)
    placement.timer.time += FULL_SECONDS + 0.001
    assert placement.choose((NEAR,), BROWSE, NOBODY) is NEAR


def test_free_slot_on_the_own_host_goes_first(beside):
    """Guards against a second daemon on the way where none is needed."""
    for _ in range(50):
        beside.served(NEAR, 'browse', 0.12, 1.0)
        beside.served(FAR, 'browse', 0.1, 1.0)
    beside.reported(NEAR, 0, LoadReport(18, 6))
    assert chosen(beside) == 1


@pytest.mark.parametrize('free', [0, -3])
def test_own_host_without_a_free_slot_is_compared(beside, free):
    """Guards against a queue on the own host beside free slots."""
    beside.own_free = lambda: free
    beside.reported(NEAR, 0, LoadReport(18, 6))
    assert chosen(beside) == 0


@pytest.mark.parametrize('reason', ['slow', 'failing', 'unreachable', 'full'])
def test_own_instance_in_trouble_is_compared(beside, reason):
    """Guards against requests that stay with a slow or failing instance."""
    match reason:
        case 'slow':
            for _ in range(50):
                beside.served(NEAR, 'browse', 0.5, 1.0)
                beside.served(FAR, 'browse', 0.1, 1.0)
        case 'failing':
            for _ in range(9):
                beside.failed(NEAR)
        case 'unreachable':
            beside.unreachable(NEAR)
        case 'full':
            beside.full(NEAR, 0)
    assert chosen(beside) == 0


def test_own_instance_that_was_tried_is_not_tried_again(beside):
    """Guards against both tries of a request at one instance."""
    tried = frozenset((NEAR.identity,))
    assert beside.choose(BOTH, BROWSE, tried) is FAR


@pytest.fixture
def many():
    """Instances of a large deployment."""
    return tuple(
        attrs.evolve(NEAR, identity=f'i-{number}') for number in range(500)
    )


def test_choice_among_many_does_not_take_longer(placement, many, monkeypatch):
    """Guards against a choice that looks at each of many instances."""
    compared = []
    expected = placement.expected

    def count(instance, *options):
        compared.append(instance.identity)
        return expected(instance, *options)

    monkeypatch.setattr(placement, 'expected', count)
    placement.choose(many, BROWSE, NOBODY)
    assert 0 < len(compared) <= MOST_COMPARED


def test_many_instances_get_equal_shares(placement, many):
    """Guards against instances that a daemon never or mostly chooses."""
    found = collections.Counter(
        placement.choose(many, BROWSE, NOBODY).identity for _ in range(20000)
    )
    assert len(found) == len(many)
    assert max(found.values()) < 3 * 20000 / len(many)


def test_free_one_among_many_full_ones_is_found(placement, many):
    """Guards against a refusal while an instance is free."""
    for each in many:
        if each is not many[321]:
            placement.full(each, 0)
    for _ in range(20):
        assert placement.choose(many, BROWSE, NOBODY) is many[321]


def test_objective_counts_from_the_first_attempt(plates):
    """Guards against late answers to callers that were refused before."""
    for _ in range(3):
        assert plates.on_time_in(PLATE, 2.0) == PLATE.objective
    for number in range(50):
        left = 1.2 + 0.01 * number
        again = plates.on_time_in(PLATE, left)
        assert again == pytest.approx(PLATE.objective - (2.0 - left))
        assert plates.on_time_in(PLATE, 2.0) == PLATE.objective


def test_caller_without_a_deadline_changes_no_objective(plates):
    """Guards against callers that look late beside a patient one."""
    plates.on_time_in(PLATE, float('inf'))
    for _ in range(50):
        plates.on_time_in(PLATE, 2.0)
    assert plates.on_time_in(PLATE, 2.0) == pytest.approx(
        PLATE.objective, abs=0.01
    )


def test_mixed_patience_leaves_the_objective(plates):
    """Guards against callers that look late beside a few patient ones."""
    found = [
        plates.on_time_in(PLATE, 2.9 if number % 10 == 0 else 2.5)
        for number in range(500)
    ]
    late = [each for each in found if each < PLATE.objective]
    assert len(late) <= 2


def test_callers_of_all_times_left_change_no_objective(plates):
    """Guards against objectives by calls whose times have no pattern."""
    chance = random.Random(5)
    for _ in range(500):
        left = chance.uniform(0.5, 3.0)
        assert plates.on_time_in(PLATE, left) == PLATE.objective


def test_small_answers_keep_their_objective(placement):
    """Guards against small requests refused for their time left."""
    placement.on_time_in(BROWSE, 2.0)
    assert placement.on_time_in(BROWSE, 0.5) == BROWSE.objective
