"""Daemons that are too slow for their requests, at both ends of the way."""

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

SLOW_SECONDS = 0.2


def play(scenario):
    """Run a scenario with a fleet in virtual time."""

    async def run():
        load = read_load(LOADS / 'wallpaper.toml')
        chance = random.Random(3)
        fleet = EmulatedFleet(load, POLICIES['objective'], chance)
        found = await scenario(fleet)
        await asyncio.gather(*(link.close() for link in fleet.links.values()))
        return found

    return run_virtual(run())


async def ask(entry, time_left, kind='browse'):
    """Return the end of a request, its seconds and when to come back."""
    request = make_request('1', kind, time_left)
    begun = asyncio.get_running_loop().time()
    end = await entry.handle(request)
    seconds = asyncio.get_running_loop().time() - begun
    return end, seconds, entry.retry_after(request)


def slow_entry(fleet):
    """Return an entry whose event loop runs late."""
    entry = fleet.owners['desk-0'].instance.entry
    entry.owner.delay.last = SLOW_SECONDS
    return entry


def test_what_a_slow_daemon_can_not_serve_is_refused_at_once():
    """Guards against requests that are held to their end, untried."""

    async def scenario(fleet):
        return await ask(slow_entry(fleet), 0.8)

    end, seconds, wait = play(scenario)
    assert isinstance(end, Refusal)
    assert (end.code, end.ran) == (ResultCode.DEADLINE_UNREACHABLE, Ran.NO)
    assert seconds == 0
    # A third of the time left is honoured by callers.
    assert wait == pytest.approx(0.8 / 3)


def test_what_a_slow_daemon_can_serve_is_served():
    """Guards against refusals of what is answered in time all the same."""

    async def scenario(fleet):
        entry = slow_entry(fleet)
        entry.owner.delay.last = 0.1
        return await ask(entry, 0.8)

    end, _seconds, _wait = play(scenario)
    assert isinstance(end, Answer)


def test_callers_return_when_a_daemon_has_caught_up():
    """Guards against refused callers that make a slow daemon slower."""

    async def scenario(fleet):
        entry = slow_entry(fleet)
        waits = [
            entry.retry_after(make_request('1', 'browse', 6.0))
            for _ in range(50)
        ]
        entry.owner.delay.last = 0.0
        usual = entry.retry_after(make_request('1', 'browse', 6.0))
        return min(waits), usual

    least, usual = play(scenario)
    assert least >= 4 * SLOW_SECONDS
    assert usual < 4 * SLOW_SECONDS


def test_busy_loop_of_a_moment_refuses_nobody():
    """Guards against refusals for the delay of any busy process."""

    async def scenario(fleet):
        entry = slow_entry(fleet)
        entry.owner.delay.last = 0.009
        return await ask(entry, 0.12)

    end, _seconds, _wait = play(scenario)
    assert isinstance(end, Answer)


def test_slow_owner_is_left_for_others():
    """Guards against requests that wait at a slow owner beside free slots."""

    async def scenario(fleet):
        entry = fleet.owners['store-0'].instance.entry
        fleet.owners['desk-4'].delay.last = SLOW_SECONDS
        for _ in range(60):
            await ask(entry, 5.0)
        before = fleet.owners['desk-4'].instance.runs
        for _ in range(60):
            await ask(entry, 5.0)
        return before, fleet.owners['desk-4'].instance.runs

    before, after = play(scenario)
    assert 0 < before < 15
    assert after - before <= 2


def test_slow_owner_gets_work_again():
    """Guards against an owner that is avoided once it has caught up."""

    async def scenario(fleet):
        entry = fleet.owners['store-0'].instance.entry
        slow = fleet.owners['desk-4']
        slow.delay.last = SLOW_SECONDS
        for _ in range(30):
            await ask(entry, 5.0)
        slow.delay.last = 0.0
        await asyncio.sleep(10)
        before = slow.instance.runs
        for _ in range(120):
            await ask(entry, 5.0)
        return slow.instance.runs - before

    assert play(scenario) > 0
