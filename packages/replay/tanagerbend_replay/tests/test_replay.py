"""Replay of small traces and of the traces under examples."""

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
    StatedOutcomes,
    Trace,
    TraceFault,
    judge,
    load_stated,
    load_trace,
    read_trace,
    replay,
)
from tanagerbend_replay.tests.conftest import SHEET, call
from tanagerbend_replay.writing import event_line, header_line

ROOT = pathlib.Path(__file__).parents[4]
TRACES = sorted((ROOT / 'examples' / 'traces').glob('*.jsonl'))
FINE = StatedOutcomes({})
PRINT_VERDICT = """
import pathlib, sys
from tanagerbend_replay import judge, load_stated, load_trace, replay
path = pathlib.Path(sys.argv[1])
stated = load_stated(path.with_suffix('.toml'))
sys.stdout.write(judge(replay(load_trace(path), 7), stated).text())
"""


def failed(verdict):
    """Names of the checks that were not met."""
    return {check.name for check in verdict.checks if not check.is_met}


def flood(trace_of):
    """Swatches at three times the capacity, and some urgent calls."""
    return trace_of(
        *(call(1 + number / 360, 'swatches') for number in range(720)),
        *(call(1 + number / 12, 'colour') for number in range(24)),
    )


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_examples_meet_their_stated_outcomes(path):
    """Guards against decisions that break what a trace is to show."""
    trace, stated = load_trace(path), load_stated(path.with_suffix('.toml'))
    assert isinstance(trace, Trace)
    assert isinstance(stated, StatedOutcomes)
    assert stated.work
    verdict = judge(replay(trace), stated)
    assert verdict.is_met, verdict.text()


def test_same_trace_and_seed_give_the_same_bytes():
    """Guards against verdicts that depend on the process."""
    path = ROOT / 'examples' / 'traces' / 'tas-south-night.jsonl'
    texts = {
        subprocess.run(
            [sys.executable, '-c', PRINT_VERDICT, path],
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
    """Guards against a replay that ignores ranks or capacity."""
    tally = replay(flood(trace_of))
    assert tally.of('artwork/colour').in_target == 24
    swatches = tally.of('artwork/swatches')
    assert 0 < swatches.answered < 500
    stated = StatedOutcomes({'artwork/swatches': {'answered_percent': 100}})
    assert failed(judge(tally, stated)) == {'artwork/swatches'}


def test_order_sent_four_times_runs_once(trace_of):
    """Guards against re-sends that a replay counts as orders."""
    hosts = ('artwork-1', 'artwork-2', 'artwork-3', 'artwork-1')
    sendings = [
        call(1 + number / 10, 'prints', order='order 1', via=host)
        for number, host in enumerate(hosts)
    ]
    tally = replay(trace_of(*sendings))
    assert tally.order_runs == {'order 1': 1}
    assert tally.of('artwork/prints').answered == 4


def test_order_of_a_killed_owner_is_unknown(trace_of):
    """Guards against a second run after the owner has died."""
    kills = [
        FaultEvent(1.1, FaultKind.DAEMON_KILLED, f'artwork-{number}')
        for number in (1, 2, 3)
    ]
    back = FaultEvent(2.0, FaultKind.DAEMON_STARTED, 'artwork-1')
    tally = replay(
        trace_of(
            call(1.0, 'prints', order='order 1'),
            *kills,
            back,
            call(4.0, 'prints', order='order 1'),
        ),
    )
    assert tally.order_runs == {'order 1': 1}
    assert tally.order_ends == {'order 1': Ran.UNKNOWN}


def test_verdict_shows_broken_invariants(trace_of):
    """Guards against checks of invariants that cannot fail."""
    tally = replay(trace_of(call(1.0, 'prints', order='order 1')))
    assert not failed(judge(tally, FINE))
    tally.order_runs['order 1'] = 2
    tally.order_ends['order 1'] = Ran.NO
    tally.finish(b'other', [b'one'])
    assert failed(judge(tally, FINE)) == {'I5', 'I6', 'I9'}


def test_bad_stale_and_contradicting_sheets(trace_of):
    """Guards against publications that a replay adopts unseen."""
    changed = SHEET.replace('400', '300')
    bad = trace_of(Publication(1.0, 2, SHEET + 'artwork,x,0,,,,\n'))
    stale = trace_of(
        Publication(1.0, 5, changed),
        Publication(3.0, 1, SHEET),
        FaultEvent(4.0, FaultKind.DAEMON_KILLED, 'artwork-1'),
        FaultEvent(5.0, FaultKind.DAEMON_STARTED, 'artwork-1'),
    )
    conflict = trace_of(Publication(1.0, 1, changed))
    assert failed(judge(replay(bad), FINE)) == {'rejected'}
    assert not failed(judge(replay(stale), FINE))
    assert failed(judge(replay(conflict), FINE)) == {'conflicts'}


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
    assert not failed(judge(tally, FINE))


@pytest.mark.parametrize(
    ('line', 'reason'),
    [
        ('{"kind":"call"}', "'at'"),
        ('{"kind":"storm","at":1}', 'unknown'),
        ('{"kind":"fault","at":1,"fault":"storm"}', 'storm'),
        ('not json', 'Expecting'),
    ],
)
def test_malformed_lines_are_named(trace_of, line, reason):
    """Guards against a trace that is read in part."""
    text = header_line(trace_of())
    found = read_trace(f'{text}\n{line}\n')
    assert isinstance(found, TraceFault)
    assert found.line == 2
    assert reason in found.reason


def test_lines_keep_what_they_say(trace_of):
    """Guards against fields that are lost between recorder and replay."""
    events = (
        CallEvent(0.5, 'a', 'w', 'GET', '/w', 't', 3, 0.1, 'h', 'order 1'),
        HostsEvent(1.0, ('artwork-1',), ('artwork-1',)),
        FaultEvent(2.0, FaultKind.DAEMON_PAUSED, 'artwork-1'),
    )
    trace = trace_of(*events)
    assert trace.events[1:] == events
    lines = [header_line(trace), *map(event_line, trace.events)]
    assert read_trace('\n'.join(lines)) == trace
