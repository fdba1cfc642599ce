"""Counters, histograms and journal of a daemon in one object."""

import attrs

from tanagerbend_metrics.counters import Counters
from tanagerbend_metrics.histograms import Histograms
from tanagerbend_metrics.journal import Journal
from tanagerbend_timer import Timer


@attrs.define
class Recorder:
    """Records the metrics and state changes of one daemon.

    Parameters
    ==========

    timer : Timer
        Provides the time of journal entries.
    """

    timer: Timer
    counters: Counters = attrs.field(factory=Counters)
    histograms: Histograms = attrs.field(factory=Histograms)
    journal: Journal = attrs.field(factory=Journal)

    def count(self, name: str, label: str = '', amount: int = 1) -> None:
        """Increment a counter."""
        self.counters.add(name, label, amount)

    def record_event(self, event: str, subject: str, reason: str = '') -> None:
        """Count a state change and add it to the journal."""
        self.counters.add('events', event)
        self.journal.record_event(self.timer.wall(), event, subject, reason)
