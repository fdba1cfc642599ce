"""Closing of the listening socket while connections arrive."""

import asyncio
import socket

import pytest
from aiohttp import web

from tanagerbend_daemon.listener import Listener


@pytest.mark.parametrize('rounds', range(6))
async def test_connections_made_before_close_are_served(rounds):
    """Guards against connections that are reset between accept and close."""

    async def answer(request):
        response = web.Response(text='whole')
        response.force_close()
        return response

    runner = web.ServerRunner(web.Server(answer), access_log=None)
    await runner.setup()
    listener = Listener(runner)
    host, port = (await listener.start('127.0.0.1', 0)).split(':')
    callers = [socket.create_connection((host, int(port))) for _ in range(20)]
    for caller in callers:
        caller.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    for _ in range(rounds):
        await asyncio.sleep(0)
    await listener.close()
    await runner.cleanup()
    for caller in callers:
        caller.settimeout(10)
        received = b''
        while chunk := caller.recv(4096):
            received += chunk
        caller.close()
        assert received.endswith(b'whole')
