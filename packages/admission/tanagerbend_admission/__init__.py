"""Admission of calls to the slots of an instance."""

from tanagerbend_admission.fifo import FifoAdmission, StrictPriorityAdmission
from tanagerbend_admission.objective import ObjectiveQueue, Work
from tanagerbend_admission.ranked import RankAdmission
from tanagerbend_admission.ticket import Admission, Outcome, Ticket

__all__ = (
    'Admission',
    'FifoAdmission',
    'ObjectiveQueue',
    'Outcome',
    'RankAdmission',
    'StrictPriorityAdmission',
    'Ticket',
    'Work',
)
