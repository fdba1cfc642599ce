"""Admission of calls to the slots of an instance."""

from tanagerbend_admission.departure import Departures, Link
from tanagerbend_admission.estimate import ServiceTimes
from tanagerbend_admission.fifo import FifoAdmission, StrictPriorityAdmission
from tanagerbend_admission.objective import ObjectiveQueue
from tanagerbend_admission.ranked import RankAdmission
from tanagerbend_admission.ticket import Admission, Outcome, Ticket
from tanagerbend_admission.work import Work

__all__ = (
    'Admission',
    'Departures',
    'FifoAdmission',
    'Link',
    'ObjectiveQueue',
    'Outcome',
    'RankAdmission',
    'ServiceTimes',
    'StrictPriorityAdmission',
    'Ticket',
    'Work',
)
