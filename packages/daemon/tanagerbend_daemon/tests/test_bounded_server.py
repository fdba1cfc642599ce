"""Bounds on what one connection makes a server read."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from tanagerbend_daemon.bounded_server import InputLimits
from tanagerbend_daemon.listener import Listener, make_runner
from tanagerbend_daemon.parse_queue import (
    MAX_LINES_PER_TURN,
    ParseQueue,
    split_input,
)

START = b'POST / HTTP/1.1\r\nHost: shop\r\n'
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'
WAIT_SECONDS = 30


async def echo(request):
    body = await request.content.read()
    return web.Response(text=f'{len(body)} bytes')


@contextlib.asynccontextmanager
async def serving(limits, serve=echo):
    runner = make_runner(serve, 0.0, limits)
    await runner.setup()
    listener = Listener(runner)
    address = await listener.start('127.0.0.1', 0)
    try:
        yield address.split(':')
    finally:
        await runner.cleanup()


async def exchange(address, *parts):
    """Send parts; return all that comes until the connection ends."""
    async with asyncio.timeout(WAIT_SECONDS):
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            for part in parts:
                writer.write(part)
                await writer.drain()
            return await reader.read()
    return b''


def counted():
    counts = []
    return counts, lambda *names: counts.append(names)


class Stub:
    """Connection with much input, all of it chunks of one byte."""

    def __init__(self):
        self.pieces = split_input(b'1\r\nx\r\n' * 10_000)
        self.parsed = 0

    @property
    def can_parse(self):
        return bool(self.pieces)

    def parse_next(self):
        piece = self.pieces.pop(0)
        self.parsed += piece.lines
        return piece.lines


async def test_lines_of_a_turn_are_bounded():
    """Guards against an event loop that only parses tiny chunks."""
    queue = ParseQueue()
    crowd = [Stub() for _ in range(40)]
    for each in crowd:
        queue.add(each)
    parsed = 0
    while any(each.pieces for each in crowd):
        await asyncio.sleep(0)
        now = sum(each.parsed for each in crowd)
        assert now - parsed <= 2 * MAX_LINES_PER_TURN
        parsed = now
    assert parsed == 40 * 20_000
    assert not queue.waiting


async def test_body_in_tiny_chunks_is_read_whole():
    """Guards against bytes lost or reordered between two turns."""
    body = b''.join(b'1\r\n%c\r\n' % (65 + n % 26) for n in range(50_000))
    seen = []

    async def keep(request):
        seen.append(await request.content.read())
        return web.Response()

    async with serving(InputLimits(), keep) as address:
        last = START + b'Connection: close\r\n\r\n'
        got = await exchange(address, CHUNKED, body + b'0\r\n\r\n' + last)
    assert got.count(b'200 OK') == 2
    assert seen[0] == bytes(65 + n % 26 for n in range(50_000))


async def test_request_behind_a_large_body_is_served():
    """Guards against a body that is taken for the head of a request."""
    size = 1_000_000
    request = START + b'Content-Length: %d\r\n\r\n' % size + bytes(size)
    last = START + b'Connection: close\r\n\r\n'
    limits = InputLimits(head_bytes=20_000)
    async with serving(limits) as address:
        got = await exchange(address, request * 2 + last)
    assert got.count(b'1000000 bytes') == 2
    assert got.count(b'200 OK') == 3


@pytest.mark.parametrize(
    'block', [b'\r\n' * 500, b'X-Field: x\r\n' * 10, b'x' * 1000]
)
async def test_head_without_end_is_refused(block):
    """Guards against a connection that sends a head for ever."""
    counts, count = counted()
    first = b'' if block.isspace() else START + b'X-First: '
    async with serving(InputLimits(head_bytes=4000, count=count)) as address:
        await exchange(address, first, *[block] * 2000)
    assert ('input_refused',) in {names[:1] for names in counts}


async def test_slow_head_is_refused():
    """Guards against connections that never complete a head."""
    async with serving(InputLimits(head_seconds=0.05)) as address:
        got = await exchange(address, START)
    assert got.startswith(b'HTTP/1.1 408 ')


async def test_large_head_is_named():
    """Guards against a refusal that does not say which limit was met."""
    async with serving(InputLimits(head_bytes=4000)) as address:
        got = await exchange(address, START + b'X-Long: ' + b'x' * 5000)
    assert got.startswith(b'HTTP/1.1 431 ')


async def test_idle_connection_makes_room():
    """Guards against descriptors that idle connections use up."""
    async with serving(InputLimits(connections=2)) as address:
        idle = [await asyncio.open_connection(*address) for _ in range(2)]
        await asyncio.sleep(0)
        last = START + b'Connection: close\r\n\r\n'
        assert b'200 OK' in await exchange(address, last)
        async with asyncio.timeout(WAIT_SECONDS):
            assert await idle[0][0].read() == b''
        for _, writer in idle:
            writer.close()
