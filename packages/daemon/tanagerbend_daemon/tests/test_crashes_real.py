"""A request that crashes backend servers, with real daemon processes."""

import asyncio

import aiohttp
import pytest

from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = b'service,work,rank,method,path,deadline_ms\nartwork,any,1,,/,8000\n'
PLACES = [
    Placement(f'host-{number}', 'artwork', 'kingston', 'tas-south')
    for number in (1, 2, 3, 4)
]


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path, PLACES)
    await fleet.start(SHEET)
    for node in fleet.nodes:
        node.backend.update_behaviour(
            crash_trigger=b'poison', work_seconds=0.05
        )
    yield fleet
    await fleet.close()


async def send(caller, node, path):
    """Send a call; return status and result code, or None."""
    try:
        async with caller.get(
            f'http://{node.call_address}{path}',
            headers={headers.SERVICE: 'artwork'},
        ) as response:
            await response.read()
            return response.status, response.headers.get(headers.RESULT)
    except aiohttp.ClientError:
        return None


async def test_crashing_request_is_refused_after_two_crashes(fleet):
    """Guards against one request that crashes all instances of a service."""
    async with aiohttp.ClientSession() as caller:

        async def served():
            got = [await send(caller, node, '/plate') for node in fleet.nodes]
            return all(outcome == (200, '0') for outcome in got)

        assert await wait_until(served, 30)
        neighbours = [
            asyncio.create_task(
                send(caller, fleet.nodes[number % 4], f'/plate/{number}'),
            )
            for number in range(24)
        ]
        got = [
            await send(caller, fleet.nodes[number % 4], '/poison')
            for number in range(12)
        ]
        assert got[-1] == (503, '604')
        assert sum(node.backend.crashes for node in fleet.nodes) <= 2
        await asyncio.gather(*neighbours)

        async def all_clear():
            outcomes = await asyncio.gather(
                *(
                    send(caller, fleet.nodes[0], f'/plate/{number}')
                    for number in range(24)
                ),
            )
            return all(outcome == (200, '0') for outcome in outcomes)

        assert await wait_until(all_clear, 30)
