"""Member records, failure detection and the choice of readers."""

from tanagerbend_membership.comparison import Comparison, compare, lacking
from tanagerbend_membership.detector import Detector
from tanagerbend_membership.notifier import Notifier
from tanagerbend_membership.readers import readers, weight
from tanagerbend_membership.records import fault_of
from tanagerbend_membership.roster import Change, Roster
from tanagerbend_membership.senders import Senders

__all__ = (
    'Change',
    'Comparison',
    'Detector',
    'Notifier',
    'Roster',
    'Senders',
    'compare',
    'fault_of',
    'lacking',
    'readers',
    'weight',
)
