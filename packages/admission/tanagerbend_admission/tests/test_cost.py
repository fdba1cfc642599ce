"""Estimated costs of requests and the time until a slot is free."""

import random

import pytest

from tanagerbend_admission import (
    CostModel,
    Features,
    InstanceSpeed,
    ObjectiveQueue,
    Work,
    wait_for_slot,
)
from tanagerbend_admission.cost import MAX_VALUES
from tanagerbend_timer import ManualTimer

SECONDS = 0.1
REPORTED = Features.of_request('report', 'desk', '/report/year', 0)
SHORT = Features.of_request('report', 'desk', '/report/day', 0)


@pytest.fixture
def rng():
    return random.Random(7)


@pytest.fixture
def queue():
    """Queue of one slot, of an instance that states its speed."""
    made = ObjectiveQueue(ManualTimer(), 1)
    made.instance.speed.report(1.0, 0.0)
    for _ in range(20):
        made.instance.costs.observe(Features('browse'), SECONDS)
    return made


def work(on_time=1.0, deadline=2.0):
    return Work('browse', 0, on_time, deadline)


def test_path_that_always_costs_more_is_estimated_higher(rng):
    """Guards against light requests that are refused for a heavy path."""
    model = CostModel()
    for _ in range(100):
        spread = rng.lognormvariate(0, 0.3)
        model.observe(REPORTED, 0.5 * spread)
        model.observe(SHORT, 0.05 * spread)
    heavy, light = model.estimate(REPORTED).mean, model.estimate(SHORT).mean
    assert heavy > 4 * light
    assert model.estimate(Features('report')).mean > light


def test_paths_that_predict_nothing_change_nothing(rng):
    """Guards against estimates by chance: one slow request marks a path."""
    model = CostModel()
    paths = [
        Features.of_request('browse', 'desk', f'/browse/{number}', 0)
        for number in range(40)
    ]
    for _ in range(400):
        is_heavy = rng.random() < 0.03
        seconds = SECONDS * rng.lognormvariate(0, 0.5) * (7 if is_heavy else 1)
        model.observe(rng.choice(paths), seconds)
    means = [model.estimate(path).mean for path in paths]
    assert max(means) < 1.5 * min(means)


def test_memory_for_paths_is_bounded():
    """Guards against a daemon that remembers every path that it has seen."""
    model = CostModel()
    for number in range(3 * MAX_VALUES):
        features = Features.of_request('browse', 'desk', f'/{number}', 0)
        model.observe(features, SECONDS)
    paths = model.routes['browse'].features[-1].known
    assert len(paths) == MAX_VALUES
    assert f'/{3 * MAX_VALUES - 1}' in paths


def test_request_that_has_run_long_is_expected_to_run_on():
    """Guards against a queue behind a heavy request that seems about to end."""
    model = CostModel()
    model.observe(Features('browse'), SECONDS)
    estimate = model.estimate(Features('browse'))
    assert estimate.remaining(0.0) == pytest.approx(SECONDS)
    assert estimate.remaining(SECONDS) < SECONDS
    assert estimate.remaining(3 * SECONDS) > SECONDS


async def test_speed_at_this_moment_decides(queue):
    """Guards against keeping a request behind an instance that is slow now.

    The last answers took the usual time, and the last one states that work
    takes 2.5 times as long.
    """
    assert await queue.enter(work()) is None
    assert queue.refusal_at_arrival(work(on_time=0.3)) is None
    queue.instance.speed.report(2.5, 0.0)
    assert queue.refusal_at_arrival(work(on_time=0.3)) is not None
    await queue.timer.advance(2.0)
    assert queue.instance.seconds(work()) < 1.1 * SECONDS


async def test_elapsed_time_of_a_running_request_counts(queue):
    """Guards against counting a request that nearly ends as a fresh one."""
    assert await queue.enter(work()) is None
    fresh = queue.wait(work()).mean
    await queue.timer.advance(0.9 * SECONDS)
    assert queue.wait(work()).mean < fresh / 2
    await queue.timer.advance(4 * SECONDS)
    assert queue.wait(work()).mean > fresh


def test_time_at_a_slow_moment_is_not_a_high_cost():
    """Guards against costs that are learned from noise of the machine."""
    queue = ObjectiveQueue(ManualTimer(), 1)
    queue.instance.speed.report(2.5, 0.0)
    for _ in range(20):
        queue.instance.begin(work())
        # The clock of the test stands still, so the work done is set.
        queue.instance.speed.work_at_report += SECONDS
        queue.instance.end(work(), 2.5 * SECONDS, is_complete=True)
    cost = queue.instance.costs.estimate(Features('browse')).mean
    assert cost == pytest.approx(SECONDS)
    assert queue.instance.speed.ratio == pytest.approx(1.0)


def test_wait_agrees_with_a_simulation(rng):
    """Guards against waits that are too low or too high for several slots."""
    expected = wait_for_slot([SECONDS] * 3, [SECONDS] * 4, 3).mean
    total = 0.0
    for _ in range(2000):
        times = [SECONDS * rng.lognormvariate(-0.125, 0.5) for _ in range(7)]
        slots = sorted(times[:3])
        for each in times[3:]:
            slots = sorted([slots[0] + each, *slots[1:]])
        total += slots[0]
    assert expected == pytest.approx(total / 2000, rel=0.15)


def test_old_report_of_the_speed_fades():
    """Guards against a stale report that slows down all later estimates."""
    speed = InstanceSpeed()
    for second in range(100):
        speed.report(1.0, second)
    speed.report(2.5, 100.0)
    assert speed.at(100.0) == 2.5
    assert speed.at(101.0) < 1.2
