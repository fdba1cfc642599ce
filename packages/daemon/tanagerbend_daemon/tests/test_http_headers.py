"""Headers of calls over loopback HTTP, and the recorded added time."""

import asyncio

import pytest

from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.tests.call_path import (
    answering,
    ask,
    plain,
    read_head,
)
from tanagerbend_metrics.names import ADDED_TIME
from tanagerbend_model import headers


async def test_caller_cannot_forge_headers_between_daemons(make_pair, caller):
    """Guards against callers that impersonate daemons or raise their rank."""
    heads = []
    _entry, _owner, url = await make_pair(answering(plain(), heads))
    forged = {
        headers.RANK: '0',
        headers.REQUEST_ID: 'mine',
        headers.PEER_PROOF: 'f' * 64,
        headers.SENDER: 'owner',
        headers.RESULT: '402',
        headers.LOAD: '100',
    }
    async with ask(caller, url, headers=forged) as response:
        assert response.status == 200
        assert response.headers[headers.REQUEST_ID] == 'mine'
        assert response.headers[headers.RESULT] == '0'
    assert f'{headers.RANK}: 3\r\n' in heads[0]
    for name in (headers.PEER_PROOF, headers.SENDER, headers.LOAD):
        assert name not in heads[0]
    forged[headers.INSTANCE] = 'entry'
    async with ask(caller, url, headers=forged) as response:
        assert response.status == 403
        assert response.headers[headers.RAN] == 'no'
    assert len(heads) == 1


@pytest.mark.parametrize(
    'pair',
    [
        (headers.RANK, '-1'),
        (headers.DEADLINE_MS, '1e9'),
        (headers.HOPS, 'many'),
        (headers.TENANT, 'a b'),
        ('X-Name', b'\xff'.decode('utf-8', 'surrogateescape')),
    ],
)
async def test_invalid_headers_are_refused(make_pair, pair):
    """Guards against a header that raises an exception in the daemon."""
    _entry, _owner, url = await make_pair(answering(plain()))
    host, _, port = url.removeprefix('http://').partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f'GET /plates HTTP/1.1\r\nHost: artwork\r\n{pair[0]}: {pair[1]}\r\n'
    writer.write(f'{head}\r\n'.encode('utf-8', 'surrogateescape'))
    assert (await reader.readline()).startswith(b'HTTP/1.1 400')
    writer.close()


async def test_reused_id_of_a_caller_does_not_hide_crossed_answers(
    make_pair, caller
):
    """Guards against equal ids of different calls."""
    heads = []
    entry, _owner, url = await make_pair(answering(plain(), heads))
    assert isinstance(entry, CallHandler)
    for _ in range(2):
        async with ask(
            caller, url, headers={headers.REQUEST_ID: 'same'}
        ) as response:
            assert response.status == 200
    ids = [
        line
        for head in heads
        for line in head.splitlines()
        if line.startswith(headers.REQUEST_ID)
    ]
    assert len(set(ids)) == 2


async def test_added_time_excludes_the_backend_server(make_pair, caller):
    """Guards against added times that include those of other processes."""

    async def serve(reader, writer):
        await read_head(reader)
        await asyncio.sleep(0.5)
        writer.write(plain())

    entry, owner, url = await make_pair(serve)
    async with ask(caller, url) as response:
        assert response.status == 200
    for daemon in (entry, owner):
        added = daemon.recorder.histograms.get_or_create(ADDED_TIME, 'none', 3)
        assert added.get_total_count() == 1
        assert 0 < added.get_max_value() < 500_000
