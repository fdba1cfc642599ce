"""Tests of attributing the calls of an instance to its runs."""

import random

import pytest

from tanagerbend_routing import Run, Runs
from tanagerbend_routing.call_rates import CallRates
from tanagerbend_timer import ManualTimer


@pytest.fixture
def timer():
    """Timer that only the test advances."""
    return ManualTimer()


def test_call_is_attributed_to_run_with_same_deadline(timer):
    """Guards against attributing calls to a run with another deadline."""
    runs = Runs()
    first, retry = Run('page', 3.0), Run('page', 2.0, retry_share=1.0)
    with runs.hold(first, timer), runs.hold(retry, timer):
        assert runs.record_sent_call('price', ends=2.0) == 1.0
        assert runs.record_sent_call('price', ends=3.0) == 0.0


def test_call_is_divided_among_all_possible_runs(timer):
    """Guards against charging a whole retry for a call of an unknown run."""
    runs = Runs()
    retry = Run('page', 2.0, retry_share=1.0)
    with runs.hold(retry, timer), runs.hold(Run('page', 3.0), timer):
        with runs.hold(Run('page', 3.0), timer):
            assert runs.record_sent_call('price', ends=0.5) == pytest.approx(
                1 / 3
            )


def test_request_with_later_deadline_is_not_attributed(timer):
    """Guards against counting requests of other senders as retries."""
    runs = Runs()
    with runs.hold(Run('page', 2.0, retry_share=1.0), timer):
        assert runs.record_sent_call('page', ends=2.5) == 0.0
        assert runs.record_sent_call('page', ends=float('inf')) == 0.0


def test_ended_run_is_not_considered(timer):
    """Guards against retries that are counted after they have ended."""
    runs = Runs()
    with runs.hold(Run('page', 9.0, retry_share=1.0), timer):
        assert runs.record_sent_call('price', ends=1.0) == 1.0
    assert runs.record_sent_call('price', ends=1.0) == 0.0
    assert not runs.expected_retry_calls()


def test_calls_of_active_retries_are_predicted(timer):
    """Guards against starting retries before earlier ones make calls."""
    runs = Runs()
    for _ in range(50):
        with runs.hold(Run('page', 9.0), timer):
            runs.record_sent_call('price', ends=1.0)
            timer.time += 0.2
    with runs.hold(Run('page', 9.0, retry_share=0.5), timer):
        assert runs.expected_retry_calls()['price'] == pytest.approx(
            0.5, rel=0.1
        )


def test_routes_without_calls_get_low_rates():
    """Guards against attributing calls to long runs of other routes."""
    rng = random.Random(5)
    rates = CallRates()
    for _ in range(1500):
        active = ['order'] * rng.randint(1, 3)
        active += ['page'] * rng.randint(1, 4)
        for route in active:
            rates.record_run(route, 0.1)
        # Each run of the route makes a call with probability 0.2.
        for _ in range(active.count('page')):
            if rng.random() < 0.2:
                rates.record_call('price', active)
    assert rates.calls_per_run('page')['price'] == pytest.approx(0.2, rel=0.2)
    assert rates.calls_per_run('order')['price'] < 0.03


def test_rates_follow_a_change():
    """Guards against keeping the rate of calls that have stopped."""
    rates = CallRates()
    for calls in (1, 0):
        for _ in range(2000):
            rates.record_run('page', 0.2)
            for _ in range(calls):
                rates.record_call('price', ['page'])
    # Rates are updated only when calls are recorded.
    for _ in range(8):
        rates.record_call('price', ['page'])
    assert rates.calls_per_run('page')['price'] < 0.1


def test_observed_combinations_are_bounded():
    """Guards against memory that grows with each call."""
    rng = random.Random(5)
    rates = CallRates()
    for _ in range(20000):
        active = [f'r{rng.randint(0, 3)}' for _ in range(6)]
        rates.record_run(active[0], 0.1)
        rates.record_call('price', active)
    assert len(rates.services['price'].observed) < 200


def test_removed_routes_and_services_are_dropped():
    """Guards against errors and memory growth from removed routes."""
    rates = CallRates()
    rates.record_run('removed', 0.2)
    rates.record_call('gone', ['removed'])
    for _ in range(1200):
        rates.record_run('page', 60.0)
        for _ in range(10):
            rates.record_call('price', ['page'])
    assert set(rates.run_times) == {'page'}
    assert set(rates.services) == {'price'}


def test_run_of_zero_duration_is_accepted():
    """Guards against a division by a run time of zero."""
    rates = CallRates()
    rates.record_run('page', 1.0)
    rates.record_run('order', 0.0)
    for _ in range(20):
        shares = rates.record_call('price', ['page', 'order'])
    assert shares['page'] > 0
