"""The demo's outcomes are missed when they should be."""

import pathlib

import pytest

from tanagerbend_model import Ran, ResultCode, WorkClass
from tanagerbend_standins import DEPLOYMENTS, Fleet, Reply
from tanagerbend_standins.judging import Verdicts
from tanagerbend_standins.load import Tally

WORK = WorkClass('artwork', 'prints', 1, target_ms=400, floor_percent=10)
FINE = Reply(200, 0, Ran.YES, b'', 0.1, 'artwork-1')
LATE = Reply(200, 0, Ran.YES, b'', 0.9, 'artwork-1')
REFUSED = Reply(503, int(ResultCode.QUEUE_FULL), Ran.NO, b'', 0.1, 'artwork-1')
CUT = Reply(0, -1, Ran.UNKNOWN, b'ClientError', 0.1, 'artwork-1')


@pytest.fixture
def verdicts(tmp_path: pathlib.Path):
    return Verdicts('tas-south', Fleet(tmp_path, DEPLOYMENTS[0].places))


def missed(verdicts):
    """Requirements whose outcome was missed."""
    return [
        outcome.requirement
        for outcome in verdicts.outcomes
        if not outcome.is_met
    ]


@pytest.mark.parametrize(
    ('reply', 'runs', 'expected'),
    [
        (FINE, 1, []),
        (CUT, 1, []),
        (REFUSED, 0, []),
        (FINE, 2, ['I6']),
        (REFUSED, 1, ['I5']),
        (FINE, 0, ['I5']),
    ],
)
def test_orders_are_judged_by_the_backend_servers(
    verdicts, reply, runs, expected
):
    """Guards against a demo that takes the daemons' word for it."""
    backend = verdicts.fleet.nodes[3].backend
    backend.bodies[b'order 1'] = runs
    verdicts.judge_orders([Tally(WORK, (reply,), (b'order 1',))])
    assert missed(verdicts) == expected


def test_late_cut_and_missing_answers_are_seen(verdicts):
    """Guards against outcomes that are met whatever happens."""
    replies = Tally(WORK, (FINE,) * 98 + (LATE, REFUSED))
    verdicts.judge_urgent('flood', replies, False, 0.0)
    verdicts.judge_urgent('flood', replies, True, 0.0)
    assert missed(verdicts) == ['F3', 'F3']
    verdicts.outcomes.clear()
    verdicts.judge_floor('flood', replies, 1000)
    verdicts.judge_floor('flood', replies, 990)
    assert [one.is_met for one in verdicts.outcomes] == [False, True]
    verdicts.outcomes.clear()
    verdicts.judge_all('I4', 'all', [replies])
    verdicts.judge_all('F1', 'all', [Tally(WORK, (FINE, CUT))])
    verdicts.judge_ends(Tally(WORK, (FINE, REFUSED)))
    assert missed(verdicts) == ['I4', 'F1', 'I6']
