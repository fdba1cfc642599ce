"""Orders through real daemon processes."""

import asyncio
import json
import signal

import aiohttp
import pytest

from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = (
    b'service,work,rank,method,path,deadline_ms,order\n'
    b'print,run,1,POST,/print,20000,yes\n'
    b'print,proof,1,POST,/proof,1500,yes\n'
)
PLACES = [
    Placement(f'host-{number}', 'print', 'hobart-a', 'tas-south')
    for number in (1, 2, 3)
]
ORDERS_PATH = '/.tanagerbend/orders'


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path, PLACES)
    await fleet.start(SHEET)
    yield fleet
    await fleet.close()


async def send(caller, node, method, path, key='', body=b''):
    """Send a request; return status, headers and body, or None."""
    extra = {headers.ORDER_KEY: key} if key else {}
    try:
        async with caller.request(
            method,
            f'http://{node.call_address}{path}',
            headers={headers.SERVICE: 'print', **extra},
            data=body,
        ) as response:
            return response.status, response.headers, await response.read()
    except aiohttp.ClientError:
        return None


async def key_for(caller, node, host):
    """Return a key for the instance of one host."""
    keys = []

    async def issued():
        reply = await send(caller, node, 'POST', ORDERS_PATH)
        if reply is None or reply[0] != 201:
            return False
        content = json.loads(reply[2])
        if content['host'] == host:
            keys.append(content['key'])
        return bool(keys)

    assert await wait_until(issued, 30)
    return keys[0]


def count_runs(fleet, key):
    """Return how often an order ran on the stand-in backend servers."""
    return sum(node.backend.run_counts[key] for node in fleet.nodes)


async def test_order_sent_to_two_daemons_runs_once(fleet, caller):
    """Guards against a second run through another entry daemon."""
    key = await key_for(caller, fleet.nodes[0], 'host-3')
    fleet.nodes[2].backend.update_behaviour(work_seconds=0.2)
    answers = await asyncio.gather(
        *(
            send(caller, node, 'POST', '/print', key, b'20 rolls')
            for node in fleet.nodes
        ),
    )
    assert [(status, body) for status, _, body in answers] == [
        (200, b'host-3 ran 20 rolls'),
    ] * 3
    assert count_runs(fleet, key) == 1
    again = await send(caller, fleet.nodes[0], 'GET', f'{ORDERS_PATH}/{key}')
    assert again[2] == b'host-3 ran 20 rolls'


async def test_refusal_without_key_carries_a_key(fleet, caller):
    """Guards against an order that runs without a key."""
    node = fleet.nodes[0]
    await key_for(caller, node, 'host-2')
    status, received, _ = await send(caller, node, 'POST', '/print')
    assert (status, received[headers.RAN]) == (428, 'no')
    key = received[headers.FRESH_ORDER_KEY]
    assert (await send(caller, node, 'POST', '/print', key))[0] == 200
    assert count_runs(fleet, key) == 1


async def test_killed_owner_makes_the_outcome_unknown(fleet, caller):
    """Guards against a false "not run" after the owner was killed."""
    node, _, owner = fleet.nodes
    key = await key_for(caller, node, 'host-3')
    owner.backend.update_behaviour(work_seconds=0.5)
    sent = asyncio.create_task(send(caller, node, 'POST', '/print', key))

    async def begun():
        return count_runs(fleet, key) == 1

    assert await wait_until(begun, 30)
    await fleet.stop_daemon(owner, signal.SIGKILL)
    await fleet.start_daemon(owner)
    _, received, _ = await sent
    assert received[headers.RAN] == 'unknown'

    async def known_to_be_gone():
        again = await send(caller, node, 'POST', '/print', key)
        assert again[1][headers.RAN] == 'unknown'
        return again[1][headers.RESULT] == '505'

    assert await wait_until(known_to_be_gone, 30)
    assert count_runs(fleet, key) == 1


async def test_paused_owner_does_not_run_an_order_late(fleet, caller):
    """Guards against a late run of an order in a paused owner's socket."""
    node, _, owner = fleet.nodes
    key = await key_for(caller, node, 'host-3')
    fleet.pause(owner)
    _, received, _ = await send(caller, node, 'POST', '/proof', key)
    assert received[headers.RAN] == 'unknown'
    await asyncio.sleep(1.0)
    fleet.resume(owner)

    async def is_settled():
        again = await send(caller, node, 'GET', f'{ORDERS_PATH}/{key}')
        return again[1][headers.RAN] == 'no'

    assert await wait_until(is_settled, 30)
    assert not count_runs(fleet, key)
