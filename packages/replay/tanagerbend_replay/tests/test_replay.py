"""Replays small traces and the traces under examples."""

import os
import pathlib
import subprocess
import sys

import pytest

from tanagerbend_model import Ran
from tanagerbend_replay import (
    CallEvent,
    FaultEvent,
    FaultKind,
    HostsEvent,
    Publication,
    ExpectedOutcomes,
    Trace,
    TraceError,
    compare_with_expected,
    load_expected,
    load_trace,
    read_trace,
    replay,
)
from tanagerbend_replay.tests.conftest import SHEET, call
from tanagerbend_replay.writing import event_line, header_line

ROOT = pathlib.Path(__file__).parents[4]
TRACES = sorted((ROOT / 'examples' / 'traces').glob('*.jsonl'))
NO_EXPECTATIONS = ExpectedOutcomes({})
REPLAY_SCRIPT = """
import pathlib, sys
from tanagerbend_replay import (
    compare_with_expected, load_expected, load_trace, replay
)
path = pathlib.Path(sys.argv[1])
stated = load_expected(path.with_suffix('.toml'))
verdict = compare_with_expected(replay(load_trace(path), 7), stated)
sys.stdout.write(verdict.text())
"""


def unmet_checks(verdict):
    """Return the names of the checks that are not met."""
    return {check.name for check in verdict.checks if not check.is_met}


def flood_trace(trace_of):
    """Return a trace of swatches at 3 x capacity and some urgent calls."""
    return trace_of(
        *(call(1 + number / 360, 'swatches') for number in range(720)),
        *(call(1 + number / 12, 'colour') for number in range(24)),
    )


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_examples_meet_their_stated_outcomes(path):
    """Guards against decisions that miss the expected outcomes of a trace."""
    trace, stated = load_trace(path), load_expected(path.with_suffix('.toml'))
    assert isinstance(trace, Trace)
    assert isinstance(stated, ExpectedOutcomes)
    assert stated.work
    verdict = compare_with_expected(replay(trace), stated)
    assert verdict.is_met, verdict.text()


def test_same_trace_and_seed_give_the_same_bytes():
    """Guards against verdicts that differ between processes."""
    path = ROOT / 'examples' / 'traces' / 'tas-south-night.jsonl'
    texts = {
        subprocess.run(
            [sys.executable, '-c', REPLAY_SCRIPT, path],
            env={
                **os.environ,
                'PYTHONHASHSEED': seed,
                'PYTHONPATH': str(ROOT / 'packages' / 'replay'),
            },
            capture_output=True,
            check=True,
        ).stdout
        for seed in ('1', '2', '3')
    }
    assert len(texts) == 1
    assert b'artwork/plates' in texts.pop()


def test_flood_leaves_urgent_work_in_target(trace_of):
    """Guards against a replay that ignores ranks or slots."""
    tally = replay(flood_trace(trace_of))
    assert tally.work_tally('artwork/colour').in_target == 24
    swatches = tally.work_tally('artwork/swatches')
    assert 0 < swatches.answered < 500
    stated = ExpectedOutcomes({'artwork/swatches': {'answered_percent': 100}})
    assert unmet_checks(compare_with_expected(tally, stated)) == {
        'artwork/swatches'
    }


def test_order_sent_four_times_runs_once(trace_of):
    """Guards against a replay that runs an order again when it is re-sent."""
    hosts = ('artwork-1', 'artwork-2', 'artwork-3', 'artwork-1')
    attempts = [
        call(1 + number / 10, 'prints', order='order 1', via=host)
        for number, host in enumerate(hosts)
    ]
    tally = replay(trace_of(*attempts))
    assert tally.order_runs == {'order 1': 1}
    assert tally.work_tally('artwork/prints').answered == 4


def test_order_of_a_killed_owner_is_unknown(trace_of):
    """Guards against a second run after the owner was killed."""
    kills = [
        FaultEvent(1.1, FaultKind.DAEMON_KILLED, f'artwork-{number}')
        for number in (1, 2, 3)
    ]
    restart = FaultEvent(2.0, FaultKind.DAEMON_STARTED, 'artwork-1')
    tally = replay(
        trace_of(
            call(1.0, 'prints', order='order 1'),
            *kills,
            restart,
            call(4.0, 'prints', order='order 1'),
        ),
    )
    assert tally.order_runs == {'order 1': 1}
    assert tally.order_outcomes == {'order 1': Ran.UNKNOWN}


def test_verdict_shows_broken_invariants(trace_of):
    """Guards against invariant checks that pass whatever the counts are."""
    tally = replay(trace_of(call(1.0, 'prints', order='order 1')))
    assert not unmet_checks(compare_with_expected(tally, NO_EXPECTATIONS))
    tally.order_runs['order 1'] = 2
    tally.order_outcomes['order 1'] = Ran.NO
    tally.check_final_state(b'other', [b'one'])
    assert unmet_checks(compare_with_expected(tally, NO_EXPECTATIONS)) == {
        'I5',
        'I6',
        'I9',
    }


def test_bad_stale_and_contradicting_sheets(trace_of):
    """Guards against adoption of invalid, older or conflicting sheets."""
    changed = SHEET.replace('400', '300')
    invalid = trace_of(Publication(1.0, 2, SHEET + 'artwork,x,0,,,,\n'))
    stale = trace_of(
        Publication(1.0, 5, changed),
        Publication(3.0, 1, SHEET),
        FaultEvent(4.0, FaultKind.DAEMON_KILLED, 'artwork-1'),
        FaultEvent(5.0, FaultKind.DAEMON_STARTED, 'artwork-1'),
    )
    conflict = trace_of(Publication(1.0, 1, changed))
    assert unmet_checks(
        compare_with_expected(replay(invalid), NO_EXPECTATIONS)
    ) == {'rejected'}
    assert not unmet_checks(
        compare_with_expected(replay(stale), NO_EXPECTATIONS)
    )
    assert unmet_checks(
        compare_with_expected(replay(conflict), NO_EXPECTATIONS)
    ) == {'conflicts'}


def test_paused_daemon_and_lost_service_catch_up(trace_of):
    """Guards against daemons that keep an old sheet after a fault."""
    trace = trace_of(
        FaultEvent(1.0, FaultKind.SERVICE_LOST),
        FaultEvent(1.0, FaultKind.DAEMON_PAUSED, 'artwork-1'),
        Publication(2.0, 2, SHEET.replace('400', '300')),
        call(3.0, 'colour', via='artwork-2'),
        FaultEvent(4.0, FaultKind.SERVICE_BACK),
        FaultEvent(9.0, FaultKind.DAEMON_RESUMED, 'artwork-1'),
        HostsEvent(9.5, ('artwork-1', 'artwork-2'), ('artwork-2',)),
    )
    tally = replay(trace)
    assert not unmet_checks(compare_with_expected(tally, NO_EXPECTATIONS))


@pytest.mark.parametrize(
    ('line', 'reason'),
    [
        ('{"kind":"call"}', "'at'"),
        ('{"kind":"storm","at":1}', 'unknown'),
        ('{"kind":"fault","at":1,"fault":"storm"}', 'storm'),
        ('not json', 'Expecting'),
    ],
)
def test_malformed_line_is_reported(trace_of, line, reason):
    """Guards against malformed lines that are skipped without a fault."""
    text = header_line(trace_of())
    found = read_trace(f'{text}\n{line}\n')
    assert isinstance(found, TraceError)
    assert found.line == 2
    assert reason in found.reason


def test_events_survive_writing_and_reading(trace_of):
    """Guards against fields that are lost between writing and reading."""
    events = (
        CallEvent(0.5, 'a', 'w', 'GET', '/w', 't', 3, 0.1, 'h', 'order 1'),
        HostsEvent(1.0, ('artwork-1',), ('artwork-1',)),
        FaultEvent(2.0, FaultKind.DAEMON_PAUSED, 'artwork-1'),
    )
    trace = trace_of(*events)
    assert trace.events[1:] == events
    lines = [header_line(trace), *map(event_line, trace.events)]
    assert read_trace('\n'.join(lines)) == trace
