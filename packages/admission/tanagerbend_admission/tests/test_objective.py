"""Queue that is ordered by what can still be on time."""

import asyncio

import pytest

from tanagerbend_admission import ObjectiveQueue, Work
from tanagerbend_admission.objective import FLOOR_EVERY
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_timer import ManualTimer

SECONDS = 0.1


@pytest.fixture
def queue():
    """Queue of one slot whose work takes a tenth of a second."""
    made = ObjectiveQueue(ManualTimer(), 1)
    for kind in ('browse', 'order'):
        made.times.observe(kind, SECONDS, 0.0)
    return made


def work(kind='browse', rank=0, on_time=1.0, deadline=2.0, **options):
    return Work(kind, rank, on_time, deadline, **options)


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_free_slot_at_once(queue):
    """Guards against refusing while slots are free."""
    assert await queue.enter(work()) is None


async def test_refused_at_arrival_when_too_late(queue):
    """Guards against holding a request that can't be served."""
    assert await queue.enter(work()) is None
    refusal = await queue.enter(work(deadline=0.15))
    assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert refusal.ran is Ran.NO


async def test_not_on_time_goes_elsewhere(queue):
    """Guards against a late answer while others could be on time."""
    assert await queue.enter(work()) is None
    refusal = await queue.enter(work(on_time=0.15))
    assert refusal.code is ResultCode.QUEUE_FULL


async def test_late_request_takes_a_free_slot(queue):
    """Guards against turning a late request away while slots are free."""
    assert await queue.enter(work(on_time=-1.0)) is None


async def test_late_request_does_not_wait(queue):
    """Guards against late work that holds the slots of work on time."""
    assert await queue.enter(work()) is None
    late = work(on_time=-1.0, deadline=9.0)
    assert queue.judge(late).code is ResultCode.QUEUE_FULL


async def test_overtaken_rank_is_refused_at_arrival(queue):
    """Guards against holding a rank that gets few slots till its deadline.

    Urgent work takes nearly all slots, so that a request behind three
    others of its rank would wait for the time of three shares.
    """
    urgent = work(on_time=90.0, deadline=99.0)
    assert await queue.enter(urgent) is None
    flood = [
        asyncio.create_task(queue.enter(urgent)) for _ in range(4 * FLOOR_EVERY)
    ]
    patient = work('order', rank=2, on_time=90.0, deadline=99.0)
    orders = [asyncio.create_task(queue.enter(patient)) for _ in range(5)]
    await settle()
    for _ in range(2 * FLOOR_EVERY + 2):
        await queue.timer.advance(SECONDS)
        queue.leave(urgent, SECONDS)
        await settle()
    assert sum(order.done() for order in orders) == 2
    ahead = 3 * FLOOR_EVERY * SECONDS
    left = queue.timer.now() + ahead / 2
    order = work('order', rank=2, on_time=91.0, deadline=left)
    assert queue.judge(order).code is ResultCode.DEADLINE_UNREACHABLE
    for task in (*flood, *orders):
        task.cancel()


async def test_margin_only_behind_its_own_tier(queue):
    """Guards against urgent work refused beside slots of others."""
    queue.granted.add(0.0, 0, 40)
    order = work('order', rank=2, on_time=9.0, deadline=9.0)
    assert await queue.enter(order) is None
    waiting = asyncio.create_task(queue.enter(order))
    await settle()
    tight = work(on_time=0.22)
    assert queue.judge(tight) is None
    first = asyncio.create_task(queue.enter(tight))
    await settle()
    assert queue.judge(work(on_time=0.32)).code is ResultCode.QUEUE_FULL
    waiting.cancel()
    first.cancel()


async def test_urgent_rank_first(queue):
    """Guards against urgent work behind less urgent work."""
    assert await queue.enter(work()) is None
    slow = asyncio.create_task(queue.enter(work('order', rank=2)))
    await settle()
    urgent = asyncio.create_task(queue.enter(work('browse', rank=0)))
    await settle()
    queue.leave(work(), SECONDS)
    await settle()
    assert urgent.done()
    assert not slow.done()
    queue.leave(work(), SECONDS)
    await settle()
    assert slow.done()


async def test_least_urgent_keeps_a_share(queue):
    """Guards against starving a rank during a flood of another."""
    first = work(on_time=90.0, deadline=99.0)
    assert await queue.enter(first) is None
    flood = [asyncio.create_task(queue.enter(first)) for _ in range(40)]
    order = work('order', rank=2, on_time=90.0, deadline=99.0)
    slow = asyncio.create_task(queue.enter(order))
    await settle()
    for _ in range(FLOOR_EVERY):
        queue.leave(first, SECONDS)
        await settle()
    assert slow.done()
    for task in flood:
        task.cancel()


async def test_cancelled_waiter_leaves_no_trace(queue):
    """Guards against slots lost to callers that went away."""
    assert await queue.enter(work()) is None
    waiting = asyncio.create_task(queue.enter(work()))
    await settle()
    waiting.cancel()
    await settle()
    queue.leave(work(), SECONDS)
    assert queue.busy == 0


async def test_slot_granted_to_a_cancelled_waiter_returns(queue):
    """Guards against a slot lost between its grant and a cancellation."""
    assert await queue.enter(work()) is None
    waiting = asyncio.create_task(queue.enter(work()))
    await settle()
    queue.leave(work(), SECONDS)
    waiting.cancel()
    await settle()
    assert queue.busy == 0


async def test_hopeless_waiter_is_refused(queue):
    """Guards against running a request whose deadline has passed."""
    assert await queue.enter(work()) is None
    waiting = asyncio.create_task(queue.enter(work(on_time=0.3, deadline=0.5)))
    await settle()
    await queue.timer.advance(0.45)
    queue.leave(work(), SECONDS)
    await settle()
    assert isinstance(waiting.result(), Refusal)
    assert queue.running == 0


async def test_slow_instance_is_learnt_from_work_without_answer(queue):
    """Guards against filling an instance that no longer answers in time."""
    for _ in range(40):
        assert await queue.enter(work(deadline=99.0, on_time=99.0)) is None
        queue.leave(work(), 0.9, is_whole=False)
    assert queue.judge(work(deadline=0.5)).ran is Ran.NO
    await queue.timer.advance(2.5)
    assert queue.judge(work(deadline=3.0)) is None


async def test_early_end_does_not_make_an_instance_look_fast(queue):
    """Guards against estimates from callers that left early."""
    for _ in range(40):
        assert await queue.enter(work(deadline=99.0, on_time=99.0)) is None
        queue.leave(work(), 0.001, is_whole=False)
    assert queue.times.mean('browse') == SECONDS


async def test_what_waits_is_turned_away_and_running_work_is_not(queue):
    """Guards against requests that wait for a slot when a daemon ends."""
    assert await queue.enter(work()) is None
    patient = work(on_time=100.0, deadline=100.0)
    waiting = [asyncio.create_task(queue.enter(patient)) for _ in range(3)]
    await settle()
    assert len(queue.waiting) == 3
    waiting[0].cancel()
    queue.turn_away(Refusal(ResultCode.DRAINING, 'the daemon stops'))
    refused = await asyncio.gather(*waiting[1:])
    assert {each.code for each in refused} == {ResultCode.DRAINING}
    assert {each.ran for each in refused} == {Ran.NO}
    assert (queue.running, queue.waiting) == (1, [])
