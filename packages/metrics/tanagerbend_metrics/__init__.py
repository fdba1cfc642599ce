"""Counters, histograms by tenant and rank, and the decision journal."""

import lazy_loader

# A module is loaded when one of its names is first used.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'counters': ('Counters',),
        'events': ('EVENT_MEANINGS', 'Event'),
        'exposition': ('expose',),
        'histograms': (
            'QUANTILES',
            'EncodedHistogram',
            'Histograms',
            'make_histogram',
            'quantiles_of',
        ),
        'history': ('History', 'Minute'),
        'journal': ('Entry', 'Journal'),
        'recorder': ('Recorder',),
    },
)
