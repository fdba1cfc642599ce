"""Counters, histograms per tenant and rank, decision journal."""

from tanagerbend_metrics.counters import Counters
from tanagerbend_metrics.events import MEANINGS, Event
from tanagerbend_metrics.exposition import expose
from tanagerbend_metrics.histograms import (
    QUANTILES,
    Encoded,
    Histograms,
    make_histogram,
    quantiles_of,
)
from tanagerbend_metrics.history import History, Minute
from tanagerbend_metrics.journal import Entry, Journal
from tanagerbend_metrics.recorder import Recorder

__all__ = (
    'MEANINGS',
    'QUANTILES',
    'Counters',
    'Encoded',
    'Entry',
    'Event',
    'Histograms',
    'History',
    'Journal',
    'Minute',
    'Recorder',
    'expose',
    'make_histogram',
    'quantiles_of',
)
