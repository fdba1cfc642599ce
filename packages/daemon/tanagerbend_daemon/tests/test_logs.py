"""Log lines: structured, limited in number, and without secrets."""

import io
import json
import logging

import attrs
import logbook
import pytest
from logbook.compat import RedirectLoggingHandler

from tanagerbend_daemon.logs import JournalLog, line_handler
from tanagerbend_daemon.tests.test_operators import SETTINGS, SHARED_KEY, TOKEN
from tanagerbend_metrics import Recorder
from tanagerbend_settings import load
from tanagerbend_timer import ManualTimer


@pytest.fixture
def lines():
    """Return a function that logs journal notes and returns the lines."""

    def write(notes, log_format='json'):
        settings = load(SETTINGS)
        operators = attrs.evolve(settings.operators, log_format=log_format)
        settings = attrs.evolve(settings, operators=operators)
        stream = io.StringIO()
        recorder = Recorder(ManualTimer())
        recorder.journal.listeners.append(JournalLog('host-1'))
        with line_handler(settings, stream).applicationbound():
            for note in notes:
                recorder.record_event(*note)
        return stream.getvalue().splitlines()

    return write


def test_json_lines_are_parsed_back(lines):
    """Guards against lines that a log collector cannot read."""
    (line,) = lines([('version_rejected', '7/abc', 'a "b"\nc')])
    assert json.loads(line) == {
        'time': '2027-01-15T08:00:00.000Z',
        'level': 'warning',
        'host': 'host-1',
        'event': 'version_rejected',
        'subject': '7/abc',
        'reason': 'a "b"\nc',
    }


@pytest.mark.parametrize('log_format', ['json', 'keyvalue'])
def test_reason_cannot_forge_a_line(lines, log_format):
    """Guards against text from a sheet that is read as a separate line."""
    forged = 'x\nevent=version_adopted subject=9\u2028y'
    assert len(lines([('version_rejected', '7', forged)], log_format)) == 1


def test_repeated_events_are_limited(lines):
    """Guards against a log filled by the loss of a failure domain."""
    notes = [('member_suspected', f'host-{index}') for index in range(500)]
    assert len(lines(notes)) == 10


@pytest.mark.parametrize('log_format', ['json', 'keyvalue'])
def test_lines_hold_no_secret(lines, log_format):
    """Guards against secrets that arrive in the text of an error."""
    reason = f'bad header {TOKEN} {SHARED_KEY}'
    (line,) = lines([('service_lost', 'sheet', reason)], log_format)
    assert TOKEN not in line
    assert SHARED_KEY not in line


def test_warnings_of_libraries_are_structured():
    """Guards against unstructured log lines of libraries."""
    stream = io.StringIO()
    logger = logging.getLogger('asyncio')
    redirect = RedirectLoggingHandler()
    logger.addHandler(redirect)
    try:
        with line_handler(load(SETTINGS), stream).applicationbound():
            logger.warning('slow callback %s', TOKEN)
            for _ in range(100):
                logger.error('task failed', exc_info=ValueError('x'))
    finally:
        logger.removeHandler(redirect)
    line, *others = stream.getvalue().splitlines()
    assert len(others) == 9
    assert all('trace="' in other for other in others)
    assert logbook.get_level_name(logbook.WARNING).lower() in line
    assert 'subject=asyncio' in line
    assert TOKEN not in line
