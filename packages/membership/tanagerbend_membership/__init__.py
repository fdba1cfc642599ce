"""Member records, failure detection and the selection of readers."""

from tanagerbend_membership.comparison import (
    Comparison,
    compare,
    missing_at_peer,
)
from tanagerbend_membership.detector import Detector
from tanagerbend_membership.notifier import Notifier
from tanagerbend_membership.readers import choose_readers, rendezvous_weight
from tanagerbend_membership.records import find_fault
from tanagerbend_membership.roster import Change, Roster
from tanagerbend_membership.senders import Senders

__all__ = (
    'Change',
    'Comparison',
    'Detector',
    'Notifier',
    'Roster',
    'Senders',
    'choose_readers',
    'compare',
    'find_fault',
    'missing_at_peer',
    'rendezvous_weight',
)
