"""Fixtures for stand-ins and a client session."""

import aiohttp
import pytest

from tanagerbend_standins import StandinBackend, StandinPlatform


@pytest.fixture
async def backend():
    backend = StandinBackend('artwork-1')
    backend.address = await backend.start()
    yield backend
    await backend.close()


@pytest.fixture
async def platform():
    platform = StandinPlatform()
    platform.url = await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session
