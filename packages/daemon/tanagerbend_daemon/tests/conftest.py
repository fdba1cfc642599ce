"""Fixtures of the daemon's tests."""

import pytest

from tanagerbend_daemon.tests.control_fleet import ControlFleet, sheet
from tanagerbend_daemon.tests.call_path import Loopback
from tanagerbend_interfaces import MemberState


@pytest.fixture
async def make_fleet():
    """Return a function that starts a fleet with a sheet in force."""
    fleets = []

    async def make(count, seed, revision=1):
        fleet = ControlFleet(count, seed)
        fleets.append(fleet)
        if revision:
            fleet.publish(revision, sheet(revision))
        await fleet.start()
        if revision:
            assert await fleet.until(lambda daemon: daemon.store.current, 60)
            assert await fleet.until(knows_all_live, 60)
        return fleet

    def knows_all_live(daemon):
        members = daemon.roster.members.values()
        return len(members) == len(daemon.fleet.hosts) and all(
            member.incarnation and member.state is MemberState.LIVE
            for member in members
        )

    yield make
    for fleet in fleets:
        await fleet.close()


@pytest.fixture
async def loopback():
    loopback = Loopback()
    yield loopback
    await loopback.close()
