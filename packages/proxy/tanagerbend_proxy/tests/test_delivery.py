"""What explains large answers that wait, come late or are not delivered."""

import asyncio

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.delivery import Delivery, DeliveryLog
from tanagerbend_proxy.link_use import ANSWERS
from tanagerbend_proxy.uplink import TURN_BYTES, Transfer, Uplink
from tanagerbend_timer import ManualTimer

LINK = 100_000.0
SIZE = 2 * TURN_BYTES


class Lines(list):
    def write(self, event, **fields):
        self.append((event, fields))


@pytest.fixture
def recorder():
    return Recorder(ManualTimer())


def begin(recorder):
    uplink = Uplink(recorder.timer, LINK)
    return Delivery.begin('a1', Transfer(uplink, 2, SIZE))


def test_reader_that_leaves_is_logged_with_what_it_got(recorder):
    """Guards against an answer that is lost without a line."""
    lines = Lines()
    delivery = begin(recorder)
    delivery.written = TURN_BYTES
    DeliveryLog(ANSWERS, recorder, lines).ended(delivery)
    ((event, fields),) = lines
    assert event == 'answer_left'
    assert fields['request'] == 'a1'
    assert (fields['written'], fields['bytes']) == (TURN_BYTES, SIZE)
    assert recorder.counters.get('large_answers', 'answers_left') == 1


def test_what_is_ahead_is_told_without_the_answer_itself(recorder):
    """Guards against an estimate that can't be compared with the wait."""
    uplink = Uplink(recorder.timer, LINK)
    with uplink.expecting(uplink.rate):
        delivery = Delivery.begin('a1', Transfer(uplink, 2, SIZE))
    assert delivery.ahead == pytest.approx(1.0)


async def test_time_of_the_link_that_turns_did_not_use_is_counted(recorder):
    """Guards against a link that is idle while answers wait, unseen."""
    uplink = Uplink(recorder.timer, LINK)
    waiting = asyncio.create_task(Transfer(uplink, 2, SIZE).turn(TURN_BYTES))
    await recorder.timer.settle()
    recorder.timer.time = 1.0
    uplink.spend(0)
    assert uplink.unused > 0.9 * uplink.rate
    waiting.cancel()
    await uplink.close()
