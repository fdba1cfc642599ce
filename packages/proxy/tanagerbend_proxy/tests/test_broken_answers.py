"""Truncated answers, and duplicate answers on kept connections."""

import asyncio
import socket
import struct

import pytest
from aiohttp import client_proto
from aiohttp.http_parser import HttpResponseParserPy as Interpreted
from multidict import CIMultiDict

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.exchange import Outgoing, send
from tanagerbend_proxy.messages import Answer
from tanagerbend_proxy.tests.test_exchange import session
from tanagerbend_standins.raw_server import ClosingHandler

__all__ = ('session',)

OK = b'HTTP/1.1 200 OK\r\n'
TRUNCATED = {
    'with a length': OK + b'Content-Length: 9\r\n\r\nhalf',
    'in a chunk': OK + b'Transfer-Encoding: chunked\r\n\r\n9\r\nhalf',
    'between chunks': OK + b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    'in the last chunk': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n'
    ),
    'in the headers': OK + b'Content-Length: 4\r\n',
    'in the first line': b'HTTP/1.1 20',
}
LIMIT_SECONDS = 1.0
# Limit for requests whose connection is closed; no assertion depends on the
# time that they take.
LONG_LIMIT_SECONDS = 30.0
DELAY_SECONDS = 0.05
ROUNDS = 6


@pytest.fixture
async def server():
    """Return a function that starts a server and returns its address."""
    started = []

    async def start(serve):
        started_server = await asyncio.start_server(
            ClosingHandler(serve), '127.0.0.1', 0
        )
        started.append(started_server)
        host, port = started_server.sockets[0].getsockname()
        return f'{host}:{port}'

    yield start
    for running in started:
        running.close()


async def send_with_long_limit(session, address):
    """Send a request with limits that a busy machine keeps as well."""
    result = await send(
        session,
        Outgoing(
            address,
            'GET',
            '/',
            CIMultiDict(),
            b'',
            LONG_LIMIT_SECONDS,
            connect_limit=LONG_LIMIT_SECONDS,
        ),
    )
    match result:
        case Refusal(code=code):
            assert code is not ResultCode.INSTANCE_UNREACHABLE
    return result


@pytest.mark.parametrize('where', TRUNCATED)
@pytest.mark.parametrize('is_reset', [False, True])
async def test_truncated_answer_is_refused(session, server, where, is_reset):
    """Guards against a truncated answer that is passed on as a success."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(TRUNCATED[where])
        await writer.drain()
        if is_reset:
            await asyncio.sleep(DELAY_SECONDS)
            writer.transport.abort()
        else:
            writer.close()

    result = await send_with_long_limit(session, await server(serve))
    assert isinstance(result, Refusal)
    assert result.ran is Ran.UNKNOWN


@pytest.fixture(params=['compiled', 'interpreted'])
def parser(request, monkeypatch):
    """Each HTTP parser that aiohttp may use, depending on the machine."""
    if request.param == 'interpreted':
        monkeypatch.setattr(client_proto, 'HttpResponseParser', Interpreted)
    return request.param


@pytest.mark.parametrize('end', ['Content-Length: 4', 'Connection: close'])
async def test_truncated_head_is_refused(session, server, parser, end):
    """Guards against truncated headers that parse as an empty success.

    The server closes the connection after each possible part of the head.
    """
    head = OK + f'Request-Id: 7\r\nServer-Stamp: 1\r\n{end}\r\n\r\n'.encode()
    lengths = iter(range(1, len(head)))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head[: next(lengths)])
        await writer.drain()
        writer.close()

    address = await server(serve)
    for _ in range(1, len(head)):
        result = await send_with_long_limit(session, address)
        assert isinstance(result, Refusal)
        assert result.ran is Ran.UNKNOWN


async def test_reset_answer_without_length_is_refused(session, server):
    """Guards against a reset that is taken for the end of the body.

    An answer without a length ends when its connection closes.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK + b'\r\nhalf')
        await writer.drain()
        await asyncio.sleep(DELAY_SECONDS)
        # Closing with a linger time of 0 resets the connection.
        reset = struct.pack('ii', 1, 0)
        writer.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, reset
        )
        writer.transport.abort()

    result = await send_with_long_limit(session, await server(serve))
    assert isinstance(result, Refusal)


def answer_to(head):
    """Return the answer that echoes the identifier of a request."""
    identifier = head.split(b'Request-Id: ')[1].split(b'\r\n')[0]
    return (
        OK
        + b'Request-Id: '
        + identifier
        + b'\r\nContent-Length: 2\r\n\r\n'
        + identifier
    )


@pytest.mark.parametrize('copies', [1, 3, 9])
@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('late', [0.0, DELAY_SECONDS])
async def test_duplicate_answer_reaches_no_other_caller(
    session, server, copies, late, is_cut
):
    """Guards against a duplicate answer that reaches the next request.

    A faulty instance sends copies of an answer, some when the kept
    connection already serves another request.
    """

    async def serve(reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            answer = answer_to(head)
            writer.write(answer)
            await asyncio.sleep(late)
            writer.write(answer * copies)
            if is_cut:
                writer.write(answer[:-1])

    address = await server(serve)
    answered = 0
    for number in range(10, 10 + ROUNDS):
        identifier = f'{number}'
        result = await send(
            session,
            Outgoing(
                address,
                'GET',
                '/',
                CIMultiDict({'Request-Id': identifier}),
                b'',
                LIMIT_SECONDS,
                'Request-Id',
                identifier,
            ),
        )
        await asyncio.sleep(2 * late)
        match result:
            case Answer(body=body):
                answered += 1
                assert body == identifier.encode()
    assert answered


# RFC 9110, 15: a status has three digits from 100 to 599.  Those below 200
# come before an answer, and 101 answers an `Upgrade`, which is never sent.
NO_ANSWERS = (b'000', b'099', b'101', b'600', b'999')


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('status', NO_ANSWERS)
async def test_status_that_is_none_is_no_answer(
    server, session, status, method
):
    """Guards against passing on a status that no answer has.

    An instance in trouble sent status 000, which its caller got.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 2\r\n\r\n')
        writer.write(b'ok')
        await reader.read()

    got = await send(
        session,
        Outgoing(
            await server(serve),
            method,
            '/',
            CIMultiDict(),
            b'',
            LONG_LIMIT_SECONDS,
        ),
    )
    assert isinstance(got, Refusal)
    assert (got.code, got.ran) == (ResultCode.ANSWER_TRUNCATED, Ran.UNKNOWN)


@pytest.mark.parametrize('status', [b'100', b'103', b'199'])
async def test_interim_status_is_passed_over(server, session, status):
    """Guards against taking an interim answer for the final one."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 ' + status + b' X\r\nLink: a\r\n\r\n')
        writer.write(OK + b'Content-Length: 2\r\n\r\nok')
        await reader.read()

    got = await send_with_long_limit(session, await server(serve))
    assert (got.status, got.body) == (200, b'ok')
    assert 'Link' not in got.headers
