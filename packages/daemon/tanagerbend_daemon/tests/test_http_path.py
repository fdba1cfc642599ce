"""Front and outbound over loopback HTTP, with raw servers that misbehave."""

import asyncio
import gzip

import aiohttp
import pytest

from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.tests.call_path import (
    Loopback,
    member,
    plain,
    read_head,
    route_table,
)
from tanagerbend_interfaces import BackendRequest, BackendResponse
from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_standins import eventually
from tanagerbend_timer import SystemTimer

PIECE = b'x' * 65536
PIECES = 400


@pytest.fixture
async def loopback():
    loopback = Loopback()
    yield loopback
    await loopback.close()


@pytest.fixture
async def caller():
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        yield session


@pytest.fixture
def make_pair(loopback):
    """Return a function that starts an entry and an owner daemon."""

    async def make(serve, **options):
        backend = await loopback.raw(serve)
        owner, owner_address = await loopback.daemon(
            'owner', backend, **options
        )
        entry, entry_address = await loopback.daemon('entry', backend)
        table = route_table(member('owner', owner_address))
        owner.adopt(table)
        entry.adopt(table)
        return entry, owner, f'http://{entry_address}'

    return make


def ask(caller, url, path='/plates', method='GET', **options):
    """Send a call to a daemon."""
    named = {headers.SERVICE: 'artwork', **options.pop('headers', {})}
    return caller.request(method, url + path, headers=named, **options)


def answering(answer, heads=None):
    """Return a server that answers every request on a connection."""

    async def serve(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if heads is not None:
                    heads.append(head)
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return serve


def request(method='GET', body=b'', pairs=()):
    """Return a request for an `HttpServer`."""
    return BackendRequest(method, '/x', pairs, body, 'id-1')


def in_seconds(seconds):
    """Return a deadline."""
    return SystemTimer().now() + seconds


@pytest.mark.parametrize(
    'cut_answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    ],
)
async def test_truncated_answer_is_cut_visibly(make_pair, caller, cut_answer):
    """Guards against half an answer that looks whole, over two hops."""

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

    assert await eventually(is_free, 10)


async def test_truncated_answer_resets_an_http_1_0_caller(make_pair):
    """Guards against an end of connection that looks like a whole answer."""

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


async def test_streams_pass_without_being_held(make_pair, caller):
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


async def test_slow_caller_holds_back_the_stream(make_pair):
    """Guards against a daemon that buffers what a caller does not take."""
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

    async def stands_still():
        nonlocal seen
        before, seen = seen, sent
        await asyncio.sleep(0.2)
        return sent and before == sent

    assert await eventually(stands_still, 20)
    assert sent < 60_000_000
    writer.transport.abort()


async def test_caller_that_goes_away_frees_the_slot(make_pair, caller):
    """Guards against slots held by calls that nobody waits for."""
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

    assert await eventually(is_free, 10)


async def test_silent_connection_is_closed_and_the_call_retried(
    make_pair, caller
):
    """Guards against connections that go silent for ever."""
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


async def test_idempotent_method_is_not_sent_again_by_aiohttp(loopback):
    """Guards against aiohttp's own retry on a lost kept connection."""
    heads = []

    async def serve(reader, writer):
        heads.append(await read_head(reader))
        writer.write(plain())
        heads.append(await read_head(reader))
        writer.close()

    server = loopback.http(await loopback.raw(serve))
    first = await server.exchange(request(), in_seconds(5))
    assert [chunk async for chunk in first.chunks] == [b'ok']
    lost = await server.exchange(request('DELETE'), in_seconds(5))
    assert (lost.code, lost.ran) == (ResultCode.CONNECTION_LOST, Ran.UNKNOWN)
    assert len(heads) == 2


async def test_refusals_say_not_run_only_if_nothing_was_sent(loopback):
    """Guards against "not run" for a request that a server has read."""
    heads = []

    async def read_and_leave(reader, writer):
        heads.append(await read_head(reader))
        writer.close()

    async def read_and_hang(reader, writer):
        heads.append(await read_head(reader))
        await reader.read()
        writer.close()

    closed = await asyncio.start_server(read_and_leave, '127.0.0.1', 0)
    host, port = closed.sockets[0].getsockname()
    closed.close()
    outcomes = [
        await loopback.http(address).exchange(request('POST'), in_seconds(0.3))
        for address in (
            f'{host}:{port}',
            await loopback.raw(read_and_leave),
            await loopback.raw(read_and_hang),
        )
    ]
    assert [outcome.ran for outcome in outcomes] == [
        Ran.NO,
        Ran.UNKNOWN,
        Ran.UNKNOWN,
    ]
    assert len(heads) == 2
    invalid = request(pairs=(('X', 'a\r\nb: c'),))
    server = loopback.http(await loopback.raw(read_and_leave))
    assert isinstance(await server.exchange(invalid, in_seconds(5)), Refusal)
    assert len(heads) == 2


async def test_wait_for_a_free_connection_is_not_run(loopback):
    """Guards against more connections than the backend server takes."""
    heads = []

    async def serve(reader, writer):
        heads.append(await read_head(reader))
        await reader.read()
        writer.close()

    address = await loopback.raw(serve)
    server = loopback.http(address, loopback.session(connections=2))
    holding = [
        asyncio.create_task(server.exchange(request('POST'), in_seconds(60)))
        for _ in range(2)
    ]

    async def are_sent():
        return len(heads) == 2

    assert await eventually(are_sent, 10)
    waited = await server.exchange(request('POST'), in_seconds(0.2))
    assert waited.ran is Ran.NO
    assert len(heads) == 2
    for task in holding:
        task.cancel()


async def test_compressed_bodies_pass_unchanged(make_pair, caller):
    """Guards against a body that no longer fits its headers."""
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


async def test_caller_cannot_forge_headers_between_daemons(make_pair, caller):
    """Guards against callers that pose as daemons or as urgent work."""
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
    """Guards against a header that raises in the daemon."""
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
    """Guards against ids that are equal for different calls."""
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


async def test_answer_that_was_received_whole_keeps_its_connection(loopback):
    """Guards against a new connection for every unread answer."""
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        await answering(plain())(reader, writer)

    server = loopback.http(await loopback.raw(serve))
    for _ in range(3):
        response = await server.exchange(request(), in_seconds(5))
        assert isinstance(response, BackendResponse)
        await response.chunks.aclose()
    assert connections == 1
