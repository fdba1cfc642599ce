"""Records, reads and replays traces of calls, publications and faults."""

from tanagerbend_replay.events import (
    CallEvent,
    FaultEvent,
    FaultKind,
    HostsEvent,
    Instance,
    Publication,
    Trace,
    TraceFault,
)
from tanagerbend_replay.reading import load_trace, read_trace
from tanagerbend_replay.runner import replay
from tanagerbend_replay.stated import StatedOutcomes, load_stated
from tanagerbend_replay.verdict import Verdict, judge
from tanagerbend_replay.writing import TraceWriter

__all__ = (
    'CallEvent',
    'FaultEvent',
    'FaultKind',
    'HostsEvent',
    'Instance',
    'Publication',
    'StatedOutcomes',
    'Trace',
    'TraceFault',
    'TraceWriter',
    'Verdict',
    'judge',
    'load_stated',
    'load_trace',
    'read_trace',
    'replay',
)
