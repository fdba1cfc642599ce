"""The concurrency limit follows the backend server."""

from tanagerbend_admission import Outcome
from tanagerbend_admission.limit import AdaptiveLimit


def feed(limit, begin, calls, outcome=Outcome.SERVED, ratio=1.0):
    """Let calls end, ten a second; return the time of the last."""
    for index in range(calls):
        limit.observe(begin + index / 10, outcome, ratio)
    return begin + calls / 10


def test_shed_load_shrinks_to_one_and_recovers():
    """Guards against a limit that ignores 503 or never recovers."""
    limit = AdaptiveLimit(6)
    now = feed(limit, 0.0, 60, Outcome.SHED)
    assert limit.calls == 1
    feed(limit, now, 60)
    assert limit.calls == 6


def test_slow_answers_shrink_to_half_of_the_slots():
    """Guards against losing nearly all throughput to slow answers."""
    limit = AdaptiveLimit(6)
    feed(limit, 0.0, 200, ratio=5.0)
    assert limit.calls == 3


def test_one_overload_shrinks_the_limit_once():
    """Guards against calls of one burst that each shrink the limit."""
    limit = AdaptiveLimit(6)
    for _ in range(6):
        limit.observe(1.0, Outcome.SHED, 1.0)
    assert limit.calls == 4


def test_cancelled_calls_say_nothing_about_the_backend():
    """Guards against callers that leave and thereby change the limit."""
    limit = AdaptiveLimit(6)
    feed(limit, 0.0, 50, Outcome.CANCELLED, ratio=50.0)
    assert limit.calls == 6


async def test_shed_load_at_the_admission_leaves_fewer_running(make_desk):
    """Guards against an admission that does not use the limit."""
    desk = make_desk(slots=4)
    for _ in range(8):
        await desk.learn(0.3, Outcome.SHED)
    tasks = [desk.offer('call') for _ in range(4)]
    await desk.timer.settle()
    assert desk.admission.running == 1
    await desk.pass_through(tasks)
