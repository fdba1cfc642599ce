"""Daemons over loopback HTTP, with servers and callers that misbehave."""

import asyncio
import gzip

import aiohttp
import pytest

from tanagerbend_daemon.tests.call_path import (
    ask,
    plain,
    read_head,
)
from tanagerbend_standins import wait_until

PIECE = b'x' * 65536
PIECES = 400


@pytest.mark.parametrize(
    'cut_answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    ],
)
async def test_truncated_answer_is_an_error(make_pair, caller, cut_answer):
    """Guards against a truncated answer that looks complete after two hops."""

    async def serve(reader, writer):
        await read_head(reader)
        writer.write(cut_answer)
        writer.close()

    _entry, owner, url = await make_pair(serve)
    with pytest.raises((aiohttp.ClientError, ConnectionError)):
        async with ask(caller, url) as response:
            await response.read()

    async def is_free():
        return owner.owner.running == 0

    assert await wait_until(is_free, 10)


async def test_truncated_answer_resets_an_http_1_0_caller(make_pair):
    """Guards against an orderly close that marks the answer as complete."""

    async def serve(reader, writer):
        await read_head(reader)
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        writer.write(head + b'4\r\nhalf\r\n')
        await asyncio.sleep(0.1)
        writer.close()

    _entry, _owner, url = await make_pair(serve)
    host, _, port = url.removeprefix('http://').partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /plates HTTP/1.0\r\nHost: artwork\r\n\r\n')
    with pytest.raises(ConnectionError):
        await reader.read()
    writer.close()


async def test_streams_are_not_buffered_whole(make_pair, caller):
    """Guards against bodies of 25 MB in memory, in both directions."""
    received = 0

    async def serve(reader, writer):
        nonlocal received
        await read_head(reader)
        size = PIECES * len(PIECE)
        while received < size:
            received += len(await reader.read(65536))
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'
        writer.write(head.encode())
        for _ in range(PIECES):
            writer.write(PIECE)
            await writer.drain()

    async def upload():
        for _ in range(PIECES):
            yield PIECE

    entry, _owner, url = await make_pair(serve)
    size = PIECES * len(PIECE)
    taken = 0
    async with ask(
        caller,
        url,
        '/rest',
        'PUT',
        data=upload(),
        headers={'Content-Length': str(size)},
    ) as response:
        async for chunk in response.content.iter_any():
            assert len(chunk) <= 4 * len(PIECE)
            taken += len(chunk)
    assert (received, taken) == (size, size)


async def test_slow_caller_slows_the_stream(make_pair):
    """Guards against a daemon that buffers what a caller does not read."""
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n')
        try:
            for _ in range(1500):
                writer.write(PIECE)
                await writer.drain()
                sent += len(PIECE)
        except ConnectionError:
            writer.close()

    _entry, _owner, url = await make_pair(serve)
    host, _, port = url.removeprefix('http://').partition(':')
    _reader, writer = await asyncio.open_connection(host, int(port), limit=1)
    writer.write(b'GET /rest HTTP/1.1\r\nHost: artwork\r\n\r\n')
    seen = -1

    async def has_stopped():
        nonlocal seen
        before, seen = seen, sent
        await asyncio.sleep(0.2)
        return sent and before == sent

    assert await wait_until(has_stopped, 20)
    assert sent < 60_000_000
    writer.transport.abort()


async def test_disconnected_caller_frees_the_slot(make_pair, caller):
    """Guards against slots held by calls without a caller."""
    begun = asyncio.Event()

    async def serve(reader, writer):
        await read_head(reader)
        begun.set()
        await reader.read()
        writer.close()

    _entry, owner, url = await make_pair(serve)
    task = asyncio.create_task(ask(caller, url, '/rest').__aenter__())
    await asyncio.wait_for(begun.wait(), 10)
    assert owner.owner.running == 1
    task.cancel()

    async def is_free():
        return owner.owner.running == 0

    assert await wait_until(is_free, 10)


async def test_silent_connection_is_closed_and_the_call_retried(
    make_pair, caller
):
    """Guards against reused connections on which no answer ever arrives."""
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        is_first = connections == 1
        try:
            await read_head(reader)
            writer.write(plain())
            await read_head(reader)
            if not is_first:
                writer.write(plain(b'again'))
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    _entry, _owner, url = await make_pair(serve)
    for expected in (b'ok', b'ok'):
        async with ask(caller, url) as response:
            assert (response.status, await response.read()) == (200, expected)
    assert connections == 2


async def test_compressed_bodies_pass_unchanged(make_pair, caller):
    """Guards against a body that no longer matches its headers."""
    packed = gzip.compress(b'swatch' * 100)
    bodies = []

    async def serve(reader, writer):
        await read_head(reader)
        bodies.append(await reader.readexactly(len(packed)))
        writer.write(plain(packed, 'Content-Encoding: gzip\r\n'))

    _entry, _owner, url = await make_pair(serve)
    async with ask(
        caller,
        url,
        method='PUT',
        data=packed,
        headers={'Content-Encoding': 'gzip'},
    ) as response:
        assert await response.read() == packed
        assert response.headers['Content-Encoding'] == 'gzip'
    assert bodies == [packed]
