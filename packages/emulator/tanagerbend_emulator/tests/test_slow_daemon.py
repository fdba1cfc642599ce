"""Entries and owners whose event loops run late."""

import asyncio
import random

import pytest

from tanagerbend_emulator import LOADS, read_load
from tanagerbend_emulator.fleet import EmulatedFleet
from tanagerbend_emulator.instance import make_request
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.virtual import run_virtual
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer

LOOP_DELAY_SECONDS = 0.2


def run_with_fleet(scenario):
    """Run a scenario with a fleet in virtual time."""

    async def run():
        load = read_load(LOADS / 'wallpaper.toml')
        rng = random.Random(3)
        fleet = EmulatedFleet(load, POLICIES['objective'], rng)
        result = await scenario(fleet)
        await asyncio.gather(*(link.close() for link in fleet.links.values()))
        return result

    return run_virtual(run())


async def send_request(entry, time_left, kind='browse'):
    """Return the result of a request, its seconds and the retry time."""
    request = make_request('1', kind, time_left)
    started_at = asyncio.get_running_loop().time()
    answer = await entry.handle(request)
    seconds = asyncio.get_running_loop().time() - started_at
    return answer, seconds, entry.retry_after(request)


def delayed_entry(fleet):
    """Return an entry whose event loop runs late."""
    entry = fleet.owners['desk-0'].instance.entry
    entry.owner.delay.last = LOOP_DELAY_SECONDS
    return entry


def test_delayed_daemon_refuses_requests_with_too_little_time():
    """Guards against requests that wait until their deadline, untried."""

    async def scenario(fleet):
        return await send_request(delayed_entry(fleet), 0.8)

    answer, seconds, retry_seconds = run_with_fleet(scenario)
    assert isinstance(answer, Refusal)
    assert (answer.code, answer.ran) == (
        ResultCode.DEADLINE_UNREACHABLE,
        Ran.NO,
    )
    assert seconds == 0
    # Callers wait for a third of the time left at most.
    assert retry_seconds == pytest.approx(0.8 / 3)


def test_delayed_daemon_serves_requests_with_enough_time():
    """Guards against refusals of requests that can be answered in time."""

    async def scenario(fleet):
        entry = delayed_entry(fleet)
        entry.owner.delay.last = 0.1
        return await send_request(entry, 0.8)

    answer, _seconds, _retry_seconds = run_with_fleet(scenario)
    assert isinstance(answer, Answer)


def test_delayed_daemon_asks_callers_to_retry_later():
    """Guards against early retries that delay a slow daemon further."""

    async def scenario(fleet):
        entry = delayed_entry(fleet)
        waits = [
            entry.retry_after(make_request('1', 'browse', 6.0))
            for _ in range(50)
        ]
        entry.owner.delay.last = 0.0
        normal_wait = entry.retry_after(make_request('1', 'browse', 6.0))
        return min(waits), normal_wait

    min_wait, normal_wait = run_with_fleet(scenario)
    assert min_wait >= 4 * LOOP_DELAY_SECONDS
    assert normal_wait < 4 * LOOP_DELAY_SECONDS


def test_short_loop_delay_refuses_no_request():
    """Guards against refusals for the usual delay of a busy process."""

    async def scenario(fleet):
        entry = delayed_entry(fleet)
        entry.owner.delay.last = 0.009
        return await send_request(entry, 0.12)

    answer, _seconds, _retry_seconds = run_with_fleet(scenario)
    assert isinstance(answer, Answer)


def test_delayed_owner_is_avoided():
    """Guards against requests at a slow owner while others have slots."""

    async def scenario(fleet):
        entry = fleet.owners['store-0'].instance.entry
        fleet.owners['desk-4'].delay.last = LOOP_DELAY_SECONDS
        for _ in range(60):
            await send_request(entry, 5.0)
        runs_before = fleet.owners['desk-4'].instance.runs
        for _ in range(60):
            await send_request(entry, 5.0)
        return runs_before, fleet.owners['desk-4'].instance.runs

    runs_before, runs_after = run_with_fleet(scenario)
    assert 0 < runs_before < 15
    assert runs_after - runs_before <= 2


def test_recovered_owner_gets_requests_again():
    """Guards against an owner that is avoided after its delay is over."""

    async def scenario(fleet):
        entry = fleet.owners['store-0'].instance.entry
        slow = fleet.owners['desk-4']
        slow.delay.last = LOOP_DELAY_SECONDS
        for _ in range(30):
            await send_request(entry, 5.0)
        slow.delay.last = 0.0
        await asyncio.sleep(10)
        runs_before = slow.instance.runs
        for _ in range(120):
            await send_request(entry, 5.0)
        return slow.instance.runs - runs_before

    assert run_with_fleet(scenario) > 0
