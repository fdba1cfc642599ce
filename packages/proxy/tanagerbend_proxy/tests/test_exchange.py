"""One request over HTTP, with answers that come slowly."""

import asyncio

import pytest
from aiohttp import web
from multidict import CIMultiDict

from tanagerbend_daemon.connections import Connector
from tanagerbend_daemon.outbound import HOP_BY_HOP
from tanagerbend_model import Refusal
from tanagerbend_proxy.exchange import (
    CONNECT_SECONDS,
    Outgoing,
    make_session,
    send,
    without_connection,
)
from tanagerbend_proxy.messages import Answer
from tanagerbend_standins.raw_server import Closing

PARTS = 4
PART_SECONDS = 0.1
LIMIT_SECONDS = 0.2
# More than fits into the buffers of a connection.
LONG_BYTES = 8000000


async def trickle(request):
    """Send the headers at once and the body in parts."""
    response = web.StreamResponse()
    await response.prepare(request)
    for _ in range(PARTS):
        await asyncio.sleep(PART_SECONDS)
        await response.write(b'part')
    return response


@pytest.fixture
async def address():
    """Address of a server whose bodies take longer than the limit."""
    runner = web.ServerRunner(web.Server(trickle), shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    yield '{}:{}'.format(*runner.addresses[0])
    await runner.cleanup()


@pytest.fixture
async def session():
    """Session that ends with the test."""
    made = make_session(1.0, 0)
    yield made
    await made.close()


def ask(session, address, **options):
    return send(
        session,
        Outgoing(
            address, 'GET', '/', CIMultiDict(), b'', LIMIT_SECONDS, **options
        ),
    )


async def test_body_that_comes_slowly_is_read(session, address):
    """Guards against a large listing that is never read over a thin link.

    Seen on a grown deployment: a host with several versions to read gave
    up after 0.7 s, began again, and stayed 4 s behind.
    """
    got = await ask(session, address, body_limit=5.0)
    assert isinstance(got, Answer)
    assert got.body == b'part' * PARTS
    assert got.body_seconds > (PARTS - 1) * PART_SECONDS


async def test_limit_holds_for_other_bodies(session, address):
    """Guards against an answer that is waited for past its limit."""
    assert isinstance(await ask(session, address), Refusal)


class EarlyServer:
    """Server that answers before it has read a long body."""

    def __init__(self):
        self.starts = []

    async def serve(self, reader, writer):
        """Answer each request after its headers, then read its body."""
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            self.starts.append(head.split(b' ', 1)[0])
            writer.write(b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n')
            await writer.drain()
            await asyncio.sleep(PART_SECONDS)
            if head.startswith(b'POST'):
                self.starts.append(await reader.readexactly(LONG_BYTES))


@pytest.fixture
async def early():
    """Server that answers early, and its address."""
    made = EarlyServer()
    server = await asyncio.start_server(Closing(made.serve), '127.0.0.1', 0)
    yield made, '{}:{}'.format(*server.sockets[0].getsockname())
    server.close()


async def test_rest_of_a_long_body_comes_before_the_next_request(
    session,
    early,
):
    """Guards against a request inside the body of another one."""
    server, address = early
    body = b'x' * LONG_BYTES
    for method, sent in (('POST', body), ('GET', b''), ('GET', b'')):
        outgoing = Outgoing(address, method, '/', CIMultiDict(), sent, 2.0)
        got = await send(session, outgoing)
        assert isinstance(got, Answer)
        assert got.status == 503
    await asyncio.sleep(3 * PART_SECONDS)
    assert [start for start in server.starts if start != body] == [
        b'POST',
        b'GET',
        b'GET',
    ]
    assert body in server.starts


async def test_late_connection_is_begun_again_beside_the_first(
    session,
    address,
    monkeypatch,
):
    """Guards against a wait for an opening packet that was lost."""
    begun = []
    ended = []
    create = Connector._create_connection

    async def lose_first(self, *args):
        begun.append(args)
        if len(begun) > 1:
            return await create(self, *args)
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(args)

    monkeypatch.setattr(Connector, '_create_connection', lose_first)
    outgoing = Outgoing(
        address,
        'GET',
        '/',
        CIMultiDict(),
        b'',
        30.0,
        connect_limit=3 * CONNECT_SECONDS,
    )
    got = await send(session, outgoing)
    assert isinstance(got, Answer)
    assert len(begun) == 2
    await asyncio.sleep(0)
    assert ended == begun[:1]


def test_headers_of_one_connection_are_left_out():
    """Guards against headers that reach a connection they don't concern."""
    found = CIMultiDict(
        (
            ('Connection', 'Close, x-hop'),
            ('X-Hop', 'one'),
            ('x-hop', 'two'),
            ('Keep-Alive', 'timeout=5'),
            ('Set-Cookie', 'a'),
            ('set-cookie', 'b'),
        ),
    )
    kept = without_connection(found, HOP_BY_HOP)
    assert list(kept.items()) == [('Set-Cookie', 'a'), ('set-cookie', 'b')]
    assert len(found) == 6
    found.popall('Connection')
    assert without_connection(found, HOP_BY_HOP).getall('X-Hop') == [
        'one',
        'two',
    ]
