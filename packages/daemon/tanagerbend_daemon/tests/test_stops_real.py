"""Planned stops of real daemon processes under load."""

import asyncio
import collections
import signal

import aiohttp
import pytest

from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = b'service,work,rank,method,path\nartwork,any,1,,/\npattern,any,1,,/\n'
PLACES = [
    Placement(f'host-{number}', 'artwork', 'kingston', 'tas-south')
    for number in (1, 2, 3)
]
PLACES.append(Placement('host-4', 'pattern', 'kingston', 'tas-south'))


@pytest.fixture
async def fleet(tmp_path):
    overrides = {'instance': {'ready_path': '/ready', 'drain_seconds': 10.0}}
    fleet = Fleet(tmp_path, PLACES, overrides=overrides)
    await fleet.start(SHEET)
    for node in fleet.nodes:
        node.backend.update_behaviour(work_seconds=0.02)
    yield fleet
    await fleet.close()


async def send(caller, node, service='artwork'):
    """Send a call; return the outcome as seen by the caller."""
    try:
        async with caller.get(
            f'http://{node.call_address}/plate',
            headers={headers.SERVICE: service},
        ) as response:
            await response.read()
            return f'{response.status} {response.headers[headers.RAN]}'
    except aiohttp.ClientConnectorError:
        return 'not listening'
    except (aiohttp.ClientError, OSError) as error:
        return f'cut: {error!r}'


async def all_serve(caller, fleet):
    """Wait until every daemon answers calls."""

    async def served():
        got = {
            await send(caller, node, service)
            for node in fleet.nodes
            for service in ('artwork', 'pattern')
        }
        return got == {'200 yes'}

    assert await wait_until(served, 30)


async def test_stop_under_load_cuts_no_request(fleet):
    """Guards against requests lost with the daemon, on any connection."""
    seen = collections.Counter()
    is_over = asyncio.Event()

    async def load(caller, node):
        while not is_over.is_set():
            outcome = await send(caller, node)
            seen[outcome] += 1
            if outcome == 'not listening':
                await asyncio.sleep(0.02)

    async with aiohttp.ClientSession() as caller:
        await all_serve(caller, fleet)
        tasks = [
            asyncio.create_task(load(caller, node))
            for node in fleet.nodes
            for _ in range(6)
        ]
        for node in fleet.nodes[:2]:
            await asyncio.sleep(0.3)
            assert await fleet.stop_daemon(node, signal.SIGTERM) == 0
            await fleet.start_daemon(node)
            await asyncio.sleep(1.0)
        is_over.set()
        await asyncio.gather(*tasks)
    assert seen['200 yes'] > 100
    assert not [outcome for outcome in seen if outcome.startswith('cut')]
    assert not [outcome for outcome in seen if outcome.endswith('unknown')]


async def test_calls_that_outlast_the_drain_are_answered(fleet):
    """Guards against a stop that never ends or cuts waiting calls."""
    node = fleet.nodes[3]
    async with aiohttp.ClientSession() as caller:
        await all_serve(caller, fleet)
        node.backend.update_behaviour(work_seconds=4.0)
        calls = [
            asyncio.create_task(send(caller, node, 'pattern')) for _ in range(9)
        ]

        async def all_slots_taken():
            return node.backend.running == 6

        assert await wait_until(all_slots_taken, 30)
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert await fleet.stop_daemon(node, signal.SIGTERM) == 0
        outcomes = collections.Counter(await asyncio.gather(*calls))
    assert outcomes == {'502 unknown': 6, '503 no': 3}


async def test_draining_backend_server_gets_no_new_work(fleet):
    """Guards against work for a backend server that is leaving."""
    node = fleet.nodes[0]
    async with aiohttp.ClientSession() as caller:
        await all_serve(caller, fleet)
        node.backend.update_behaviour(draining=True)

        async def gets_no_work():
            before = sum(node.backend.run_counts.values())
            got = {await send(caller, node) for _ in range(10)}
            return (got, before) == (
                {'200 yes'},
                sum(node.backend.run_counts.values()),
            )

        assert await wait_until(gets_no_work, 30)
        node.backend.update_behaviour(draining=False)
        before = sum(node.backend.run_counts.values())

        async def gets_work():
            await send(caller, node)
            return sum(node.backend.run_counts.values()) > before

        assert await wait_until(gets_work, 60)
