"""Limit of the time at which an order may be written to a connection."""

import asyncio

from tanagerbend_daemon.connections import make_session
from tanagerbend_daemon.outbound import HttpServer
from tanagerbend_interfaces import BackendRequest
from tanagerbend_model import Ran
from tanagerbend_standins import StandinBackend
from tanagerbend_timer import SystemTimer


async def test_order_is_not_written_after_its_deadline():
    """Guards against a late order after a pause while connecting."""
    backend, timer = StandinBackend('host-1'), SystemTimer()
    address = await backend.start()
    session = make_session(1)
    server = HttpServer(session, address, timer)
    request = BackendRequest('POST', '/print', (), b'one', 'id', timer.now())
    refusal = await server.exchange(request, timer.now() + 30.0)
    assert refusal.ran is Ran.NO
    await asyncio.sleep(0)
    assert not backend.run_counts
    late = BackendRequest('POST', '/print', (), b'one', 'id')
    response = await server.exchange(late, timer.now() + 30.0)
    assert response.status == 200
    await session.close()
    await backend.close()
