"""Room for the calls of runs: which runs are admitted."""

import pytest

from tanagerbend_routing.call_room import (
    MIN_ADMITTED,
    WINDOW_SECONDS,
    CallRoom,
)
from tanagerbend_timer import ManualTimer

URGENT, ORDINARY = 0, 2
CALLS = {'price': 1.0}


@pytest.fixture
def room():
    """Room for calls at the start of a ManualTimer."""
    return CallRoom(ManualTimer())


def play(room, *, capacity, rate=20, seconds=20):
    """Ask for ``rate`` runs of each rank per second; return shares by rank.

    Every admitted run makes one call, and ``capacity`` calls per second are
    served.
    """
    admitted = {URGENT: 0, ORDINARY: 0}
    free = 0.0
    for _ in range(rate * seconds):
        room.timer.time += 1 / rate
        free = min(free + capacity / rate, 1.0 + capacity / rate)
        for rank in admitted:
            if room.short_service(rank, CALLS):
                continue
            admitted[rank] += 1
            is_served = free >= 1
            free -= is_served
            room.record_result('price', is_served=is_served)
    return {rank: count / rate / seconds for rank, count in admitted.items()}


def test_all_runs_are_admitted_while_calls_are_served(room):
    """Guards against refusals without a shortage."""
    assert play(room, capacity=40) == {URGENT: 1, ORDINARY: 1}


def test_urgent_runs_are_admitted_first(room):
    """Guards against runs of all ranks being refused alike."""
    shares = play(room, capacity=16)
    assert shares[URGENT] > 0.9
    assert 0.9 * MIN_ADMITTED <= shares[ORDINARY] < 0.6


def test_no_rank_is_refused_entirely(room):
    """Guards against a shortage that is never found to have ended."""
    assert play(room, capacity=0)[ORDINARY] >= 0.9 * MIN_ADMITTED


def test_a_shortage_is_forgotten_after_the_window(room):
    """Guards against refusals by results of an earlier shortage."""
    play(room, capacity=0)
    room.timer.time += WINDOW_SECONDS
    assert not room.short_service(ORDINARY, CALLS)


def test_runs_without_calls_are_admitted(room):
    """Guards against refusing requests that call no short service."""
    play(room, capacity=0)
    results = {
        room.short_service(ORDINARY, {'price': 0.01, 'cart': 1.0})
        for _ in range(20)
    }
    assert results == {''}
