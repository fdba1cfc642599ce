"""Admission of calls to the slots of an instance."""

import lazy_loader

# A module is loaded when one of its names is first used.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'fifo': ('FifoAdmission', 'StrictPriorityAdmission'),
        'objective': ('ObjectiveQueue', 'Work'),
        'ranked': ('RankAdmission',),
        'ticket': ('Admission', 'Outcome', 'Ticket'),
    },
)
