"""Limits on repeats: those of a daemon and those that its runs cause."""

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import CALLS_OF_REPEATED_RUNS, REPEATS
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.repeats import Repeats
from tanagerbend_routing import (
    InstanceRegistry,
    Repeat,
    RetryAllowance,
    RetryBudgetSettings,
    Run,
)
from tanagerbend_timer import ManualTimer

# Allows only the repeats that the ratio covers.
TERMS = RetryBudgetSettings(ratio=0.2, window=10.0, extra=0.0)
FAILED = Answer(500, CIMultiDict(), b'')
REPEATED = Placed('i-1', 'page', 0, Repeat.FREELY, 1.0, 1.0, repeated=1.0)


@pytest.fixture
def repeats():
    """Repeats of a daemon whose instance runs pages with one call each."""
    recorder = Recorder(ManualTimer())
    repeats_of_daemon = Repeats(
        RetryAllowance(TERMS), InstanceRegistry(recorder), recorder
    )
    for _ in range(50):
        with repeats_of_daemon.runs.hold(Run('page', 30.0), recorder.timer):
            repeats_of_daemon.requested('price', call(recorder.timer))
            recorder.timer.time += 0.1
    return repeats_of_daemon


def call(timer):
    """Return a call with a deadline of one second."""
    headers = CIMultiDict()
    return Request('1', 'GET', 'h', '/price/', headers, b'', 1.0, timer.now())


def test_repeats_are_refused_where_their_calls_exceed_a_budget(repeats):
    """Guards against a retry storm at a service two calls deep."""
    allowance, timer = repeats.allowance, repeats.recorder.timer
    assert repeats.refuse(REPEATED) is None
    while allowance.remaining('price', timer.now(), 1) >= 1:
        allowance.charge('price', 1, timer.now())
    refusal = repeats.refuse(REPEATED)
    assert (refusal.code, refusal.ran) == (
        ResultCode.RETRY_BUDGET_SPENT,
        Ran.NO,
    )


def test_running_repeats_count_before_their_calls(repeats):
    """Guards against many repeats that start at the same time.

    Running repeats use the budget before their calls are counted.
    """
    timer = repeats.recorder.timer
    left = repeats.allowance.remaining('price', timer.now(), 1)
    assert 6 < left < 8
    runs = [Run('page', 30.0, retry_share=1.0) for _ in range(6)]
    for run in runs:
        repeats.runs.running.add(run)
    assert repeats.refuse(REPEATED) is not None


def test_first_runs_are_not_refused(repeats):
    """Guards against first attempts that are refused due to repeats."""
    timer = repeats.recorder.timer
    repeats.allowance.charge('price', 100, timer.now())
    assert repeats.refuse(attrs.evolve(REPEATED, repeated=0.0)) is None
    # A call that a repeat or another run may have made.
    assert repeats.refuse(attrs.evolve(REPEATED, repeated=0.5)) is None
    assert repeats.refuse(attrs.evolve(REPEATED, route='other')) is None


def test_request_taken_for_a_call_of_a_repeat_is_not_refused(repeats):
    """Guards against callers that are refused because of an estimate."""
    timer = repeats.recorder.timer
    repeats.allowance.charge('price', 100, timer.now())
    with repeats.runs.hold(Run('page', 30.0, retry_share=1.0), timer):
        share = repeats.requested('page', call(timer))
    assert 0.9 < share < 1
    assert repeats.refuse(attrs.evolve(REPEATED, repeated=share)) is None


def test_calls_of_repeats_use_the_budget_of_the_called_service(repeats):
    """Guards against caused repeats that aren't charged to a budget."""
    timer = repeats.recorder.timer
    before = repeats.allowance.remaining('price', timer.now(), 1)
    with repeats.runs.hold(Run('page', 30.0, retry_share=1.0), timer):
        for _ in range(4):
            repeats.requested('price', call(timer))
    # Each call also counts as a request, which adds to the budget.
    left = repeats.allowance.remaining('price', timer.now(), 1)
    assert left == pytest.approx(before - 4 + 4 * 0.2 * 0.7)
    assert repeats.recorder.counters.get(CALLS_OF_REPEATED_RUNS) == 4


def test_repeats_are_counted_by_their_cause(repeats):
    """Guards against metrics that don't show the causes of repeats."""
    shed = Refusal(ResultCode.BACKEND_SHED_LOAD, '')
    assert repeats.take('price', shed)
    assert repeats.take('price', FAILED)
    counters = repeats.recorder.counters
    assert counters.get(REPEATS, 'BACKEND_SHED_LOAD') == 1
    assert counters.get(REPEATS, '500') == 1
