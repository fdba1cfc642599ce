"""End to end: sheet to daemons, call from caller to backend server."""

import aiohttp
import pytest

from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = b'service,work,rank\nartwork,plates,3\npattern,swatches,5\n'
CHANGED = SHEET + b'pattern,repeats,5\n'
PLACES = [
    Placement('host-1', 'pattern', 'hobart-a', 'tas-south'),
    Placement('host-2', 'pattern', 'kingston', 'tas-south'),
    Placement('host-3', 'artwork', 'kingston', 'tas-south'),
]


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path, PLACES)
    await fleet.start(SHEET)
    yield fleet
    await fleet.close()


async def send(caller, node, path, service, **options):
    """Send a call to a node's daemon; None if it does not listen."""
    try:
        async with caller.request(
            options.pop('method', 'GET'),
            f'http://{node.call_address}{path}',
            headers={headers.SERVICE: service},
            **options,
        ) as response:
            return response.status, await response.read()
    except aiohttp.ClientConnectorError:
        return None


async def test_call_reaches_a_backend_server_of_another_host(fleet, caller):
    """Guards against calls that are not forwarded between processes."""

    async def served():
        outcome = await send(caller, fleet.nodes[0], '/plates', 'artwork')
        return outcome == (200, b'host-3 ran ')

    assert await wait_until(served, 30)


async def test_new_sheet_is_in_force_at_every_daemon(fleet, caller):
    """Guards against daemons that never learn of a published sheet."""

    async def status_everywhere(path, expected):
        outcomes = [
            await send(caller, node, path, 'pattern') for node in fleet.nodes
        ]
        return all(got and got[0] == expected for got in outcomes)

    assert await wait_until(lambda: status_everywhere('/swatches', 200), 30)
    assert await status_everywhere('/repeats', 404)
    await fleet.publish(CHANGED)
    assert await wait_until(lambda: status_everywhere('/repeats', 200), 30)
