"""One request over HTTP, with answers that come slowly."""

import asyncio

import pytest
from aiohttp import web
from multidict import CIMultiDict

from tanagerbend_model import Refusal
from tanagerbend_proxy.exchange import Outgoing, make_session, send
from tanagerbend_proxy.messages import Answer

PARTS = 4
PART_SECONDS = 0.1
LIMIT_SECONDS = 0.2


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
