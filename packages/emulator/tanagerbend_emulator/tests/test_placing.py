"""Time limits that an entry passes to the owner of an instance."""

import asyncio
import random

import pytest

from tanagerbend_emulator import LOADS, read_load
from tanagerbend_emulator.fleet import EmulatedFleet, EmulatedOwner
from tanagerbend_emulator.instance import make_request
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.virtual import run_virtual

# Bytes per second.
LINK_RATE = 481_250
KILOBYTES = 90.0
SECONDS_LEFT = 2.5


@pytest.fixture
def placed_by(monkeypatch):
    """Function that sends a ``plate`` and returns what owners received."""
    received = []
    run = EmulatedOwner.run

    async def recorded(owner, request, placed):
        received.append(placed)
        return await run(owner, request, placed)

    monkeypatch.setattr(EmulatedOwner, 'run', recorded)

    async def place(host, prepare):
        load = read_load(LOADS / 'plates.toml')
        rng = random.Random(1)
        fleet = EmulatedFleet(load, POLICIES['objective'], rng)
        entry = fleet.owners[host].instance.entry
        entry.placement.work_of('plate').observe(0.12, KILOBYTES)
        prepare(fleet, entry)
        await entry.handle(make_request('1', 'plate', SECONDS_LEFT))
        await asyncio.gather(*(link.close() for link in fleet.links.values()))
        return received

    return lambda *arguments: run_virtual(place(*arguments))


@pytest.mark.parametrize('queued_bytes', [0.0, 300_000.0])
def test_time_for_the_link_of_the_entry_is_reserved(placed_by, queued_bytes):
    """Guards against answers that are late due to the link of the entry."""

    def prepare(_fleet, entry):
        entry.owner.uplink.expected[2] = queued_bytes

    (placed,) = placed_by('desk-0', prepare)
    sending_seconds = (queued_bytes + 1024 * KILOBYTES) / LINK_RATE
    assert placed.on_time <= 1.921 - sending_seconds
    assert placed.time_left <= SECONDS_LEFT - sending_seconds


def test_local_instance_gets_all_the_time_left(placed_by):
    """Guards against reserved time for a second link on a local call."""

    def prepare(_fleet, entry):
        entry.knowledge.registry.replace(
            {'store-0': entry.owner.instance.listed},
        )

    (placed,) = placed_by('store-0', prepare)
    assert placed.on_time == pytest.approx(1.921)
