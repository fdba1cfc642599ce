"""Tests of selecting an instance by the expected time until its answer."""

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
    WeightedService,
    Placement,
    PrefixRoute,
    Repeat,
)
from tanagerbend_routing.candidates import MAX_COMPARED
from tanagerbend_routing.placement import (
    REFUSAL_BACKOFF_SECONDS,
    JITTER,
    MAX_COLD_BACKOFF_SECONDS,
    MAX_REFUSAL_BACKOFF_SECONDS,
)
from tanagerbend_timer import ManualTimer

NEAR = ListedInstance('near', '10.0.0.1:80', 'shop', 'north', 6)
FAR = ListedInstance('far', '10.0.0.2:80', 'shop', 'south', 6)
BOTH = (NEAR, FAR)
NO_EXCLUSIONS = frozenset()
BROWSE = PrefixRoute(
    'browse', 'h', '/b/', (WeightedService('shop'),), Repeat.FREELY, 2.0, 0.3
)

PLATE = PrefixRoute(
    'plate', 'h', '/p/', (WeightedService('shop'),), Repeat.FREELY, 3.0, 1.0
)


@pytest.fixture
def placement():
    """Return the placement of a daemon in the north domain."""
    recorder = Recorder(ManualTimer())
    return Placement('north', random.Random(5), recorder)


def share_of_near(placement, count=200):
    """Return the share of choices that select the near instance."""
    found = [
        placement.choose(BOTH, BROWSE, NO_EXCLUSIONS).identity
        for _ in range(count)
    ]
    return found.count('near') / count


def test_own_domain_is_preferred(placement):
    """Guards against traffic between domains while the own one is idle."""
    for _ in range(50):
        placement.record_answer(NEAR, 'browse', 0.1, 90.0)
        placement.record_answer(FAR, 'browse', 0.1, 90.0)
    assert share_of_near(placement) == 1


def test_busy_instance_is_not_chosen(placement):
    """Guards against queueing while another domain has free slots."""
    placement.record_report(NEAR, 0, LoadReport(18, 6))
    assert share_of_near(placement) == 0


def test_own_requests_count_between_reports(placement):
    """Guards against sending all requests by one outdated report."""
    placement.record_report(NEAR, 0, LoadReport(0, 6))
    placement.observed_instance(NEAR).rank_load(0).outstanding = 12
    assert share_of_near(placement) == 0


def test_failing_instance_is_not_chosen(placement):
    """Guards against preferring an instance that fails all requests."""
    for _ in range(10):
        placement.record_failure(NEAR)
    assert share_of_near(placement) == 0


def test_unreachable_instance_is_used_if_it_is_the_only_one(placement):
    """Guards against refusing requests when all instances are avoided."""
    placement.record_unreachable(NEAR)
    assert share_of_near(placement) == 0
    only = placement.choose((NEAR,), BROWSE, NO_EXCLUSIONS)
    assert only is NEAR


def test_slow_instance_is_not_chosen(placement):
    """Guards against equal shares for instances of unequal speed."""
    for _ in range(50):
        placement.record_answer(NEAR, 'browse', 0.5, 1.0)
        placement.record_answer(FAR, 'browse', 0.05, 1.0)
    assert share_of_near(placement) == 0


@pytest.fixture
def plates(placement):
    """Return a placement that has observed large answers."""
    for _ in range(50):
        placement.record_answer(NEAR, PLATE.name, 0.1, 90.0)
        placement.record_answer(FAR, PLATE.name, 0.1, 90.0)
    return placement


def choose_for_plates(placement, exclude=NO_EXCLUSIONS, count=200):
    """Return the identities that are chosen for the route of large answers."""
    found = {
        placement.choose(BOTH, PLATE, exclude).identity for _ in range(count)
    }
    return found


def expected_seconds(placement, now):
    return placement.expected_seconds(
        NEAR,
        placement.observed_instance(NEAR),
        PLATE,
        placement.work_of(PLATE.name),
        now,
    )


def test_large_answers_stay_in_own_domain(plates):
    """Guards against remote large answers while a near instance is on time."""
    plates.record_report(NEAR, 0, LoadReport(12, 6, 0.0, 0.2, 0.002))
    plates.record_report(FAR, 0, LoadReport(0, 6, 0.0, 0.0, 0.0))
    assert choose_for_plates(plates) == {'near'}
    plates.record_unreachable(NEAR)
    assert choose_for_plates(plates) == {'far'}


def test_large_answers_leave_a_domain_whose_link_is_busy(plates):
    """Guards against refusals while another domain has a free link."""
    plates.record_report(NEAR, 0, LoadReport(0, 6, 0.0, 1.2, 0.002))
    assert choose_for_plates(plates) == {'far'}
    plates.record_report(FAR, 0, LoadReport(0, 6, 0.0, 1.2, 0.002))
    assert choose_for_plates(plates) == {'near'}


def test_refused_large_answer_is_placed_in_another_domain(plates):
    """Guards against giving up when only the own domain is full."""
    assert choose_for_plates(plates, frozenset(('near',))) == {'far'}


def test_work_overlaps_with_sending_earlier_answers(plates):
    """Guards against adding the times of overlapping work and sending."""
    now = plates.timer.now()
    without = expected_seconds(plates, now)
    plates.record_report(NEAR, 0, LoadReport(0, 6, 0.0, without, 0.0))
    assert expected_seconds(plates, now) == pytest.approx(without)
    plates.record_report(NEAR, 0, LoadReport(0, 6, 0.0, without, 0.002))
    expected = without + 0.002 * 90.0
    assert expected_seconds(plates, now) == pytest.approx(expected)


def test_large_answers_count_between_reports(plates):
    """Guards against placing all large answers by one outdated report."""
    plates.record_report(NEAR, 0, LoadReport(0, 6, 0.0, 0.0, 0.002))
    for _ in range(10):
        plates.record_placed(NEAR, PLATE.name)
    now = plates.timer.now()
    assert plates.observed_instance(
        NEAR
    ).link_busy_until - now == pytest.approx(1.8)
    assert choose_for_plates(plates) == {'far'}
    asyncio.run(plates.timer.advance(1.8))
    assert choose_for_plates(plates) == {'near'}


def test_local_instance_avoids_a_second_link(plates):
    """Guards against large answers that cross two host links."""
    other = attrs.evolve(NEAR, identity='other', address='10.0.0.3:80')
    plates.record_answer(other, PLATE.name, 0.1, 90.0)
    plates.local_address = NEAR.address
    plates.link_delay = lambda size: size / 300_000
    plates.record_report(NEAR, 0, LoadReport(0, 6, 0.0, 0.3, 0.002))
    plates.record_report(other, 0, LoadReport(0, 6, 0.0, 0.0, 0.002))
    assert plates.choose((other, NEAR), PLATE, NO_EXCLUSIONS) is NEAR
    plates.record_report(NEAR, 0, LoadReport(0, 6, 0.0, 0.8, 0.002))
    assert plates.choose((other, NEAR), PLATE, NO_EXCLUSIONS) is other


def test_less_urgent_work_is_not_counted(placement):
    """Guards against counting less urgent queues for urgent work."""
    for _ in range(50):
        placement.record_answer(NEAR, 'browse', 0.1, 10.0)
    placement.record_report(NEAR, 2, LoadReport(60, 6))
    placement.observed_instance(NEAR).rank_load(2).outstanding = 20
    assert share_of_near(placement) == 1


def test_owner_that_refused_is_not_chosen_during_backoff(placement):
    """Guards against sending more requests to owners that refuse them."""
    placement.back_off(NEAR, 0)
    placement.back_off(FAR, 0)
    assert placement.choose(BOTH, BROWSE, NO_EXCLUSIONS) is None
    asyncio.run(placement.timer.advance(2 * REFUSAL_BACKOFF_SECONDS))
    assert placement.choose(BOTH, BROWSE, NO_EXCLUSIONS) is not None


def test_cold_instance_is_asked_seldom(placement):
    """Guards against asking for the few requests that it tolerates."""
    cold = attrs.evolve(NEAR, cold_until=60.0)
    for _ in range(10):
        placement.back_off(cold, 0)
    asyncio.run(placement.timer.advance(MAX_COLD_BACKOFF_SECONDS - 0.1))
    assert placement.choose((cold,), BROWSE, NO_EXCLUSIONS) is None
    asyncio.run(placement.timer.advance(0.2))
    assert placement.choose((cold,), BROWSE, NO_EXCLUSIONS) is cold


def test_backoff_applies_to_one_rank_only(placement):
    """Guards against refusing urgent work because less urgent work waits."""
    placement.back_off(NEAR, 2)
    assert placement.choose((NEAR,), BROWSE, NO_EXCLUSIONS) is NEAR


def test_first_answer_sets_the_size(placement):
    """Guards against large answers between domains after a restart."""
    placement.record_answer(FAR, PLATE.name, 0.1, 90.0)
    placement.record_report(NEAR, 0, LoadReport(12, 6, 0.0, 0.2, 0.002))
    assert choose_for_plates(placement) == {'near'}


def test_relaxed_work_leaves_fast_instances_free(placement):
    """Guards against work with a tight objective left with slow instances."""
    slow = attrs.evolve(NEAR, identity='slow')
    relaxed = attrs.evolve(BROWSE, name='order', objective=9.0)
    for route in ('browse', 'order'):
        for _ in range(50):
            placement.record_answer(NEAR, route, 0.07, 1.0)
            placement.record_answer(slow, route, 0.16, 1.0)
    both = (NEAR, slow)
    assert placement.choose(both, BROWSE, NO_EXCLUSIONS) is NEAR
    assert placement.choose(both, relaxed, NO_EXCLUSIONS) is slow


def test_each_instance_is_looked_up_once(placement, monkeypatch):
    """Guards against repeated lookups of the state of an instance."""
    lookups = []
    original_of = placement.observed_instance

    def count(instance):
        lookups.append(instance.identity)
        return original_of(instance)

    monkeypatch.setattr(placement, 'observed_instance', count)
    placement.choose(BOTH, BROWSE, NO_EXCLUSIONS)
    assert lookups == ['near', 'far']
    assert not original_of(FAR).ranks


def test_observations_after_retain_are_used(placement):
    """Guards against choosing by state that ``retain`` has removed."""
    placement.choose(BOTH, BROWSE, NO_EXCLUSIONS)
    placement.retain(())
    placement.record_unreachable(NEAR)
    assert share_of_near(placement) == 0


def test_instance_of_least_cost_is_chosen(placement):
    """Guards against a shortcut that skips the instance of least cost."""
    rng = random.Random(7)
    instances = tuple(
        attrs.evolve(NEAR, identity=f'i-{number}', slots=1 + number % 3)
        for number in range(20)
    )
    for _ in range(300):
        each = rng.choice(instances)
        placement.record_answer(each, 'browse', rng.random(), 1.0)
        placement.record_report(each, 0, LoadReport(rng.randrange(9), 6))
        if rng.random() < 0.1:
            placement.record_failure(each)
        jitters = random.Random()
        jitters.setstate(placement.random.getstate())
        work = placement.work_of('browse')
        expected = {
            instance.identity: placement.expected_cost(
                instance,
                placement.observed_instance(instance),
                BROWSE,
                work,
                0.0,
            )
            * (1 + JITTER * jitters.random())
            for instance in instances
            if placement.observed_instance(instance).is_preferred(0.0)
        }
        found = placement.choose(instances, BROWSE, NO_EXCLUSIONS)
        assert found.identity == min(expected, key=expected.get)


@pytest.fixture
def placement_with_local(placement):
    """Return a placement whose local instance has a free slot."""
    placement.local_address = NEAR.address
    placement.local_free_slots = lambda: 1
    return placement


def test_backoff_grows_with_consecutive_refusals(placement):
    """Guards against spending more on refusals than on served requests."""
    attempts = []
    timer = placement.timer
    for _ in range(100):
        found = placement.choose((NEAR,), BROWSE, NO_EXCLUSIONS)
        if found is not None:
            attempts.append(timer.now())
            placement.back_off(found, 0)
        timer.time += 0.01
    gaps = [later - sooner for sooner, later in itertools.pairwise(attempts)]
    assert gaps[0] < 2 * REFUSAL_BACKOFF_SECONDS
    assert max(gaps) <= MAX_REFUSAL_BACKOFF_SECONDS + 0.02
    assert len(attempts) <= 9


def test_backoff_stays_short_for_large_answers(placement):
    """Guards against long backoffs for a link that is free again soon."""
    for _ in range(5):
        placement.back_off(NEAR, 0, is_large=True)
    placement.timer.time += REFUSAL_BACKOFF_SECONDS + 0.001
    assert placement.choose((NEAR,), BROWSE, NO_EXCLUSIONS) is NEAR


def test_backoff_is_reset_after_a_served_request(placement):
    """Guards against a long backoff after the owner has served a request."""
    for _ in range(5):
        placement.back_off(NEAR, 0)
    placement.record_report(NEAR, 0, LoadReport(6, 6, 0.1))
    placement.back_off(NEAR, 0)
    placement.timer.time += REFUSAL_BACKOFF_SECONDS + 0.001
    assert placement.choose((NEAR,), BROWSE, NO_EXCLUSIONS) is NEAR


def test_free_local_slot_is_used_first(placement_with_local):
    """Guards against using a second daemon when the local one suffices."""
    for _ in range(50):
        placement_with_local.record_answer(NEAR, 'browse', 0.12, 1.0)
        placement_with_local.record_answer(FAR, 'browse', 0.1, 1.0)
    placement_with_local.record_report(NEAR, 0, LoadReport(18, 6))
    assert share_of_near(placement_with_local) == 1


@pytest.mark.parametrize('free', [0, -3])
def test_local_instance_without_a_free_slot_is_compared(
    placement_with_local, free
):
    """Guards against queueing locally while others have free slots."""
    placement_with_local.local_free_slots = lambda: free
    placement_with_local.record_report(NEAR, 0, LoadReport(18, 6))
    assert share_of_near(placement_with_local) == 0


@pytest.mark.parametrize('reason', ['slow', 'failing', 'unreachable', 'full'])
def test_impaired_local_instance_is_compared(placement_with_local, reason):
    """Guards against preferring a slow or failing local instance."""
    match reason:
        case 'slow':
            for _ in range(50):
                placement_with_local.record_answer(NEAR, 'browse', 0.5, 1.0)
                placement_with_local.record_answer(FAR, 'browse', 0.1, 1.0)
        case 'failing':
            for _ in range(9):
                placement_with_local.record_failure(NEAR)
        case 'unreachable':
            placement_with_local.record_unreachable(NEAR)
        case 'full':
            placement_with_local.back_off(NEAR, 0)
    assert share_of_near(placement_with_local) == 0


def test_excluded_local_instance_is_not_chosen(placement_with_local):
    """Guards against sending both attempts to one instance."""
    tried = frozenset((NEAR.identity,))
    assert placement_with_local.choose(BOTH, BROWSE, tried) is FAR


@pytest.fixture
def many():
    """Return the instances of a large deployment."""
    return tuple(
        attrs.evolve(NEAR, identity=f'i-{number}') for number in range(500)
    )


def test_number_of_compared_instances_is_bounded(placement, many, monkeypatch):
    """Guards against comparing each of many instances."""
    compared = []
    expected_cost = placement.expected_cost

    def count(instance, *options):
        compared.append(instance.identity)
        return expected_cost(instance, *options)

    monkeypatch.setattr(placement, 'expected_cost', count)
    placement.choose(many, BROWSE, NO_EXCLUSIONS)
    assert 0 < len(compared) <= MAX_COMPARED


def test_many_instances_get_equal_shares(placement, many):
    """Guards against instances that are never or too often chosen."""
    found = collections.Counter(
        placement.choose(many, BROWSE, NO_EXCLUSIONS).identity
        for _ in range(20000)
    )
    assert len(found) == len(many)
    assert max(found.values()) < 3 * 20000 / len(many)


def test_single_free_instance_among_many_is_found(placement, many):
    """Guards against refusing a request while an instance is free."""
    for each in many:
        if each is not many[321]:
            placement.back_off(each, 0)
    for _ in range(20):
        assert placement.choose(many, BROWSE, NO_EXCLUSIONS) is many[321]


def test_objective_counts_from_the_first_attempt(plates):
    """Guards against late answers to callers that try again."""
    for _ in range(3):
        assert plates.remaining_objective(PLATE, 2.0) == PLATE.objective
    for number in range(50):
        left = 1.2 + 0.01 * number
        again = plates.remaining_objective(PLATE, left)
        assert again == pytest.approx(PLATE.objective - (2.0 - left))
        assert plates.remaining_objective(PLATE, 2.0) == PLATE.objective


def test_caller_without_a_deadline_leaves_the_objective(plates):
    """Guards against a shorter objective after a call without deadline."""
    plates.remaining_objective(PLATE, float('inf'))
    for _ in range(50):
        plates.remaining_objective(PLATE, 2.0)
    assert plates.remaining_objective(PLATE, 2.0) == pytest.approx(
        PLATE.objective, abs=0.01
    )


def test_mixed_deadlines_leave_the_objective(plates):
    """Guards against taking callers with shorter deadlines for retries."""
    found = [
        plates.remaining_objective(PLATE, 2.9 if number % 10 == 0 else 2.5)
        for number in range(500)
    ]
    late = [each for each in found if each < PLATE.objective]
    assert len(late) <= 2


def test_random_deadlines_leave_the_objective(plates):
    """Guards against shortened objectives if deadlines have no pattern."""
    rng = random.Random(5)
    for _ in range(500):
        left = rng.uniform(0.5, 3.0)
        assert plates.remaining_objective(PLATE, left) == PLATE.objective


def test_small_answers_keep_their_objective(placement):
    """Guards against refusing small requests by their remaining time."""
    placement.remaining_objective(BROWSE, 2.0)
    assert placement.remaining_objective(BROWSE, 0.5) == BROWSE.objective
