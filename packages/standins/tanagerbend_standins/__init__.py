"""Stand-ins for the platform and for backend servers."""

from tanagerbend_standins.backend import Behaviour, StandinBackend
from tanagerbend_standins.fleet import Fleet, Node, Place, eventually
from tanagerbend_standins.platform import Faults, StandinPlatform

__all__ = (
    'Behaviour',
    'Faults',
    'Fleet',
    'Node',
    'Place',
    'StandinBackend',
    'StandinPlatform',
    'eventually',
)
