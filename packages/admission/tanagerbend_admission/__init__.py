"""Admission of calls to the slots of an instance."""

import lazy_loader

# A module is loaded when one of its names is first used.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'departure': ('Departures', 'Link'),
        'estimate': ('ServiceTimes',),
        'fifo': ('FifoAdmission', 'StrictPriorityAdmission'),
        'objective': ('ObjectiveQueue',),
        'ranked': ('RankAdmission',),
        'ticket': ('Admission', 'Outcome', 'Ticket'),
        'work': ('Work',),
    },
)
