"""Client of one server over loopback HTTP: resends, refusals, reuse."""

import asyncio

import pytest

from tanagerbend_daemon.tests.call_path import answering, plain, read_head
from tanagerbend_interfaces import BackendRequest, BackendResponse
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_standins import wait_until
from tanagerbend_standins.raw_server import ClosingHandler
from tanagerbend_timer import SystemTimer


def request(method='GET', body=b'', pairs=()):
    """Return a request for an `HttpServer`."""
    return BackendRequest(method, '/x', pairs, body, 'id-1')


def in_seconds(seconds):
    """Return the deadline that is so many seconds from now."""
    return SystemTimer().now() + seconds


async def test_idempotent_method_is_not_sent_again_by_aiohttp(loopback):
    """Guards against aiohttp's own retry when a reused connection is lost."""
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

    async def read_and_close(reader, writer):
        heads.append(await read_head(reader))
        writer.close()

    async def read_and_hang(reader, writer):
        heads.append(await read_head(reader))
        await reader.read()
        writer.close()

    closed = await asyncio.start_server(
        ClosingHandler(read_and_close), '127.0.0.1', 0
    )
    host, port = closed.sockets[0].getsockname()
    closed.close()
    outcomes = [
        await loopback.http(address).exchange(request('POST'), in_seconds(0.3))
        for address in (
            f'{host}:{port}',
            await loopback.raw(read_and_close),
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
    server = loopback.http(await loopback.raw(read_and_close))
    assert isinstance(await server.exchange(invalid, in_seconds(5)), Refusal)
    assert len(heads) == 2


async def test_wait_for_a_free_connection_is_not_run(loopback):
    """Guards against more connections than the backend server accepts."""
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

    assert await wait_until(are_sent, 10)
    waited = await server.exchange(request('POST'), in_seconds(0.2))
    assert waited.ran is Ran.NO
    assert len(heads) == 2
    for task in holding:
        task.cancel()


async def test_connection_of_a_complete_answer_is_reused(loopback):
    """Guards against a new connection after every unread answer."""
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


@pytest.mark.parametrize('status', [b'000', b'099', b'101', b'600', b'999'])
async def test_status_that_is_none_is_no_answer(loopback, status):
    """Guards against passing on a status that no answer has."""

    async def serve(reader, writer):
        await read_head(reader)
        writer.write(b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 0\r\n\r\n')
        await reader.read()

    server = loopback.http(await loopback.raw(serve))
    got = await server.exchange(request(), in_seconds(30))
    assert isinstance(got, Refusal)
    assert (got.code, got.ran) == (ResultCode.ANSWER_TRUNCATED, Ran.UNKNOWN)
