"""Decisions on the memory for bodies, without a network."""

import pytest

from tanagerbend_proxy.answer_memory import AnswerMemory
from tanagerbend_proxy.body_memory import (
    PROGRESS_BYTES,
    SMALL_BODY_BYTES,
    STALL_SECONDS,
    BodyMemory,
    HeldBody,
    refuse_for_memory,
)
from tanagerbend_model import Ran
from tanagerbend_timer import ManualTimer

CAPACITY = 4_000_000
# Two such bodies fit into the share of large ones.
BODY_BYTES = 700_000


@pytest.fixture
def memory():
    return BodyMemory(ManualTimer(), CAPACITY)


def begin(memory, size):
    """Return a body that is being read, and the list of its ends."""
    held, ends = HeldBody(memory), []
    held.progress_at = memory.timer.now()
    held.interrupt = lambda: ends.append(held)
    return held, ends, held.reserve(size)


async def test_stalled_body_gives_way(memory):
    """Guards against bodies that never end and keep out all others."""
    slow, slow_ends, _ = begin(memory, BODY_BYTES)
    busy, busy_ends, _ = begin(memory, BODY_BYTES)
    await memory.timer.advance(STALL_SECONDS)
    busy.add(PROGRESS_BYTES)
    _, _, fits = begin(memory, BODY_BYTES)
    assert fits
    assert slow_ends == [slow]
    assert not busy_ends
    assert not slow.add(1)


async def test_largest_and_longest_stall_gives_way_first(memory):
    """Guards against ending many small bodies for a large one."""
    _, small_ends, _ = begin(memory, 100_000)
    _, large_ends, _ = begin(memory, BODY_BYTES)
    begin(memory, BODY_BYTES)
    await memory.timer.advance(STALL_SECONDS)
    begin(memory, BODY_BYTES)
    assert large_ends
    assert not small_ends


def test_body_without_room_is_refused_truthfully(memory):
    """Guards against a refusal that does not promise that nothing ran."""
    begin(memory, BODY_BYTES)
    begin(memory, BODY_BYTES)
    third, _, fits = begin(memory, BODY_BYTES)
    assert not fits
    assert refuse_for_memory(third).ran is Ran.NO
    assert memory.used == 4 * BODY_BYTES


def test_large_bodies_leave_room_for_small_ones(memory):
    """Guards against ordinary requests that large bodies keep out."""
    begin(memory, BODY_BYTES)
    begin(memory, BODY_BYTES)
    assert begin(memory, SMALL_BODY_BYTES)[2]


def test_single_body_is_taken_at_any_size(memory):
    """Guards against refusing a sound request on a small host."""
    begin(memory, SMALL_BODY_BYTES)
    assert begin(memory, 2 * CAPACITY)[2]
    assert not begin(memory, BODY_BYTES)[2]


def test_body_that_is_not_being_read_keeps_its_memory(memory):
    """Guards against ending a request that may run."""
    whole, ends, _ = begin(memory, CAPACITY)
    whole.interrupt = None
    assert not begin(memory, BODY_BYTES)[2]
    assert not ends
    memory.release(whole)
    assert memory.used == 0
    assert begin(memory, BODY_BYTES)[2]


class Unread:
    """Transport whose caller reads as much as the test says."""

    def __init__(self):
        self.unsent = BODY_BYTES

    def get_write_buffer_size(self):
        return self.unsent


async def test_unread_answer_is_reset_only_for_lack_of_memory(memory):
    """Guards against callers that fill the memory by not reading."""
    resets = []
    answers = AnswerMemory(memory, reset=resets.append)
    silent, slow = Unread(), Unread()
    with answers.hold(BODY_BYTES, silent), answers.hold(BODY_BYTES, slow):
        answers.check()
        await memory.timer.advance(STALL_SECONDS)
        answers.check()
        assert not resets
        assert memory.has_room()
        with answers.hold(BODY_BYTES, None):
            slow.unsent -= 1
            assert not memory.has_room()
            answers.check()
    assert resets == [silent]
    assert memory.used == 0


async def test_answer_that_waits_for_its_turn_is_kept(memory):
    """Guards against taking the own link for a caller that does not read."""
    resets = []
    answers = AnswerMemory(memory, reset=resets.append)
    waiting = Unread()
    waiting.unsent = 0
    with answers.hold(CAPACITY, waiting):
        await memory.timer.advance(2 * memory.idle_seconds)
        answers.check()
    assert not resets


def test_single_body_beyond_the_capacity_is_served(memory):
    """Guards against refusing a legal body that is larger than the budget."""
    _, _, fits = begin(memory, CAPACITY)
    assert fits
    assert memory.used > memory.capacity
    assert memory.has_room()
    memory.used += memory.capacity + 1
    assert not memory.has_room()
