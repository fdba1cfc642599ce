"""Admission of calls to the slots of an instance."""

import lazy_loader

# Submodules are imported when one of their names is first used.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'departure': ('DepartureTimes', 'Link'),
        'estimate': ('ServiceTimes',),
        'fifo': ('FifoAdmission', 'StrictPriorityAdmission'),
        'objective': ('ObjectiveQueue',),
        'ranked': ('RankAdmission',),
        'ticket': ('Admission', 'Outcome', 'Ticket'),
        'work': ('Work',),
    },
)
