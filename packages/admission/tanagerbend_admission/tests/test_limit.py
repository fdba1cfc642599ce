"""The concurrency limit adapts to the backend server."""

from tanagerbend_admission import Outcome
from tanagerbend_admission.limit import AdaptiveLimit


def end_calls(limit, begin, calls, outcome=Outcome.SERVED, ratio=1.0):
    """Report the end of ten calls per second; return the end time."""
    for index in range(calls):
        limit.observe(begin + index / 10, outcome, ratio)
    return begin + calls / 10


def test_shed_load_shrinks_to_one_and_recovers():
    """Guards against a limit that ignores 503 or never recovers."""
    limit = AdaptiveLimit(6)
    now = end_calls(limit, 0.0, 60, Outcome.SHED)
    assert limit.calls == 1
    end_calls(limit, now, 60)
    assert limit.calls == 6


def test_slow_answers_shrink_to_half_of_the_slots():
    """Guards against losing nearly all throughput to slow answers."""
    limit = AdaptiveLimit(6)
    end_calls(limit, 0.0, 200, ratio=5.0)
    assert limit.calls == 3


def test_one_overload_shrinks_the_limit_once():
    """Guards against a decrease of the limit for each call of a burst."""
    limit = AdaptiveLimit(6)
    for _ in range(6):
        limit.observe(1.0, Outcome.SHED, 1.0)
    assert limit.calls == 4


def test_cancelled_calls_do_not_change_the_limit():
    """Guards against cancelled calls that count as slow answers."""
    limit = AdaptiveLimit(6)
    end_calls(limit, 0.0, 50, Outcome.CANCELLED, ratio=50.0)
    assert limit.calls == 6


async def test_shed_load_at_the_admission_leaves_fewer_running(make_harness):
    """Guards against an admission that ignores the limit."""
    harness = make_harness(slots=4)
    for _ in range(8):
        await harness.learn_service_time(0.3, Outcome.SHED)
    tasks = [harness.offer('call') for _ in range(4)]
    await harness.timer.settle()
    assert harness.admission.running == 1
    await harness.run_until_done(tasks)
