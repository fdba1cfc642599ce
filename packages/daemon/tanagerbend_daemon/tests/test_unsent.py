"""Unsent bytes of answers in a daemon that stops."""

import asyncio
import socket

import pytest

from tanagerbend_daemon.call import Answer
from tanagerbend_daemon.call_server import MAX_BUFFERED_BYTES, CallServer
from tanagerbend_metrics import Recorder
from tanagerbend_timer import SystemTimer

# Small enough to be written to the buffer without waiting for the caller.
ANSWER_BYTES = 60000
# Socket buffers and segments of a slow link.
RECEIVE_BUFFER_BYTES = 2048
SEGMENT_BYTES = 536
SEND_BUFFER_BYTES = 4096
REQUEST = b'GET /a HTTP/1.1\r\nHost: shop\r\n\r\n'
# Limit of the wait for a condition.
WAIT_LIMIT_SECONDS = 30


class Handler:
    """Answers each call with `ANSWER_BYTES` zero bytes."""

    recorder = Recorder(SystemTimer())
    table = None
    catch_up = None
    key = b''

    async def handle(self, call):
        async def chunks():
            yield bytes(ANSWER_BYTES)

        return Answer(200, (('Content-Length', str(ANSWER_BYTES)),), chunks())


@pytest.fixture
async def server():
    """Start a server; return it and its address."""
    server = CallServer(Handler())
    host, _, port = (await server.start('127.0.0.1', 0)).rpartition(':')
    yield server, (host, int(port))
    await server.close()


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def connect(server, address):
    """Connect a caller over a slow link."""
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, address)
    await until(lambda: server.runner.server.connections)
    (protocol,) = server.runner.server.connections
    protocol.transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET,
        socket.SO_SNDBUF,
        SEND_BUFFER_BYTES,
    )
    return connection, protocol.transport


async def test_daemon_with_unsent_bytes_is_not_idle(server):
    """Guards against a stop that ends while a caller still reads."""
    assert ANSWER_BYTES < MAX_BUFFERED_BYTES
    server, address = server
    connection, transport = await connect(server, address)
    assert server.is_idle
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, REQUEST)
    await until(transport.get_write_buffer_size)
    await until(lambda: not server.active)
    assert transport.get_write_buffer_size()
    assert not server.is_idle
    received = bytearray()
    while len(received) < ANSWER_BYTES:
        received += await loop.sock_recv(connection, ANSWER_BYTES)
    await until(lambda: server.is_idle)
    connection.close()


async def test_disconnected_caller_leaves_the_daemon_idle(server):
    """Guards against a stop that waits for a disconnected caller."""
    server, address = server
    connection, transport = await connect(server, address)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, REQUEST)
    await until(transport.get_write_buffer_size)
    connection.close()
    await until(lambda: server.is_idle)
