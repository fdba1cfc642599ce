"""Records, reads and replays traces of calls, publications and faults."""

from tanagerbend_replay.events import (
    CallEvent,
    FaultEvent,
    FaultKind,
    HostsEvent,
    Instance,
    Publication,
    Trace,
    TraceError,
)
from tanagerbend_replay.reading import load_trace, read_trace
from tanagerbend_replay.runner import replay
from tanagerbend_replay.stated import ExpectedOutcomes, load_expected
from tanagerbend_replay.verdict import Verdict, compare_with_expected
from tanagerbend_replay.writing import TraceWriter

__all__ = (
    'CallEvent',
    'FaultEvent',
    'FaultKind',
    'HostsEvent',
    'Instance',
    'Publication',
    'ExpectedOutcomes',
    'Trace',
    'TraceError',
    'TraceWriter',
    'Verdict',
    'compare_with_expected',
    'load_expected',
    'load_trace',
    'read_trace',
    'replay',
)
