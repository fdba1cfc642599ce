"""Admission of calls to the slots of an instance."""

from tanagerbend_admission.fifo import FifoAdmission, StrictPriorityAdmission
from tanagerbend_admission.ranked import RankAdmission
from tanagerbend_admission.ticket import Admission, Outcome, Ticket

__all__ = (
    'Admission',
    'FifoAdmission',
    'Outcome',
    'RankAdmission',
    'StrictPriorityAdmission',
    'Ticket',
)
