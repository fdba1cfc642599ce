"""Journal entries and history of floods."""

import pytest

from tanagerbend_daemon.floods import FloodWatch
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer


@pytest.fixture
def watch():
    return FloodWatch(Recorder(ManualTimer()), 'artwork')


async def rounds(watch, refusals):
    """Run one period for each count of refusals; return the entries."""
    for count in refusals:
        if count:
            watch.recorder.count('refusals', 'QUEUE_FULL', count)
        await watch.recorder.timer.advance(10)
        await watch.check()
    return [
        (entry.event, entry.reason.split()[0])
        for entry in watch.recorder.journal.entries
    ]


async def test_one_flood_is_two_entries(watch):
    """Guards against a journal entry for each period of a flood."""
    events = await rounds(watch, [0, 40, 0, 3, 50, 60, 0, 0, 0, 0, 0, 0, 0])
    assert events == [('refusals_began', '40'), ('refusals_ended', '153')]


async def test_single_refusals_are_no_flood(watch):
    """Guards against reports of floods in normal operation."""
    assert await rounds(watch, [9] * 20) == []


async def test_other_refusals_are_no_flood(watch):
    """Guards against drains and unknown routes reported as floods."""
    watch.recorder.count('refusals', 'DRAINING', 500)
    assert await rounds(watch, [0, 0]) == []


async def test_history_is_bounded_and_by_minute(watch):
    """Guards against a history that grows with the length of a flood."""
    await rounds(watch, [1] * 12)
    minutes = watch.history.minutes
    assert sum(minute.counts['QUEUE_FULL'] for minute in minutes) == 12
    assert len(minutes) == 3
    assert minutes.maxlen == 1440
