"""Pauses, clock jumps and exceptions in periodic callbacks."""

import asyncio

import pytest

from tanagerbend_timer import ManualTimer, SystemTimer, combine_callbacks
from tanagerbend_timer.clocks import PauseDetector


@pytest.mark.parametrize('clock', [0, 1, 2])
def test_jump_of_any_clock_is_reported_as_pause(clock):
    """Guards against missing a suspension that only one clock shows."""
    readings = [10.0, 20.0, 30.0]
    detector = PauseDetector(
        tuple(lambda number=number: readings[number] for number in range(3)),
    )
    readings[:] = [reading + 0.5 for reading in readings]
    assert detector.pause_length() == 0.0
    readings[clock] += 2.5
    assert detector.pause_length() == pytest.approx(2.5)
    readings[clock] -= 100
    assert detector.pause_length() == 0.0


async def test_check_pause_reports_each_pause_once(monkeypatch):
    """Guards against work accepted before the watchdog detects a pause."""
    timer, pauses = SystemTimer(), []
    timer.on_pause(pauses.append)
    timer.pause_detector.last_readings = tuple(
        reading - 7.0 for reading in timer.pause_detector.last_readings
    )
    timer.check_pause()
    timer.check_pause()
    await timer.close()
    assert [round(pause) for pause in pauses] == [7]


async def test_periodic_calls_continue_after_an_exception():
    """Guards against a periodic task that ends with its first exception."""
    timer, call_times = ManualTimer(), []

    async def fail():
        call_times.append(timer.now())
        raise KeyError('simulated')

    subscription = timer.every(1.0, fail)
    await timer.advance(3.5)
    subscription.cancel()
    assert call_times == [1.0, 2.0, 3.0]


def test_wall_time_ignores_steps_of_the_system_clock(monkeypatch):
    """Guards against expired records made valid by setting back the clock."""
    timer = SystemTimer()
    before = timer.wall()
    monkeypatch.setattr('time.time', lambda: 0.0)
    assert timer.wall() >= before


async def test_exception_does_not_stop_other_combined_callbacks():
    """Guards against a combined callback skipped after another one raises."""
    calls = []
    contexts = []

    async def fail():
        raise ValueError('fault')

    async def check():
        calls.append('check')

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: contexts.append(context))
    timer = ManualTimer()
    timer.every(1.0, combine_callbacks(fail, check))
    await timer.advance(2.5)
    loop.set_exception_handler(None)
    assert calls == ['check', 'check']
    assert [str(context['exception']) for context in contexts] == [
        'fault',
        'fault',
    ]
