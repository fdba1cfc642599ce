"""Attribution of crashes, and isolation of suspects."""

import asyncio

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.crash_exchange import make_suspicions
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.guard import InstanceGuard
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_quarantine import Crash, ProcessState, Verdict
from tanagerbend_quarantine.flights import WORK_AFTER_CLOSE_SECONDS
from tanagerbend_routing import Repeat
from tanagerbend_timer import SystemTimer

NAMES = HeaderNames(**{name: name for name in attrs.fields_dict(HeaderNames)})
PLACED = Placed('i-1', 'browse', 0, Repeat.FREELY, 30.0, 30.0)
LOST = Refusal(ResultCode.CONNECTION_LOST, 'reset', Ran.UNKNOWN)
SILENT = Refusal(ResultCode.OUTCOME_UNKNOWN, 'silent', Ran.UNKNOWN)
UNSENT = Refusal(ResultCode.INSTANCE_UNREACHABLE, 'refused')


class Instance:
    """A guard with an instance whose requests the test ends."""

    def __init__(self):
        self.probes = 0
        self.has_ended = asyncio.Event()
        self.running = {}
        recorder = Recorder(SystemTimer())
        log = DecisionLog('host-1', recorder)
        self.suspicions = make_suspicions(recorder, NAMES, log)
        self.cases = self.suspicions.cases
        self.refuses = False
        self.guard = InstanceGuard(self.suspicions, self)

    async def is_down(self):
        """Count a probe; return whether the instance is down."""
        self.probes += 1
        return self.refuses

    def close(self):
        """Close no connection."""

    async def wait(self, seconds):
        """Wait until the connection to the instance ends."""
        try:
            async with asyncio.timeout(seconds):
                await self.has_ended.wait()
        except TimeoutError:
            return ProcessState.RUNNING
        return ProcessState.UNKNOWN

    def end_process(self):
        """End the instance without a request that has a connection."""
        self.refuses = True
        self.has_ended.set()

    def request(self, path, caller='shop'):
        """Return a request of a caller."""
        headers = CIMultiDict({NAMES.caller_service: caller})
        return Request('1', 'GET', 'h', path, headers, b'', 30.0, 0.0)

    def fingerprint(self, path):
        """Return the fingerprint of a request."""
        return self.suspicions.request_fingerprint(self.request(path))

    def verdict(self, path):
        """Return the verdict on a request."""
        return self.cases.verdict(self.fingerprint(path))

    async def begin(self, path):
        """Start a request; return its task once it runs or waits."""
        loop = asyncio.get_running_loop()

        async def send(_left):
            self.running[path] = loop.create_future()
            return await self.running[path]

        task = asyncio.ensure_future(
            self.guard.run(
                self.request(path),
                PLACED,
                self.cases.timer.now() + 30.0,
                send,
            ),
        )
        for _ in range(5):
            await asyncio.sleep(0)
        return task

    def end(self, path, end):
        """End a running request."""
        self.running.pop(path).set_result(end)


@pytest.fixture
async def instance():
    started = Instance()
    yield started
    started.guard.watch.close()


async def test_requests_lost_with_their_instance_are_suspects(instance):
    """Guards against a crash that makes no request a suspect."""
    tasks = [await instance.begin(path) for path in ('/a', '/b')]
    instance.refuses = True
    for path in ('/a', '/b'):
        instance.end(path, LOST)
    assert await asyncio.gather(*tasks) == [LOST, LOST]
    assert instance.verdict('/a') is instance.verdict('/b') is Verdict.SUSPECT
    assert len(instance.cases.case(instance.fingerprint('/a')).crashes) == 1
    assert instance.probes == 1


async def test_reset_of_a_connection_is_no_crash(instance):
    """Guards against suspects after the loss of a single connection."""
    task = await instance.begin('/a')
    instance.end('/a', LOST)
    await task
    assert instance.verdict('/a') is Verdict.CLEAR


async def test_instance_that_runs_others_has_not_ended(instance):
    """Guards against probing an instance that is known to be alive."""
    lost, other = await instance.begin('/a'), await instance.begin('/b')
    instance.refuses = True
    instance.end('/a', LOST)
    await lost
    instance.end('/b', Answer(200, CIMultiDict(), b''))
    await other
    assert not instance.probes
    assert instance.verdict('/a') is Verdict.CLEAR


@pytest.mark.parametrize('end', [SILENT, UNSENT])
async def test_timeouts_and_refused_connections_are_no_crash(instance, end):
    """Guards against suspects without any sign of a crash."""
    instance.refuses = True
    task = await instance.begin('/a')
    instance.end('/a', end)
    assert await task == end
    assert instance.verdict('/a') is Verdict.CLEAR


async def test_request_whose_caller_left_is_suspected_too(instance):
    """Guards against a crash attributed to other requests only."""
    left, other = await instance.begin('/a'), await instance.begin('/b')
    left.cancel()
    await asyncio.wait((left,))
    instance.refuses = True
    instance.end('/b', LOST)
    await other
    assert instance.verdict('/a') is instance.verdict('/b') is Verdict.SUSPECT


async def test_crash_of_a_strong_suspect_does_not_convict_abandoned_requests(
    instance,
):
    """Guards against the conviction of an abandoned request."""
    fingerprint = instance.fingerprint('/a')
    for number in range(2):
        instance.cases.record_crash(
            [fingerprint], Crash(f'i-{number}', float(number))
        )
    left = await instance.begin('/b')
    left.cancel()
    await asyncio.wait((left,))
    suspect = await instance.begin('/a')
    instance.refuses = True
    instance.end('/a', LOST)
    await suspect
    assert instance.verdict('/a') is Verdict.CONVICTED
    assert instance.verdict('/b') is Verdict.SUSPECT


async def test_loss_that_is_detected_late_is_no_second_crash(instance):
    """Guards against counting one crash once per lost request."""
    first, late = await instance.begin('/a'), await instance.begin('/b')
    instance.refuses = True
    instance.end('/a', LOST)
    instance.guard.lost.update(instance.guard.flights.active)
    await first
    instance.end('/b', LOST)
    await late
    recorder = instance.cases.recorder
    assert recorder.counters.get('instance_crashes') == 1


async def test_caller_is_part_of_a_request(instance):
    """Guards against convicting the same request of another service."""
    fingerprints = {
        instance.suspicions.request_fingerprint(instance.request('/a', caller))
        for caller in ('shop', 'docs')
    }
    assert len(fingerprints) == 2


async def test_host_name_is_normalised_as_for_routes(instance):
    """Guards against fingerprints that differ between two daemons."""
    request = instance.request('/a')
    same = attrs.evolve(request, host='H:8141')
    assert instance.suspicions.request_fingerprint(
        same
    ) == instance.suspicions.request_fingerprint(request)


async def test_convicted_request_does_not_reach_the_instance(instance):
    """Guards against an owner that relies on checks at entry daemons."""
    fingerprint = instance.fingerprint('/a')
    crash = Crash('i-0', 1.0, is_alone=True)
    instance.cases.record_crash([fingerprint], crash)
    outcome = await (await instance.begin('/a'))
    assert outcome.code is ResultCode.REQUEST_CRASHES_BACKEND
    assert outcome.ran is Ran.NO
    assert not instance.running


async def test_suspect_of_two_crashes_runs_alone(instance):
    """Guards against losing other requests in a third crash."""
    fingerprint = instance.fingerprint('/a')
    for number in range(2):
        instance.cases.record_crash(
            [fingerprint], Crash(f'i-{number}', float(number))
        )
    first = await instance.begin('/b')
    suspect = await instance.begin('/a')
    behind = await instance.begin('/c')
    assert set(instance.running) == {'/b'}
    instance.end('/b', Answer(200, CIMultiDict(), b''))
    await first
    await asyncio.sleep(0)
    assert set(instance.running) == {'/a'}
    instance.refuses = True
    instance.end('/a', LOST)
    await suspect
    assert instance.verdict('/a') is Verdict.CONVICTED
    assert instance.verdict('/b') is Verdict.CLEAR
    await asyncio.sleep(0)
    assert set(instance.running) == {'/c'}
    instance.end('/c', Answer(200, CIMultiDict(), b''))
    await behind


async def test_request_that_waits_too_long_has_not_run(instance):
    """Guards against a request held at the gate beyond its deadline."""
    fingerprint = instance.fingerprint('/a')
    for number in range(2):
        instance.cases.record_crash(
            [fingerprint], Crash(f'i-{number}', float(number))
        )
    first = await instance.begin('/b')
    outcome = await instance.guard.run(
        instance.request('/a'),
        PLACED,
        instance.cases.timer.now() + 0.01,
        None,
    )
    assert outcome.code is ResultCode.DEADLINE_PASSED
    assert outcome.ran is Ran.NO
    instance.end('/b', Answer(200, CIMultiDict(), b''))
    await first


async def abandon(instance, path):
    """Start a request whose caller then leaves."""
    left = await instance.begin(path)
    left.cancel()
    await asyncio.wait((left,))


async def until_watched(instance):
    """Wait until no abandoned request is watched any more."""
    async with asyncio.timeout(10):
        while instance.guard.watch.task is not None:
            await asyncio.sleep(0.01)


async def test_crash_is_noticed_although_its_caller_left(instance):
    """Guards against a crash that only active requests notice."""
    told = []
    instance.suspicions.spread = told.extend
    await abandon(instance, '/a')
    instance.end_process()
    await until_watched(instance)
    assert instance.verdict('/a') is Verdict.SUSPECT
    assert told == [instance.fingerprint('/a')]


async def test_end_of_the_watching_connection_is_no_crash(instance):
    """Guards against suspects when a sound instance closes connections."""
    await abandon(instance, '/a')
    instance.has_ended.set()
    await until_watched(instance)
    assert instance.verdict('/a') is Verdict.CLEAR


async def test_instance_that_outlives_a_request_is_watched_no_more(instance):
    """Guards against blaming a request for a crash long after it."""
    await abandon(instance, '/a')
    await until_watched(instance)
    instance.end_process()
    other = await instance.begin('/b')
    instance.end('/b', LOST)
    await other
    assert instance.verdict('/a') is Verdict.CLEAR
    assert instance.verdict('/b') is Verdict.SUSPECT


async def test_survived_request_is_suspected_less(instance):
    """Guards against refusing a request that mostly does no harm."""
    fingerprint = instance.fingerprint('/a')
    instance.cases.record_crash([fingerprint], Crash('i-0', 1.0))
    await abandon(instance, '/a')
    await asyncio.sleep(WORK_AFTER_CLOSE_SECONDS)
    await until_watched(instance)
    assert instance.verdict('/a') is Verdict.CLEAR
