"""Requests whose instance leaves between their admission and the send."""

import asyncio

import attrs
import pytest
from aiohttp import web
from multidict import CIMultiDict

from tanagerbend_admission import ObjectiveQueue, Work
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, ResultCode
from tanagerbend_proxy.crash_exchange import make_suspicions
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.exchange import make_session
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_quarantine import Crash, Isolation
from tanagerbend_quarantine.case import CRASHES_TO_CONVICT
from tanagerbend_quarantine.cases import WARM_UP_SECONDS
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    Repeat,
    RetryBudgetSettings,
)
from tanagerbend_routing.evacuation import REFUSAL_DELAY_SECONDS
from tanagerbend_routing.registry import DEPARTURE_GRACE_SECONDS
from tanagerbend_timer import ManualTimer

NAMES = HeaderNames(**{name: name for name in attrs.fields_dict(HeaderNames)})
SUSPECT = Request('1', 'GET', 'shop', '/a', CIMultiDict(), b'', 30.0, 0.0)
OTHER = attrs.evolve(SUSPECT, identifier='2', path='/b')
PLACED = Placed('i-1', 'browse', 0, Repeat.FREELY, 30.0, 30.0)
SLOTS = 4


@attrs.define
class Instance:
    """Server that records the requests it runs, each until ``ends``."""

    address: str = ''
    paths: list[str] = attrs.field(factory=list)
    ends: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, request):
        """Run a request."""
        self.paths.append(request.path)
        await self.ends.wait()
        identifier = request.headers[NAMES.request_id]
        stamps = {NAMES.request_id: identifier, NAMES.stamp: 'x'}
        return web.Response(headers=stamps)


@pytest.fixture
async def instance():
    """Instance on loopback."""
    found = Instance()
    runner = web.ServerRunner(web.Server(found.serve), shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    found.address = '{}:{}'.format(*runner.addresses[0])
    yield found
    found.ends.set()
    await runner.cleanup()


@pytest.fixture
async def owner(instance):
    """Owner of the instance, with one connection and several slots."""
    recorder = Recorder(ManualTimer())
    registry = InstanceRegistry(recorder)
    registry.put(listed(instance))
    registry.evacuations.replace(())
    made = Owner(
        instance.address,
        make_session(10.0, 1),
        ObjectiveQueue(recorder.timer, SLOTS),
        NAMES,
        recorder,
        registry,
        Uplink(recorder.timer),
        RetryBudgetSettings(ratio=0.2, window=10.0, extra=60.0),
        make_suspicions(recorder, NAMES, DecisionLog('host', recorder)),
    )
    yield made
    await made.close()


def listed(instance, **changes):
    return ListedInstance(
        'i-1', instance.address, 'shop', 'north', SLOTS, **changes
    )


@pytest.fixture
async def begin(owner, instance):
    """Return a function that starts a request.

    It returns its task once the request runs or waits.
    """
    tasks = []

    async def start(request):
        headers = CIMultiDict({NAMES.request_id: request.identifier})
        identified = attrs.evolve(request, headers=headers)
        tasks.append(asyncio.create_task(owner.run(identified, PLACED)))
        await asyncio.sleep(0.02)
        return tasks[-1]

    yield start
    instance.ends.set()
    await asyncio.gather(*tasks)


def suspect(owner, crashes):
    """Let other instances have crashed under the suspect."""
    cases = owner.suspicions.cases
    fingerprint = owner.suspicions.request_fingerprint(SUSPECT)
    for number in range(crashes):
        at = float(number)
        cases.record_crash([fingerprint], Crash(f'i-{number + 5}', at))


async def leave(owner, instance):
    """Let the instance say that it leaves."""
    owner.registry.put(listed(instance, is_leaving=True))


async def vanish(owner, _instance):
    """Let the entry of the instance be removed."""
    owner.registry.remove('i-1')


async def displace(owner, instance):
    """Let another instance start at the address."""
    later = attrs.evolve(listed(instance, born=7), identity='i-2')
    owner.registry.put(later)


async def evacuate(owner, _instance):
    """Let the failure domain be evacuated for long enough."""
    owner.registry.evacuations.replace({'north'})
    await owner.recorder.timer.advance(REFUSAL_DELAY_SECONDS)


async def convict(owner, _instance):
    """Let further instances crash, and this daemon be warm."""
    suspect(owner, CRASHES_TO_CONVICT)
    await owner.recorder.timer.advance(WARM_UP_SECONDS)


NEWS = {
    leave: ResultCode.DRAINING,
    vanish: ResultCode.DRAINING,
    displace: ResultCode.NO_INSTANCE,
    evacuate: ResultCode.DRAINING,
    convict: ResultCode.REQUEST_CRASHES_BACKEND,
}


async def end_of(task):
    """Return the outcome of a request that is refused by now."""
    async with asyncio.timeout(1.0):
        return await task


@pytest.mark.parametrize('news', NEWS)
async def test_news_ends_the_wait_for_other_requests(
    owner, instance, begin, news
):
    """Guards against a request that waits for an instance that it can't use.

    It learned of that when the others had ended, at its deadline.
    """
    suspect(owner, 2)
    running = await begin(OTHER)
    waiting = await begin(SUSPECT)
    assert owner.guard.gate.waiting[0].isolation is Isolation.EXCLUSIVE
    await news(owner, instance)
    await owner.guard.waits.check()
    outcome = await end_of(waiting)
    assert (outcome.result.code, outcome.result.ran) == (NEWS[news], Ran.NO)
    assert not outcome.is_offered
    assert not running.done()
    instance.ends.set()
    assert isinstance((await running).result, Answer)
    assert instance.paths == [OTHER.path]
    assert not owner.queue.running


async def test_departure_ends_the_wait_behind_a_suspect(owner, instance, begin):
    """Guards against requests that wait behind one that is refused."""
    suspect(owner, 2)
    await begin(OTHER)
    waiting = [await begin(each) for each in (SUSPECT, OTHER)]
    await leave(owner, instance)
    await owner.guard.waits.check()
    outcomes = [await end_of(task) for task in waiting]
    codes = {outcome.result.code for outcome in outcomes}
    assert codes == {ResultCode.DRAINING}
    assert len(instance.paths) == 1


async def test_conviction_lets_those_behind_a_suspect_run(
    owner, instance, begin
):
    """Guards against a gate that stays closed for requests that may run."""
    suspect(owner, 2)
    instance.ends.set()
    await owner.guard.gate.enter(Isolation.NONE)
    waiting = await begin(SUSPECT)
    behind = await begin(OTHER)
    await convict(owner, instance)
    await owner.guard.waits.check()
    assert not isinstance((await end_of(waiting)).result, Answer)
    assert isinstance((await end_of(behind)).result, Answer)


async def test_request_at_a_leaving_instance_waits_for_no_other(
    owner, instance, begin
):
    """Guards against a wait that begins after the news of a departure."""
    suspect(owner, 2)
    await begin(OTHER)
    await leave(owner, instance)
    outcome = await end_of(await begin(SUSPECT))
    assert outcome.result.code is ResultCode.DRAINING


async def test_departure_ends_the_wait_for_a_slot(owner, instance, begin):
    """Guards against a request that waits for a slot it may not use."""
    work = Work('browse', 0, 30.0, 30.0)
    for _ in range(SLOTS):
        assert await owner.queue.enter(work) is None
    waiting = await begin(OTHER)
    await leave(owner, instance)
    await owner.guard.waits.check()
    await asyncio.sleep(0)
    # It may start in the grace period, if it gets a slot so soon.
    assert not waiting.done()
    await owner.recorder.timer.advance(DEPARTURE_GRACE_SECONDS)
    await owner.guard.waits.check()
    outcome = await end_of(waiting)
    assert outcome.result.code is ResultCode.DRAINING
    assert outcome.result.ran is Ran.NO
    assert not owner.queue.waiting


@pytest.mark.parametrize('news', [leave, displace, evacuate])
async def test_request_is_refused_when_it_gets_its_connection(
    owner, instance, begin, news
):
    """Guards against a send after the last wait, which is for a connection."""
    running = await begin(OTHER)
    waiting = await begin(SUSPECT)
    await news(owner, instance)
    await owner.recorder.timer.advance(DEPARTURE_GRACE_SECONDS)
    instance.ends.set()
    assert isinstance((await running).result, Answer)
    outcome = await end_of(waiting)
    assert (outcome.result.code, outcome.result.ran) == (NEWS[news], Ran.NO)
    assert not outcome.is_offered
    assert instance.paths == [OTHER.path]
    assert not owner.guard.flights.active


async def test_refused_request_leaves_its_connection_usable(
    owner, instance, begin
):
    """Guards against connections that refusals before the send use up."""
    running = await begin(OTHER)
    waiting = await begin(SUSPECT)
    await displace(owner, instance)
    instance.ends.set()
    await running
    assert (await end_of(waiting)).result.code is ResultCode.NO_INSTANCE
    owner.registry.remove('i-2')
    again = await end_of(await begin(SUSPECT))
    assert isinstance(again.result, Answer)
    assert not again.result.is_first


async def test_refused_request_changes_no_service_time(owner, instance, begin):
    """Guards against waits that count as slow work of the instance."""
    suspect(owner, 2)
    await begin(OTHER)
    waiting = await begin(SUSPECT)
    await owner.recorder.timer.advance(5.0)
    await leave(owner, instance)
    await owner.guard.waits.check()
    await end_of(waiting)
    assert owner.queue.times.mean(PLACED.route) < 5.0
