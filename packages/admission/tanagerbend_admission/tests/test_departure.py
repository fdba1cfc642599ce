"""When large answers will have left a host, and what is refused for it."""

import asyncio
import math

import attrs
import pytest

from tanagerbend_admission import Departures, ObjectiveQueue, Work
from tanagerbend_model import ResultCode
from tanagerbend_timer import ManualTimer

PACE = 100_000.0
SIZE = 50_000.0
SECONDS = 0.1
# On time within 2 s, of use for 3 s.
PLATE = Work('plate', 2, 2.0, 3.0, SIZE)
CALL = Work('call', 0, 0.3, 0.5)


@attrs.define
class Link:
    """Link on which answers wait."""

    pace: float = PACE
    waiting: dict[int, float] = attrs.field(factory=dict)

    def ahead_of(self, rank):
        return sum(
            size for other, size in self.waiting.items() if other <= rank
        )


@pytest.fixture
def departures():
    made = Departures()
    made.link = Link()
    return made


@pytest.fixture
def queue(departures):
    """Queue of three slots, which are more than the link needs."""
    made = ObjectiveQueue(ManualTimer(), 3)
    made.times.observe('plate', SECONDS, 0.0)
    made.times.observe('call', SECONDS, 0.0)
    made.departures = departures
    return made


@pytest.mark.parametrize(
    ('ready', 'ahead', 'expected'),
    [
        (0.1, 0.0, 0.1 + 0.5),
        # The link works while the instance does.
        (0.1, 10_000.0, 0.1 + 0.5),
        (0.1, 100_000.0, 1.0 + 0.5),
        (3.0, 100_000.0, 3.0 + 0.5),
    ],
)
def test_work_and_link_go_on_at_the_same_time(
    departures, ready, ahead, expected
):
    """Guards against times that are added though they pass together."""
    departures.link.waiting[2] = ahead
    assert departures.seconds(ready, PLATE) == pytest.approx(expected)


def test_all_that_was_taken_counts(departures):
    """Guards against answers that are late by those taken after them."""
    departures.link.waiting[2] = SIZE
    departures.promise(PLATE)
    found = departures.seconds(SECONDS, PLATE, [PLATE, PLATE])
    assert found == pytest.approx(5 * SIZE / PACE)
    departures.withdraw(PLATE)
    found = departures.seconds(SECONDS, PLATE)
    assert found == pytest.approx(2 * SIZE / PACE)


def test_less_urgent_answers_wait(departures):
    """Guards against urgent answers refused for those that give way."""
    departures.link.waiting[2] = 10 * SIZE
    urgent = attrs.evolve(PLATE, rank=1)
    assert departures.seconds(SECONDS, urgent) == SECONDS + SIZE / PACE


def test_small_answers_pass(departures):
    """Guards against small answers refused for large ones."""
    departures.link.waiting[0] = 100 * SIZE
    assert departures.seconds(SECONDS, CALL) == SECONDS
    assert not departures.holds_up(CALL, SECONDS, ())


def test_unknown_link_carries_everything():
    """Guards against refusals on hosts that don't know their link."""
    departures = Departures()
    departures.promise(PLATE)
    assert departures.seconds(SECONDS, PLATE) == SECONDS
    assert departures.free_in(2, [PLATE]) == 0.0
    assert departures.margin(PLATE, ()) == 0.0


@pytest.mark.parametrize('behind', [0, 3])
def test_more_unknown_sizes_need_more_time_to_spare(departures, behind):
    """Guards against answers that are late when others are large."""
    work = attrs.evolve(PLATE, size_deviation=10_000.0)
    margin = departures.margin(work, [PLATE] * behind)
    alone = departures.margin(work, ())
    assert margin == pytest.approx(alone * math.sqrt(1 + behind))


async def test_link_alone_refuses_what_it_makes_late(queue):
    """Guards against a queue of bytes that grows to the deadline."""
    queue.departures.link.waiting[2] = 1.6 * PACE
    refusal = await queue.enter(PLATE)
    assert refusal.code is ResultCode.QUEUE_FULL
    queue.departures.link.waiting[2] = 1.4 * PACE
    assert await queue.enter(PLATE) is None


async def test_running_requests_count_against_the_link(queue):
    """Guards against admitting by the answers that have ended only."""
    for _ in range(3):
        assert await queue.enter(PLATE) is None
    waiting = asyncio.create_task(queue.enter(PLATE))
    await asyncio.sleep(0)
    assert queue.judge(PLATE).code is ResultCode.QUEUE_FULL
    waiting.cancel()


async def test_late_answer_is_taken_where_nobody_waits(queue):
    """Guards against refusing what would leave slots and link unused."""
    late = attrs.evolve(PLATE, on_time_until=-1.0)
    assert await queue.enter(late) is None


async def test_slot_is_not_given_to_what_can_no_longer_leave(queue):
    """Guards against work whose answer reaches nobody."""
    for _ in range(3):
        assert await queue.enter(CALL) is None
    waiting = asyncio.create_task(queue.enter(PLATE))
    await asyncio.sleep(0)
    queue.departures.link.waiting[1] = 3.0 * PACE
    queue.leave(CALL, SECONDS)
    assert (await waiting).code is ResultCode.DEADLINE_UNREACHABLE


async def test_abandoned_request_leaves_the_link_free(queue):
    """Guards against a link that is held for callers that went away."""
    queue.slots = 1
    assert await queue.enter(PLATE) is None
    waiting = asyncio.create_task(queue.enter(PLATE))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    queue.leave(PLATE, 0.0, is_whole=False)
    assert queue.departures.free_in(2, ()) == 0.0
