"""Callers of several services that compete for one service they call."""

import pytest

from tanagerbend_emulator import LOADS, read_load, simulate
from tanagerbend_emulator.trial import FAILED

SEED = 7


@pytest.fixture(scope='module')
def competing():
    """Return the results of the load, which takes some seconds to play."""
    load = read_load(LOADS / 'competing.toml')
    return simulate(load, 'objective', SEED)


def test_runs_whose_calls_lack_room_are_refused_before_they_start(competing):
    """Guards against runs that fail because their calls are refused.

    Without the room for calls, 172 views and 4 bookings failed after they
    had held a slot of their instance.
    """
    failed = sum(kind.outcomes[FAILED] for kind in competing.kinds.values())
    assert failed <= 120


def test_urgent_requests_keep_their_share_of_a_called_service(competing):
    """Guards against a flood of calls that starves more urgent requests.

    Without the room for calls, bookings earned 0.614 of their worth and all
    requests 0.622.
    """
    assert competing.kinds['book'].worth >= 0.66
    assert competing.total.worth >= 0.63
