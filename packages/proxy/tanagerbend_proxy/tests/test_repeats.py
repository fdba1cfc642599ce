"""Repeats of a daemon, and those that runs of its instance cause."""

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import CAUSED_REPEATS, REPEATS
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.repeats import Repeats
from tanagerbend_routing import (
    BudgetTerms,
    InstanceRegistry,
    Repeat,
    RetryAllowance,
    Run,
)
from tanagerbend_timer import ManualTimer

# No repeats beyond the ratio.
TERMS = BudgetTerms(ratio=0.2, window=10.0, extra=0.0)
FAILED = Answer(500, CIMultiDict(), b'')
AGAIN = Placed('i-1', 'page', 0, Repeat.FREELY, 1.0, 1.0, repeated=1.0)


@pytest.fixture
def repeats():
    """Repeats of a daemon whose instance runs pages that call once."""
    recorder = Recorder(ManualTimer())
    made = Repeats(RetryAllowance(TERMS), InstanceRegistry(recorder), recorder)
    for _ in range(50):
        with made.runs.hold(Run('page', 30.0), recorder.timer):
            made.requested('price', call(recorder.timer))
            recorder.timer.time += 0.1
    return made


def call(timer):
    """Return a call whose sender waits for a second."""
    headers = CIMultiDict()
    return Request('1', 'GET', 'h', '/price/', headers, b'', 1.0, timer.now())


def test_repeats_are_refused_where_their_calls_exceed_a_budget(repeats):
    """Guards against a retry storm at a service two levels below."""
    allowance, timer = repeats.allowance, repeats.recorder.timer
    assert repeats.refuse(AGAIN) is None
    while allowance.left('price', timer.now(), 1) >= 1:
        allowance.charge('price', 1, timer.now())
    refusal = repeats.refuse(AGAIN)
    assert (refusal.code, refusal.ran) == (
        ResultCode.RETRY_BUDGET_SPENT,
        Ran.NO,
    )


def test_repeats_that_run_count_before_they_have_called(repeats):
    """Guards against many repeats that begin at the same moment."""
    timer = repeats.recorder.timer
    left = repeats.allowance.left('price', timer.now(), 1)
    assert 6 < left < 8
    runs = [Run('page', 30.0, repeated=1.0) for _ in range(6)]
    for run in runs:
        repeats.runs.running.add(run)
    assert repeats.refuse(AGAIN) is not None


def test_first_runs_are_not_refused(repeats):
    """Guards against callers that pay for the repeats of others."""
    timer = repeats.recorder.timer
    repeats.allowance.charge('price', 100, timer.now())
    assert repeats.refuse(attrs.evolve(AGAIN, repeated=0.0)) is None
    # A call that may be one of a repeat, or of another run.
    assert repeats.refuse(attrs.evolve(AGAIN, repeated=0.5)) is None
    assert repeats.refuse(attrs.evolve(AGAIN, route='other')) is None


def test_request_taken_for_a_call_of_a_repeat_is_not_refused(repeats):
    """Guards against callers that are refused on a guess."""
    timer = repeats.recorder.timer
    repeats.allowance.charge('price', 100, timer.now())
    with repeats.runs.hold(Run('page', 30.0, repeated=1.0), timer):
        share = repeats.requested('page', call(timer))
    assert 0.9 < share < 1
    assert repeats.refuse(attrs.evolve(AGAIN, repeated=share)) is None


def test_calls_of_repeats_use_up_the_repeats_of_the_called_service(repeats):
    """Guards against repeats that nobody charges."""
    timer = repeats.recorder.timer
    before = repeats.allowance.left('price', timer.now(), 1)
    with repeats.runs.hold(Run('page', 30.0, repeated=1.0), timer):
        for _ in range(4):
            repeats.requested('price', call(timer))
    # Each call is a request as well.
    left = repeats.allowance.left('price', timer.now(), 1)
    assert left == pytest.approx(before - 4 + 4 * 0.2 * 0.7)
    assert repeats.recorder.counters.get(CAUSED_REPEATS) == 4


def test_repeats_are_counted_by_their_cause(repeats):
    """Guards against metrics that don't tell why work is repeated."""
    shed = Refusal(ResultCode.BACKEND_SHED_LOAD, '')
    assert repeats.take('price', shed)
    assert repeats.take('price', FAILED)
    counters = repeats.recorder.counters
    assert counters.get(REPEATS, 'BACKEND_SHED_LOAD') == 1
    assert counters.get(REPEATS, '500') == 1
