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
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.crash_exchange import make_suspicions
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_routing import (
    RetryBudgetSettings,
    InstanceRegistry,
    ListedInstance,
    Repeat,
)
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


@pytest.mark.parametrize(
    ('load', 'speed'), [('2,1,3,250', 2.5), ('2,1,3', 1.0), ('much', 1.0)]
)
def test_stated_speed_of_the_instance_is_used(owner, load, speed):
    """Guards against a load header that nobody reads."""
    owner._observe_load(Answer(200, CIMultiDict({'X': load}), b''))
    assert owner.report(0).speed == 1.0
    assert owner.queue.instance.speed.at(0.0) == speed
