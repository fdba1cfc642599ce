"""Estimates of when large answers are sent, and refusals due to them."""

import asyncio
import math

import attrs
import pytest

from tanagerbend_admission import DepartureTimes, ObjectiveQueue, Work
from tanagerbend_model import ResultCode
from tanagerbend_timer import ManualTimer

PACE = 100_000.0
SIZE = 50_000.0
SECONDS = 0.1
# On time within 2 s, deadline after 3 s.
PLATE = Work('plate', 2, 2.0, 3.0, SIZE)
CALL = Work('call', 0, 0.3, 0.5)


@attrs.define
class Link:
    """Link with a queue of answers."""

    bytes_per_second: float = PACE
    waiting: dict[int, float] = attrs.field(factory=dict)

    def bytes_ahead(self, rank):
        return sum(
            size for other, size in self.waiting.items() if other <= rank
        )


@pytest.fixture
def departures():
    made = DepartureTimes()
    made.link = Link()
    return made


@pytest.fixture
def queue(departures):
    """Queue of three slots, which produce more than the link transmits."""
    made = ObjectiveQueue(ManualTimer(), 3)
    made.times.observe('plate', SECONDS, 0.0)
    made.times.observe('call', SECONDS, 0.0)
    made.departures = departures
    return made


@pytest.mark.parametrize(
    ('ready', 'ahead', 'expected'),
    [
        (0.1, 0.0, 0.1 + 0.5),
        # The link sends while the instance works.
        (0.1, 10_000.0, 0.1 + 0.5),
        (0.1, 100_000.0, 1.0 + 0.5),
        (3.0, 100_000.0, 3.0 + 0.5),
    ],
)
def test_work_and_sending_overlap(departures, ready, ahead, expected):
    """Guards against adding times that overlap."""
    departures.link.waiting[2] = ahead
    assert departures.seconds(ready, PLATE) == pytest.approx(expected)


def test_all_accepted_requests_count(departures):
    """Guards against late answers because other answers were not counted."""
    departures.link.waiting[2] = SIZE
    departures.reserve(PLATE)
    found = departures.seconds(SECONDS, PLATE, [PLATE, PLATE])
    assert found == pytest.approx(5 * SIZE / PACE)
    departures.release(PLATE)
    found = departures.seconds(SECONDS, PLATE)
    assert found == pytest.approx(2 * SIZE / PACE)


def test_less_urgent_answers_do_not_delay_urgent_ones(departures):
    """Guards against refusing urgent answers because of less urgent ones."""
    departures.link.waiting[2] = 10 * SIZE
    urgent = attrs.evolve(PLATE, rank=1)
    assert departures.seconds(SECONDS, urgent) == SECONDS + SIZE / PACE


def test_small_answers_do_not_wait_for_the_link(departures):
    """Guards against refusing small answers because of large ones."""
    departures.link.waiting[0] = 100 * SIZE
    assert departures.seconds(SECONDS, CALL) == SECONDS
    assert not departures.waits_for_link(CALL, SECONDS, ())


def test_unknown_link_rate_is_unlimited():
    """Guards against refusals on hosts whose link rate is unknown."""
    departures = DepartureTimes()
    departures.reserve(PLATE)
    assert departures.seconds(SECONDS, PLATE) == SECONDS
    assert departures.link_free_in(2, [PLATE]) == 0.0
    assert departures.margin(PLATE, ()) == 0.0


@pytest.mark.parametrize('behind', [0, 3])
def test_more_unknown_sizes_need_a_larger_margin(departures, behind):
    """Guards against late answers if others are larger than expected."""
    work = attrs.evolve(PLATE, size_deviation=10_000.0)
    margin = departures.margin(work, [PLATE] * behind)
    alone = departures.margin(work, ())
    assert margin == pytest.approx(alone * math.sqrt(1 + behind))


async def test_request_is_refused_if_only_the_link_makes_it_late(queue):
    """Guards against a send queue whose delay reaches the deadline."""
    queue.departures.link.waiting[2] = 1.6 * PACE
    refusal = await queue.enter(PLATE)
    assert refusal.code is ResultCode.QUEUE_FULL
    queue.departures.link.waiting[2] = 1.4 * PACE
    assert await queue.enter(PLATE) is None


async def test_running_requests_count_against_the_link(queue):
    """Guards against an admission that counts only complete answers."""
    for _ in range(3):
        assert await queue.enter(PLATE) is None
    waiting = asyncio.create_task(queue.enter(PLATE))
    await asyncio.sleep(0)
    assert queue.refusal_at_arrival(PLATE).code is ResultCode.QUEUE_FULL
    waiting.cancel()


async def test_late_request_is_accepted_if_none_waits(queue):
    """Guards against a refusal that leaves slots and link unused."""
    late = attrs.evolve(PLATE, on_time_until=-1.0)
    assert await queue.enter(late) is None


async def test_request_gets_no_slot_if_its_answer_can_not_be_sent(queue):
    """Guards against work whose answer can't arrive before the deadline."""
    for _ in range(3):
        assert await queue.enter(CALL) is None
    waiting = asyncio.create_task(queue.enter(PLATE))
    await asyncio.sleep(0)
    queue.departures.link.waiting[1] = 3.0 * PACE
    queue.leave(CALL, SECONDS)
    assert (await waiting).code is ResultCode.DEADLINE_UNREACHABLE


async def test_cancelled_request_does_not_occupy_the_link(queue):
    """Guards against bytes that stay reserved for cancelled requests."""
    queue.slots = 1
    assert await queue.enter(PLATE) is None
    waiting = asyncio.create_task(queue.enter(PLATE))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    queue.leave(PLATE, 0.0, is_complete=False)
    assert queue.departures.link_free_in(2, ()) == 0.0
