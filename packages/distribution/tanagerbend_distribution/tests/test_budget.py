"""Call rate of a whole fleet at the configuration service."""

import asyncio
import random

import pytest

from tanagerbend_distribution import CallBudget
from tanagerbend_timer import ManualTimer

FLEET = 3700
LIMIT = 2000


class Clock:
    """Timer of a budget whose calls are made one after another."""

    def __init__(self):
        self.time, self.slept = 0.0, 0.0

    def now(self):
        return self.time

    async def sleep(self, seconds):
        self.slept = seconds


def max_calls_in_a_second(times):
    """Return the largest number of calls in any window of one second."""
    times = sorted(times)
    first = largest = 0
    for last, when in enumerate(times):
        while times[first] <= when - 1.0:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


@pytest.mark.parametrize('answer_seconds', [0.0, 0.004, 30.0])
async def test_fleet_of_readers_stays_under_the_limit(answer_seconds):
    """Guards against a restarted fleet that exceeds the service's limit.

    All daemons start at once, consider themselves readers, and call again
    as soon as a call is answered.  After a minute a value changes, which
    ends all watches at once.
    """
    chance, times = random.Random(3), []
    for _ in range(FLEET):
        clock = Clock()
        budget = CallBudget(clock, chance, LIMIT, FLEET)
        while clock.time < 90:
            clock.slept = 0.0
            await budget.acquire()
            clock.time += clock.slept
            times.append(clock.time)
            clock.time += answer_seconds
            if times[-1] < 60 < clock.time:
                clock.time = 60.0
    assert max_calls_in_a_second(times) < LIMIT


async def test_fleet_beyond_its_expected_size_stays_under_the_limit():
    """Guards against too high a rate if the expected size is too low."""
    chance, times = random.Random(4), []
    for _ in range(FLEET):
        clock = Clock()
        budget = CallBudget(clock, chance, LIMIT, FLEET // 10)
        budget.observe_fleet_size(FLEET)
        while clock.time < 10:
            clock.slept = 0.0
            await budget.acquire()
            clock.time += clock.slept
            times.append(clock.time)
    assert max_calls_in_a_second(times) < LIMIT


async def test_two_tasks_share_one_budget():
    """Guards against a daemon that calls at twice its rate for two watches."""
    timer = ManualTimer()
    budget = CallBudget(timer, random.Random(5), 2, 10)
    times = []

    async def call():
        while True:
            await budget.acquire()
            times.append(timer.now())

    tasks = [asyncio.create_task(call()) for _ in range(2)]
    await timer.advance(95.0)
    for task in tasks:
        task.cancel()
    assert 9 <= len(times) <= 10
