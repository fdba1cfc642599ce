"""Marks the tests listed in KNOWN-RED.txt as expected failures.

The marks of ``test:`` entries are strict: a listed test that passes fails the
run, so that its entry is removed.  The tests of ``intermittent test:``
entries fail in some runs only, so they may pass; both results are printed.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).with_name('KNOWN-RED.txt')
ENTRY_PREFIX = 'test: '
INTERMITTENT_PREFIX = 'intermittent test: '


def known_red_tests(prefix):
    """Return the pytest node identifiers of the entries with a prefix."""
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    }


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures."""
    failing = known_red_tests(ENTRY_PREFIX)
    intermittent = known_red_tests(INTERMITTENT_PREFIX)
    for item in items:
        if item.nodeid in failing | intermittent:
            is_strict = item.nodeid in failing
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=is_strict))


def pytest_terminal_summary(terminalreporter):
    """Print the results of the listed tests."""
    for report in terminalreporter.stats.get('xfailed', ()):
        terminalreporter.write_line(f'known red: {report.nodeid}')
    for report in terminalreporter.stats.get('xpassed', ()):
        terminalreporter.write_line(f'known red, passed now: {report.nodeid}')
