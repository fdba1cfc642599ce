"""Requests that are queued at the owner of an instance."""

import asyncio

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_admission import ObjectiveQueue, Work
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, ResultCode
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.messages import Placed, Request
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.crash_exchange import make_suspicions
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_routing import (
    ColdTolerance,
    RetryBudgetSettings,
    InstanceRegistry,
    ListedInstance,
    Repeat,
)
from tanagerbend_routing.evacuation import REFUSAL_DELAY_SECONDS
from tanagerbend_routing.registry import DEPARTURE_GRACE_SECONDS
from tanagerbend_timer import ManualTimer

INSTANCE = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 1)
BUDGET = RetryBudgetSettings(ratio=0.2, window=10.0, extra=60.0)
NAMES = HeaderNames(**dict.fromkeys(attrs.fields_dict(HeaderNames), 'X'))


@pytest.fixture
def owner():
    """Owner of an instance with one slot, without an HTTP session."""
    recorder = Recorder(ManualTimer())
    registry = InstanceRegistry(recorder)
    registry.put(INSTANCE)
    queue = ObjectiveQueue(recorder.timer, 1)
    return Owner(
        '10.0.0.1:80',
        None,
        queue,
        NAMES,
        recorder,
        registry,
        Uplink(recorder.timer),
        BUDGET,
        make_suspicions(recorder, NAMES, DecisionLog('host', recorder)),
    )


async def test_queued_request_is_refused_after_its_instance_left(owner):
    """Guards against a queued request that starts at a removed instance.

    The request gets its slot after the time in which a leaving instance may
    still take work.
    """
    first = Work('browse', 0, 30.0, 30.0)
    assert await owner.queue.enter(first) is None
    request = Request('1', 'GET', 'shop', '/', CIMultiDict(), b'', 30.0, 0.0)
    placed = Placed('i-1', 'browse', 0, Repeat.FREELY, 30.0, 30.0)
    waiting = asyncio.create_task(owner.run(request, placed))
    await asyncio.sleep(0)
    owner.registry.put(attrs.evolve(INSTANCE, is_leaving=True))
    await owner.recorder.timer.advance(DEPARTURE_GRACE_SECONDS + 0.1)
    owner.queue.leave(first, 0.1)
    outcome = await waiting
    assert outcome.result.code is ResultCode.DRAINING
    assert outcome.result.ran is Ran.NO
    assert not outcome.is_offered
    assert owner.queue.running == 0


@pytest.mark.parametrize('is_queued', [False, True], ids=['new', 'queued'])
async def test_request_for_a_displaced_instance_is_refused(owner, is_queued):
    """Guards against requests that reach another instance at the address.

    The process there would answer 421, which counts as a repeat.
    """
    first = Work('browse', 0, 30.0, 30.0)
    assert await owner.queue.enter(first) is None
    later = attrs.evolve(INSTANCE, identity='i-2', born=7)
    if not is_queued:
        owner.registry.put(later)
    request = Request('1', 'GET', 'shop', '/', CIMultiDict(), b'', 30.0, 0.0)
    placed = Placed('i-1', 'browse', 0, Repeat.FREELY, 30.0, 30.0)
    waiting = asyncio.create_task(owner.run(request, placed))
    await asyncio.sleep(0)
    assert waiting.done() is not is_queued
    owner.registry.put(later)
    owner.queue.leave(first, 0.1)
    outcome = await waiting
    assert outcome.result.code is ResultCode.NO_INSTANCE
    assert outcome.result.ran is Ran.NO
    assert not outcome.is_offered
    assert owner.queue.running == 0


async def test_queued_request_is_refused_in_an_evacuated_domain(owner):
    """Guards against a queued request that starts after an evacuation."""
    owner.registry.evacuations.replace(())
    first = Work('browse', 0, 30.0, 30.0)
    assert await owner.queue.enter(first) is None
    request = Request('1', 'GET', 'shop', '/', CIMultiDict(), b'', 30.0, 0.0)
    placed = Placed('i-1', 'browse', 0, Repeat.FREELY, 30.0, 30.0)
    waiting = asyncio.create_task(owner.run(request, placed))
    await asyncio.sleep(0)
    owner.registry.evacuations.replace({'north'})
    await owner.recorder.timer.advance(REFUSAL_DELAY_SECONDS)
    owner.queue.leave(first, 0.1)
    for outcome in (await waiting, await owner.run(request, placed)):
        assert outcome.result.code is ResultCode.DRAINING
        assert outcome.result.ran is Ran.NO
        assert not outcome.is_offered
    assert owner.queue.running == 0


async def test_cold_instance_gets_no_more_than_it_tolerates(owner):
    """Guards against an instance that crashes under its first requests.

    A request that waits for a slot counts, so the next one is sent elsewhere
    at once.
    """
    owner.cold.tolerance = ColdTolerance(1.0, 4.0)
    owner.registry.put(attrs.evolve(INSTANCE, cold_until=60.0))
    request = Request('1', 'GET', 'shop', '/', CIMultiDict(), b'', 30.0, 0.0)
    placed = Placed('i-1', 'browse', 0, Repeat.FREELY, 30.0, 30.0)
    first = Work('browse', 0, 30.0, 30.0)
    assert await owner.queue.enter(first) is None
    owner.cold.record()
    waiting = asyncio.create_task(owner.run(request, placed))
    await asyncio.sleep(0)
    refused = await owner.run(request, placed)
    assert refused.result.code is ResultCode.QUEUE_FULL
    assert refused.result.ran is Ran.NO
    assert not refused.is_offered
    # The allowance is spent elsewhere before the waiting one gets its slot.
    owner.cold.record()
    owner.queue.leave(first, 0.1)
    late = await waiting
    assert late.result.code is ResultCode.QUEUE_FULL
    assert not late.is_offered
    assert owner.queue.running == 0
