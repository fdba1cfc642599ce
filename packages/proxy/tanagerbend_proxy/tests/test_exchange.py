"""Single HTTP requests: slow bodies, early answers, late connections."""

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
from tanagerbend_standins.raw_server import ClosingHandler

PARTS = 4
PART_SECONDS = 0.1
LIMIT_SECONDS = 0.2
# Exceeds the buffers of a connection.
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
    """Address of a server that takes longer than the limit for a body."""
    runner = web.ServerRunner(web.Server(trickle), shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    yield '{}:{}'.format(*runner.addresses[0])
    await runner.cleanup()


@pytest.fixture
async def session():
    """HTTP session that is closed after the test."""
    created = make_session(1.0, 0)
    yield created
    await created.close()


def ask(session, address, **options):
    return send(
        session,
        Outgoing(
            address, 'GET', '/', CIMultiDict(), b'', LIMIT_SECONDS, **options
        ),
    )


async def test_slow_body_is_read(session, address):
    """Guards against a large listing that is never read over a slow link.

    A host that had several versions to read timed out after 0.7 s, started
    again, and stayed 4 s behind.
    """
    result = await ask(session, address, body_limit=5.0)
    assert isinstance(result, Answer)
    assert result.body == b'part' * PARTS
    assert result.body_seconds > (PARTS - 1) * PART_SECONDS


async def test_limit_holds_for_other_bodies(session, address):
    """Guards against waiting for an answer beyond its limit."""
    assert isinstance(await ask(session, address), Refusal)


class EarlyServer:
    """Server that answers before it reads a long body."""

    def __init__(self):
        self.received = []

    async def serve(self, reader, writer):
        """Answer each request after its headers, then read its body."""
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            self.received.append(head.split(b' ', 1)[0])
            writer.write(b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n')
            await writer.drain()
            await asyncio.sleep(PART_SECONDS)
            if head.startswith(b'POST'):
                self.received.append(await reader.readexactly(LONG_BYTES))


@pytest.fixture
async def early_server():
    """A server that answers early, and its address."""
    created = EarlyServer()
    server = await asyncio.start_server(
        ClosingHandler(created.serve), '127.0.0.1', 0
    )
    yield created, '{}:{}'.format(*server.sockets[0].getsockname())
    server.close()


async def test_body_is_sent_whole_before_the_next_request(
    session,
    early_server,
):
    """Guards against a request that is sent within the body of another.

    An answer that arrives early must not free the connection while the
    body is still being sent.
    """
    server, address = early_server
    body = b'x' * LONG_BYTES
    for method, sent in (('POST', body), ('GET', b''), ('GET', b'')):
        outgoing = Outgoing(address, method, '/', CIMultiDict(), sent, 2.0)
        result = await send(session, outgoing)
        assert isinstance(result, Answer)
        assert result.status == 503
    await asyncio.sleep(3 * PART_SECONDS)
    assert [start for start in server.received if start != body] == [
        b'POST',
        b'GET',
        b'GET',
    ]
    assert body in server.received


async def test_second_connection_is_opened_beside_a_late_one(
    session,
    address,
    monkeypatch,
):
    """Guards against waiting a second for the retransmission of a SYN."""
    started = []
    ended = []
    create = Connector._create_connection

    async def lose_first(self, *args):
        started.append(args)
        if len(started) > 1:
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
    result = await send(session, outgoing)
    assert isinstance(result, Answer)
    assert len(started) == 2
    await asyncio.sleep(0)
    assert ended == started[:1]


def test_hop_by_hop_headers_are_removed():
    """Guards against hop-by-hop headers that are passed on."""
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
