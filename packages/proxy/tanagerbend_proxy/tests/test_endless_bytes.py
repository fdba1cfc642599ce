"""Answers without end from faulty servers."""

import asyncio
import tracemalloc

import pytest

from multidict import CIMultiDict

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.answer_body import MAX_ANSWER_BYTES
from tanagerbend_proxy.exchange import (
    MAX_INTERIM_ANSWERS,
    Outgoing,
    send,
)
from tanagerbend_proxy.tests.test_exchange import ask, session
from tanagerbend_standins.raw_server import ClosingHandler

__all__ = ('session',)

OK = b'HTTP/1.1 200 OK\r\n'
# Beginning of an answer to another request.
FOREIGN = OK + b'X-Id: 2\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nok'
# Limit of a test for what must end sooner.
TIMEOUT_SECONDS = 20
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
    'answers after the answer': (WHOLE, WHOLE * 2000),
    'foreign body': (FOREIGN + b'\r\n', b'x' * 65536),
    'foreign body with a length': (
        FOREIGN + b'Content-Length: 99999999999\r\n\r\n',
        b'x' * 65536,
    ),
    'foreign chunks': (
        FOREIGN + b'Transfer-Encoding: chunked\r\n\r\n',
        b'8000\r\n' + b'x' * 0x8000 + b'\r\n',
    ),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 1000),
    'interim answers with the identifier': (
        b'',
        b'HTTP/1.1 102 Processing\r\nX-Id: 1\r\n\r\n' * 1000,
    ),
}


@pytest.fixture(params=KINDS)
async def endless(request):
    """Server that sends bytes until its caller closes the connection."""
    first, rest = KINDS[request.param]
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(first)
        try:
            while True:
                writer.write(rest)
                await writer.drain()
                # Lets other tasks run.
                await asyncio.sleep(0)
        except ConnectionError:
            ended.set()
        finally:
            writer.close()

    server = await asyncio.start_server(ClosingHandler(serve), '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield f'{host}:{port}', request.param, ended
    server.close()


async def test_endless_answer_takes_bounded_memory(endless, session):
    """Guards against a server that fills the memory of a daemon.

    A daemon that reads an endless line, header or body buffers all of it,
    also of an answer to another request, which it skips.
    """
    address, kind, ended = endless
    tracemalloc.start()
    try:
        got = await ask(
            session,
            address,
            body_limit=TIMEOUT_SECONDS,
            header='X-Id',
            identifier='1',
        )
        if kind == 'answers after the answer':
            assert got.body == b'ok'
        elif kind != 'after the answer':
            assert isinstance(got, Refusal)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await ended.wait()
        assert tracemalloc.get_traced_memory()[1] < 4 * MAX_ANSWER_BYTES
    finally:
        tracemalloc.stop()


async def test_few_interim_answers_are_skipped(session):
    """Guards against refusing an answer after usual interim ones."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 102 Processing\r\n\r\n' * MAX_INTERIM_ANSWERS)
        writer.write(WHOLE)
        await reader.read()

    server = await asyncio.start_server(ClosingHandler(serve), '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    got = await ask(session, f'{host}:{port}')
    assert got.body == b'ok'
    server.close()


ENDLESS = {
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 1000),
    'chunks of one byte': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 1000,
    ),
    'foreign chunks of one byte': (
        FOREIGN + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 1000,
    ),
}


@pytest.mark.parametrize('kind', ENDLESS)
async def test_costly_bytes_are_not_read_until_the_deadline(session, kind):
    """Guards against a server that takes the processor of a daemon."""
    first, rest = ENDLESS[kind]

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(first)
        while True:
            writer.write(rest)
            await writer.drain()
            await asyncio.sleep(0)

    server = await asyncio.start_server(ClosingHandler(serve), '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    outgoing = Outgoing(
        f'{host}:{port}',
        'GET',
        '/',
        CIMultiDict(),
        b'',
        TIMEOUT_SECONDS,
        header='X-Id',
        identifier='1',
    )
    got = await send(session, outgoing)
    assert got.code is ResultCode.ANSWER_TRUNCATED
    server.close()


async def test_answer_in_small_chunks_is_read(session):
    """Guards against refusing a sound answer for the size of its chunks."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK + b'Transfer-Encoding: chunked\r\n\r\n')
        writer.write(b'1\r\nx\r\n' * 5000 + b'0\r\n\r\n')
        await reader.read()

    server = await asyncio.start_server(ClosingHandler(serve), '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    got = await ask(session, f'{host}:{port}', body_limit=TIMEOUT_SECONDS)
    assert got.body == b'x' * 5000
    server.close()
