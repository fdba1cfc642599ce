"""Order, refusals and cancellations of the objective queue."""

import asyncio

import pytest

from tanagerbend_admission import ObjectiveQueue, Work
from tanagerbend_admission.objective import FLOOR_INTERVAL
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


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_free_slot_is_granted_at_once(queue):
    """Guards against refusals while slots are free."""
    assert await queue.enter(work()) is None


async def test_request_is_refused_at_arrival_if_too_late(queue):
    """Guards against queueing a request that can't be served in time."""
    assert await queue.enter(work()) is None
    refusal = await queue.enter(work(deadline=0.15))
    assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert refusal.ran is Ran.NO


async def test_late_request_behind_others_is_refused(queue):
    """Guards against late answers that another instance could avoid."""
    assert await queue.enter(work()) is None
    refusal = await queue.enter(work(on_time=0.15))
    assert refusal.code is ResultCode.QUEUE_FULL


async def test_late_request_takes_a_free_slot(queue):
    """Guards against refusing a late request while slots are free."""
    assert await queue.enter(work(on_time=-1.0)) is None


async def test_late_request_does_not_wait(queue):
    """Guards against late work that delays work that can be on time."""
    assert await queue.enter(work()) is None
    late = work(on_time=-1.0, deadline=9.0)
    assert queue.refusal_at_arrival(late).code is ResultCode.QUEUE_FULL


async def test_overtaken_rank_is_refused_at_arrival(queue):
    """Guards against requests of a starved rank that wait until expiry.

    Urgent work takes nearly all slots, so a request behind three others of
    its rank waits for three of the slots reserved for the least urgent rank.
    """
    urgent = work(on_time=90.0, deadline=99.0)
    assert await queue.enter(urgent) is None
    flood = [
        asyncio.create_task(queue.enter(urgent))
        for _ in range(4 * FLOOR_INTERVAL)
    ]
    patient = work('order', rank=2, on_time=90.0, deadline=99.0)
    orders = [asyncio.create_task(queue.enter(patient)) for _ in range(5)]
    await run_pending_tasks()
    for _ in range(2 * FLOOR_INTERVAL + 2):
        await queue.timer.advance(SECONDS)
        queue.leave(urgent, SECONDS)
        await run_pending_tasks()
    assert sum(order.done() for order in orders) == 2
    ahead = 3 * FLOOR_INTERVAL * SECONDS
    left = queue.timer.now() + ahead / 2
    order = work('order', rank=2, on_time=91.0, deadline=left)
    assert (
        queue.refusal_at_arrival(order).code is ResultCode.DEADLINE_UNREACHABLE
    )
    for task in (*flood, *orders):
        task.cancel()


async def test_margin_applies_only_behind_the_same_tier(queue):
    """Guards against refusing urgent work because less urgent work waits."""
    queue.recent_grants.add(0.0, 0, 40)
    order = work('order', rank=2, on_time=9.0, deadline=9.0)
    assert await queue.enter(order) is None
    waiting = asyncio.create_task(queue.enter(order))
    await run_pending_tasks()
    tight = work(on_time=0.22)
    assert queue.refusal_at_arrival(tight) is None
    first = asyncio.create_task(queue.enter(tight))
    await run_pending_tasks()
    assert (
        queue.refusal_at_arrival(work(on_time=0.32)).code
        is ResultCode.QUEUE_FULL
    )
    waiting.cancel()
    first.cancel()


async def test_urgent_rank_is_served_first(queue):
    """Guards against urgent work that waits behind less urgent work."""
    assert await queue.enter(work()) is None
    less_urgent = asyncio.create_task(queue.enter(work('order', rank=2)))
    await run_pending_tasks()
    urgent = asyncio.create_task(queue.enter(work('browse', rank=0)))
    await run_pending_tasks()
    queue.leave(work(), SECONDS)
    await run_pending_tasks()
    assert urgent.done()
    assert not less_urgent.done()
    queue.leave(work(), SECONDS)
    await run_pending_tasks()
    assert less_urgent.done()


async def test_least_urgent_rank_keeps_a_share(queue):
    """Guards against starving a rank during a flood of another."""
    first = work(on_time=90.0, deadline=99.0)
    assert await queue.enter(first) is None
    flood = [asyncio.create_task(queue.enter(first)) for _ in range(40)]
    order = work('order', rank=2, on_time=90.0, deadline=99.0)
    less_urgent = asyncio.create_task(queue.enter(order))
    await run_pending_tasks()
    for _ in range(FLOOR_INTERVAL):
        queue.leave(first, SECONDS)
        await run_pending_tasks()
    assert less_urgent.done()
    for task in flood:
        task.cancel()


async def test_cancelled_waiting_request_is_removed(queue):
    """Guards against slots lost to cancelled requests."""
    assert await queue.enter(work()) is None
    waiting = asyncio.create_task(queue.enter(work()))
    await run_pending_tasks()
    waiting.cancel()
    await run_pending_tasks()
    queue.leave(work(), SECONDS)
    assert queue.busy == 0


async def test_slot_granted_to_a_cancelled_request_is_released(queue):
    """Guards against a slot lost between its grant and a cancellation."""
    assert await queue.enter(work()) is None
    waiting = asyncio.create_task(queue.enter(work()))
    await run_pending_tasks()
    queue.leave(work(), SECONDS)
    waiting.cancel()
    await run_pending_tasks()
    assert queue.busy == 0


async def test_waiting_request_past_its_deadline_is_refused(queue):
    """Guards against running a request whose deadline has passed."""
    assert await queue.enter(work()) is None
    waiting = asyncio.create_task(queue.enter(work(on_time=0.3, deadline=0.5)))
    await run_pending_tasks()
    await queue.timer.advance(0.45)
    queue.leave(work(), SECONDS)
    await run_pending_tasks()
    assert isinstance(waiting.result(), Refusal)
    assert queue.running == 0


async def test_aborted_work_updates_the_estimate_of_a_slow_instance(queue):
    """Guards against overloading an instance that stopped answering in time.

    Only aborted work shows that the instance has become slow.
    """
    for _ in range(40):
        assert await queue.enter(work(deadline=99.0, on_time=99.0)) is None
        queue.leave(work(), 0.9, is_complete=False)
    assert queue.refusal_at_arrival(work(deadline=0.5)).ran is Ran.NO
    await queue.timer.advance(2.5)
    assert queue.refusal_at_arrival(work(deadline=3.0)) is None


async def test_early_abort_does_not_lower_the_estimate(queue):
    """Guards against estimates that include calls aborted by callers."""
    for _ in range(40):
        assert await queue.enter(work(deadline=99.0, on_time=99.0)) is None
        queue.leave(work(), 0.001, is_complete=False)
    assert queue.times.mean('browse') == SECONDS


async def test_turn_away_refuses_waiting_but_not_running_requests(queue):
    """Guards against requests that still wait for a slot at shutdown."""
    assert await queue.enter(work()) is None
    patient = work(on_time=100.0, deadline=100.0)
    waiting = [asyncio.create_task(queue.enter(patient)) for _ in range(3)]
    await run_pending_tasks()
    assert len(queue.waiting) == 3
    waiting[0].cancel()
    queue.refuse_waiting(Refusal(ResultCode.DRAINING, 'the daemon stops'))
    refused = await asyncio.gather(*waiting[1:])
    assert {each.code for each in refused} == {ResultCode.DRAINING}
    assert {each.ran for each in refused} == {Ran.NO}
    assert (queue.running, queue.waiting) == (1, [])
