"""Faults of the stand-in platform take effect."""

import asyncio

import aiohttp
import pytest

from tanagerbend_standins.platform import REVISION_HEADER


@pytest.fixture
async def read(platform, session):
    """Function that reads a key: status, revision and value, or None."""
    await platform.publish('sheet', b'first')
    await platform.publish('hosts', b'list')

    async def read(path='/keys/sheet', url=platform.url):
        try:
            async with session.get(url + path) as response:
                revision = int(response.headers.get(REVISION_HEADER, 0))
                return response.status, revision, await response.read()
        except aiohttp.ClientError:
            return None

    return read


async def test_outage_lost_and_crossed_answers(platform, read):
    """Guards against injected faults that do not affect readers."""
    platform.update_faults(outage=True)
    assert (await read())[0] == 503
    platform.update_faults(outage=False, lost=1.0)
    assert await read() is None
    platform.update_faults(lost=0.0, crossed=1.0)
    assert await read() == (200, 2, b'list')
    platform.update_faults(crossed=0.0)
    assert await read() == (200, 1, b'first')


async def test_silent_service_does_not_answer(platform, read):
    """Guards against a silent service that still answers."""
    platform.update_faults(silent=True)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await read()


async def test_stale_service_and_frozen_key(platform, read):
    """Guards against stale reads that return the newest value."""
    platform.update_faults(stale=True)
    await platform.publish('sheet', b'second')
    assert await read() == (200, 1, b'first')
    platform.update_faults(stale=False)
    platform.freeze('hosts')
    await platform.publish('hosts', b'newer')
    assert await read('/keys/hosts') == (200, 2, b'list')
    assert await read() == (200, 3, b'second')
    await platform.unfreeze('hosts')
    assert await read('/keys/hosts') == (200, 4, b'newer')


async def test_restored_and_contradicting_revisions(platform, read):
    """Guards against a restored key that keeps its newer revision."""
    await platform.publish('sheet', b'second')
    await platform.restore('sheet', 1)
    assert await read() == (200, 1, b'first')
    await platform.publish('sheet', b'other', revision=1)
    assert await read() == (200, 1, b'other')


async def test_calls_over_the_limit_of_a_second(platform, read):
    """Guards against calls over the limit that are not counted."""
    platform.limit = 3
    answers = await asyncio.gather(*(read() for _ in range(5)))
    assert sorted(answer[0] for answer in answers)[:3] == [200] * 3
    assert platform.meter.peak + platform.over_limit >= 5


async def test_host_that_is_cut_off(platform, read):
    """Guards against calls that get through although a host is cut off."""
    first = await platform.listen_for_host('artwork-1')
    second = await platform.listen_for_host('artwork-2')
    platform.update_faults(cut_off=frozenset(('artwork-1',)))
    assert await read(url=first) is None
    assert (await read(url=second))[0] == 200
    assert platform.calls_by_host == {'artwork-2': 1}
