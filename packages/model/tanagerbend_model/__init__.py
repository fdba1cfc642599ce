"""Versions, sheets, work classes, result codes and headers."""

from tanagerbend_model.acceptance import Accepted, Rejected, accept
from tanagerbend_model.codes import Ran, ResultCode
from tanagerbend_model.difference import Difference, difference
from tanagerbend_model.faults import Fault
from tanagerbend_model.refusal import Refusal
from tanagerbend_model.version import Version, digest_of, short_digest
from tanagerbend_model.work import LOWEST_RANK, URGENT_RANK, Sheet, WorkClass

__all__ = (
    'LOWEST_RANK',
    'URGENT_RANK',
    'Accepted',
    'Difference',
    'Fault',
    'Ran',
    'Refusal',
    'Rejected',
    'ResultCode',
    'Sheet',
    'Version',
    'WorkClass',
    'accept',
    'difference',
    'digest_of',
    'short_digest',
)
