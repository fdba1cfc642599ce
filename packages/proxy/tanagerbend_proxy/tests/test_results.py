"""Which placings use up what a request may ask for."""

import pytest
from multidict import CIMultiDict

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Outcome, Request
from tanagerbend_proxy.request_lines import RequestState
from tanagerbend_proxy.results import (
    MAX_MISPLACED,
    MAX_OWNERS_ASKED,
    count_placing,
    why_no_more_owners,
)

SENT = Outcome(Refusal(ResultCode.NO_INSTANCE, ''), is_offered=True)
NOT_SENT = Outcome(Refusal(ResultCode.NO_INSTANCE, ''))
FULL = Outcome(Refusal(ResultCode.QUEUE_FULL, ''))
LOST = Outcome(
    Refusal(ResultCode.CONNECTION_LOST, '', Ran.UNKNOWN), is_offered=True
)


@pytest.fixture
def state():
    """Return the state of a request that was not placed yet."""
    request = Request('1', 'GET', 'h', '/', CIMultiDict(), b'', 2.0, 0.0)
    return RequestState(request, None, 'shop', 2.0, 1.0)


def place(state, *outcomes):
    """Count placings; return whether another owner may be asked."""
    for outcome in outcomes:
        state.placed += 1
        count_placing(state, outcome)
    return not why_no_more_owners(state)


@pytest.mark.parametrize(
    ('outcome', 'counts'),
    [(SENT, (1, 0)), (NOT_SENT, (0, 0)), (FULL, (0, 0)), (LOST, (1, 1))],
    ids=['answered 421', 'refused as absent', 'queue full', 'lost'],
)
def test_absent_instances_are_no_attempts(state, outcome, counts):
    """Guards against refusals of requests that have reached nobody.

    A 421 still counts as sent, since it draws on the retry budget.
    """
    place(state, outcome)
    assert (state.offered, state.attempts) == counts


def test_absent_instances_are_no_owners_asked(state):
    """Guards against giving up after three outdated entries."""
    assert place(state, *([SENT] * MAX_MISPLACED))
    assert place(state, *([FULL] * (MAX_OWNERS_ASKED - 1)))
    assert not place(state, FULL)


def test_absent_instances_are_limited(state):
    """Guards against a request that tries all outdated entries in turn."""
    assert not place(state, *([NOT_SENT] * (MAX_MISPLACED + 1)))
