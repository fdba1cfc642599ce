"""Pauses, clock jumps and faults of periodic work."""

import asyncio

import pytest

from tanagerbend_timer import ManualTimer, SystemTimer, together
from tanagerbend_timer.clocks import PauseWatch


@pytest.mark.parametrize('clock', [0, 1, 2])
def test_a_jump_of_any_clock_is_a_pause(clock):
    """Guards against suspensions that only one of the clocks shows."""
    readings = [10.0, 20.0, 30.0]
    watch = PauseWatch(
        tuple(lambda number=number: readings[number] for number in range(3)),
    )
    readings[:] = [reading + 0.5 for reading in readings]
    assert watch.gap() == 0.0
    readings[clock] += 2.5
    assert watch.gap() == pytest.approx(2.5)
    readings[clock] -= 100
    assert watch.gap() == 0.0


async def test_pause_is_reported_before_new_work(monkeypatch):
    """Guards against work that runs before the watchdog sees the pause."""
    timer, gaps = SystemTimer(), []
    timer.on_pause(gaps.append)
    timer.watch.last = tuple(last - 7.0 for last in timer.watch.last)
    timer.check_pause()
    timer.check_pause()
    await timer.close()
    assert [round(gap) for gap in gaps] == [7]


async def test_periodic_work_goes_on_after_a_fault():
    """Guards against failure detection that one exception ends for good."""
    timer, runs = ManualTimer(), []

    async def fail():
        runs.append(timer.now())
        raise KeyError('simulated')

    subscription = timer.every(1.0, fail)
    await timer.advance(3.5)
    subscription.cancel()
    assert runs == [1.0, 2.0, 3.0]


def test_wall_time_ignores_steps_of_the_system_clock(monkeypatch):
    """Guards against records that a clock set back revives."""
    timer = SystemTimer()
    before = timer.wall()
    monkeypatch.setattr('time.time', lambda: 0.0)
    assert timer.wall() >= before


async def test_fault_of_one_does_not_end_those_called_together():
    """Guards against periodic checks that end by the fault of another."""
    calls = []
    faults = []

    async def fail():
        raise ValueError('fault')

    async def check():
        calls.append('check')

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: faults.append(context))
    timer = ManualTimer()
    timer.every(1.0, together(fail, check))
    await timer.advance(2.5)
    loop.set_exception_handler(None)
    assert calls == ['check', 'check']
    assert [str(each['exception']) for each in faults] == ['fault', 'fault']
