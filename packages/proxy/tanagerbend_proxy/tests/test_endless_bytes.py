"""Servers that send bytes without end."""

import asyncio
import tracemalloc

import pytest

from tanagerbend_model import Refusal
from tanagerbend_proxy.exchange import MOST_ANSWER_BYTES
from tanagerbend_proxy.tests.test_exchange import ask, session
from tanagerbend_standins.raw_server import Closing

__all__ = ('session',)

OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nok'
# Seconds that a test waits for what must end sooner.
PATIENCE = 20
KINDS = {
    'line': (b'HTTP/1.1 200 ', b'x' * 65536),
    'header': (OK + b'X: ', b'x' * 65536),
    'headers': (OK, b'X: y\r\n' * 10000),
    'body': (OK + b'\r\n', b'x' * 65536),
    'chunks': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'8000\r\n' + b'x' * 0x8000 + b'\r\n',
    ),
    'chunk extension': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n8;',
        b'x' * 65536,
    ),
    'trailers': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X: y\r\n' * 10000,
    ),
    'after the answer': (WHOLE, b'x' * 65536),
}


@pytest.fixture(params=KINDS)
async def endless(request):
    """Address of a server that sends on until its caller closes."""
    first, rest = KINDS[request.param]
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(first)
        try:
            while True:
                writer.write(rest)
                await writer.drain()
                # Others run between two parts.
                await asyncio.sleep(0)
        except ConnectionError:
            ended.set()
        finally:
            writer.close()

    server = await asyncio.start_server(Closing(serve), '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield f'{host}:{port}', request.param, ended
    server.close()


async def test_bytes_without_end_cost_little(endless, session):
    """Guards against a server whose bytes fill the memory of a daemon."""
    address, kind, ended = endless
    tracemalloc.start()
    try:
        got = await ask(session, address, body_limit=PATIENCE)
        if kind != 'after the answer':
            assert isinstance(got, Refusal)
        async with asyncio.timeout(PATIENCE):
            await ended.wait()
        assert tracemalloc.get_traced_memory()[1] < 4 * MOST_ANSWER_BYTES
    finally:
        tracemalloc.stop()
