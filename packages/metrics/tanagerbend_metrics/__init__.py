"""Counters, histograms per tenant and rank, decision journal."""

from tanagerbend_metrics.counters import Counters
from tanagerbend_metrics.histograms import Histograms, make_histogram
from tanagerbend_metrics.journal import Entry, Journal
from tanagerbend_metrics.recorder import Recorder

__all__ = (
    'Counters',
    'Entry',
    'Histograms',
    'Journal',
    'Recorder',
    'make_histogram',
)
