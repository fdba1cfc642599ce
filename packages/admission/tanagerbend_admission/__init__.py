"""Admission of calls to the slots of an instance."""

from tanagerbend_admission.fifo import FifoAdmission
from tanagerbend_admission.ticket import Ticket

__all__ = ('FifoAdmission', 'Ticket')
