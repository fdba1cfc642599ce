"""Structured log lines: content, limits and non-blocking writes."""

import json
import os

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.decisions import (
    LINES_PER_SECOND,
    DecisionLog,
    PipeHandler,
)
from tanagerbend_timer import ManualTimer

PIPE_BYTES = 1_000_000


@pytest.fixture
def recorder():
    """Recorder with a manual timer."""
    return Recorder(ManualTimer())


@pytest.fixture
def pipe(recorder):
    """Read end of a pipe to which the log is written."""
    reading, writing = os.pipe()
    handler = PipeHandler(writing, recorder)
    with handler.applicationbound():
        yield reading
    os.close(reading)
    os.close(writing)


def read_lines(pipe):
    return [json.loads(line) for line in os.read(pipe, PIPE_BYTES).splitlines()]


def test_line_holds_its_fields(pipe, recorder):
    """Guards against refusals that can't be explained from the log."""
    log = DecisionLog('host-1', recorder)
    fields = {'request': 'a1', 'left_ms': 12}
    log.request('QUEUE_FULL', [log.line('request_refused', fields)])
    (line,) = read_lines(pipe)
    assert line['request'] == 'a1'
    assert line['host'] == 'host-1'
    assert line['left_ms'] == 12


async def test_lines_of_one_event_are_bounded(pipe, recorder):
    """Guards against logs that grow with the load of a daemon."""
    log = DecisionLog('host-1', recorder)
    for _ in range(LINES_PER_SECOND + 30):
        log.write('request_refused')
    log.write('version_adopted')
    await recorder.timer.advance(1.0)
    log.write('request_refused')
    found = read_lines(pipe)
    assert len(found) == LINES_PER_SECOND + 2
    assert found[-1]['left_out'] == 30


async def test_full_pipe_does_not_block(pipe, recorder):
    """Guards against requests that wait because nobody reads the log."""
    log = DecisionLog('host-1', recorder)
    for _ in range(500):
        log.write('request_refused', reason='x' * 1000)
        await recorder.timer.advance(1.0)
    assert recorder.counters.get('log_lines_dropped') > 0


def write_request(log, number, kind):
    """Write the two lines of a finished request."""
    events = 'request_sent_again', 'request_refused'
    found = [log.line(event, {'request': number}) for event in events]
    log.request(kind, found)


def test_request_has_all_of_its_lines_or_none(pipe, recorder):
    """Guards against requests of which the log holds only some lines."""
    log = DecisionLog('host-1', recorder)
    for number in range(2 * LINES_PER_SECOND):
        write_request(log, number, 'QUEUE_FULL')
    shown = [line['request'] for line in read_lines(pipe)]
    assert shown == [
        number for number in range(LINES_PER_SECOND) for _ in range(2)
    ]


def test_flood_of_one_kind_does_not_hide_the_others(pipe, recorder):
    """Guards against a flood that keeps a lost order out of the log."""
    log = DecisionLog('host-1', recorder)
    for number in range(2 * LINES_PER_SECOND):
        write_request(log, number, 'QUEUE_FULL')
    write_request(log, 'b', 'CONNECTION_LOST')
    assert read_lines(pipe)[-1]['request'] == 'b'


async def test_clock_step_and_pause_are_logged(pipe, recorder):
    """Guards against unexplained gaps and steps in the times of lines.

    They arise when the process is suspended or the wall clock is set.
    """
    log = DecisionLog('host-1', recorder)
    recorder.timer.on_pause(log.paused)
    recorder.timer.pause(4.0)
    await log.check_clock()
    recorder.timer.started_wall -= 30.0
    await log.check_clock()
    await log.check_clock()
    found = [(line['event'], line['seconds']) for line in read_lines(pipe)]
    assert found == [('daemon_paused', 4.0), ('clock_stepped', -30.0)]
