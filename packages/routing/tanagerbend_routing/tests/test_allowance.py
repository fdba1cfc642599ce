"""Tests of the share of one daemon in the retry budget."""

import pytest

from tanagerbend_routing import RetryAllowance, RetryBudgetSettings

TERMS = RetryBudgetSettings(ratio=0.2, window=10.0, extra=60.0)
STARTED = 100.0


def count_allowed_retries(allowance, begin, end):
    """Return how many of the retries tried every 0.1 s are allowed."""
    return sum(
        allowance.take('shop', begin + tenth / 10, daemons=1)
        for tenth in range(round(10 * (end - begin)))
    )


def test_restart_does_not_renew_the_budget():
    """Guards against restarts that each grant the whole budget again."""
    retries = count_allowed_retries(
        RetryAllowance(TERMS), STARTED - 10, STARTED
    )
    for restart in range(4):
        begin = STARTED + 2 * restart
        retries += count_allowed_retries(
            RetryAllowance(TERMS, begin), begin, begin + 2
        )
    # The budget of the window before the first restart, of a window after
    # it, and one retry for each of the four starts.
    assert retries <= 2 * 0.7 * TERMS.extra + 4


def test_share_grows_to_full_size_over_the_first_window():
    """Guards against a daemon that never gets its share of the budget."""
    allowance = RetryAllowance(TERMS, STARTED)
    assert allowance.remaining('shop', STARTED + 1, 1) == pytest.approx(4.2)
    assert allowance.remaining('shop', STARTED + 10, 1) == pytest.approx(42)
    assert allowance.remaining('shop', STARTED + 99, 1) == pytest.approx(42)


def test_first_retry_is_allowed_at_start():
    """Guards against failed requests because a daemon has just started."""
    allowance = RetryAllowance(TERMS, STARTED)
    assert allowance.take('shop', STARTED, 12)
    assert not allowance.take('shop', STARTED, 12)
    # With 300 daemons the share of each is less than one retry.
    assert not RetryAllowance(TERMS, STARTED).take('shop', STARTED, 300)


def test_fractional_charges_leave_no_rounding_error():
    """Guards against rounding errors that accumulate in the budget."""
    allowance = RetryAllowance(TERMS)
    for number in range(100000):
        allowance.charge('shop', 0.1, number / 1000)
    assert allowance.remaining('shop', 1000.0, 1) == pytest.approx(42, abs=1e-9)


def test_requests_before_the_window_are_discarded():
    """Guards against memory that grows with each request."""
    allowance = RetryAllowance(TERMS)
    for number in range(5000):
        allowance.record_request('shop', number / 10)
    assert len(allowance.requests['shop'].entries) <= 10 * TERMS.window
