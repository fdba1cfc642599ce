"""Limit of the requests that a cold instance gets."""

import asyncio

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tanagerbend_routing import ListedInstance
from tanagerbend_routing.cold_limit import ColdLimit, ColdRate, ColdTolerance
from tanagerbend_timer import ManualTimer

INSTANCE = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 5)
SECOND = 1.0


def most_in_one_second(times):
    return max(
        (
            sum(1 for each in times if begin <= each < begin + SECOND)
            for begin in times
        ),
        default=0,
    )


def starts(limit, gaps):
    """Return the times of the requests that start, one attempt a gap."""
    times = []
    for gap in gaps:
        asyncio.run(limit.timer.advance(gap))
        if limit.take():
            times.append(limit.timer.now())
    return times


@seed(48)
@settings(max_examples=200, deadline=None)
@given(
    gaps=st.lists(st.floats(0, 0.5) | st.just(0.0), max_size=60),
    rate=st.floats(0.5, 50),
    overshoot=st.floats(1, 3),
    slack=st.floats(0, 20),
)
def test_no_second_has_more_than_the_bound(gaps, rate, overshoot, slack):
    """Guards against any second in which a cold instance is overrun."""
    limit = ColdLimit(ManualTimer(), ColdTolerance(overshoot, slack))
    limit.rate = ColdRate(rate)
    # At the least one request is let through at a time.
    bound = max(rate * overshoot + slack, 1)
    assert most_in_one_second(starts(limit, gaps)) <= bound


def test_tolerated_rate_is_used():
    """Guards against a limit that leaves cold instances idle."""
    limit = ColdLimit(ManualTimer(), ColdTolerance(1.5, 8.0))
    limit.rate = ColdRate(4.8)
    times = starts(limit, [0.01] * 300)
    assert len(times) >= 3 * 1.5 * 4.8
    assert most_in_one_second(times) <= 4.8 * 1.5 + 8


def test_starts_before_the_news_count():
    """Guards against a full allowance on top of what just started."""
    limit = ColdLimit(ManualTimer(), ColdTolerance(1.5, 8.0))
    for _ in range(20):
        limit.record()
    assert not limit.take()
    asyncio.run(limit.timer.advance(SECOND))
    assert limit.take()


@pytest.mark.parametrize('tolerance', [None, ColdTolerance(1.5, 8.0)])
def test_which_instances_are_cold(tolerance):
    """Guards against a limit on warm instances, or none on new ones."""
    limit = ColdLimit(ManualTimer(), tolerance)
    is_limited = tolerance is not None
    now = limit.timer.now()
    cold = ListedInstance('i-2', '10.0.0.1:80', 's', 'n', 5, cold_until=now + 2)
    assert limit.applies(cold) is is_limited
    assert not limit.applies(INSTANCE)
    asyncio.run(limit.timer.advance(2.0))
    assert not limit.applies(cold)


def test_instance_without_an_entry_is_cold_for_its_cold_time():
    """Guards against a limit on a warm instance while the store is away.

    The daemon beside it has restarted and can't read its entry.
    """
    limit = ColdLimit(ManualTimer(), ColdTolerance(1.5, 8.0))
    asyncio.run(limit.timer.advance(10.0))
    assert limit.applies_unlisted('i-1')
    asyncio.run(limit.timer.advance(limit.rate.start_seconds))
    assert not limit.applies_unlisted('i-1')
    assert limit.applies_unlisted('i-2')


def test_instance_that_was_down_comes_back_cold():
    """Guards against the usual rate before the entry of a new start comes."""
    limit = ColdLimit(ManualTimer(), ColdTolerance(1.5, 8.0))
    limit.record_answer()
    assert not limit.applies(INSTANCE)
    limit.record_refused_connection()
    assert limit.applies(INSTANCE)
    limit.record_answer()
    asyncio.run(limit.timer.advance(2.9))
    assert limit.applies(INSTANCE)
    asyncio.run(limit.timer.advance(0.2))
    assert not limit.applies(INSTANCE)


def test_without_a_tolerance_nothing_is_limited():
    """Guards against a limit in deployments that ask for none."""
    limit = ColdLimit(ManualTimer())
    assert all(limit.take() for _ in range(1000))
