"""Repeats that one daemon may send, or let its instance cause."""

import pytest

from tanagerbend_routing import BudgetTerms, RetryAllowance

TERMS = BudgetTerms(ratio=0.2, window=10.0, extra=60.0)
STARTED = 100.0


def sent(allowance, begin, end):
    """Return the repeats that are sent in a span by one who always fails."""
    return sum(
        allowance.take('shop', begin + tenth / 10, daemons=1)
        for tenth in range(round(10 * (end - begin)))
    )


def test_daemons_that_start_again_do_not_get_the_budget_anew():
    """Guards against a budget that each of many restarts grants again."""
    repeats = sent(RetryAllowance(TERMS), STARTED - 10, STARTED)
    for restart in range(4):
        begin = STARTED + 2 * restart
        repeats += sent(RetryAllowance(TERMS, begin), begin, begin + 2)
    # What a window grants before the first, a window of time after it, and
    # one with each start.
    assert repeats <= 2 * 0.7 * TERMS.extra + 4


def test_daemon_that_has_run_for_a_window_has_its_part():
    """Guards against a daemon that never gets its part of the budget."""
    allowance = RetryAllowance(TERMS, STARTED)
    assert allowance.left('shop', STARTED + 1, 1) == pytest.approx(4.2)
    assert allowance.left('shop', STARTED + 10, 1) == pytest.approx(42)
    assert allowance.left('shop', STARTED + 99, 1) == pytest.approx(42)


def test_first_repeat_does_not_wait_for_a_window():
    """Guards against callers that fail since their daemon has just started."""
    allowance = RetryAllowance(TERMS, STARTED)
    assert allowance.take('shop', STARTED, 12)
    assert not allowance.take('shop', STARTED, 12)
    # Where all daemons together have less than one for each.
    assert not RetryAllowance(TERMS, STARTED).take('shop', STARTED, 300)


def test_fractions_of_repeats_leave_nothing_behind():
    """Guards against rounding errors that add up to a budget."""
    allowance = RetryAllowance(TERMS)
    for number in range(100000):
        allowance.charge('shop', 0.1, number / 1000)
    assert allowance.left('shop', 1000.0, 1) == pytest.approx(42, abs=1e-9)


def test_requests_of_earlier_windows_are_forgotten():
    """Guards against memory that grows with each request in calm."""
    allowance = RetryAllowance(TERMS)
    for number in range(5000):
        allowance.requested('shop', number / 10)
    assert len(allowance.requests['shop'].counted) <= 10 * TERMS.window
