"""Builds small traces for the tests."""

import pytest

from tanagerbend_replay import (
    CallEvent,
    Instance,
    Publication,
    Trace,
    TraceWriter,
    read_trace,
)

SHEET = (
    'service,work,rank,urgent,target_ms,floor_percent,order\n'
    'artwork,colour,1,yes,400,20,no\n'
    'artwork,swatches,7,no,1000,5,no\n'
    'artwork,prints,2,no,800,10,yes\n'
)
INSTANCES = tuple(
    Instance(f'artwork-{number}', 'artwork', f'domain-{number % 2}')
    for number in range(1, 4)
)


def call(at, work, order='', via='', seconds=0.15):
    """Return a call of a work class of the sheet."""
    method = 'POST' if order else 'GET'
    return CallEvent(
        at, 'artwork', work, method, f'/{work}', 'a', 1, seconds, via, order
    )


@pytest.fixture
def trace_of():
    """Return a function that writes events to a trace and reads it."""

    def build(*events, sheet=SHEET):
        empty = Trace('tas-south', 'written by hand', INSTANCES, 6, ())
        writer = TraceWriter(empty, [Publication(0.0, 1, sheet), *events])
        return read_trace(writer.text())

    return build
