"""Calls count by the run that makes them."""

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.calls import Calls
from tanagerbend_proxy.entry import NEUTRAL_CODES
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.request_lines import RequestState
from tanagerbend_routing import PrefixRoute, Repeat, Run, Runs, WeightedService
from tanagerbend_timer import ManualTimer

PAGE = Run('page', 9.0, identifier='a1', rank=1, on_time_until=0.6)
PLACED = Placed('i-1', 'page', 1, Repeat.FREELY, 0.6, 1.0)
ROUTE = PrefixRoute(
    name='price',
    host='shop',
    prefix='/price/',
    parts=(WeightedService('price'),),
    repeat=Repeat.FREELY,
    timeout=0.4,
    objective=0.15,
    max_attempts=2,
    rank=2,
)
SERVED = Answer(200, CIMultiDict(), b'')
FULL = Refusal(ResultCode.QUEUE_FULL, '')
SHED = Refusal(ResultCode.BACKEND_SHED_LOAD, '')


@pytest.fixture
def calls():
    """Calls of an instance whose pages make one call to prices each."""
    recorder = Recorder(ManualTimer())
    found = Calls(Runs(), recorder, '.')
    for _ in range(60):
        with found.runs.hold(PAGE, recorder.timer):
            found.runs.record_sent_call('price', 9.0, PAGE)
            recorder.timer.time += 0.1
    return found


def test_call_is_linked_to_its_run(calls):
    """Guards against calls that are taken for those of another run."""
    with calls.runs.hold(PAGE, calls.recorder.timer):
        assert calls.caller_of('a1.7') is PAGE
        assert calls.caller_of('a1') is None
        assert calls.caller_of('a2.7') is None
    assert calls.caller_of('a1.7') is None


def test_later_run_with_the_same_identifier_stays_linked(calls):
    """Guards against a caller that reuses an identifier and unlinks a run."""
    timer = calls.recorder.timer
    later = Run('page', 9.0, identifier='a1')
    with calls.runs.hold(later, timer):
        with calls.runs.hold(PAGE, timer):
            assert calls.caller_of('a1.7') is PAGE
        assert calls.caller_of('a1.7') is None
    with calls.runs.hold(PAGE, timer), calls.runs.hold(later, timer):
        assert calls.caller_of('a1.7') is later


def test_requests_of_callers_are_no_calls_of_runs(calls):
    """Guards against refusing runs for requests that they don't make."""
    lone = attrs.evolve(PLACED, route='lone')
    for number in range(60):
        run = Run('lone', 99.0, identifier=f'b{number}')
        with calls.runs.hold(run, calls.recorder.timer):
            calls.runs.record_sent_call('price', 9.0)
            calls.recorder.timer.time += 0.1
    for _ in range(20):
        calls.record_result(PAGE, 'price', FULL)
    assert [calls.refuse(lone) for _ in range(20)] == [None] * 20


def test_call_has_rank_and_target_time_of_its_run():
    """Guards against refusing calls by their own, shorter target time."""
    request = Request('a1.7', 'GET', 'shop', '/', CIMultiDict(), b'', 0.4, 0.0)
    state = RequestState(request, ROUTE, 'price', 0.4, 0.15)
    state.count_by_caller(PAGE, 0.2)
    assert state.route.rank == 1
    assert state.on_time_until == pytest.approx(0.5)
    assert state.max_owners_asked == 6


def test_run_is_refused_while_its_calls_are_refused(calls):
    """Guards against runs that take a slot and fail for their calls."""
    for _ in range(20):
        calls.record_result(PAGE, 'price', FULL)
    refusals = [calls.refuse(PLACED) for _ in range(20)]
    refused = [each for each in refusals if each is not None]
    assert len(refused) >= 14
    assert refused[0].code is ResultCode.CALLED_SERVICE_FULL
    assert refused[0].ran is Ran.NO


@pytest.mark.parametrize('result', [SERVED, SHED])
def test_run_is_admitted_without_a_shortage(calls, result):
    """Guards against refusing runs where fewer calls would not help."""
    for _ in range(20):
        calls.record_result(PAGE, 'price', result)
        calls.record_result(None, 'price', FULL)
    assert calls.refuse(PLACED) is None


def test_refusal_for_calls_says_nothing_about_the_instance():
    """Guards against avoiding an instance whose called service is full."""
    assert ResultCode.CALLED_SERVICE_FULL in NEUTRAL_CODES
