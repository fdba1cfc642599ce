"""Runs at an instance, and which of its calls are repeats."""

import random

import pytest

from tanagerbend_routing import Run, Runs
from tanagerbend_routing.call_rates import CallRates
from tanagerbend_timer import ManualTimer


@pytest.fixture
def timer():
    """Timer that only the test advances."""
    return ManualTimer()


def test_call_of_a_repeat_is_told_by_when_it_ends(timer):
    """Guards against calls that are taken for those of another run."""
    runs = Runs()
    first, again = Run('page', 3.0), Run('page', 2.0, repeated=1.0)
    with runs.hold(first, timer), runs.hold(again, timer):
        assert runs.called('price', ends=2.0) == 1.0
        assert runs.called('price', ends=3.0) == 0.0


def test_call_that_may_be_of_any_run_counts_in_parts(timer):
    """Guards against charging a whole repeat for what one of four caused."""
    runs = Runs()
    again = Run('page', 2.0, repeated=1.0)
    with runs.hold(again, timer), runs.hold(Run('page', 3.0), timer):
        with runs.hold(Run('page', 3.0), timer):
            assert runs.called('price', ends=0.5) == pytest.approx(1 / 3)


def test_request_that_outlives_all_runs_is_no_call(timer):
    """Guards against requests of callers that count as repeats."""
    runs = Runs()
    with runs.hold(Run('page', 2.0, repeated=1.0), timer):
        assert runs.called('page', ends=2.5) == 0.0
        assert runs.called('page', ends=float('inf')) == 0.0


def test_ended_run_makes_no_more_calls(timer):
    """Guards against repeats that count for as long as the daemon runs."""
    runs = Runs()
    with runs.hold(Run('page', 9.0, repeated=1.0), timer):
        assert runs.called('price', ends=1.0) == 1.0
    assert runs.called('price', ends=1.0) == 0.0
    assert not runs.repeated_calls()


def test_calls_that_running_repeats_will_make_are_known(timer):
    """Guards against repeats that begin before the first has called."""
    runs = Runs()
    for _ in range(50):
        with runs.hold(Run('page', 9.0), timer):
            runs.called('price', ends=1.0)
            timer.time += 0.2
    with runs.hold(Run('page', 9.0, repeated=0.5), timer):
        assert runs.repeated_calls()['price'] == pytest.approx(0.5, rel=0.1)


def test_routes_that_make_no_calls_are_told_from_those_that_do():
    """Guards against long runs that take the calls of others as theirs."""
    chance = random.Random(5)
    rates = CallRates()
    for _ in range(1500):
        beside = ['order'] * chance.randint(1, 3)
        beside += ['page'] * chance.randint(1, 4)
        for route in beside:
            rates.ended(route, 0.1)
        # Each page makes one call in a fifth of such spans.
        for _ in range(beside.count('page')):
            if chance.random() < 0.2:
                rates.called('price', beside)
    assert rates.calls_of('page')['price'] == pytest.approx(0.2, rel=0.2)
    assert rates.calls_of('order')['price'] < 0.03


def test_rates_follow_a_change():
    """Guards against a route that keeps the calls it no longer makes."""
    rates = CallRates()
    for calls in (1, 0):
        for _ in range(2000):
            rates.ended('page', 0.2)
            for _ in range(calls):
                rates.called('price', ['page'])
    # No call, no step: what a run makes falls with the next one.
    for _ in range(8):
        rates.called('price', ['page'])
    assert rates.calls_of('page')['price'] < 0.1


def test_what_is_kept_does_not_grow():
    """Guards against memory that grows with each call."""
    chance = random.Random(5)
    rates = CallRates()
    for _ in range(20000):
        beside = [f'r{chance.randint(0, 3)}' for _ in range(6)]
        rates.ended(beside[0], 0.1)
        rates.called('price', beside)
    assert len(rates.services['price'].seen) < 200


def test_routes_that_are_gone_are_forgotten():
    """Guards against an error, and memory, of routes long removed."""
    rates = CallRates()
    rates.ended('removed', 0.2)
    rates.called('gone', ['removed'])
    for _ in range(1200):
        rates.ended('page', 60.0)
        for _ in range(10):
            rates.called('price', ['page'])
    assert set(rates.times) == {'page'}
    assert set(rates.services) == {'price'}


def test_run_that_took_no_time_is_no_error():
    """Guards against a division by the time of a route."""
    rates = CallRates()
    rates.ended('page', 1.0)
    rates.ended('order', 0.0)
    for _ in range(20):
        shares = rates.called('price', ['page', 'order'])
    assert shares['page'] > 0
