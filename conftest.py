"""Expects the tests that KNOWN-RED.txt lists to fail, and prints them.

A listed test that passes fails the run, so that its entry is removed.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).with_name('KNOWN-RED.txt')
PREFIX = 'test: '


def known_red():
    """Return the listed tests by their identifiers in pytest."""
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Mark the listed tests."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that failed."""
    for report in terminalreporter.stats.get('xfailed', ()):
        terminalreporter.write_line(f'known red: {report.nodeid}')
