"""Tests of the command against real daemons."""

import asyncio
import json
import os
import sys

import pytest

from tanagerbend_standins import Fleet, Placement, wait_until
from tanagerbend_standins.fleet import TOKEN

SHEET = b'service,work,rank\nartwork,plates,3\n'
PLACES = [
    Placement('host-1', 'artwork', 'hobart-a', 'tas-south'),
    Placement('host-2', 'artwork', 'kingston', 'tas-south'),
]


@pytest.fixture
async def run(tmp_path):
    """Return a function that runs the command and returns status and JSON."""
    fleet = Fleet(tmp_path, PLACES)
    await fleet.start(SHEET)
    addresses = json.dumps([node.operator_address for node in fleet.nodes])
    access = tmp_path / 'tanagerbend.toml'
    access.write_text(f'token = "{TOKEN}"\ndaemons = {addresses}\n')

    async def run(*arguments):
        command = (sys.executable, '-m', 'tanagerbend_operator', *arguments)
        process = await asyncio.create_subprocess_exec(
            *command,
            '--json',
            cwd=tmp_path,
            env={**os.environ, 'TANAGERBEND_TOKEN': TOKEN},
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return process.returncode, json.loads(output or b'null')

    run.fleet = fleet
    yield run
    await fleet.close()


async def test_commands_against_real_daemons(run, tmp_path):
    """Guards against fake answers that differ from those of daemons."""

    async def is_ready():
        return (await run('status'))[0] == 0

    assert await wait_until(is_ready, 60)
    (tmp_path / 'new.csv').write_bytes(SHEET + b'artwork,proofs,4\n')
    address = run.fleet.nodes[0].operator_address
    status, found = await run('check', 'new.csv', '--against', address)
    assert (status, found['changes'][0]['kind']) == (0, 'added')
    await run.fleet.publish((tmp_path / 'new.csv').read_bytes())
    status, found = await run('drain', 'host-2')
    assert (status, found['state']) == (0, 'draining')

    async def is_explained():
        status, found = await run('explain', 'artwork', '/proofs')
        if status:
            return False
        why = {entry['host']: entry['why'] for entry in found['instances']}
        return why['host-1'].startswith('used') and why['host-2'].startswith(
            'not used: draining'
        )

    assert await wait_until(is_explained, 60)
    assert (await run('undrain', 'host-2'))[1]['state'] == 'live'
    await run.fleet.publish(b'nonsense')

    async def is_reported():
        status, found = await run('report', '--since', '1h')
        events = [entry['event'] for entry in found['happenings']]
        return status == 1 and {'version_rejected', 'drain_started'} <= set(
            events
        )

    assert await wait_until(is_reported, 60)
    assert (await run('histograms'))[0] == 0
