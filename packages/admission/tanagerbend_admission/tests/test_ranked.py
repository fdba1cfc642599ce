"""Order, bounds and refusals of the rank policy."""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from tanagerbend_admission import Outcome
from tanagerbend_metrics.names import QUEUE_TIME


def ended_calls(harness, code=None):
    """Return the names of the calls with a result code, in order."""
    return [name for name, ended in harness.done if ended == code]


async def test_free_slot_goes_to_most_urgent_rank(make_harness):
    """Guards against service in order of arrival."""
    harness = make_harness()
    tasks = [harness.offer('first')]
    await harness.timer.settle()
    tasks += [harness.offer(f'rank {rank}', rank=rank) for rank in (7, 0, 4)]
    await harness.run_until_done(tasks)
    assert ended_calls(harness) == ['first', 'rank 0', 'rank 4', 'rank 7']


async def test_tenants_alternate_and_deadlines_order_within_one(make_harness):
    """Guards against one tenant's backlog delaying another tenant."""
    harness = make_harness()
    tasks = [harness.offer('first', tenant='other')]
    await harness.timer.settle()
    tasks += [
        harness.offer(f'big {within}', tenant='big', within=within)
        for within in (90.0, 60.0, 70.0)
    ]
    await harness.timer.settle()
    tasks.append(harness.offer('small', tenant='small', within=100.0))
    await harness.run_until_done(tasks)
    order = ended_calls(harness)
    assert order.index('small') <= 2
    assert [name for name in order if name.startswith('big')] == [
        'big 60.0',
        'big 70.0',
        'big 90.0',
    ]


async def test_unreachable_deadline_is_refused_at_once(make_harness):
    """Guards against calls that wait although they must be refused."""
    harness = make_harness()
    await harness.learn_service_time(1.0)
    tasks = [harness.offer('running'), harness.offer('next')]
    await harness.timer.settle()
    tasks.append(harness.offer('hopeless', within=1.5))
    await harness.timer.settle()
    assert harness.done[-1] == ('hopeless', 'DEADLINE_UNREACHABLE')
    await harness.run_until_done(tasks)


async def test_wrong_estimate_is_corrected_by_the_next_call(make_harness):
    """Guards against refusing a class forever after one slow call."""
    harness = make_harness()
    await harness.learn_service_time(60.0)
    await harness.run_until_done(
        [harness.offer('probe', seconds=0.1, within=1.0)]
    )
    assert harness.done == [('probe', None)]


async def test_wrong_estimate_is_tested_while_its_rank_is_busy(make_harness):
    """Guards against refusing a class forever while others are running."""
    harness = make_harness(slots=2)
    await harness.learn_service_time(60.0)
    busy = harness.offer('busy', seconds=1000, within=2000)
    await harness.timer.settle()
    await harness.timer.advance(1)
    await harness.run_until_done(
        [harness.offer('early', seconds=0.1, within=9)]
    )
    await harness.timer.advance(2)
    await harness.run_until_done(
        [harness.offer('later', seconds=0.1, within=9)]
    )
    assert harness.done == [
        ('busy', None),
        ('early', 'DEADLINE_UNREACHABLE'),
        ('later', None),
    ]
    busy.cancel()


async def test_waiting_call_is_refused_when_its_deadline_passes(make_harness):
    """Guards against calls that wait forever for a stuck slot."""
    harness = make_harness()
    stuck = harness.offer('stuck', seconds=1000)
    await harness.timer.settle()
    harness.offer('waiting', within=3.0)
    await harness.timer.advance(3.1)
    assert harness.done == [('stuck', None), ('waiting', 'DEADLINE_PASSED')]
    stuck.cancel()


async def test_urgent_call_displaces_a_less_urgent_one(make_harness):
    """Guards against refusing urgent work when less urgent work waits."""
    harness = make_harness(max_waiting=2)
    tasks = [harness.offer('running')]
    await harness.timer.settle()
    tasks += [harness.offer(f'low {index}', rank=7) for index in range(2)]
    await harness.timer.settle()
    tasks.append(harness.offer('urgent', rank=0))
    await harness.timer.settle()
    assert harness.done[-1] == ('low 1', 'QUEUE_FULL')
    await harness.run_until_done(tasks)
    assert 'urgent' in ended_calls(harness)


async def test_urgent_flood_leaves_queue_places_reserved_by_floors(
    make_harness,
):
    """Guards against a flood that excludes other ranks from the queue."""
    harness = make_harness(max_waiting=10, floors={7: 0.2})
    tasks = [harness.offer('urgent', rank=0) for _ in range(40)]
    await harness.timer.settle()
    tasks += [harness.offer('low', rank=7) for _ in range(3)]
    await harness.timer.settle()
    refused = [name for name, code in harness.done if code == 'QUEUE_FULL']
    assert refused.count('low') == 1
    for task in tasks:
        task.cancel()
    await harness.timer.settle()
    assert harness.admission.running == 0
    assert harness.admission.waiting == 0


async def test_cancelled_call_releases_its_slot(make_harness):
    """Guards against slots that are lost when calls are cancelled."""
    harness = make_harness()
    ticket = harness.ticket()
    assert await harness.admission.enter(ticket) is None
    waiting = harness.offer('cancelled while granted')
    await harness.timer.settle()
    harness.admission.leave(ticket, Outcome.SERVED, 0.1)
    waiting.cancel()
    await harness.timer.settle()
    assert harness.admission.running == 0
    await harness.run_until_done([harness.offer('next', seconds=0.1)])
    assert harness.done == [('next', None)]


async def run_flood(harness, flooded):
    """Offer three times the capacity of one rank and a little of others.

    Returns the share of slot time of each rank during the flood.
    """
    generator = random.Random(5)
    tasks = []
    while harness.timer.now() < 12:
        tasks += [
            harness.offer(flooded, 0.1, rank=flooded, target=0.5)
            for _ in range(3)
        ]
        for rank in {0, 3, 7} - {flooded}:
            if generator.random() < 0.25:
                tasks.append(harness.offer(rank, 0.1, rank=rank, target=0.5))
        await harness.timer.advance(0.05)
    served = ended_calls(harness)
    shares = {rank: served.count(rank) * 0.1 / 12 / 2 for rank in (0, 3, 7)}
    await harness.run_until_done(tasks)
    await harness.timer.advance(4)
    return shares


async def test_flood_of_urgent_rank_does_not_reduce_the_floors(make_harness):
    """Guards against urgent work that starves the other ranks."""
    harness = make_harness(slots=2, max_waiting=64, floors={3: 0.2, 7: 0.1})
    shares = await run_flood(harness, 0)
    assert shares[3] >= 0.19
    assert shares[7] >= 0.09
    assert 'flood_began' in harness.events
    assert 'flood_ended' in harness.events


async def test_few_long_calls_use_their_whole_floor(make_harness):
    """Guards against a floor that stays unused between sparse arrivals.

    Calls of 0.45 s arriving at 5.3/s got 88% of a floor of 10%, because each
    was refused while the one before it was running.
    """
    harness = make_harness(slots=6, max_waiting=64, floors={4: 0.1})
    generator = random.Random(1)
    await harness.learn_service_time(0.45)
    started, due = harness.timer.now(), {0: 0.0, 4: 0.0}
    while harness.timer.now() < started + 40:
        for rank, rate in ((0, 40.0), (4, 5.3)):
            while due[rank] <= harness.timer.now() - started:
                harness.offer(rank, 0.45, rank=rank, target=1.5)
                due[rank] += generator.expovariate(rate)
        await harness.timer.advance(0.025)
    full = 40 * 6 / 0.45
    assert ended_calls(harness).count(4) >= 0.1 * full


async def test_flood_of_least_urgent_rank_does_not_refuse_others(make_harness):
    """Guards against refusals of urgent work during a less urgent flood."""
    harness = make_harness(slots=2, max_waiting=64, floors={3: 0.2, 7: 0.1})
    shares = await run_flood(harness, 7)
    assert {name for name, code in harness.done if code} == {7}
    assert shares[7] >= 0.3, 'the rest of the capacity must not stay idle'


async def test_queue_time_is_recorded_by_tenant_and_rank(make_harness):
    """Guards against missing queue times in the histograms."""
    harness = make_harness()
    await harness.run_until_done([harness.offer('a'), harness.offer('b')])
    queued = harness.recorder.histograms.get_or_create(QUEUE_TIME, 'studio', 3)
    assert queued.get_total_count() == 2
    assert queued.get_max_value() >= 900_000


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9),
            strategies.sampled_from('abc'),
            strategies.floats(0.05, 3.0),
            strategies.floats(0.05, 5.0),
            strategies.sampled_from(Outcome),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_slots_are_bounded_and_never_lost(make_harness, offers):
    """Guards against slots that are lost or granted twice."""

    async def check():
        harness = make_harness(slots=2, max_waiting=6, floors={1: 0.3, 5: 0.2})
        tasks = []
        for rank, tenant, seconds, within, outcome, is_cancelled in offers:
            task = harness.offer(
                rank, seconds, outcome, rank=rank, tenant=tenant, within=within
            )
            await harness.timer.settle()
            assert harness.admission.running <= 2
            assert harness.admission.waiting <= 8
            if is_cancelled and harness.admission.waiting:
                task.cancel()
            tasks.append(task)
            await harness.timer.advance(0.05)
        while not all(task.done() for task in tasks):
            await harness.timer.advance(0.5)
        assert harness.admission.waiting == 0
        assert harness.admission.running == 0

    asyncio.run(check())
