"""Member records, failure detection and the choice of readers."""

from tanagerbend_membership.detector import Detector
from tanagerbend_membership.readers import readers, weight
from tanagerbend_membership.roster import Change, Roster

__all__ = ('Change', 'Detector', 'Roster', 'readers', 'weight')
