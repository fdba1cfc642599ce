"""What an entry tells the owner that it asks, and whom it asks."""

import asyncio
import random

import pytest

from tanagerbend_emulator import LOADS, read_load
from tanagerbend_emulator.fleet import EmulatedFleet, EmulatedOwner
from tanagerbend_emulator.instance import make_request
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.virtual import run_virtual

LINK = 481_250
KILOBYTES = 90.0
SECONDS_LEFT = 2.5


@pytest.fixture
def placed_by(monkeypatch):
    """Return a function that tells what owners of a plate were told."""
    asked = []
    run = EmulatedOwner.run

    async def recorded(owner, request, placed):
        asked.append(placed)
        return await run(owner, request, placed)

    monkeypatch.setattr(EmulatedOwner, 'run', recorded)

    async def ask(host, prepare):
        load = read_load(LOADS / 'plates.toml')
        chance = random.Random(1)
        fleet = EmulatedFleet(load, POLICIES['objective'], chance)
        entry = fleet.owners[host].instance.entry
        entry.placement.work_of('plate').observe(0.12, KILOBYTES)
        prepare(fleet, entry)
        await entry.handle(make_request('1', 'plate', SECONDS_LEFT))
        await asyncio.gather(*(link.close() for link in fleet.links.values()))
        return asked

    return lambda *options: run_virtual(ask(*options))


@pytest.mark.parametrize('before', [0.0, 300_000.0])
def test_time_of_the_second_link_is_kept_back(placed_by, before):
    """Guards against answers on time at the entry and late at the caller."""

    def prepare(_fleet, entry):
        entry.owner.uplink.expected[2] = before

    (placed,) = placed_by('desk-0', prepare)
    sending = (before + 1024 * KILOBYTES) / LINK
    assert placed.on_time <= 1.921 - sending
    assert placed.time_left <= SECONDS_LEFT - sending


def test_own_instance_is_told_all_the_time_that_is_left(placed_by):
    """Guards against time kept for a link that the answer passes once."""

    def prepare(_fleet, entry):
        entry.knowledge.registry.replace(
            {'store-0': entry.owner.instance.listed},
        )

    (placed,) = placed_by('store-0', prepare)
    assert placed.on_time == pytest.approx(1.921)
