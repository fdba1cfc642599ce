"""Checks of the demo fail when an outcome is not met."""

import pathlib

import pytest

from tanagerbend_model import Ran, ResultCode, WorkClass
from tanagerbend_standins import DEPLOYMENTS, Fleet, Reply
from tanagerbend_standins.load import Tally
from tanagerbend_standins.outcome_checks import OutcomeChecks

WORK_CLASS = WorkClass('artwork', 'prints', 1, target_ms=400, floor_percent=10)
ON_TIME = Reply(200, 0, Ran.YES, b'', 0.1, 'artwork-1')
LATE = Reply(200, 0, Ran.YES, b'', 0.9, 'artwork-1')
REFUSED = Reply(503, int(ResultCode.QUEUE_FULL), Ran.NO, b'', 0.1, 'artwork-1')
INTERRUPTED = Reply(0, -1, Ran.UNKNOWN, b'ClientError', 0.1, 'artwork-1')


@pytest.fixture
def checks(tmp_path: pathlib.Path):
    return OutcomeChecks('tas-south', Fleet(tmp_path, DEPLOYMENTS[0].places))


def unmet_requirements(checks):
    """Return the requirements whose outcome is not met."""
    return [
        outcome.requirement for outcome in checks.outcomes if not outcome.is_met
    ]


@pytest.mark.parametrize(
    ('reply', 'runs', 'expected'),
    [
        (ON_TIME, 1, []),
        (INTERRUPTED, 1, []),
        (REFUSED, 0, []),
        (ON_TIME, 2, ['I6']),
        (REFUSED, 1, ['I5']),
        (ON_TIME, 0, ['I5']),
    ],
)
def test_order_checks_use_the_runs_at_backend_servers(
    checks, reply, runs, expected
):
    """Guards against checks that trust replies instead of counting runs."""
    backend = checks.fleet.nodes[3].backend
    backend.run_counts_by_body[b'order 1'] = runs
    checks.check_order_runs([Tally(WORK_CLASS, (reply,), (b'order 1',))])
    assert unmet_requirements(checks) == expected


def test_late_interrupted_and_missing_answers_fail_checks(checks):
    """Guards against checks that pass whatever the replies are."""
    replies = Tally(WORK_CLASS, (ON_TIME,) * 98 + (LATE, REFUSED))
    checks.check_urgent_latency('flood', replies, False, 0.0)
    checks.check_urgent_latency('flood', replies, True, 0.0)
    assert unmet_requirements(checks) == ['F3', 'F3']
    checks.outcomes.clear()
    checks.check_floor('flood', replies, 1000)
    checks.check_floor('flood', replies, 990)
    assert [outcome.is_met for outcome in checks.outcomes] == [False, True]
    checks.outcomes.clear()
    checks.check_all_answered('I4', 'all', [replies])
    checks.check_all_answered(
        'F1', 'all', [Tally(WORK_CLASS, (ON_TIME, INTERRUPTED))]
    )
    checks.check_order_outcomes(Tally(WORK_CLASS, (ON_TIME, REFUSED)))
    assert unmet_requirements(checks) == ['I4', 'F1', 'I6']
