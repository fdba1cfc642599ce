"""Answers that break off, and copies of answers on kept connections."""

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
from tanagerbend_standins.raw_server import Closing

__all__ = ('session',)

OK = b'HTTP/1.1 200 OK\r\n'
BROKEN = {
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
# Of requests whose connection ends; no verdict depends on how soon.
PATIENT_SECONDS = 30.0
LATE_SECONDS = 0.05
ROUNDS = 6


@pytest.fixture
async def server():
    """Function that starts a server and returns its address."""
    started = []

    async def start(serve):
        made = await asyncio.start_server(Closing(serve), '127.0.0.1', 0)
        started.append(made)
        host, port = made.sockets[0].getsockname()
        return f'{host}:{port}'

    yield start
    for each in started:
        each.close()


async def ask_patiently(session, address):
    """Send a request that reaches its server, however busy the machine."""
    got = await send(
        session,
        Outgoing(
            address,
            'GET',
            '/',
            CIMultiDict(),
            b'',
            PATIENT_SECONDS,
            connect_limit=PATIENT_SECONDS,
        ),
    )
    match got:
        case Refusal(code=code):
            assert code is not ResultCode.INSTANCE_UNREACHABLE
    return got


@pytest.mark.parametrize('where', BROKEN)
@pytest.mark.parametrize('is_reset', [False, True])
async def test_answer_that_breaks_off_is_no_answer(
    session, server, where, is_reset
):
    """Guards against half of an answer that looks like a success."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(BROKEN[where])
        await writer.drain()
        if is_reset:
            await asyncio.sleep(LATE_SECONDS)
            writer.transport.abort()
        else:
            writer.close()

    got = await ask_patiently(session, await server(serve))
    assert isinstance(got, Refusal)
    assert got.ran is Ran.UNKNOWN


@pytest.fixture(params=['compiled', 'interpreted'])
def parser(request, monkeypatch):
    """Each of the parsers that the library may use on a machine."""
    if request.param == 'interpreted':
        monkeypatch.setattr(client_proto, 'HttpResponseParser', Interpreted)
    return request.param


@pytest.mark.parametrize('end', ['Content-Length: 4', 'Connection: close'])
async def test_head_that_is_cut_short_is_no_answer(
    session, server, parser, end
):
    """Guards against an empty success where the head of an answer ended."""
    head = OK + f'Request-Id: 7\r\nServer-Stamp: 1\r\n{end}\r\n\r\n'.encode()
    lengths = iter(range(1, len(head)))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head[: next(lengths)])
        await writer.drain()
        writer.close()

    address = await server(serve)
    for _ in range(1, len(head)):
        got = await ask_patiently(session, address)
        assert isinstance(got, Refusal)
        assert got.ran is Ran.UNKNOWN


async def test_answer_without_length_that_is_reset_is_no_answer(
    session, server
):
    """Guards against a body that looks ended by its reset connection."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK + b'\r\nhalf')
        await writer.drain()
        await asyncio.sleep(LATE_SECONDS)
        # A close without lingering resets the connection.
        reset = struct.pack('ii', 1, 0)
        writer.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, reset
        )
        writer.transport.abort()

    got = await ask_patiently(session, await server(serve))
    assert isinstance(got, Refusal)


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
@pytest.mark.parametrize('late', [0.0, LATE_SECONDS])
async def test_copy_of_an_answer_reaches_no_other_caller(
    session, server, copies, late, is_cut
):
    """Guards against a copy, sent late, on a connection in use again."""

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
        got = await send(
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
        match got:
            case Answer(body=body):
                answered += 1
                assert body == identifier.encode()
    assert answered
