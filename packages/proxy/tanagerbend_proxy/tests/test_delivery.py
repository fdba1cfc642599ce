"""Counts and log lines of large answers."""

import asyncio

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.delivery import Delivery, DeliveryLog
from tanagerbend_proxy.link_use import ANSWERS
from tanagerbend_proxy.uplink import TURN_BYTES, Transfer, Uplink
from tanagerbend_timer import ManualTimer

BYTES_PER_SECOND = 100_000.0
SIZE = 2 * TURN_BYTES


class RecordingLog(list):
    def write(self, event, **fields):
        self.append((event, fields))


@pytest.fixture
def recorder():
    return Recorder(ManualTimer())


def begin(recorder):
    uplink = Uplink(recorder.timer, BYTES_PER_SECOND)
    return Delivery.begin('a1', Transfer(uplink, 2, SIZE))


def test_aborted_answer_is_logged_with_written_bytes(recorder):
    """Guards against an answer that is aborted without a log line."""
    lines = RecordingLog()
    delivery = begin(recorder)
    delivery.written = TURN_BYTES
    DeliveryLog(ANSWERS, recorder, lines).ended(delivery)
    ((event, fields),) = lines
    assert event == 'answer_left'
    assert fields['request'] == 'a1'
    assert (fields['written'], fields['bytes']) == (TURN_BYTES, SIZE)
    assert recorder.counters.get('large_answers', 'answers_left') == 1


def test_time_ahead_excludes_the_answer_itself(recorder):
    """Guards against an estimate that can't be compared with the wait.

    It would be too long if it included the time of the answer itself.
    """
    uplink = Uplink(recorder.timer, BYTES_PER_SECOND)
    with uplink.expecting(uplink.rate):
        delivery = Delivery.begin('a1', Transfer(uplink, 2, SIZE))
    assert delivery.ahead == pytest.approx(1.0)


async def test_unused_capacity_is_counted(recorder):
    """Guards against idle time of the link that no metric shows.

    A daemon that wakes up late leaves the link idle while answers wait.
    """
    uplink = Uplink(recorder.timer, BYTES_PER_SECOND)
    waiting = asyncio.create_task(Transfer(uplink, 2, SIZE).turn(TURN_BYTES))
    await recorder.timer.settle()
    recorder.timer.time = 1.0
    uplink.spend(0)
    assert uplink.unused > 0.9 * uplink.rate
    waiting.cancel()
    await uplink.close()
